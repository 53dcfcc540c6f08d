package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// job is the state of one batch: the items of a file and their outcomes. Service.mu guards it.
type job struct {
	record    jobRecord
	file      fileRecord
	team      *team
	dir       string
	input     *os.File
	outcomes  *os.File      // opened for appending
	spans     []span        // by index of the item
	done      []bool        // whether the item has an outcome, by index
	remaining int           // items without an outcome
	nextIndex int           // index of the first item that this process has not read yet
	ready     []*item       // items that are due for a retry
	started   map[int]*item // items that were read and have no outcome, by index
	err       error         // why the job is suspended; nil if it is not

	counts  map[string]int // items by outcome
	events  []itemEvent    // in the order of the outcomes; nil for a completed job, whose events are read from disk
	changed chan struct{}  // closed and replaced when there is a new event or the job ends
}

// openJob reads a job from its directory. It completes a job whose items all have outcomes.
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
	invalid := 0
	err = readOutcomes(filepath.Join(dir, outcomesName), func(o *Outcome, _ span) {
		if o.Line < 1 || o.Line > len(j.done) || j.done[o.Line-1] {
			invalid++
			return
		}
		j.addOutcome(o)
	})
	if err == nil && invalid > 0 {
		err = fmt.Errorf("%s: %d outcomes are duplicate or of unknown items", dir, invalid)
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
	if j.remaining == 0 { // the process ended after the last outcome and before completeJob
		err = s.completeJob(j)
	}
	return j, err
}

// openFiles opens the job's files, unless they are open. A job uses no file descriptors before its first item is read.
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

// closeFiles closes the files that are open.
func (j *job) closeFiles() {
	if j.input != nil {
		_ = j.input.Close() // opened for reading only
	}
	if j.outcomes != nil {
		_ = j.outcomes.Close() // Write has reported errors, and completeJob syncs the file
	}
	j.input, j.outcomes = nil, nil
}

// addOutcome updates the job's state for an outcome that has been written to the spool.
func (j *job) addOutcome(o *Outcome) {
	j.done[o.Line-1] = true
	j.remaining--
	j.counts[o.Outcome]++
	j.events = append(j.events, o.event())
	j.notify()
}

// notify wakes the event streams of the job.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// releaseState frees the state that only an unfinished job needs, since a team may have many completed jobs.
func (j *job) releaseState() { j.done, j.spans, j.events, j.ready, j.started = nil, nil, nil, nil, nil }

// dequeue removes the job from its team's queue.
func (j *job) dequeue() {
	j.team.queue = slices.DeleteFunc(j.team.queue, func(other *job) bool { return other == j })
}

// customID reads the custom_id of an item from the input file. It returns "" if the file cannot be read or the line is invalid.
func (j *job) customID(index, maxBytes int) string {
	var in itemInput
	if j.openFiles() != nil {
		return ""
	}
	text, err := readItemText(j.input, j.spans[index], maxBytes)
	if err != nil || json.Unmarshal(text, &in) != nil {
		return ""
	}
	return in.CustomID
}

// status returns the status of the job in the API.
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

// completeJob writes the result file of a job whose items all have outcomes, records the end of the job and frees its resources.
func (s *Service) completeJob(j *job) error {
	if err := j.openFiles(); err != nil {
		return err
	}
	if err := errors.Join(j.outcomes.Sync(), writeResult(j.dir)); err != nil {
		return err
	}
	j.record.Ended = s.wallTime()
	if err := writeJSON(filepath.Join(j.dir, jobName), j.record); err != nil {
		return err
	}
	j.closeFiles()
	j.dequeue()
	j.releaseState()
	j.notify()
	return nil
}

// suspendJob withdraws all items of a job whose files cannot be read or written. The job resumes at the next start of the process.
func (s *Service) suspendJob(j *job, err error) {
	s.log.Error("batch suspended", "batch", j.record.ID, "err", err)
	j.err = err
	for _, it := range j.started {
		s.withdraw(it)
	}
	j.dequeue()
	j.notify()
}

// cancelItems withdraws the started items and records all remaining items as cancelled.
func (s *Service) cancelItems(j *job) {
	attempts := map[int]int{}
	for _, it := range j.started {
		attempts[it.index] = it.attempts
		s.withdraw(it)
	}
	j.ready = nil
	done := j.done // stays usable when completeJob sets j.done to nil
	for n := range done {
		if !done[n] {
			s.recordOutcome(j, n, &Outcome{
				CustomID: j.customID(n, s.limits.BatchItemBytes), Outcome: outcomeFailed, Attempts: attempts[n],
				Error: &OutcomeError{"cancelled", "the batch was cancelled"},
			})
		}
	}
}
