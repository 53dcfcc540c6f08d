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

// schedule cancels the items of cancelled jobs and submits all items that the teams' windows allow. Service.mu is held.
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

// nextItem returns the next item of a team: of its oldest job, and there retries before new items. It returns nil if there is none.
func (s *Service) nextItem(t *team) *item {
	for _, j := range slices.Clone(t.queue) {
		if len(j.ready) > 0 {
			it := j.ready[0]
			j.ready = j.ready[1:]
			return it
		}
		for j.err == nil && j.nextIndex < len(j.spans) {
			n := j.nextIndex
			j.nextIndex++
			if j.done[n] {
				continue
			}
			if it := s.readItem(j, n); it != nil {
				return it
			}
		}
	}
	return nil
}

// readItem reads an item from the input file. An invalid one gets its outcome at once, and nil is returned.
func (s *Service) readItem(j *job, n int) *item {
	err := j.openFiles()
	var text []byte
	if err == nil {
		text, err = readItemText(j.input, j.spans[n], s.limits.BatchItemBytes)
	}
	if err != nil {
		s.suspendJob(j, err)
		return nil
	}
	if text == nil {
		s.recordOutcome(j, n, &Outcome{Outcome: outcomeFailed, Error: &OutcomeError{"line_too_long", "the line is too long"}})
		return nil
	}
	in, q, body, err := parseItem(text, &j.team.Contract)
	if err == nil && len(body) > s.limits.BodyBytes {
		err = errors.New("body is too large")
	}
	if err != nil {
		s.recordOutcome(j, n, &Outcome{CustomID: in.CustomID, Outcome: outcomeFailed, Error: &OutcomeError{"invalid_line", err.Error()}})
		return nil
	}
	q.Session = fingerprint([]byte(j.record.ID), []byte(in.CustomID))
	it := &item{
		service: s, job: j, index: n, customID: in.CustomID, body: body, request: q, deadline: s.now() + time.Duration(j.team.ItemDeadline),
	}
	j.started[n] = it
	return it
}

// submit makes an attempt at an item and posts it to the dispatcher as a request.
func (s *Service) submit(it *item) {
	now := s.now()
	p, err := s.selectPool(it)
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
	s.post(dispatch.RequestReceived{Client: it.attempt, Pool: p.ID, ReceivedAt: now, Request: it.request, Origin: s.origin(it)})
}

// selectPool finds the pool that an item goes to, by the service of its contract or by its route, and sets the item's class.
func (s *Service) selectPool(it *item) (*directory.Pool, error) {
	dir, className := s.directory(), it.job.record.Class
	target := dir.BatchTarget(it.job.team.Service, className)
	if target == nil {
		return nil, errors.New("no route takes the line, or its service is gone")
	}
	p := dir.PoolFor(target, it.request.Session)
	n, ok := p.ClassIndex(className)
	if !ok {
		return nil, fmt.Errorf("pool %q has no class %q", p.Name, className)
	}
	it.class, it.request.Class = &p.Classes[n], n
	return p, nil
}

// origin returns the trace of an item, or nil without tracing. All attempts at an item share one trace, across restarts as well.
func (s *Service) origin(it *item) *trace.Origin {
	if !s.isTracing {
		return nil
	}
	o := &trace.Origin{Front: "batch", Team: it.job.team.Team, CallID: it.attempt.request.CallID, Retry: it.attempts > 1}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", it.job.record.ID, it.index))
	copy(o.Trace[:], sum[:])
	return o
}
