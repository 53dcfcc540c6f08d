package batch

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// A spool folder holds one folder a team, and in it one folder an uploaded file, by its content's hash:
// the file, what is known of it (file.json), the job made of it (job.json), its outcomes as they come
// (outcomes.jsonl, one a line, in the order of their ends) and, at the job's end, the result file.
const (
	inputName    = "input.jsonl"
	fileName     = "file.json"
	jobName      = "job.json"
	outcomesName = "outcomes.jsonl"
	resultName   = "result.jsonl"
)

// fileRecord is what is known of an uploaded file.
type fileRecord struct {
	ID       string    `json:"id"`
	Name     string    `json:"name"`
	Bytes    int64     `json:"bytes"`
	Lines    int       `json:"lines"`
	Tokens   int64     `json:"tokens"` // of its valid lines: prompts and most answers
	Uploaded time.Time `json:"uploaded"`
}

// jobRecord is what a job was asked to be.
type jobRecord struct {
	ID        string            `json:"id"`
	FileID    string            `json:"file_id"`
	Class     string            `json:"class"`
	Metadata  map[string]string `json:"metadata,omitempty"`
	Created   time.Time         `json:"created"`
	Cancelled time.Time         `json:"cancelled,omitzero"`
	Ended     time.Time         `json:"ended,omitzero"`
}

// Outcome is the one outcome of a line.
type Outcome struct {
	Line     int           `json:"line"` // counted from 1, blank ones left out
	CustomID string        `json:"custom_id"`
	Outcome  string        `json:"outcome"` // served, refused or failed
	Response *Response     `json:"response"`
	Error    *OutcomeError `json:"error"`
	Attempts int           `json:"tries"`
}

// Response is the answer to a line that was served.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// OutcomeError says why a line was not served.
type OutcomeError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// The outcomes of a line.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
)

// contentID names a team's content: the same content from the same team is the same file, and the same job.
func contentID(team string, sum []byte) string {
	h := sha256.Sum256(append([]byte(team+"\x00"), sum...))
	return hex.EncodeToString(h[:16])
}

// apiError is an error that the API's caller can do something about.
type apiError struct {
	status        int
	code, message string
	param         string
	retryAfter    time.Duration
	allowMethod   string
}

func (p *apiError) Error() string { return p.message }

// storeUpload takes an upload in: it is written to the spool while it is hashed, checked, and kept under its hash.
func (s *Service) storeUpload(t *team, name string, r io.Reader) (fileRecord, error) {
	dir := filepath.Join(s.cfg.Spool, t.Team)
	tmp, err := os.CreateTemp(dir, "upload-*")
	if err != nil {
		return fileRecord{}, err
	}
	defer os.Remove(tmp.Name())
	defer tmp.Close()
	sum := sha256.New()
	n, err := io.Copy(io.MultiWriter(tmp, sum), io.LimitReader(r, s.limits.BatchFileBytes+1))
	if err != nil {
		return fileRecord{}, &apiError{status: 400, code: "broken_upload", message: "the upload broke off"}
	}
	if n > s.limits.BatchFileBytes {
		return fileRecord{}, &apiError{
			status: 413, code: "file_too_large",
			message: fmt.Sprintf("a file may hold %d bytes", s.limits.BatchFileBytes),
		}
	}
	if _, err := tmp.Seek(0, io.SeekStart); err != nil {
		return fileRecord{}, err
	}
	rec := fileRecord{ID: contentID(t.Team, sum.Sum(nil)), Name: name, Bytes: n, Uploaded: s.wallTime()}
	seen := map[string]int{}
	spans, err := indexItems(tmp, s.limits.BatchItemBytes, func(at int, text []byte) error {
		if at > t.MaxItems {
			return &apiError{status: 413, code: "too_many_lines", message: fmt.Sprintf("a file of this team may hold %d lines", t.MaxItems)}
		}
		l, q, _, err := parseItem(text, &t.Contract)
		if first := seen[l.CustomID]; first != 0 && l.CustomID != "" {
			return &apiError{
				status: 400, code: "duplicate_custom_id", param: "file",
				message: fmt.Sprintf("lines %d and %d have the same custom_id %q", first, at, l.CustomID),
			}
		}
		seen[l.CustomID] = at
		if err == nil {
			rec.Tokens += int64(q.PromptTokens + q.MaxTokens)
		}
		return nil
	})
	if err != nil {
		return fileRecord{}, err
	}
	if rec.Lines = len(spans); rec.Lines == 0 {
		return fileRecord{}, &apiError{status: 400, code: "empty_file", param: "file", message: "the file has no lines"}
	}
	return s.commitUpload(dir, tmp, rec)
}

// commitUpload moves an upload that was checked to its place, if it is not there yet.
func (s *Service) commitUpload(dir string, tmp *os.File, rec fileRecord) (fileRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	home := filepath.Join(dir, rec.ID)
	var old fileRecord
	if readJSON(filepath.Join(home, fileName), &old) == nil {
		return old, nil
	}
	if err := os.MkdirAll(home, 0o755); err != nil {
		return fileRecord{}, err
	}
	if err := tmp.Sync(); err != nil {
		return fileRecord{}, err
	}
	if err := os.Rename(tmp.Name(), filepath.Join(home, inputName)); err != nil {
		return fileRecord{}, err
	}
	return rec, writeJSON(filepath.Join(home, fileName), rec) // last: it is what makes the file known
}

func readJSON(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// writeJSON replaces a file as a whole, so that a crash leaves the old one or the new one.
func writeJSON(path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return replaceFile(path, func(w io.Writer) error { _, err := w.Write(b); return err })
}

func replaceFile(path string, fill func(io.Writer) error) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), "new-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	w := bufio.NewWriter(tmp)
	err = errors.Join(fill(w), w.Flush(), tmp.Sync(), tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}

// readOutcomes reads the outcomes of a job as far as they were written whole, and cuts off what was not: a
// program that died while it wrote leaves half a line, whose request then counts as not done.
func readOutcomes(path string, visit func(o *Outcome, at span)) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	br := bufio.NewReader(f)
	var at int64
	for {
		text, err := br.ReadBytes('\n')
		var o Outcome
		if err != nil || json.Unmarshal(text, &o) != nil {
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			return f.Truncate(at)
		}
		visit(&o, span{at, len(text)})
		at += int64(len(text))
	}
}

// writeResult writes a job's result file: its outcomes in the order of the input's lines.
func writeResult(dir string) error {
	path := filepath.Join(dir, outcomesName)
	type place struct {
		line int
		span
	}
	var places []place
	if err := readOutcomes(path, func(o *Outcome, at span) { places = append(places, place{o.Line, at}) }); err != nil {
		return err
	}
	slices.SortFunc(places, func(x, y place) int { return x.line - y.line })
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return replaceFile(filepath.Join(dir, resultName), func(w io.Writer) error {
		for _, p := range places {
			if _, err := io.Copy(w, io.NewSectionReader(f, p.offset, int64(p.size))); err != nil {
				return err
			}
		}
		return nil
	})
}

// readItemText reads one line of an input file; one that is too long is nil.
func readItemText(f *os.File, s span, most int) ([]byte, error) {
	if s.size > most+1 {
		return nil, nil
	}
	b := make([]byte, s.size)
	if _, err := f.ReadAt(b, s.offset); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(b), nil
}

// removeTemporaryFiles removes what an upload or a write left half done.
func removeTemporaryFiles(dir string) {
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), "upload-") || strings.HasPrefix(e.Name(), "new-") {
			_ = os.Remove(filepath.Join(dir, e.Name())) // it stays for the next start, and is no harm
		}
	}
}
