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

// Outcome is the outcome of an item. Its JSON is one line of the spool's outcomes file and of the result file.
type Outcome struct {
	Line     int           `json:"line"` // number of the item in its file, starting at 1, without blank lines
	CustomID string        `json:"custom_id"`
	Outcome  string        `json:"outcome"` // served, refused or failed
	Response *Response     `json:"response"`
	Error    *OutcomeError `json:"error"`
	Attempts int           `json:"tries"`
}

// Response is the response of a served item.
type Response struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// OutcomeError states why an item was not served.
type OutcomeError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// The values of Outcome.Outcome.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused" // rejected until the item's deadline
	outcomeFailed  = "failed"
)

// itemEvent is the event for an item's outcome in the event stream.
type itemEvent struct {
	Line     int    `json:"line"`
	CustomID string `json:"custom_id"`
	Outcome  string `json:"outcome"`
	Code     string `json:"code,omitempty"`
}

// event returns the event for the outcome.
func (o *Outcome) event() itemEvent {
	e := itemEvent{Line: o.Line, CustomID: o.CustomID, Outcome: o.Outcome}
	if o.Error != nil {
		e.Code = o.Error.Code
	}
	return e
}

// recordOutcome appends the outcome of an item to the spool, unless the item has one. It completes the job if no items remain, and
// suspends it if its files cannot be written.
func (s *Service) recordOutcome(j *job, index int, o *Outcome) {
	if j.done == nil || j.done[index] || j.err != nil {
		return
	}
	delete(j.started, index)
	o.Line = index + 1
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

// recordExpired records the outcome of an item that was not served before its deadline.
func (s *Service) recordExpired(it *item) {
	s.recordOutcome(it.job, it.index, &Outcome{
		CustomID: it.customID, Outcome: outcomeRefused, Attempts: it.attempts,
		Error: &OutcomeError{"declined", "declined until the line's deadline"},
	})
}

// readOutcomes calls visit with each outcome in a file and its position, and truncates the file after the last complete outcome. A
// process that dies during a write leaves an incomplete line, whose item is run again.
func readOutcomes(path string, visit func(o *Outcome, position span)) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	br := bufio.NewReader(f)
	var offset int64
	for {
		text, err := br.ReadBytes('\n')
		var o Outcome
		if err != nil || json.Unmarshal(text, &o) != nil {
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			return f.Truncate(offset)
		}
		visit(&o, span{offset, len(text)})
		offset += int64(len(text))
	}
}

// writeResult writes a job's result file, which has the outcomes in the order of the input.
func writeResult(dir string) error {
	path := filepath.Join(dir, outcomesName)
	type position struct {
		line int
		span
	}
	var positions []position
	if err := readOutcomes(path, func(o *Outcome, where span) { positions = append(positions, position{o.Line, where}) }); err != nil {
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
