package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// attempt is a running attempt: one request to one endpoint. Its goroutine owns all fields except those that Transport.mu guards.
type attempt struct {
	transport     *Transport
	start         dispatch.StartAttempt
	downstream    Downstream
	loadReporting *LoadReporting
	cancel        context.CancelFunc
	bound         chan struct{} // receives a value when dispatch binds this attempt to the client

	startedAt      time.Time
	startedAtClock time.Duration  // startedAt on the clock of events; set for traced attempts only
	span           *trace.Context // trace context sent to the endpoint; nil if not traced
	times          *trace.Times   // nil if not traced

	outcome  dispatch.AttemptEnded
	reusable bool // the connection may serve another request

	// Guarded by Transport.mu. Only the attempt's goroutine writes conn, so it reads conn without the lock.
	conn      *conn
	cancelled bool
}

// StartAttempt starts an attempt and returns without waiting for it.
func (t *Transport) StartAttempt(e dispatch.StartAttempt) { t.startAttempt(e, nil) }

func (t *Transport) startTracedAttempt(e dispatch.StartTracedAttempt) {
	t.startAttempt(e.StartAttempt, e.Span)
}

func (t *Transport) startAttempt(e dispatch.StartAttempt, span *trace.AttemptSpan) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{
		transport: t, start: e, cancel: cancel, bound: make(chan struct{}, 1), outcome: dispatch.AttemptEnded{Attempt: e.Attempt},
	}
	if span != nil {
		a.span, a.times = &span.Context, &span.Times
	}
	t.mu.Lock()
	t.attempts[e.Attempt], a.loadReporting = a, t.loadReportingOf(e.Pool)
	t.mu.Unlock()
	t.cfg.Go(func() { a.run(ctx) })
}

// BindAttempt binds an attempt to its client, so that the attempt forwards its response. It ignores attempts that have ended.
func (t *Transport) BindAttempt(id dispatch.AttemptID) {
	t.mu.Lock()
	a := t.attempts[id]
	t.mu.Unlock()
	if a != nil {
		a.bound <- struct{}{} // does not block: dispatch binds an attempt at most once
	}
}

// CancelAttempt cancels an attempt and closes its connection, which ends any pending read or write.
func (t *Transport) CancelAttempt(id dispatch.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.attempts[id]
	if a == nil {
		return
	}
	a.cancelled = true
	a.cancel()
	if a.conn != nil {
		_ = a.conn.Close() // unblocks the attempt's reads and writes
	}
}

// run executes the attempt and posts its outcome.
func (a *attempt) run(ctx context.Context) {
	defer a.end()
	a.startedAt = time.Now()
	if a.times != nil {
		a.startedAtClock = a.transport.cfg.Now()
		a.times.Started = a.startedAtClock
	}
	a.downstream = a.start.Client.(Downstream)
	a.outcome.Result = a.roundTrip(ctx)
}

// end posts the attempt's outcome and returns its connection to the connPool or closes it.
func (a *attempt) end() {
	t := a.transport
	a.cancel()
	t.mu.Lock()
	delete(t.attempts, a.start.Attempt)
	cancelled := a.cancelled
	t.mu.Unlock()
	if a.times != nil {
		a.stamp(&a.times.Ended, time.Now())
		a.outcome.Times = a.times
	}
	t.cfg.Post(a.outcome)
	if a.reusable && !cancelled {
		t.conns.put(a.conn)
	} else if a.conn != nil {
		_ = a.conn.Close() // an error cannot change the outcome
	}
}

// roundTrip sends the request and, if the response is successful and dispatch binds the attempt, forwards it.
func (a *attempt) roundTrip(ctx context.Context) policy.Result {
	t, req := a.transport, a.downstream.UpstreamRequest()
	connectedAt, err := a.connect(ctx, req)
	if err != nil {
		return policy.ResultConnectFailed
	}
	deadline, err := a.writeRequest(req, a.start.Timeout-connectedAt.Sub(a.startedAt))
	if err != nil {
		a.outcome.StaleConnection = t.handleStale(ctx, a.conn)
		return policy.ResultConnectFailed // too little of it was sent to run
	}
	resp, firstByteAt, err := t.readResponse(a.conn, req, deadline) //nolint:bodyclose // the body is read from a connection that end closes or reuses
	if a.times != nil && !firstByteAt.IsZero() {
		a.stamp(&a.times.FirstByte, firstByteAt)
	}
	if err != nil {
		result := failureResult(err)
		a.outcome.StaleConnection = result == policy.ResultReset && a.conn.br.Buffered() == 0 && t.handleStale(ctx, a.conn)
		return result
	}
	return a.handleResponse(ctx, resp)
}

