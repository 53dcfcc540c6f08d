package batch

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"
)

// createJob creates a job from an uploaded file, or returns the existing job of that file. Invalid calls return an *apiError.
func (s *Service) createJob(t *team, fileID, class string, metadata map[string]string) (*job, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if class == "" {
		class = t.Classes[0]
	}
	if !slices.Contains(t.Classes, class) {
		return nil, &apiError{
			status: 400, code: "unknown_class", param: "metadata.class",
			message: fmt.Sprintf("class %q is not in the contract", class),
		}
	}
	dir := filepath.Join(s.cfg.Spool, t.Team, fileID)
	var file fileRecord
	if !isPlainName(fileID) || readJSON(filepath.Join(dir, fileName), &file) != nil {
		return nil, &apiError{status: 404, code: "no_such_file", param: "input_file_id", message: "no such file"}
	}
	if existing := t.jobs[fileID]; existing != nil {
		if existing.record.Class != class {
			return nil, &apiError{
				status: 409, code: "other_batch", param: "metadata.class",
				message: "this file is a batch already, of class " + existing.record.Class,
			}
		}
		return existing, nil
	}
	now := s.wallTime()
	if err := s.admit(t, file, now); err != nil {
		return nil, err
	}
	rec := jobRecord{ID: fileID, FileID: fileID, Class: class, Metadata: metadata, Created: now}
	if err := writeJSON(filepath.Join(dir, jobName), rec); err != nil {
		return nil, err
	}
	j, err := s.openJob(t, dir, rec)
	if err != nil {
		return nil, err
	}
	t.jobs[fileID] = j
	t.queue = append(t.queue, j)
	s.wakeScheduler()
	return j, nil
}

// admit checks that a team may create a job from a file now: the service is not stopping, and the limit of unfinished jobs and the
// token budget allow it.
func (s *Service) admit(t *team, file fileRecord, now time.Time) error {
	if s.isStopping {
		return &apiError{status: 503, code: "stopping", message: "the router is stopping"}
	}
	if len(t.queue) >= s.limits.BatchJobsPerTeam {
		return &apiError{
			status: 429, code: "too_many_batches", message: "too many unfinished batches of this team",
			retryAfter: s.limits.BatchRetryDelay,
		}
	}
	remaining, renewal := t.budget(now)
	if file.Tokens <= remaining {
		return nil
	}
	e := &apiError{
		status: 429, code: "budget_spent",
		message: fmt.Sprintf("the file needs %d tokens; %d are left of the budget", file.Tokens, max(remaining, 0)),
	}
	if file.Tokens <= t.BudgetTokens {
		e.retryAfter = renewal
	}
	return e
}

// budget returns the remaining tokens of the team's budget, and the time until the oldest job in the period no longer counts.
func (t *team) budget(now time.Time) (remaining int64, renewal time.Duration) {
	period := time.Duration(t.BudgetPeriod)
	remaining, renewal = t.BudgetTokens, period
	for _, j := range t.jobs {
		if age := now.Sub(j.record.Created); age < period {
			remaining -= j.file.Tokens
			renewal = min(renewal, period-age)
		}
	}
	return remaining, renewal
}

// cancelJob records the cancellation of a job. The scheduler then cancels its items.
func (s *Service) cancelJob(j *job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !j.record.Ended.IsZero() {
		return &apiError{status: 409, code: "batch_ended", message: "the batch has ended"}
	}
	if j.record.Cancelled.IsZero() {
		rec := j.record
		rec.Cancelled = s.wallTime()
		if err := writeJSON(filepath.Join(j.dir, jobName), rec); err != nil {
			return err
		}
		j.record.Cancelled = rec.Cancelled
		s.wakeScheduler()
	}
	return nil
}
