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
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /openapi.yaml", serveDocument(openAPI))
	mux.HandleFunc("GET /asyncapi.yaml", serveDocument(asyncAPI))
	for pattern, f := range map[string]func(*team, http.ResponseWriter, *http.Request) error{
		"POST /v1/files":               s.postFile,
		"GET /v1/files/{id}":           s.getFile,
		"GET /v1/files/{id}/content":   s.getContent,
		"POST /v1/batches":             s.postBatch,
		"GET /v1/batches":              s.listBatches,
		"GET /v1/batches/{id}":         s.getBatch,
		"POST /v1/batches/{id}/cancel": s.cancelBatch,
		"GET /v1/batches/{id}/events":  s.streamEvents,
	} {
		mux.HandleFunc(pattern, s.forTeam(f))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		var probe statusRecorder
		mux.ServeHTTP(&probe, r)
		p := &apiError{status: http.StatusNotFound, code: "no_such_path", message: "no such path"}
		if probe.status == http.StatusMethodNotAllowed {
			p = &apiError{status: probe.status, code: "wrong_method", message: "wrong method", allowMethod: probe.Header().Get("Allow")}
		}
		s.writeError(w, p)
	})
}

// statusRecorder takes the mux's own answer to what it does not know, so that it can be given as JSON.
type statusRecorder struct {
	header http.Header
	status int
}

func (s *statusRecorder) Header() http.Header {
	if s.header == nil {
		s.header = http.Header{}
	}
	return s.header
}
func (s *statusRecorder) WriteHeader(status int)      { s.status = status }
func (s *statusRecorder) Write(b []byte) (int, error) { return len(b), nil }

func serveDocument(text []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/yaml")
		_, _ = w.Write(text) // a client that has gone is told nothing
	}
}

// forTeam finds the team by its key and writes errors out.
func (s *Service) forTeam(f func(*team, http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		t := s.teams[key]
		if !ok || t == nil {
			s.writeError(w, &apiError{status: http.StatusUnauthorized, code: "no_team", message: "the key is missing or no team's"})
			return
		}
		if err := f(t, w, r); err != nil {
			s.writeError(w, err)
		}
	}
}

func (s *Service) writeError(w http.ResponseWriter, err error) {
	var p *apiError
	if !errors.As(err, &p) {
		s.log.Error("batch API", "err", err)
		p = &apiError{status: http.StatusInternalServerError, code: "internal", message: "something went wrong here"}
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
	writeJSONResponse(w, p.status, map[string]any{"error": map[string]any{
		"message": p.message, "type": kind, "param": nullable(p.param), "code": p.code,
	}})
}

func nullable(s string) any {
	if s == "" {
		return nil
	}
	return s
}

func writeJSONResponse(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone is told nothing
}

func invalidValue(param, format string, args ...any) error {
	return &apiError{status: http.StatusBadRequest, code: "invalid_value", param: param, message: fmt.Sprintf(format, args...)}
}

// postFile takes a form with the parts purpose and file, in either order.
func (s *Service) postFile(t *team, w http.ResponseWriter, r *http.Request) error {
	r.Body = http.MaxBytesReader(w, r.Body, s.limits.BatchFileBytes+s.limits.BatchMessageBytes)
	form, err := r.MultipartReader()
	if err != nil {
		return invalidValue("", "a form of type multipart/form-data is wanted")
	}
	var rec fileRecord
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return invalidValue("", "the form is malformed or cut off")
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, 64))
			if err != nil {
				return invalidValue("purpose", "the form is malformed or cut off")
			}
			if purpose = string(text); purpose != "batch" {
				return invalidValue("purpose", "only the purpose batch is served")
			}
		case "file":
			if rec.ID != "" {
				return invalidValue("file", "one file at a time")
			}
			_, params, _ := mime.ParseMediaType(part.Header.Get("Content-Disposition"))
			if rec, err = s.storeUpload(t, filepath.Base(firstNonEmpty(params["filename"], "batch.jsonl")), part); err != nil {
				return err
			}
		}
	}
	if rec.ID == "" || purpose == "" {
		return invalidValue("file", "the parts purpose and file are both wanted")
	}
	writeJSONResponse(w, http.StatusOK, fileObject(rec))
	return nil
}

