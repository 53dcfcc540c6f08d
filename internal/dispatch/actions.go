package dispatch

import (
	"time"

	"notchhinge/internal/trace"
	"notchhinge/policy"
)

var _ policy.Actions = (*pool)(nil)

// findRequest returns the request with the given id, or nil if it does not exist or belongs to another pool.
func (p *pool) findRequest(id policy.RequestID) *request {
	if req := p.dispatcher.requests[id]; req != nil && req.pool == p {
		return req
	}
	return nil
}

// Send implements policy.Actions. It does not rely on the module to check the limits. An attempt ends with policy.ResultNotSent if
// its request is already answered or bound, out of attempts or past its deadline, if the host is unknown, or if the retry budget is
// exhausted.
func (p *pool) Send(id policy.RequestID, hostID policy.ReplicaID, timeout time.Duration) {
	d, req := p.dispatcher, p.findRequest(id)
	if req == nil {
		return
	}
	att := &attempt{id: AttemptID{id, len(req.attempts)}, host: hostID, sentAt: d.now}
	req.attempts = append(req.attempts, att)
	req.running++
	h := p.hosts[hostID]
	span := p.traceSent(req, att, h)
	expiresAt := req.deadline
	if timeout != 0 {
		expiresAt = min(expiresAt, d.now+timeout)
	}
	if h == nil || req.answered || req.bound != nil || len(req.attempts) > req.maxAttempts || expiresAt <= d.now {
		d.traceNotSent(req, att, policy.ResultNotSent)
		d.endDeferred(req, att, policy.ResultNotSent)
		return
	}
	if p.slowStartLimitReached(h) {
		d.traceNotSent(req, att, policy.ResultFull)
		d.endDeferred(req, att, policy.ResultFull) // the module treats it as a rejection by the host
		return
	}
	if p.retryBudget != nil && req.reachedHost && !p.retryBudget.TryTake(d.now) {
		d.endDeferred(req, att, policy.ResultNotSent)
		return
	}
	p.counters.Attempts++
	if expiresAt < req.deadline {
		att.timer = d.timers.Add(expiresAt, timer{request: req, attempt: att})
	}
	start := StartAttempt{
		Pool: p.id, Attempt: att.id, Client: req.client, Host: hostID, HostName: h.Name, Addr: h.Addr, Timeout: expiresAt - d.now,
	}
	if d.traces != nil {
		d.emit(StartTracedAttempt{start, span})
		return
	}
	d.emit(start)
}

// traceSent records an attempt in the trace and returns the span that it carries, or nil if tracing is off.
func (p *pool) traceSent(req *request, att *attempt, h *Host) *trace.AttemptSpan {
	d := p.dispatcher
	if d.traces == nil {
		return nil
	}
	host := Host{Name: "unknown"}
	if h != nil {
		host = *h
	}
	return d.traces.StartAttempt(d.now, req.id, req.trace, att.id.Index, host.Name, host.Addr)
}

// Explain implements policy.Actions.
func (p *pool) Explain(id policy.RequestID, reason policy.Reason) {
	if p.dispatcher.traces == nil {
		return
	}
	if req := p.findRequest(id); req != nil {
		p.dispatcher.traces.SetReason(id, req.trace, reason)
	}
}

// Reject implements policy.Actions.
func (p *pool) Reject(id policy.RequestID, retryAfter time.Duration) {
	p.answer(id, VerdictRejected, retryAfter)
}

// Fail implements policy.Actions.
func (p *pool) Fail(id policy.RequestID) { p.answer(id, VerdictFailed, 0) }

// answer ends a request that no attempt has answered. It does nothing if the request is already answered or bound.
func (p *pool) answer(id policy.RequestID, verdict Verdict, retryAfter time.Duration) {
	d, req := p.dispatcher, p.findRequest(id)
	if req == nil || req.answered || req.bound != nil {
		return
	}
	if verdict == VerdictFailed {
		p.counters.Failed++
	} else {
		p.counters.Rejected++
	}
	d.emit(Reject{
		Client: req.client, Verdict: verdict, RetryAfter: retryAfter, MayHaveRun: req.mayHaveRun || req.running > 0,
	})
	d.closeRequest(req)
	if verdict == VerdictFailed {
		d.traceEnd(req, trace.Failed, 0)
	} else {
		d.traceEnd(req, trace.Refused, retryAfter)
	}
	for _, att := range req.attempts {
		if !att.ended {
			d.cancelAttempt(req, att, policy.ResultCancelled)
		}
	}
}

// Cancel implements policy.Actions. The attempt that is bound to the request is cancelled only after the client has disconnected.
func (p *pool) Cancel(id policy.RequestID, index int) {
	d := p.dispatcher
	req, att := d.findAttempt(AttemptID{id, index})
	if att == nil || req.pool != p || att.ended || req.bound == att && !req.clientLeft {
		return
	}
	if req.clientLeft {
		d.cancelAttempt(req, att, d.outcomeAfterLeaving(req))
		return
	}
	d.cancelAttempt(req, att, policy.ResultCancelled)
}

// Probe implements policy.Actions.
func (p *pool) Probe(hostID policy.ReplicaID) {
	if h := p.hosts[hostID]; h != nil {
		p.counters.Probes++
		p.dispatcher.emit(SendProbe{Pool: p.id, Host: hostID, Addr: h.Addr, Sent: p.dispatcher.now})
	}
}

// Watch implements policy.Actions.
func (p *pool) Watch() { p.dispatcher.emit(WatchEndpoints{p.id}) }

// SetTimer implements policy.Actions. The timer always fires after the call that sets it, even with a zero delay.
func (p *pool) SetTimer(after time.Duration, token uint64) {
	d := p.dispatcher
	d.timers.Add(d.now+max(after, 1), timer{pool: p, token: token})
}

// Log implements policy.Actions.
func (p *pool) Log(message string) { p.dispatcher.emit(Log{p.name, message}) }
