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

// attempt is one request for an item. Packages dispatch and upstream use it as the client.
type attempt struct {
	service     *Service
	item        *item
	request     upstream.Request
	response    collector
	isRetrySafe bool // the item may be run more than once
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	kind         resultKind
	retryAfter   time.Duration   // of resultRejected; 0 = not specified
	code, reason string          // of resultFailed
	body         json.RawMessage // of resultServed
}

// resultKind is the kind of an attemptResult.
type resultKind int

// The kinds of results.
const (
	resultServed   resultKind = iota // the response is complete
	resultRejected                   // the item is retried after a delay
	resultFailed                     // the item fails
	resultBroken                     // the response is incomplete; the item is retried, since it may be run again
)

// newAttempt returns an attempt at an item, with a new call ID.
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

// WriteBody implements upstream.Downstream. It collects the events of the response.
func (a *attempt) WriteBody(events []byte) error {
	err := a.response.add(events)
	if errors.Is(err, errResponseTooLong) {
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "answer_too_long", reason: err.Error()})
	}
	return err
}

// Finish implements upstream.Downstream. It ends the attempt as served, broken or failed.
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

// Reject ends the attempt without a response, because the dispatcher rejected or abandoned the request.
func (a *attempt) Reject(verdict dispatch.Verdict, retryAfter time.Duration) {
	if verdict != dispatch.VerdictRejected {
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "timed_out", reason: "not served in time"})
		return
	}
	a.service.finishAttempt(a, attemptResult{kind: resultRejected, retryAfter: retryAfter})
}

// finishAttempt records the item's outcome or schedules a retry when an attempt ends. It ignores further calls for the same attempt, and
// calls for withdrawn attempts.
func (s *Service) finishAttempt(a *attempt, result attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := a.item
	if it.attempt != a {
		return // withdrawn or already finished
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
		t.window = max(t.window/2, 1) // so that the team's retries put less load on the engines
		s.retry(it, result.retryAfter)
	case resultBroken:
		s.retry(it, 0)
	}
	s.wakeScheduler()
}

// retry schedules the next attempt at an item after a delay; 0 means limits.BatchRetryDelay. If the item's deadline comes first, the item
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
