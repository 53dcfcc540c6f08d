package batch

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The descriptions of the API and of its feed, as they are served.
var (
	//go:embed openapi.yaml
	openAPI []byte
	//go:embed asyncapi.yaml
	asyncAPI []byte
)

const (
	filePrefix   = "file-"
	batchPrefix  = "batch_"
	resultSuffix = "-result"
)

// Handler serves the API.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /openapi.yaml", document(openAPI))
	mux.HandleFunc("GET /asyncapi.yaml", document(asyncAPI))
	for pattern, f := range map[string]func(*team, http.ResponseWriter, *http.Request) error{
		"POST /v1/files":               d.postFile,
		"GET /v1/files/{id}":           d.getFile,
		"GET /v1/files/{id}/content":   d.getContent,
		"POST /v1/batches":             d.postBatch,
		"GET /v1/batches":              d.listBatches,
		"GET /v1/batches/{id}":         d.getBatch,
		"POST /v1/batches/{id}/cancel": d.cancelBatch,
		"GET /v1/batches/{id}/events":  d.feed,
	} {
		mux.HandleFunc(pattern, d.forTeam(f))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		var probe statusOnly
		mux.ServeHTTP(&probe, r)
		p := &problem{status: http.StatusNotFound, code: "no_such_path", text: "no such path"}
		if probe.status == http.StatusMethodNotAllowed {
			p = &problem{status: probe.status, code: "wrong_method", text: "wrong method", allowMethod: probe.Header().Get("Allow")}
		}
		d.fail(w, p)
	})
}

// statusOnly takes the mux's own answer to what it does not know, so that it can be given as JSON.
type statusOnly struct {
	header http.Header
	status int
}

func (s *statusOnly) Header() http.Header {
	if s.header == nil {
		s.header = http.Header{}
	}
	return s.header
}
func (s *statusOnly) WriteHeader(status int)      { s.status = status }
func (s *statusOnly) Write(b []byte) (int, error) { return len(b), nil }

func document(text []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/yaml")
		_, _ = w.Write(text) // a client that has gone is told nothing
	}
}

// forTeam finds the team by its key and writes errors out.
func (d *Desk) forTeam(f func(*team, http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		t := d.teams[key]
		if !ok || t == nil {
			d.fail(w, &problem{status: http.StatusUnauthorized, code: "no_team", text: "the key is missing or no team's"})
			return
		}
		if err := f(t, w, r); err != nil {
			d.fail(w, err)
		}
	}
}

func (d *Desk) fail(w http.ResponseWriter, err error) {
	var p *problem
	if !errors.As(err, &p) {
		d.log.Error("batch API", "err", err)
		p = &problem{status: http.StatusInternalServerError, code: "internal", text: "something went wrong here"}
	}
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if p.allowMethod != "" {
		w.Header().Set("Allow", p.allowMethod)
	}
	if p.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	kind := "invalid_request_error"
	if p.status >= 500 {
		kind = "server_error"
	}
	send(w, p.status, map[string]any{"error": map[string]any{
		"message": p.text, "type": kind, "param": nullable(p.param), "code": p.code,
	}})
}

func nullable(s string) any {
	if s == "" {
		return nil
	}
	return s
}

func send(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone is told nothing
}

func bad(param, format string, args ...any) error {
	return &problem{status: http.StatusBadRequest, code: "invalid_value", param: param, text: fmt.Sprintf(format, args...)}
}

// postFile takes a form with the parts purpose and file, in either order.
func (d *Desk) postFile(t *team, w http.ResponseWriter, r *http.Request) error {
	r.Body = http.MaxBytesReader(w, r.Body, d.lim.BatchFileBytes+d.lim.BatchMessageBytes)
	form, err := r.MultipartReader()
	if err != nil {
		return bad("", "a form of type multipart/form-data is wanted")
	}
	var rec fileRecord
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return bad("", "the form is malformed or cut off")
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, 64))
			if err != nil {
				return bad("purpose", "the form is malformed or cut off")
			}
			if purpose = string(text); purpose != "batch" {
				return bad("purpose", "only the purpose batch is served")
			}
		case "file":
			if rec.ID != "" {
				return bad("file", "one file at a time")
			}
			_, params, _ := mime.ParseMediaType(part.Header.Get("Content-Disposition"))
			if rec, err = d.store(t, filepath.Base(or(params["filename"], "batch.jsonl")), part); err != nil {
				return err
			}
		}
	}
	if rec.ID == "" || purpose == "" {
		return bad("file", "the parts purpose and file are both wanted")
	}
	send(w, http.StatusOK, fileObject(rec))
	return nil
}

