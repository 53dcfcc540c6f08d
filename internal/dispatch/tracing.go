package dispatch

import (
	"time"

	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// handleTraceEvent passes an event on to the trace recorder, if there is one.
func (d *Dispatcher) handleTraceEvent(e Event) {
	if d.traces == nil {
		return
	}
	switch e := e.(type) {
	case RejectionWritten:
		d.traces.Answered(d.now, e.Client, e.At)
	case StartDrain:
		d.traces.Drain(d.now)
	case FlushTraces:
		d.traces.Flush(d.now)
	}
}

// traceAttemptEnd traces the end of an attempt; req is nil where the request is not known any more.
func (d *Dispatcher) traceAttemptEnd(req *request, e *AttemptEnded) {
	switch {
	case d.traces == nil:
	case req != nil:
		d.traces.Ended(d.now, req.id, req.trace, e.Attempt.Index, e.Result, e.StaleConnection, e.Times)
	default:
		d.traces.Late(d.now, e.Attempt.Request, e.Attempt.Index, e.Result, e.StaleConnection, e.Times)
	}
}

// traceNotSent traces the end of an attempt that was never sent, so that no AttemptEnded follows.
func (d *Dispatcher) traceNotSent(req *request, att *attempt, result policy.Result) {
	if d.traces != nil {
		d.traces.Ended(d.now, req.id, req.trace, att.id.Index, result, false, nil)
	}
}

// traceEnd traces how a request ended towards its client.
func (d *Dispatcher) traceEnd(req *request, o trace.Outcome, retryAfter time.Duration) {
	if d.traces != nil {
		d.traces.Closed(d.now, req.id, req.trace, o, retryAfter)
	}
}

// traceRejection traces a request that the module never hears of.
func (p *pool) traceRejection(e *RequestReceived, reason trace.Why, retryAfter time.Duration) {
	d := p.dispatcher
	if d.traces == nil {
		return
	}
	d.lastRequestID++
	t := d.traces.Taken(d.now, d.lastRequestID, e.Client, e.ClientRequestID, e.ReceivedAt, &e.Request, e.Origin, p.traceSet)
	d.traces.Because(d.lastRequestID, t, policy.Reason(reason))
	d.traces.Closed(d.now, d.lastRequestID, t, trace.Refused, retryAfter)
}
