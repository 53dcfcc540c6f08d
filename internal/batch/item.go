package batch

import (
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

// item is one line of an input file that has been read and has no outcome yet.
type item struct {
	service     *Service
	job         *job
	index       int // in the input file, starting at 0, without blank lines
	customID    string
	body        []byte
	request     policy.Request
	class       *policy.Class // in the pool of the latest attempt
	deadline    time.Duration // no attempt starts after it
	attempts    int           // number of attempts so far
	awaitsRetry bool          // a reminder for the next attempt is pending
	attempt     *attempt      // the attempt in flight, or nil
}

// Due makes the item ready for its next attempt. The dispatcher calls it when the reminder of an item that awaits a retry expires.
func (it *item) Due() {
	it.service.mu.Lock()
	defer it.service.mu.Unlock()
	if it.awaitsRetry {
		it.awaitsRetry = false
		it.job.ready = append(it.job.ready, it)
		it.service.wakeScheduler()
	}
}

// withdraw cancels an item's attempt in flight or its pending retry.
func (s *Service) withdraw(it *item) {
	it.awaitsRetry = false
	if a := it.attempt; a != nil {
		it.attempt = nil
		it.job.team.inFlight--
		s.post(dispatch.ClientLeft{Client: a})
	}
	delete(it.job.started, it.index)
}
