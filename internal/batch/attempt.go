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

// attempt is one authorisation made for a line: the acquirer that the broker and the legs see.
type attempt struct {
	service     *Service
	item        *item
	request     upstream.Request
	response    collector
	isRetrySafe bool // the line may be run again whole
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	kind         int
	retryAfter   time.Duration
	code, reason string
	body         json.RawMessage
}

const (
	resultServed = iota
	resultRejected
	resultFailed
	resultBroken // a stream that broke; the line may be tried again whole
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

// WriteBody implements upstream.Downstream: what comes is collected.
func (a *attempt) WriteBody(events []byte) error {
	err := a.response.add(events)
	if errors.Is(err, errResponseTooLong) {
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "answer_too_long", reason: err.Error()})
	}
	return err
}

// Finish implements upstream.Downstream.
func (a *attempt) Finish(whole bool) error {
	switch {
	case whole:
		a.service.finishAttempt(a, attemptResult{kind: resultServed, body: a.response.completion()})
	case a.isRetrySafe:
		a.service.finishAttempt(a, attemptResult{kind: resultBroken})
	default:
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "broken", reason: "the answer broke off"})
	}
	return nil
}

// Reject is the broker's final answer that serves nothing.
func (a *attempt) Reject(why dispatch.Verdict, retryAfter time.Duration) {
	if why != dispatch.VerdictRejected {
		a.service.finishAttempt(a, attemptResult{kind: resultFailed, code: "timed_out", reason: "not served in time"})
		return
	}
	a.service.finishAttempt(a, attemptResult{kind: resultRejected, retryAfter: retryAfter})
}