func fileObject(rec fileRecord) map[string]any {
	return map[string]any{
		"id": filePrefix + rec.ID, "object": "file", "purpose": "batch", "filename": rec.Name, "bytes": rec.Bytes,
		"created_at": rec.Uploaded.Unix(), "lines": rec.Lines, "tokens": rec.Tokens,
	}
}

// findFile resolves a file's public name; result tells whether it is a result file.
func (d *Desk) findFile(t *team, public string) (rec fileRecord, path string, err error) {
	none := &problem{status: http.StatusNotFound, code: "no_such_file", text: "no such file"}
	id, ok := strings.CutPrefix(public, filePrefix)
	id, isResult := strings.CutSuffix(id, resultSuffix)
	home := filepath.Join(d.cfg.Spool, t.Team, id)
	if !ok || !plain(id) || readJSON(filepath.Join(home, fileName), &rec) != nil {
		return rec, "", none
	}
	path = filepath.Join(home, inputName)
	if isResult {
		path = filepath.Join(home, resultName)
		rec.ID += resultSuffix
		rec.Name = "result-" + rec.Name
	}
	info, err := os.Stat(path)
	if err != nil {
		return rec, "", none
	}
	if isResult {
		rec.Bytes, rec.Uploaded, rec.Tokens = info.Size(), info.ModTime(), 0
	}
	return rec, path, nil
}

func (d *Desk) getFile(t *team, w http.ResponseWriter, r *http.Request) error {
	rec, _, err := d.findFile(t, r.PathValue("id"))
	if err != nil {
		return err
	}
	o := fileObject(rec)
	if strings.HasSuffix(rec.ID, resultSuffix) {
		o["purpose"] = "batch_output"
	}
	send(w, http.StatusOK, o)
	return nil
}

