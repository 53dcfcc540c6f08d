package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/timerqueue"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// request is a client's request, from its arrival until it is answered and all of its attempts have ended.
type request struct {
	id              policy.RequestID
	pool            *pool
	client          Client
	clientRequestID string
	deadline        time.Duration
	timer           timerqueue.Key
	maxAttempts     int
	attempts        []*attempt
	bound           *attempt // the attempt whose response the client gets; nil before the first event
	answered        bool     // the final answer was given, or the client has left
	clientLeft      bool
	reachedHost     bool  // at least one attempt has reached a host
	mayHaveRun      bool  // at least one ended attempt may have run
	running         int32 // attempts whose outcome was not reported to the module yet
	trace           *trace.RequestSpan
}

// clientRequestKey identifies an open request by the ID that its client gave it. IDs are unique within a pool only.
type clientRequestKey struct {
	pool hoststate.PoolID
	id   string
}

// requestReceived opens a request, or rejects it.
func (d *Dispatcher) requestReceived(e RequestReceived) {
	if d.byClient[e.Client] != nil {
		return
	}
	p := d.pools[e.Pool]
	if p == nil {
		// The pool ended after the request was routed to it. The request has not run.
		d.counters.RejectedBeforeModule++
		d.emit(Reject{Client: e.Client, RetryAfter: d.limits.OverloadRetryAfter})
		return
	}
	if d.clientRequests[clientRequestKey{p.id, e.ClientRequestID}] {
		p.counters.RejectedBeforeModule++
		p.traceRejection(&e, trace.IDTaken, 0)
		d.emit(Reject{Client: e.Client, Verdict: VerdictDuplicateID})
		return
	}
	if !d.requestQuota.Take(int(p.id), 1) {
		// No file descriptors are left for a further request of this pool. It could not be sent, so the module is not called.
		p.counters.RejectedBeforeModule++
		p.traceRejection(&e, trace.RouterFull, p.retryAfter)
		d.emit(Reject{Client: e.Client, RetryAfter: p.retryAfter})
		return
	}
	d.open(p, &e)
}

// open registers a request and passes it to the pool's module.
func (d *Dispatcher) open(p *pool, e *RequestReceived) {
	p.counters.Received++
	p.unfinished++
	if p.retryBudget != nil {
		p.retryBudget.CountRequest(d.now)
	}
	d.lastRequestID++
	req := &request{
		id: d.lastRequestID, pool: p, client: e.Client, clientRequestID: e.ClientRequestID,
		deadline: min(e.ReceivedAt, d.now) + e.Request.Timeout, maxAttempts: p.maxAttempts,
	}
	if e.MaxAttempts > 0 {
		req.maxAttempts = min(req.maxAttempts, e.MaxAttempts)
	}
	req.timer = d.timers.Add(req.deadline, timer{request: req})
	d.requests[req.id], d.byClient[req.client] = req, req
	if req.clientRequestID != "" {
		d.clientRequests[clientRequestKey{p.id, req.clientRequestID}] = true
	}
	e.Request.ID, e.Request.Timeout = req.id, req.deadline-d.now
	if d.traces != nil {
		req.trace = d.traces.StartRequest(d.now, req.id, req.client, e.ClientRequestID, e.ReceivedAt, &e.Request, e.Origin, p.tracePool)
	}
	p.module.RequestArrived(d.now, p, e.Request)
}

// clientLeft closes the request of a client that has left.
func (d *Dispatcher) clientLeft(client Client) {
	req := d.byClient[client]
	if req == nil {
		return
	}
	req.pool.counters.ClientsLeft++
	req.clientLeft = true
	d.closeRequest(req)
	d.traceEnd(req, trace.Gone, 0)
	req.pool.module.ClientDisconnected(d.now, req.pool, req.id)
	// The module may leave attempts running, for example if its settings do not let it cancel them. No client waits for them any
	// more, so they are cancelled here.
	for _, att := range req.attempts {
		if !att.ended {
			d.cancelAttempt(req, att, d.outcomeAfterLeaving(req))
		}
	}
}

// outcomeAfterLeaving returns the outcome for the attempts of a client that has left. A client that waits until its deadline often
// disconnects shortly before the deadline timer fires here. Its attempts then count as timed out, so that the module can detect
// overload and unresponsive hosts.
func (d *Dispatcher) outcomeAfterLeaving(req *request) policy.Result {
	if req.bound == nil && d.now >= req.deadline-d.limits.DeadlineTolerance {
		return policy.ResultTimedOut
	}
	return policy.ResultCancelled
}

// requestTimedOut ends a request at its deadline. Its attempts time out, upon which the module usually answers. If it has not, the
// request fails here, so that no client waits forever.
func (d *Dispatcher) requestTimedOut(req *request) {
	for _, att := range req.attempts {
		if !att.ended {
			d.attemptTimedOut(req, att)
			d.runDeferred()
		}
	}
	if !req.answered {
		req.pool.Explain(req.id, policy.Reason(trace.Unanswered))
		req.pool.Fail(req.id)
	}
}

// closeRequest closes a request for its client. The request is kept until all of its attempts have ended.
func (d *Dispatcher) closeRequest(req *request) {
	req.answered = true
	d.timers.Remove(req.timer)
	delete(d.byClient, req.client)
	delete(d.clientRequests, clientRequestKey{req.pool.id, req.clientRequestID})
	d.requestQuota.Release(int(req.pool.id), 1)
	d.removeIfFinished(req)
}

func (d *Dispatcher) removeIfFinished(req *request) {
	if req.answered && req.running == 0 && d.requests[req.id] != nil {
		delete(d.requests, req.id)
		req.pool.unfinished--
	}
}
