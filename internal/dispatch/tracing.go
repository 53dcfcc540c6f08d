package dispatch

import (
	"time"

	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// handleTraceEvent passes an event to the trace recorder if tracing is on.
func (d *Dispatcher) handleTraceEvent(e Event) {
	if d.traces == nil {
		return
	}
	switch e := e.(type) {
	case RejectionWritten:
		d.traces.RejectionWritten(d.now, e.Client, e.At)
	case StartDrain:
		d.traces.Drain(d.now)
	case FlushTraces:
		d.traces.Flush(d.now)
	}
}

// traceAttemptEnd records the end of an attempt in the trace. req is nil if the request has been removed.
func (d *Dispatcher) traceAttemptEnd(req *request, e *AttemptEnded) {
	switch {
	case d.traces == nil:
	case req != nil:
		d.traces.EndAttempt(d.now, req.id, req.trace, e.Attempt.Index, e.Result, e.StaleConnection, e.Times)
	default:
		d.traces.EndLateAttempt(d.now, e.Attempt.Request, e.Attempt.Index, e.Result, e.StaleConnection, e.Times)
	}
}

// traceNotSent records the end of an attempt that was never sent. No AttemptEnded follows for it.
func (d *Dispatcher) traceNotSent(req *request, att *attempt, result policy.Result) {
	if d.traces != nil {
		d.traces.EndAttempt(d.now, req.id, req.trace, att.id.Index, result, false, nil)
	}
}

// traceEnd records how a request ended for its client.
func (d *Dispatcher) traceEnd(req *request, o trace.Outcome, retryAfter time.Duration) {
	if d.traces != nil {
		d.traces.EndRequest(d.now, req.id, req.trace, o, retryAfter)
	}
}

// traceRejection records a request that was rejected before it reached the module.
func (p *pool) traceRejection(e *RequestReceived, reason trace.DecisionReason, retryAfter time.Duration) {
	d := p.dispatcher
	if d.traces == nil {
		return
	}
	d.lastRequestID++
	t := d.traces.StartRequest(d.now, d.lastRequestID, e.Client, e.ClientRequestID, e.ReceivedAt, &e.Request, e.Origin, p.tracePool)
	d.traces.SetReason(d.lastRequestID, t, policy.Reason(reason))
	d.traces.EndRequest(d.now, d.lastRequestID, t, trace.Refused, retryAfter)
}
