package batch

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
)

// schedule cancels the items of cancelled jobs and submits all items that the teams' windows allow. The caller holds Service.mu.
func (s *Service) schedule() {
	for _, t := range s.teams {
		for _, j := range slices.Clone(t.queue) {
			if !j.record.Cancelled.IsZero() {
				s.cancelItems(j)
			}
		}
		for !s.isStopping && t.inFlight < int(t.window) {
			it := s.nextItem(t)
			if it == nil {
				break
			}
			s.submit(it)
		}
	}
}

// nextItem returns the next item of a team, or nil. Older jobs come first and, within a job, retries before new items.
func (s *Service) nextItem(t *team) *item {
	for _, j := range slices.Clone(t.queue) {
		if len(j.ready) > 0 {
			it := j.ready[0]
			j.ready = j.ready[1:]
			return it
		}
		for j.err == nil && j.nextIndex < len(j.spans) {
			index := j.nextIndex
			j.nextIndex++
			if j.done[index] {
				continue
			}
			if it := s.readItem(j, index); it != nil {
				return it
			}
		}
	}
	return nil
}

// readItem reads an item from the input file. It returns nil if the file cannot be read, which suspends the job, or if the item is
// invalid, which records its outcome.
func (s *Service) readItem(j *job, itemIndex int) *item {
	err := j.openFiles()
	var text []byte
	if err == nil {
		text, err = readItemText(j.input, j.spans[itemIndex], s.limits.BatchItemBytes)
	}
	if err != nil {
		s.suspendJob(j, err)
		return nil
	}
	if text == nil {
		s.recordOutcome(j, itemIndex, &Outcome{Outcome: outcomeFailed, Error: &OutcomeError{"line_too_long", "the line is too long"}})
		return nil
	}
	in, policyRequest, body, err := parseItem(text, &j.team.Contract)
	if err == nil && len(body) > s.limits.BodyBytes {
		err = errors.New("body is too large")
	}
	if err != nil {
		s.recordOutcome(j, itemIndex, &Outcome{CustomID: in.CustomID, Outcome: outcomeFailed, Error: &OutcomeError{"invalid_line", err.Error()}})
		return nil
	}
	policyRequest.Session = fingerprint([]byte(j.record.ID), []byte(in.CustomID))
	it := &item{
		service: s, job: j, index: itemIndex, customID: in.CustomID, body: body, request: policyRequest, deadline: s.now() + time.Duration(j.team.ItemDeadline),
	}
	j.started[itemIndex] = it
	return it
}

// submit starts an attempt at an item by posting it to the dispatcher as a request.
func (s *Service) submit(it *item) {
	now := s.now()
	pool, err := s.selectPool(it)
	if err != nil { // the configuration has changed since the job was created
		s.recordOutcome(it.job, it.index, &Outcome{
			CustomID: it.customID, Outcome: outcomeFailed, Attempts: it.attempts,
			Error: &OutcomeError{"no_route", err.Error()},
		})
		return
	}
	it.request.Timeout = min(it.class.Deadline, it.deadline-now)
	if it.request.Timeout <= 0 {
		s.recordExpired(it)
		return
	}
	it.attempts++
	it.attempt = newAttempt(s, it)
	it.job.team.inFlight++
	s.post(dispatch.RequestReceived{Client: it.attempt, Pool: pool.ID, ReceivedAt: now, Request: it.request, Origin: s.origin(it)})
}

// selectPool returns the pool for an item, determined by the service of its contract or by its route, and sets the item's class.
func (s *Service) selectPool(it *item) (*directory.Pool, error) {
	dir, className := s.directory(), it.job.record.Class
	target := dir.BatchTarget(it.job.team.Service, className)
	if target == nil {
		return nil, errors.New("no route takes the line, or its service is gone")
	}
	pool := dir.PoolFor(target, it.request.Session)
	classIndex, ok := pool.ClassIndex(className)
	if !ok {
		return nil, fmt.Errorf("pool %q has no class %q", pool.Name, className)
	}
	it.class, it.request.Class = &pool.Classes[classIndex], classIndex
	return pool, nil
}

// origin returns the trace origin of an item's attempt, or nil if tracing is off. The trace ID depends only on the job and the item, so
// that all attempts at an item belong to one trace, also across restarts.
func (s *Service) origin(it *item) *trace.Origin {
	if !s.isTracing {
		return nil
	}
	o := &trace.Origin{Frontend: "batch", Team: it.job.team.Team, CallID: it.attempt.request.CallID, Retry: it.attempts > 1}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", it.job.record.ID, it.index))
	copy(o.Trace[:], sum[:])
	return o
}
