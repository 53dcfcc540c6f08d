package batch

import (
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

// item is one line of an input file that was read and has no outcome yet.
type item struct {
	service     *Service
	job         *job
	index       int // in the input file, from 0, blank lines left out
	customID    string
	body        []byte
	request     policy.Request
	class       *policy.Class // in the pool of its latest attempt
	deadline    time.Duration // after which there are no more attempts
	attempts    int           // so far
	awaitsRetry bool          // its reminder is pending
	attempt     *attempt      // in flight; nil if there is none
}

// Due makes the item ready for its next attempt. The dispatcher calls it when the reminder of a rejected item expires.
func (it *item) Due() {
	it.service.mu.Lock()
	defer it.service.mu.Unlock()
	if it.awaitsRetry {
		it.awaitsRetry = false
		it.job.ready = append(it.job.ready, it)
		it.service.wakeScheduler()
	}
}

// withdraw cancels the attempt in flight or the pending retry of an item.
func (s *Service) withdraw(it *item) {
	it.awaitsRetry = false
	if a := it.attempt; a != nil {
		it.attempt = nil
		it.job.team.inFlight--
		s.post(dispatch.ClientLeft{Client: a})
	}
	delete(it.job.started, it.index)
}
