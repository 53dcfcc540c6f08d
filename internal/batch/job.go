package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// job is a batch: every line of a file, and its outcome. The desk's lock guards it.
type job struct {
	record    jobRecord
	file      fileRecord
	team      *team
	dir       string
	input     *os.File
	outcomes  *os.File // appended to
	spans     []span
	done      []bool
	remaining int // lines without an outcome
	nextIndex int // first line that was not looked at in this run of the program
	ready     []*item
	started   map[int]*item
	err       error // why it is stalled

	counts  map[string]int
	events  []itemEvent   // in their order, for the feed; at the job's end they are in its notes only
	changed chan struct{} // closed when there is news
}

// itemEvent is what the feed tells of a line's outcome.
type itemEvent struct {
	Line     int    `json:"line"`
	CustomID string `json:"custom_id"`
	Outcome  string `json:"outcome"`
	Code     string `json:"code,omitempty"`
}

// openJob reads a job from its folder.
func (s *Service) openJob(t *team, dir string, rec jobRecord) (j *job, err error) {
	j = &job{
		record: rec, team: t, dir: dir, started: map[int]*item{}, counts: map[string]int{}, changed: make(chan struct{}),
	}
	defer func() {
		if err != nil {
			j.closeFiles()
		}
	}()
	if err := readJSON(filepath.Join(dir, fileName), &j.file); err != nil {
		return nil, err
	}
	j.done, j.remaining = make([]bool, j.file.Lines), j.file.Lines
	twice := 0
	err = readOutcomes(filepath.Join(dir, outcomesName), func(o *Outcome, _ span) {
		if o.Line < 1 || o.Line > len(j.done) || j.done[o.Line-1] {
			twice++
			return
		}
		j.addOutcome(o)
	})
	if err == nil && twice > 0 {
		err = fmt.Errorf("%s: %d outcomes for lines that have one, or that there are not", dir, twice)
	}
	if err != nil || !rec.Ended.IsZero() {
		j.releaseState()
		return j, err
	}
	input, err := os.Open(filepath.Join(dir, inputName))
	if err != nil {
		return nil, err
	}
	defer input.Close()
	j.spans, err = indexItems(input, s.limits.BatchItemBytes, func(int, []byte) error { return nil })
	if err == nil && len(j.spans) != len(j.done) {
		err = errors.New(dir + ": the input file has changed")
	}
	if err != nil {
		return nil, err
	}
	if j.remaining == 0 { // it stopped between its last line and its end
		err = s.completeJob(j)
	}
	return j, err
}

// openFiles opens the job's files. Until its first line is begun a job holds no descriptor.
func (j *job) openFiles() (err error) {
	if j.input == nil {
		if j.input, err = os.Open(filepath.Join(j.dir, inputName)); err != nil {
			return err
		}
	}
	if j.outcomes == nil {
		j.outcomes, err = os.OpenFile(filepath.Join(j.dir, outcomesName), os.O_APPEND|os.O_WRONLY, 0o644)
	}
	return err
}

// addOutcome notes an outcome that is written down.
func (j *job) addOutcome(o *Outcome) {
	j.done[o.Line-1] = true
	j.remaining--
	j.counts[o.Outcome]++
	j.events = append(j.events, o.event())
	j.notify()
}

// event is what the feed tells of an outcome.
func (o *Outcome) event() itemEvent {
	e := itemEvent{Line: o.Line, CustomID: o.CustomID, Outcome: o.Outcome}
	if o.Error != nil {
		e.Code = o.Error.Code
	}
	return e
}

// notify wakes those who follow the job's feed.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// releaseState drops what only a job at work needs; there may be very many that have ended.
func (j *job) releaseState() { j.done, j.spans, j.events, j.ready, j.started = nil, nil, nil, nil, nil }

func (j *job) dequeue() {
	j.team.queue = slices.DeleteFunc(j.team.queue, func(other *job) bool { return other == j })
}

func (j *job) closeFiles() {
	if j.input != nil {
		_ = j.input.Close() // it was only read
	}
	if j.outcomes != nil {
		_ = j.outcomes.Close() // Write told whether they are kept; at the job's end they are synced
	}
	j.input, j.outcomes = nil, nil
}

// customID reads the custom_id of a line, as far as it has one.
func (j *job) customID(n, most int) string {
	var l itemInput
	if j.openFiles() != nil {
		return ""
	}
	text, err := readItemText(j.input, j.spans[n], most)
	if err != nil || json.Unmarshal(text, &l) != nil {
		return ""
	}
	return l.CustomID
}

// status is the public API's word for where a job is.
func (j *job) status() string {
	switch {
	case !j.record.Ended.IsZero() && !j.record.Cancelled.IsZero():
		return "cancelled"
	case !j.record.Ended.IsZero():
		return "completed"
	case j.err != nil:
		return "failed"
	case !j.record.Cancelled.IsZero():
		return "cancelling"
	}
	return "in_progress"
}
