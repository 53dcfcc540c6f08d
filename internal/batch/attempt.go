package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// attempt is one request made for an item: the client that packages dispatch and upstream see.
type attempt struct {
	service     *Service
	item        *item
	request     upstream.Request
	response    collector
	isRetrySafe bool // the item may be run again from its start
}

// attemptResult is the end of an attempt.
type attemptResult struct {
	kind         resultKind
	retryAfter   time.Duration   // of resultRejected; 0 if none was given
	code, reason string          // of resultFailed
	body         json.RawMessage // of resultServed
}

// resultKind says how an attempt ended.
type resultKind int

// The ends of an attempt.
const (
	resultServed   resultKind = iota
	resultRejected            // retried after a delay
	resultFailed              // the item fails with it
	resultBroken              // an incomplete stream of an item that may be run again; retried as well
)

func newAttempt(s *Service, it *item) *attempt {
	return &attempt{
		service: s, item: it, isRetrySafe: it.class.Effect == policy.EffectSafe, response: collector{maxBytes: s.limits.BatchResponseBytes},
		request: upstream.Request{
			Method: "POST", Target: endpoint, Host: directory.BatchHost, CallID: fmt.Sprintf("%016x", rand.Uint64()),
			ContentType: "application/json", Body: it.body,
		},
	}
}

// UpstreamRequest implements upstream.Downstream.
func (a *attempt) UpstreamRequest() *upstream.Request { return &a.request }

// WriteBody implements upstream.Downstream: it collects the events of the response.
func (a *attempt) WriteBody(events []byte) error {
	err := a.response.add(events)
	if errors.Is(err, errResponseTooLong) {
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "answer_too_long", reason: err.Error()})
	}
	return err
}

// Finish implements upstream.Downstream.
func (a *attempt) Finish(complete bool) error {
	switch {
	case complete:
		a.service.finishAttempt(a, attemptResult{kind: resultServed, body: a.response.completion()})
	case a.isRetrySafe:
		a.service.finishAttempt(a, attemptResult{kind: resultBroken})
	default:
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "broken", reason: "the answer broke off"})
	}
	return nil
}

// Reject ends the attempt without a response: the dispatcher has rejected the request or given it up.
func (a *attempt) Reject(verdict dispatch.Verdict, retryAfter time.Duration) {
	if verdict != dispatch.VerdictRejected {
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "timed_out", reason: "not served in time"})
		return
	}
	a.service.finishAttempt(a, attemptResult{kind: resultRejected, retryAfter: retryAfter})
}

// finishAttempt handles the first end of an attempt: it records the item's outcome or schedules a retry. Later ends, and those of
// withdrawn attempts, are ignored.
func (s *Service) finishAttempt(a *attempt, result attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := a.item
	if it.attempt != a {
		return // withdrawn, or it has ended before
	}
	it.attempt = nil
	t := it.job.team
	t.inFlight--
	switch result.kind {
	case resultServed:
		t.window = min(t.window+1/t.window, float64(t.MaxConcurrent))
		s.recordOutcome(it.job, it.index, &Outcome{
			CustomID: it.customID, Outcome: outcomeServed, Attempts: it.attempts,
			Response: &Response{StatusCode: 200, RequestID: a.request.CallID, Body: result.body},
		})
	case resultFailed:
		s.recordOutcome(it.job, it.index, &Outcome{
			CustomID: it.customID, Outcome: outcomeFailed, Attempts: it.attempts,
			Error: &OutcomeError{result.code, result.reason},
		})
	case resultRejected:
		t.window = max(t.window/2, 1) // rejected items must not return at the same rate
		s.retry(it, result.retryAfter)
	case resultBroken:
		s.retry(it, 0)
	}
	s.wakeScheduler()
}

// retry schedules the next attempt at an item after a delay, by default limits.BatchRetryDelay. An item whose deadline comes first
// gets its outcome at once.
func (s *Service) retry(it *item, delay time.Duration) {
	if delay <= 0 {
		delay = s.limits.BatchRetryDelay
	}
	at := s.now() + delay
	if at >= it.deadline {
		s.recordExpired(it)
		return
	}
	it.awaitsRetry = true
	s.post(dispatch.SetReminder{At: at, Token: it})
}