func fileObject(rec fileRecord) map[string]any {
	return map[string]any{
		"id": filePrefix + rec.ID, "object": "file", "purpose": "batch", "filename": rec.Name, "bytes": rec.Bytes,
		"created_at": rec.Uploaded.Unix(), "lines": rec.Lines, "tokens": rec.Tokens,
	}
}

// findFile resolves a file's public name; result tells whether it is a result file.
func (s *Service) findFile(t *team, public string) (rec fileRecord, path string, err error) {
	none := &apiError{status: http.StatusNotFound, code: "no_such_file", message: "no such file"}
	id, ok := strings.CutPrefix(public, filePrefix)
	id, isResult := strings.CutSuffix(id, resultSuffix)
	home := filepath.Join(s.cfg.Spool, t.Team, id)
	if !ok || !isPlainName(id) || readJSON(filepath.Join(home, fileName), &rec) != nil {
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

func (s *Service) getFile(t *team, w http.ResponseWriter, r *http.Request) error {
	rec, _, err := s.findFile(t, r.PathValue("id"))
	if err != nil {
		return err
	}
	o := fileObject(rec)
	if strings.HasSuffix(rec.ID, resultSuffix) {
		o["purpose"] = "batch_output"
	}
	writeJSONResponse(w, http.StatusOK, o)
	return nil
}

func (s *Service) getContent(t *team, w http.ResponseWriter, r *http.Request) error {
	_, path, err := s.findFile(t, r.PathValue("id"))
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

func (s *Service) postBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	var in struct {
		InputFileID      string            `json:"input_file_id"`
		Endpoint         string            `json:"endpoint"`
		CompletionWindow string            `json:"completion_window"`
		Metadata         map[string]string `json:"metadata"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.BatchMessageBytes))
	if err != nil {
		return &apiError{status: http.StatusRequestEntityTooLarge, code: "too_large", message: "the message is too large"}
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return invalidValue("", "the message is not JSON of this form: %v", err)
	}
	if in.Endpoint != endpoint {
		return invalidValue("endpoint", "only %s is served", endpoint)
	}
	if in.CompletionWindow != "" && in.CompletionWindow != "24h" {
		return invalidValue("completion_window", "only 24h is known; the contract's line deadline is what binds")
	}
	id, ok := strings.CutPrefix(in.InputFileID, filePrefix)
	if !ok {
		return invalidValue("input_file_id", "the id of an uploaded file is wanted")
	}
	j, err := s.createJob(t, id, in.Metadata["class"], in.Metadata)
	if err != nil {
		return err
	}
	writeJSONResponse(w, http.StatusOK, s.batchObject(j))
	return nil
}

func (s *Service) findBatch(t *team, r *http.Request) (*job, error) {
	id, ok := strings.CutPrefix(r.PathValue("id"), batchPrefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := t.jobs[id]; ok && j != nil {
		return j, nil
	}
	return nil, &apiError{status: http.StatusNotFound, code: "no_such_batch", message: "no such batch"}
}

func (s *Service) getBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := s.findBatch(t, r)
	if err == nil {
		writeJSONResponse(w, http.StatusOK, s.batchObject(j))
	}
	return err
}

func (s *Service) cancelBatch(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := s.findBatch(t, r)
	if err != nil {
		return err
	}
	if err := s.cancelJob(j); err != nil {
		return err
	}
	writeJSONResponse(w, http.StatusOK, s.batchObject(j))
	return nil
}

func (s *Service) listBatches(t *team, w http.ResponseWriter, r *http.Request) error {
	s.mu.Lock()
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(x, y *job) int { return y.record.Created.Compare(x.record.Created) })
	s.mu.Unlock()
	data := []any{}
	for _, j := range jobs {
		data = append(data, s.batchObject(j))
	}
	writeJSONResponse(w, http.StatusOK, map[string]any{"object": "list", "data": data, "has_more": false})
	return nil
}

// batchObject is a batch as the public API gives it.
func (s *Service) batchObject(j *job) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamp := func(t time.Time) any {
		if t.IsZero() {
			return nil
		}
		return t.Unix()
	}
	o := map[string]any{
		"id": batchPrefix + j.record.ID, "object": "batch", "endpoint": endpoint, "completion_window": "24h",
		"input_file_id": filePrefix + j.record.FileID, "output_file_id": nil, "error_file_id": nil, "errors": nil,
		"status": j.status(), "created_at": j.record.Created.Unix(), "completed_at": nil,
		"cancelling_at": stamp(j.record.Cancelled), "cancelled_at": nil, "metadata": j.record.Metadata, "class": j.record.Class,
		"request_counts": map[string]int{
			"total": j.file.Lines, "completed": j.counts[outcomeServed], "failed": j.counts[outcomeRefused] + j.counts[outcomeFailed],
		},
		"outcomes": map[string]int{outcomeServed: j.counts[outcomeServed], outcomeRefused: j.counts[outcomeRefused], outcomeFailed: j.counts[outcomeFailed]},
	}
	if !j.record.Ended.IsZero() {
		o["output_file_id"] = filePrefix + j.record.FileID + resultSuffix
		if j.record.Cancelled.IsZero() {
			o["completed_at"] = stamp(j.record.Ended)
		} else {
			o["cancelled_at"] = stamp(j.record.Ended)
		}
	}
	if j.err != nil {
		o["errors"] = map[string]any{"object": "list", "data": []any{
			map[string]any{"code": "stalled", "message": "the spool cannot be read or written"},
		}}
	}
	return o
}

// streamEvents tells the outcomes of a job's lines as they come, then its end. Last-Event-ID takes it up again.
func (s *Service) streamEvents(t *team, w http.ResponseWriter, r *http.Request) error {
	j, err := s.findBatch(t, r)
	if err != nil {
		return err
	}
	at := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		if at, err = strconv.Atoi(last); err != nil || at < 0 {
			return invalidValue("Last-Event-ID", "a number of an event is wanted")
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	out := http.NewResponseController(w)
	for {
		ends, over, changed := s.feedState(j)
		for _, e := range ends[min(at, len(ends)):] {
			at++
			fmt.Fprintf(w, "id: %d\nevent: line\ndata: %s\n\n", at, marshalCompact(e))
		}
		if over {
			fmt.Fprintf(w, "id: %d\nevent: batch\ndata: %s\n\n", at, marshalCompact(s.batchObject(j)))
			return nil
		}
		if err := out.Flush(); err != nil {
			return nil
		}
		idle := time.NewTimer(s.limits.BatchFeedKeepAlive)
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

// feedState is what the feed of a job can tell so far, whether that is all, and what is closed when there is more.
func (s *Service) feedState(j *job) (ends []itemEvent, over bool, changed <-chan struct{}) {
	s.mu.Lock()
	ends, changed = j.events, j.changed
	ended := !j.record.Ended.IsZero()
	over = ended || j.err != nil
	s.mu.Unlock()
	if ended { // its notes change no more
		err := readOutcomes(filepath.Join(j.dir, outcomesName), func(o *Outcome, _ span) { ends = append(ends, o.event()) })
		if err != nil {
			s.log.Error("batch feed", "batch", j.record.ID, "err", err)
		}
	}
	return ends, over, changed
}

func marshalCompact(v any) []byte {
	b, _ := json.Marshal(v) // plain fields, strings and numbers: it cannot fail
	return b
}