// connect obtains a connection for the attempt and returns the time when it was ready.
func (a *attempt) connect(ctx context.Context, req *Request) (time.Time, error) {
	t := a.transport
	opts := connOptions{timeout: min(t.cfg.Limits.ConnectTimeout, a.start.Timeout)}
	if t.cfg.NonIdempotentMaxIdle != nil && req.NonIdempotent {
		opts.maxIdle = t.cfg.NonIdempotentMaxIdle()
	}
	cn, err := t.conns.get(ctx, endpoint{a.start.Host, a.start.Addr, a.start.Pool}, opts)
	if err != nil {
		return time.Time{}, err
	}
	connectedAt := time.Now()
	if a.times != nil {
		a.times.NewConnection = cn.idleID == 0
		a.stamp(&a.times.Connected, connectedAt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a.conn = cn
	if a.cancelled {
		return connectedAt, context.Canceled
	}
	return connectedAt, nil
}

// writeRequest writes the request; remaining is what remains of the attempt's timeout. It returns an error only if the request
// cannot have run. Otherwise it returns the deadline for the first byte of the response; zero means that the attempt waits until
// dispatch cancels it.
func (a *attempt) writeRequest(req *Request, remaining time.Duration) (deadline time.Time, _ error) {
	t := a.transport
	a.conn.SetWriteDeadline(a.startedAt.Add(a.start.Timeout))
	n, err := a.conn.Write(t.cfg.Dialect.EncodeRequest(req, &a.start, remaining, a.span))
	if err != nil {
		if !t.mayHaveRun(n) {
			return time.Time{}, err
		}
		// An endpoint that rejects a request early and closes the connection has already sent its response.
		deadline = time.Now().Add(truncatedResponseWait)
		a.conn.mustClose = true
		a.conn.SetReadDeadline(deadline)
	}
	if a.times != nil {
		a.stamp(&a.times.Written, time.Now())
	}
	return deadline, nil
}

// handleResponse forwards a successful response. It reads an error response to its end so that the connection can be reused.
func (a *attempt) handleResponse(ctx context.Context, resp *http.Response) policy.Result {
	dialect := a.transport.cfg.Dialect
	if a.loadReporting.InResponses {
		a.outcome.Report = ParseLoadReport(resp.Header.Get(loadHeader), a.loadReporting.Columns)
	}
	a.conn.idleTimeout = dialect.IdleTimeout(resp)
	if result := dialect.Classify(resp); result != policy.ResultOK {
		a.outcome.ReachedOtherHost = result == policy.ResultConnectFailed
		a.reusable = a.readErrorResponse(result, resp) && !resp.Close
		return result
	}
	if dialect.IsEventStream(resp) {
		return a.forwardEventStream(ctx, resp)
	}
	return a.forwardBody(ctx, resp)
}

// readErrorResponse reads a response that is not forwarded and reports whether it was read to its end.
func (a *attempt) readErrorResponse(result policy.Result, resp *http.Response) (complete bool) {
	if reader, ok := a.downstream.(ErrorResponseReader); ok && a.transport.cfg.Dialect != (platform{}) {
		return reader.ReadErrorResponse(result, resp, a.conn)
	}
	a.conn.SetReadDeadline(time.Now().Add(drainWait))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainedBody))
	return err == nil && n < maxDrainedBody
}

// Limits on reading an error response in order to reuse its connection.
const (
	maxDrainedBody = 4 << 10 // bytes
	drainWait      = 100 * time.Millisecond
)

// waitForBind posts AttemptStarted and waits until dispatch binds or cancels the attempt. It reports whether the attempt is bound.
func (a *attempt) waitForBind(ctx context.Context) bool {
	a.transport.cfg.Post(dispatch.AttemptStarted{Attempt: a.start.Attempt})
	select {
	case <-a.bound:
		return true
	case <-ctx.Done():
		return false
	}
}

// stamp records a time of a traced attempt. It converts a time that the caller has already read, because reading the clock is a
// large part of the cost of tracing.
func (a *attempt) stamp(field *time.Duration, at time.Time) {
	*field = a.startedAtClock + at.Sub(a.startedAt)
}
