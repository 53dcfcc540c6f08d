package batch

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// Outcome is the outcome of an item, as it stands in the spool and in result files.
type Outcome struct {
	Line     int           `json:"line"` // of the item in its file, from 1, blank lines left out
	CustomID string        `json:"custom_id"`
	Outcome  string        `json:"outcome"` // served, refused or failed
	Response *Response     `json:"response"`
	Error    *OutcomeError `json:"error"`
	Attempts int           `json:"tries"`
}

// Response is the response to an item that was served.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// OutcomeError says why an item was not served.
type OutcomeError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// The values of Outcome.Outcome.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
)

// itemEvent is the event of an item's outcome in the event stream.
type itemEvent struct {
	Line     int    `json:"line"`
	CustomID string `json:"custom_id"`
	Outcome  string `json:"outcome"`
	Code     string `json:"code,omitempty"`
}

// event returns the outcome's event.
func (o *Outcome) event() itemEvent {
	e := itemEvent{Line: o.Line, CustomID: o.CustomID, Outcome: o.Outcome}
	if o.Error != nil {
		e.Code = o.Error.Code
	}
	return e
}

// recordOutcome appends the outcome of an item to the spool, once; it completes a job with no items remaining. A job whose files
// cannot be written is suspended.
func (s *Service) recordOutcome(j *job, n int, o *Outcome) {
	if j.done == nil || j.done[n] || j.err != nil {
		return
	}
	delete(j.started, n)
	o.Line = n + 1
	b, err := json.Marshal(o)
	if err == nil {
		err = j.openFiles()
	}
	if err == nil {
		_, err = j.outcomes.Write(append(b, '\n'))
	}
	if err != nil {
		s.suspendJob(j, err)
		return
	}
	j.addOutcome(o)
	if j.remaining > 0 {
		return
	}
	if err := s.completeJob(j); err != nil {
		s.suspendJob(j, err)
	}
}

// recordExpired records the outcome of an item that was rejected until its deadline.
func (s *Service) recordExpired(it *item) {
	s.recordOutcome(it.job, it.index, &Outcome{
		CustomID: it.customID, Outcome: outcomeRefused, Attempts: it.attempts,
		Error: &OutcomeError{"declined", "declined until the line's deadline"},
	})
}

// readOutcomes calls visit with each outcome in a file and truncates the file after the last complete one: a process that died while
// it wrote leaves an incomplete line, whose item is run again.
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

// writeResult writes a job's result file: its outcomes in the order of the input.
func writeResult(dir string) error {
	path := filepath.Join(dir, outcomesName)
	type position struct {
		line int
		span
	}
	var positions []position
	if err := readOutcomes(path, func(o *Outcome, at span) { positions = append(positions, position{o.Line, at}) }); err != nil {
		return err
	}
	slices.SortFunc(positions, func(x, y position) int { return x.line - y.line })
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return replaceFile(filepath.Join(dir, resultName), func(w io.Writer) error {
		for _, p := range positions {
			if _, err := io.Copy(w, io.NewSectionReader(f, p.offset, int64(p.size))); err != nil {
				return err
			}
		}
		return nil
	})
}
