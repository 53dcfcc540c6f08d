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
	desk  *Desk
	try   *try
	order upstream.Request
	got   collector
	safe  bool // the line may be run again whole
}

// end is how an attempt ended.
type end struct {
	kind         int
	retryAfter   time.Duration
	code, reason string
	body         json.RawMessage
}

const (
	endServed = iota
	endRefused
	endFailed
	endBroken // a stream that broke; the line may be tried again whole
)

func newAttempt(d *Desk, w *try) *attempt {
	return &attempt{
		desk: d, try: w, safe: w.class.Effect == policy.EffectSafe, got: collector{most: d.lim.BatchResponseBytes},
		order: upstream.Request{
			Method: "POST", Target: endpoint, Host: directory.BatchHost, CallID: fmt.Sprintf("%016x", rand.Uint64()),
			ContentType: "application/json", Body: w.body,
		},
	}
}

// UpstreamRequest implements upstream.Downstream.
func (a *attempt) UpstreamRequest() *upstream.Request { return &a.order }

// WriteBody implements upstream.Downstream: what comes is collected.
func (a *attempt) WriteBody(events []byte) error {
	err := a.got.add(events)
	if errors.Is(err, errAnswerTooLong) {
		a.desk.ended(a, end{kind: endFailed, code: "answer_too_long", reason: err.Error()})
	}
	return err
}

// Finish implements upstream.Downstream.
func (a *attempt) Finish(whole bool) error {
	switch {
	case whole:
		a.desk.ended(a, end{kind: endServed, body: a.got.answer()})
	case a.safe:
		a.desk.ended(a, end{kind: endBroken})
	default:
		a.desk.ended(a, end{kind: endFailed, code: "broken", reason: "the answer broke off"})
	}
	return nil
}

// Reject is the broker's final answer that serves nothing.
func (a *attempt) Reject(why dispatch.Verdict, retryAfter time.Duration) {
	if why != dispatch.VerdictRejected {
		a.desk.ended(a, end{kind: endFailed, code: "timed_out", reason: "not served in time"})
		return
	}
	a.desk.ended(a, end{kind: endRefused, retryAfter: retryAfter})
}
