package dispatch

import (
	"time"

	"notchhinge/internal/timerqueue"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// attempt is one try of a request at one host.
type attempt struct {
	id               AttemptID
	host             policy.ReplicaID
	sentAt           time.Duration
	timer            timerqueue.Key
	ended            bool // its outcome is known
	staleConnection  bool // the host had closed the reused connection
	reachedOtherHost bool // a host other than the intended one answered
}

// findAttempt returns an attempt and its request, or nil, nil if either is unknown.
func (d *Dispatcher) findAttempt(id AttemptID) (*request, *attempt) {
	req := d.requests[id.Request]
	if req == nil || id.Index < 0 || id.Index >= len(req.attempts) {
		return nil, nil
	}
	return req, req.attempts[id.Index]
}

// attemptStarted binds the request to the first attempt whose response has begun, and cancels the other attempts.
func (d *Dispatcher) attemptStarted(id AttemptID) {
	req, att := d.findAttempt(id)
	if att == nil || att.ended || req.answered || req.bound != nil {
		d.emit(CancelAttempt{id})
		return
	}
	req.bound = att
	d.timers.Remove(req.timer)
	d.timers.Remove(att.timer)
	d.emit(BindAttempt{id})
	if d.traces != nil {
		d.traces.BindAttempt(d.now, req.id, req.trace, id.Index)
	}
	req.pool.module.ResponseStarted(d.now, req.pool, policy.ResponseStarted{
		ID: req.id, Attempt: id.Index, Replica: att.host, Elapsed: d.now - att.sentAt,
	})
	for _, other := range req.attempts {
		if other != att && !other.ended {
			d.cancelAttempt(req, other, policy.ResultCancelled)
		}
	}
}

// attemptEnded records the outcome that the upstream reported for an attempt.
func (d *Dispatcher) attemptEnded(e *AttemptEnded) {
	req, att := d.findAttempt(e.Attempt)
	d.traceAttemptEnd(req, e)
	if att != nil && !att.ended {
		att.staleConnection, att.reachedOtherHost = e.StaleConnection, e.ReachedOtherHost
		d.endAttempt(req, att, outcome{e.Result, e.CachedTokens, e.Report})
	}
}

// outcome is how an attempt ended.
type outcome struct {
	result       policy.Result
	cachedTokens float64
	report       policy.Report
}

// cancelAttempt cancels an attempt. Its outcome is reported after the module has returned from the current call.
func (d *Dispatcher) cancelAttempt(req *request, att *attempt, result policy.Result) {
	d.emit(CancelAttempt{att.id})
	d.endDeferred(req, att, result)
}

// attemptTimedOut cancels an attempt whose timeout has expired.
func (d *Dispatcher) attemptTimedOut(req *request, att *attempt) {
	if att.ended {
		return
	}
	d.emit(CancelAttempt{att.id})
	d.endAttempt(req, att, outcome{result: policy.ResultTimedOut})
}

// endDeferred ends an attempt while the module is running, and defers the report of its outcome until the module has returned.
func (d *Dispatcher) endDeferred(req *request, att *attempt, result policy.Result) {
	att.ended = true
	d.timers.Remove(att.timer)
	d.deferred = append(d.deferred, func() { d.reportOutcome(req, att, outcome{result: result}) })
}

func (d *Dispatcher) endAttempt(req *request, att *attempt, o outcome) {
	att.ended = true
	d.timers.Remove(att.timer)
	d.reportOutcome(req, att, o)
}

// reportOutcome passes the outcome of an attempt to the module, once for each attempt. If the attempt is bound, its end also ends
// the request, whether the response is complete or not.
func (d *Dispatcher) reportOutcome(req *request, att *attempt, o outcome) {
	p, result := req.pool, o.result
	neverReached := result == policy.ResultConnectFailed || result == policy.ResultNotSent
	req.running--
	req.reachedHost = req.reachedHost || att.reachedOtherHost || !neverReached
	req.mayHaveRun = req.mayHaveRun || result != policy.ResultFull && !neverReached
	p.counters.Outcomes[result]++
	if d.traces != nil {
		d.traces.RecordResult(d.now, req.id, req.trace, att.id.Index, result, o.cachedTokens)
	}
	if req.bound == att && !req.answered {
		d.closeBound(req, result)
	}
	p.module.AttemptFinished(d.now, p, policy.Outcome{
		ID: req.id, Attempt: att.id.Index, Replica: att.host, Result: result, Elapsed: d.now - att.sentAt,
		RequestEnded: req.answered || req.bound != nil, CachedTokens: o.cachedTokens, Report: o.report,
		StaleConnection: att.staleConnection,
	})
	if d.sharedHosts != nil && (result == policy.ResultReset || result == policy.ResultConnectFailed) && !att.staleConnection {
		p.notifyUnreachable(att.host)
	}
	d.removeIfFinished(req)
}

// closeBound closes a request whose bound attempt has ended, and counts it as served or broken.
func (d *Dispatcher) closeBound(req *request, result policy.Result) {
	d.closeRequest(req)
	if result == policy.ResultOK {
		req.pool.counters.Served++
		d.traceEnd(req, trace.Served, 0)
		return
	}
	req.pool.counters.Broken++
	d.traceEnd(req, trace.Broken, 0)
}
