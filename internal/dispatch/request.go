package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/timerqueue"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// request is a request of a client, from its arrival until it is answered and all of its attempts have ended.
type request struct {
	id              policy.RequestID
	pool            *pool
	client          Client
	clientRequestID string
	deadline        time.Duration
	timer           timerqueue.Key
	maxAttempts     int
	attempts        []*attempt
	bound           *attempt // whose answer the client gets
	answered        bool     // it has its final answer, or the client has left
	clientLeft      bool
	reachedHost     bool  // an attempt has reached a host
	mayHaveRun      bool  // an attempt has ended otherwise than by not having run
	running         int32 // attempts whose outcome the module has not heard of
	trace           *trace.Journey
}

// clientRequestKey is the id that a client gave an open request. Two services may use one id at once.
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
		// It was routed to a pool that has ended since, with its last open request: it has not run.
		d.counters.RejectedByFrontend++
		d.emit(Reject{Client: e.Client, RetryAfter: d.limits.OverloadRetryAfter})
		return
	}
	if d.clientRequests[clientRequestKey{p.id, e.ClientRequestID}] {
		p.counters.RejectedByFrontend++
		p.traceRejection(&e, trace.IDTaken, 0)
		d.emit(Reject{Client: e.Client, Verdict: VerdictDuplicateID})
		return
	}
	if !d.requestQuota.Take(int(p.id), 1) {
		// More would need more descriptors than there are, or than there are for this pool. The module need not know of what
		// cannot be sent.
		p.counters.RejectedByFrontend++
		p.traceRejection(&e, trace.RouterFull, p.retryAfter)
		d.emit(Reject{Client: e.Client, RetryAfter: p.retryAfter})
		return
	}
	d.open(p, &e)
}

// open makes a request known and hands it to the pool's module.
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
		req.trace = d.traces.Taken(d.now, req.id, req.client, e.ClientRequestID, e.ReceivedAt, &e.Request, e.Origin, p.traceSet)
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
	// What the module does not cancel itself runs for nobody: a stream that has begun, or attempts that the settings do not
	// allow to cancel. Their outcome says nothing of the host.
	for _, att := range req.attempts {
		if !att.ended {
			d.cancelAttempt(req, att, d.outcomeAfterLeaving(req))
		}
	}
}

// outcomeAfterLeaving returns the outcome of the attempts of a client that has left. A client that waits for as long as it said
// leaves at its deadline, mostly a little before that is noticed here: then its attempts have timed out. The module must hear of
// it, or it would learn nothing of an overload, nor of a host that hangs.
func (d *Dispatcher) outcomeAfterLeaving(req *request) policy.Result {
	if req.bound == nil && d.now >= req.deadline-d.limits.DeadlineTolerance {
		return policy.ResultTimedOut
	}
	return policy.ResultCancelled
}

// requestTimedOut ends a request at its deadline. Its attempts time out, and the module answers then; if no attempt runs, it is
// answered here, so that no client waits for ever.
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

// closeRequest ends a request towards its client. It stays known while attempts of it run.
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