func (d *Desk) getContent(t *team, w http.ResponseWriter, r *http.Request) error {
	_, path, err := d.findFile(t, r.PathValue("id"))
	if err != nil {
		return err
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w.Header().Set("Content-Type", "application/jsonl")
	http.ServeContent(w, r, "", time.Time{}, f)
	return nil
}

func (d *Desk) postBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	var in struct {
		InputFileID      string            `json:"input_file_id"`
		Endpoint         string            `json:"endpoint"`
		CompletionWindow string            `json:"completion_window"`
		Metadata         map[string]string `json:"metadata"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, d.lim.BatchMessageBytes))
	if err != nil {
		return &problem{status: http.StatusRequestEntityTooLarge, code: "too_large", text: "the message is too large"}
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return bad("", "the message is not JSON of this form: %v", err)
	}
	if in.Endpoint != endpoint {
		return bad("endpoint", "only %s is served", endpoint)
	}
	if in.CompletionWindow != "" && in.CompletionWindow != "24h" {
		return bad("completion_window", "only 24h is known; the contract's line deadline is what binds")
	}
	id, ok := strings.CutPrefix(in.InputFileID, filePrefix)
	if !ok {
		return bad("input_file_id", "the id of an uploaded file is wanted")
	}
	j, err := d.create(t, id, in.Metadata["class"], in.Metadata)
	if err != nil {
		return err
	}
	send(w, http.StatusOK, d.object(j))
	return nil
}

func (d *Desk) findBatch(t *team, r *http.Request) (*job, error) {
	id, ok := strings.CutPrefix(r.PathValue("id"), batchPrefix)
	d.mu.Lock()
	defer d.mu.Unlock()
	if j := t.jobs[id]; ok && j != nil {
		return j, nil
	}
	return nil, &problem{status: http.StatusNotFound, code: "no_such_batch", text: "no such batch"}
}

func (d *Desk) getBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := d.findBatch(t, r)
	if err == nil {
		send(w, http.StatusOK, d.object(j))
	}
	return err
}

func (d *Desk) cancelBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := d.findBatch(t, r)
	if err != nil {
		return err
	}
	if err := d.cancel(j); err != nil {
		return err
	}
	send(w, http.StatusOK, d.object(j))
	return nil
}

func (d *Desk) listBatches(t *team, w http.ResponseWriter, r *http.Request) error {
	d.mu.Lock()
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(x, y *job) int { return y.rec.Created.Compare(x.rec.Created) })
	d.mu.Unlock()
	data := []any{}
	for _, j := range jobs {
		data = append(data, d.object(j))
	}
	send(w, http.StatusOK, map[string]any{"object": "list", "data": data, "has_more": false})
	return nil
}

// object is a batch as the public API gives it.
func (d *Desk) object(j *job) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	stamp := func(t time.Time) any {
		if t.IsZero() {
			return nil
		}
		return t.Unix()
	}
	o := map[string]any{
		"id": batchPrefix + j.rec.ID, "object": "batch", "endpoint": endpoint, "completion_window": "24h",
		"input_file_id": filePrefix + j.rec.FileID, "output_file_id": nil, "error_file_id": nil, "errors": nil,
		"status": j.status(), "created_at": j.rec.Created.Unix(), "completed_at": nil,
		"cancelling_at": stamp(j.rec.Cancelled), "cancelled_at": nil, "metadata": j.rec.Metadata, "class": j.rec.Class,
		"request_counts": map[string]int{
			"total": j.file.Lines, "completed": j.counts[served], "failed": j.counts[refused] + j.counts[failed],
		},
		"outcomes": map[string]int{served: j.counts[served], refused: j.counts[refused], failed: j.counts[failed]},
	}
	if !j.rec.Ended.IsZero() {
		o["output_file_id"] = filePrefix + j.rec.FileID + resultSuffix
		if j.rec.Cancelled.IsZero() {
			o["completed_at"] = stamp(j.rec.Ended)
		} else {
			o["cancelled_at"] = stamp(j.rec.Ended)
		}
	}
	if j.err != nil {
		o["errors"] = map[string]any{"object": "list", "data": []any{
			map[string]any{"code": "stalled", "message": "the spool cannot be read or written"},
		}}
	}
	return o
}

// feed tells the outcomes of a job's lines as they come, then its end. Last-Event-ID takes it up again.
func (d *Desk) feed(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := d.findBatch(t, r)
	if err != nil {
		return err
	}
	at := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		if at, err = strconv.Atoi(last); err != nil || at < 0 {
			return bad("Last-Event-ID", "a number of an event is wanted")
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	out := http.NewResponseController(w)
	for {
		ends, over, changed := d.news(j)
		for _, e := range ends[min(at, len(ends)):] {
			at++
			fmt.Fprintf(w, "id: %d\nevent: line\ndata: %s\n\n", at, compact(e))
		}
		if over {
			fmt.Fprintf(w, "id: %d\nevent: batch\ndata: %s\n\n", at, compact(d.object(j)))
			return nil
		}
		if err := out.Flush(); err != nil {
			return nil
		}
		idle := time.NewTimer(d.lim.BatchFeedKeepAlive)
		select {
		case <-changed:
		case <-idle.C:
			_, _ = io.WriteString(w, ": still here\n\n") // the request's context ends if the client has gone
		case <-r.Context().Done():
			idle.Stop()
			return nil
		}
		idle.Stop()
	}
}

// news is what the feed of a job can tell so far, whether that is all, and what is closed when there is more.
func (d *Desk) news(j *job) (ends []lineEnd, over bool, changed <-chan struct{}) {
	d.mu.Lock()
	ends, changed = j.ends, j.changed
	ended := !j.rec.Ended.IsZero()
	over = ended || j.err != nil
	d.mu.Unlock()
	if ended { // its notes change no more
		err := outcomes(filepath.Join(j.dir, outcomesName), func(o *Outcome, _ span) { ends = append(ends, o.end()) })
		if err != nil {
			d.log.Error("batch feed", "batch", j.rec.ID, "err", err)
		}
	}
	return ends, over, changed
}

func compact(v any) []byte {
	b, _ := json.Marshal(v) // plain fields, strings and numbers: it cannot fail
	return b
}
