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
	rec      jobRecord
	file     fileRecord
	team     *team
	dir      string
	input    *os.File
	outcomes *os.File // appended to
	spans    []span
	done     []bool
	left     int // lines without an outcome
	next     int // first line that was not looked at in this run of the program
	ready    []*try
	trying   map[int]*try
	err      error // why it is stalled

	counts  map[string]int
	ends    []lineEnd     // in their order, for the feed; at the job's end they are in its notes only
	changed chan struct{} // closed when there is news
}

// lineEnd is what the feed tells of a line's outcome.
type lineEnd struct {
	Line     int    `json:"line"`
	CustomID string `json:"custom_id"`
	Outcome  string `json:"outcome"`
	Code     string `json:"code,omitempty"`
}

// open reads a job from its folder.
func (d *Desk) open(t *team, dir string, rec jobRecord) (j *job, err error) {
	j = &job{
		rec: rec, team: t, dir: dir, trying: map[int]*try{}, counts: map[string]int{}, changed: make(chan struct{}),
	}
	defer func() {
		if err != nil {
			j.close()
		}
	}()
	if err := readJSON(filepath.Join(dir, fileName), &j.file); err != nil {
		return nil, err
	}
	j.done, j.left = make([]bool, j.file.Lines), j.file.Lines
	twice := 0
	err = outcomes(filepath.Join(dir, outcomesName), func(o *Outcome, _ span) {
		if o.Line < 1 || o.Line > len(j.done) || j.done[o.Line-1] {
			twice++
			return
		}
		j.count(o)
	})
	if err == nil && twice > 0 {
		err = fmt.Errorf("%s: %d outcomes for lines that have one, or that there are not", dir, twice)
	}
	if err != nil || !rec.Ended.IsZero() {
		j.shrink()
		return j, err
	}
	input, err := os.Open(filepath.Join(dir, inputName))
	if err != nil {
		return nil, err
	}
	defer input.Close()
	j.spans, err = index(input, d.lim.BatchItemBytes, func(int, []byte) error { return nil })
	if err == nil && len(j.spans) != len(j.done) {
		err = errors.New(dir + ": the input file has changed")
	}
	if err != nil {
		return nil, err
	}
	if j.left == 0 { // it stopped between its last line and its end
		err = d.finish(j)
	}
	return j, err
}

// use opens the job's files. Until its first line is begun a job holds no descriptor.
func (j *job) use() (err error) {
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

// count notes an outcome that is written down.
func (j *job) count(o *Outcome) {
	j.done[o.Line-1] = true
	j.left--
	j.counts[o.Outcome]++
	j.ends = append(j.ends, o.end())
	j.tell()
}

// end is what the feed tells of an outcome.
func (o *Outcome) end() lineEnd {
	e := lineEnd{Line: o.Line, CustomID: o.CustomID, Outcome: o.Outcome}
	if o.Error != nil {
		e.Code = o.Error.Code
	}
	return e
}

// tell wakes those who follow the job's feed.
func (j *job) tell() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// shrink drops what only a job at work needs; there may be very many that have ended.
func (j *job) shrink() { j.done, j.spans, j.ends, j.ready, j.trying = nil, nil, nil, nil, nil }

func (j *job) leave() {
	j.team.queue = slices.DeleteFunc(j.team.queue, func(other *job) bool { return other == j })
}

func (j *job) close() {
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
	var l line
	if j.use() != nil {
		return ""
	}
	text, err := readLine(j.input, j.spans[n], most)
	if err != nil || json.Unmarshal(text, &l) != nil {
		return ""
	}
	return l.CustomID
}

// status is the public API's word for where a job is.
func (j *job) status() string {
	switch {
	case !j.rec.Ended.IsZero() && !j.rec.Cancelled.IsZero():
		return "cancelled"
	case !j.rec.Ended.IsZero():
		return "completed"
	case j.err != nil:
		return "failed"
	case !j.rec.Cancelled.IsZero():
		return "cancelling"
	}
	return "in_progress"
}
