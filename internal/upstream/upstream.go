// Package upstream speaks with issuer hosts: it keeps the lines to them, runs legs and probes, and says how
// each ended.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/framing"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Request is what a leg sends. But for the budget it is passed on as it came.
type Request struct {
	Method, Target, Host string
	CallID, ContentType  string
	Body                 []byte
	// Of other dialects than the platform's: headers as they are sent, whether a length is, and when its client gives up.
	Header            []byte
	WithContentLength bool
	Deadline          time.Time
	NonIdempotent     bool // it must not run twice, so that a line that turns out to be dead costs it its answer
}

// Downstream is the acquirer as a leg sees it.
type Downstream interface {
	// UpstreamRequest is what the acquirer asked for.
	UpstreamRequest() *Request
	// WriteBody passes whole events on, at once.
	WriteBody(events []byte) error
	// Finish ends the answer: whole, or as a stream that broke.
	Finish(whole bool) error
}

// HeadObserver is a customer that wants to see the head of the answer that is passed on, before its first part.
type HeadObserver interface{ ObserveHead(resp *http.Response) }

// Dialect is what messages to and from issuer hosts look like. A Client without one speaks the platform's.
type Dialect interface {
	// EncodeRequest writes an order out, body and all, with the time that is left of its budget and the span that it belongs to.
	EncodeRequest(o *Request, e *dispatch.StartAttempt, left time.Duration, span *trace.Context) []byte
	// MatchResponse tells what an answer is an answer to: a host that stutters sends others than the one to this order.
	MatchResponse(o *Request, resp *http.Response) ResponseMatch
	// Classify says what an answer's head makes of the leg; what it calls OK is passed on.
	Classify(resp *http.Response) policy.Result
	// IsEventStream tells whether an answer that is passed on is a series of events.
	IsEventStream(resp *http.Response) bool
	// IdleTimeout is how long the line of an answer may wait for its next order; 0 = as the limits say, below that not at all.
	IdleTimeout(resp *http.Response) time.Duration
	// HealthCheckPath is the path that a probe asks for.
	HealthCheckPath(r *LoadReporting) string
	// MayRunTruncated tells whether an order may run of which only a part was written before its line broke. Where not, that is a line
	// which could not be had.
	MayRunTruncated() bool
}

// ResponseMatch says what an answer is an answer to.
type ResponseMatch uint8

// This order; another one; it does not say, so that it may be either.
const (
	MatchThisRequest ResponseMatch = iota
	MatchOtherRequest
	MatchUnknown
)

// Config is what a Client is made of.
type Config struct {
	Limits  limits.Limits
	Dialect Dialect
	LoadReporting
	Post func(dispatch.Event)
	Now  dispatch.Clock // for the times of traced legs
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxReuseAge is how long a line may have rested at present that an order uses which must not run twice; 0 = no matter. nil =
	// it never matters.
	MaxReuseAge func() time.Duration
	// OnConnectionForgotten is told that a host has ended a line that rested, though it takes new ones: it may forget others as well. It
	// must not wait; nil = nobody wants to know.
	OnConnectionForgotten func()
	// Go runs a leg beside its caller; nil = in a goroutine of its own. A walk over the orders of events runs all in one.
	Go func(func())
}

// Transport does what the broker asks of issuer hosts.
type Transport struct {
	Config
	conns         connPool
	mu            sync.Mutex
	attempts      map[dispatch.AttemptID]*attempt
	loadReporting map[hoststate.PoolID]*LoadReporting // where they are not the Config's
}

// LoadReporting say how a pool's hosts tell of their load.
type LoadReporting struct {
	Columns     []string // of load reports
	OnStatsPath bool     // a probe asks for the load report
	InResponses bool     // any answer may carry one
}

// New returns a client.
func New(c Config) *Transport {
	if c.Dialect == nil {
		c.Dialect = platform{}
	}
	if c.Go == nil {
		c.Go = func(f func()) { go f() }
	}
	return &Transport{
		Config: c, attempts: map[dispatch.AttemptID]*attempt{}, loadReporting: map[hoststate.PoolID]*LoadReporting{},
		conns: connPool{
			limits: c.Limits, dial: c.Dial, post: c.Post, idle: map[endpoint][]*conn{}, quota: quota.New(int64(c.Limits.UpstreamConns)),
		},
	}
}

// ConfigurePool says how a pool's hosts report, and what part of the lines is the pool's. It holds for legs sent from now on.
func (c *Transport) ConfigurePool(id hoststate.PoolID, r LoadReporting, lines quota.Claim) {
	c.mu.Lock()
	c.loadReporting[id] = &r
	c.mu.Unlock()
	c.conns.mu.Lock()
	c.conns.quota.SetClaim(int(id), lines)
	c.conns.mu.Unlock()
}

// RemovePool closes a pool's idle lines and forgets the pool. Its legs are over.
func (c *Transport) RemovePool(id hoststate.PoolID) {
	c.conns.closeIdleTo(func(to endpoint) bool { return to.pool == id })
	c.mu.Lock()
	delete(c.loadReporting, id)
	c.mu.Unlock()
	c.conns.mu.Lock()
	c.conns.quota.EndClaim(int(id))
	c.conns.mu.Unlock()
}

// Connections tells how many lines a pool has, idle ones included.
func (c *Transport) Connections(id hoststate.PoolID) int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return int(c.conns.quota.Reserved(int(id)))
}

// IdleConnections tells how many lines wait for their next request.
func (c *Transport) IdleConnections() (n int) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	for _, all := range c.conns.idle {
		n += len(all)
	}
	return n
}

// SetMaxConnections changes how many lines there may be. Idle ones beyond that are closed.
func (c *Transport) SetMaxConnections(most int) {
	c.conns.mu.Lock()
	c.conns.quota.Resize(int64(most))
	c.conns.mu.Unlock()
	c.conns.shrink(int64(most))
}

// MaxConnections tells how many lines there may be.
func (c *Transport) MaxConnections() int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return int(c.conns.quota.Total())
}

// loadReportingOf is how a pool's hosts report. The lock is held.
func (c *Transport) loadReportingOf(id hoststate.PoolID) *LoadReporting {
	if r := c.loadReporting[id]; r != nil {
		return r
	}
	return &c.Config.LoadReporting
}

// attempt is a leg that is out.
type attempt struct {
	cancel         context.CancelFunc
	bound          chan struct{} // the leg is bound
	conn           *conn
	cancelled      bool
	loadReporting  *LoadReporting
	span           *trace.Context // what it carries to its host; nil where nothing is traced
	times          *trace.Times   // likewise
	startedAt      time.Time
	startedAtClock time.Duration // the loop's clock then; only where times are kept
}

// stamp notes a time of a traced leg. It converts what was read anyway: reading a clock is no small part of what
// tracing costs.
func (l *attempt) stamp(at *time.Duration, t time.Time) { *at = l.startedAtClock + t.Sub(l.startedAt) }

// StartAttempt does broker.SendLeg. It does not wait.
func (c *Transport) StartAttempt(e dispatch.StartAttempt) { c.send(e, nil) }

// StartTracedAttempt does broker.SendTraced. It does not wait.
func (c *Transport) StartTracedAttempt(e dispatch.StartTracedAttempt) { c.send(e.StartAttempt, e.Span) }

func (c *Transport) send(e dispatch.StartAttempt, span *trace.Carried) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &attempt{cancel: cancel, bound: make(chan struct{}, 1)}
	if span != nil {
		l.span, l.times = &span.Context, &span.Times
	}
	c.mu.Lock()
	c.attempts[e.Attempt], l.loadReporting = l, c.loadReportingOf(e.Pool)
	c.mu.Unlock()
	c.Go(func() { c.run(ctx, l, e) })
}

// Perform does an effect that concerns legs and lines, and tells whether it was one. It does not wait.
func (c *Transport) Perform(e dispatch.Effect) bool {
	switch e := e.(type) {
	case dispatch.StartAttempt:
		c.StartAttempt(e)
	case dispatch.StartTracedAttempt:
		c.StartTracedAttempt(e)
	case dispatch.BindAttempt:
		c.BindAttempt(e.Attempt)
	case dispatch.CancelAttempt:
		c.CancelAttempt(e.Attempt)
	case dispatch.CloseIdleConnection:
		c.CloseIdleConnection(e.Connection)
	case dispatch.SendProbe:
		c.SendProbe(e)
	default:
		return false
	}
	return true
}

// BindAttempt does broker.Bind.
func (c *Transport) BindAttempt(id dispatch.AttemptID) {
	if l := c.find(id); l != nil {
		l.bound <- struct{}{} // at most one Bind a leg, so that there is room
	}
}

// CancelAttempt does broker.DropLeg: the leg's line is closed, whatever it is at.
func (c *Transport) CancelAttempt(id dispatch.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.attempts[id]
	if l == nil {
		return
	}
	l.cancelled = true
	l.cancel()
	if l.conn != nil {
		_ = l.conn.Close() // the leg's reads end by it
	}
}

func (c *Transport) find(id dispatch.AttemptID) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

// CloseIdleConnection does broker.HangUp.
func (c *Transport) CloseIdleConnection(number uint64) { c.conns.closeIdle(number) }

// CloseIdleConnections closes the idle lines.
func (c *Transport) CloseIdleConnections() { c.conns.closeIdleTo(func(endpoint) bool { return true }) }

func (c *Transport) run(ctx context.Context, l *attempt, e dispatch.StartAttempt) {
	end := dispatch.AttemptEnded{Attempt: e.Attempt}
	var keep *conn
	defer func() {
		l.cancel()
		c.mu.Lock()
		delete(c.attempts, e.Attempt)
		dropped := l.cancelled
		c.mu.Unlock()
		if l.span != nil {
			l.stamp(&l.times.Ended, time.Now())
			end.Times = l.times
		}
		c.Post(end)
		if keep != nil && !dropped {
			c.conns.put(keep)
		} else if l.conn != nil {
			_ = l.conn.Close() // how the leg ended is known
		}
	}()
	l.startedAt = time.Now()
	if l.times != nil {
		l.startedAtClock = c.Now()
		l.times.Begun = l.startedAtClock
	}
	customer := e.Client.(Downstream)
	most := time.Duration(0)
	if c.MaxReuseAge != nil && customer.UpstreamRequest().NonIdempotent {
		most = c.MaxReuseAge()
	}
	ln, err := c.conns.get(ctx, endpoint{e.Host, e.Addr, e.Pool}, min(c.Limits.ConnectTimeout, e.Timeout), most)
	if err != nil {
		end.Result = policy.ResultConnectFailed
		return
	}
	lined := time.Now()
	if l.times != nil {
		l.times.Fresh = ln.idleID == 0
		l.stamp(&l.times.Lined, lined)
	}
	c.mu.Lock()
	l.conn = ln
	dropped := l.cancelled
	c.mu.Unlock()
	if dropped {
		end.Result = policy.ResultConnectFailed
		return
	}
	ln.SetWriteDeadline(l.startedAt.Add(e.Timeout))
	var until time.Time
	if n, err := ln.Write(c.Dialect.EncodeRequest(customer.UpstreamRequest(), &e, e.Timeout-lined.Sub(l.startedAt), l.span)); err != nil && (n == 0 || !c.Dialect.MayRunTruncated()) {
		end.Result = policy.ResultConnectFailed // not enough of it is on its way to run
		end.StaleConnection = c.noteStale(ln)
		return
	} else if err != nil {
		// Some of it is, and a host may begin before it has all. If it has answered, that is there or comes at once.
		ln.mustClose, until = true, time.Now().Add(truncatedResponseWait)
		ln.SetReadDeadline(until)
	}
	if l.times != nil {
		l.stamp(&l.times.Written, time.Now())
	}
	resp, first, err := c.readResponse(ln, customer.UpstreamRequest(), until) //nolint:bodyclose // the body is read off a line that the leg closes or parks
	if l.times != nil && !first.IsZero() {
		l.stamp(&l.times.First, first)
	}
	if err != nil {
		end.Result = failureResult(err) // a stale line ends here too: nothing is sent again behind the module's back
		end.StaleConnection = end.Result == policy.ResultReset && ln.br.Buffered() == 0 && c.noteStale(ln)
		return
	}
	if l.loadReporting.InResponses {
		end.Report = ParseLoadReport(resp.Header.Get(loadHeader), l.loadReporting.Columns)
	}
	ln.idleTimeout = c.Dialect.IdleTimeout(resp)
	if result := c.Dialect.Classify(resp); result != policy.ResultOK {
		end.Result, end.ReachedOtherHost = result, result == policy.ResultConnectFailed
		if k, ok := customer.(ErrorResponseReader); ok && c.Dialect != (platform{}) {
			if k.ReadErrorResponse(result, resp, ln) && !resp.Close {
				keep = ln
			}
		} else if drain(ln, resp) {
			keep = ln
		}
		return
	}
	pass := c.forwardEventStream
	if !c.Dialect.IsEventStream(resp) {
		pass = c.forwardBody
	}
	if pass(ctx, ln, resp, l, e, customer, &end) {
		keep = ln
	}
}

// truncatedResponseWait is how long the answer to a request is waited for whose connection has ended before it was written whole.
const truncatedResponseWait = 100 * time.Millisecond

// noteStale tells whether a line that ended without a word of an answer had served before. Its host may have closed it
// long ago, which says nothing of the host now; the lines parked beside it are no better.
func (c *Transport) noteStale(ln *conn) bool {
	if ln.idleID == 0 {
		return false
	}
	c.conns.closeIdleToHost(ln.endpoint)
	if c.OnConnectionForgotten != nil {
		c.Go(func() { c.checkForgotten(ln.endpoint) })
	}
	return true
}

// checkForgotten finds out whether a host that has ended a line takes new ones, or has ended itself. The new one is parked.
func (c *Transport) checkForgotten(to endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Limits.ConnectTimeout)
	defer cancel()
	if ln, err := c.conns.get(ctx, to, c.Limits.ConnectTimeout, 0); err == nil {
		c.conns.put(ln)
		c.OnConnectionForgotten()
	}
}

// ErrorResponseReader is a customer that wants to see answers that are not passed on: should nothing better come, one of them may be
// all that there is to tell. It reads the body, and tells whether it has come to its end.
type ErrorResponseReader interface {
	ReadErrorResponse(r policy.Result, resp *http.Response, line net.Conn) (whole bool)
}

// drain reads the rest of a small answer, so that its line can serve again.
func drain(ln *conn, resp *http.Response) bool {
	const small, soon = 4 << 10, 100 * time.Millisecond
	ln.SetReadDeadline(time.Now().Add(soon))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, small))
	return err == nil && n < small && !resp.Close
}

// forwardEventStream passes a stream on once the leg is bound, and tells whether the line can serve again.
func (c *Transport) forwardEventStream(ctx context.Context, ln *conn, resp *http.Response, l *attempt, e dispatch.StartAttempt, to Downstream,
	end *dispatch.AttemptEnded,
) bool {
	ev := eventReader{body: resp.Body, maxBytes: c.Limits.StreamEventBytes, buf: make([]byte, 0, c.Limits.ControlReadBytes)}
	part, err := ev.next()
	if len(part) == 0 {
		// An answer without any event is not a stream; one that breaks before its first event is a reset.
		end.Result = failureResult(err)
		if errors.Is(err, io.EOF) {
			end.Result = policy.ResultError
		}
		return false
	}
	if l.times != nil {
		l.stamp(&l.times.Event, time.Now())
	}
	c.Post(dispatch.AttemptStarted{Attempt: e.Attempt})
	if !l.waitBound(ctx) {
		end.Result = policy.ResultCancelled
		return false
	}
	observeHead(to, resp)
	var relay time.Time // of the write under way
	if l.times != nil {
		relay = time.Now()
		l.stamp(&l.times.Bound, relay)
	}
	for {
		l.inspect(part, end)
		if werr := to.WriteBody(part); werr != nil {
			c.Post(dispatch.ClientLeft{Client: e.Client})
			end.Result = policy.ResultCancelled
			return false
		}
		if err != nil {
			break
		}
		now := time.Now()
		ln.SetReadDeadline(now.Add(c.Limits.StreamIdleTimeout))
		if l.times != nil {
			l.times.Relay += now.Sub(relay)
		}
		part, err = ev.next()
		if len(part) == 0 && err != nil {
			break
		}
		if l.times != nil {
			relay = time.Now()
		}
	}
	return c.finish(resp, e, to, err, end)
}

// finish ends an answer whose parts have been passed on until err, and tells whether the line can serve again.
func (c *Transport) finish(resp *http.Response, e dispatch.StartAttempt, to Downstream, err error, end *dispatch.AttemptEnded) bool {
	// Only a framed answer shows its end; one that lasts as long as its connection may have been cut off.
	whole := errors.Is(err, io.EOF) && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	if werr := to.Finish(whole); !whole {
		end.Result = policy.ResultReset
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			end.Result = failureResult(err)
		}
	} else if werr != nil {
		c.Post(dispatch.ClientLeft{Client: e.Client})
		end.Result = policy.ResultCancelled
	} else {
		end.Result = policy.ResultOK
	}
	return whole && !resp.Close
}

// forwardBody passes an answer on that is no series of events, and tells whether the line can serve again. What fits into the
// buffer is read whole before the leg begins: should it break off, another host may be asked.
func (c *Transport) forwardBody(ctx context.Context, ln *conn, resp *http.Response, l *attempt, e dispatch.StartAttempt, to Downstream,
	end *dispatch.AttemptEnded,
) bool {
	ln.SetReadDeadline(time.Now().Add(c.Limits.FirstEventTimeout))
	size := int64(2 * c.Limits.ControlReadBytes) // of one that does not tell its length
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength+1, int64(c.Limits.StreamEventBytes))
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(resp.Body, buf)
	switch {
	case err == nil:
	case errors.Is(err, io.ErrUnexpectedEOF) && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		end.Result = policy.ResultReset // it shows no end of its own, so that it may have been cut off
		return false
	case errors.Is(err, io.ErrUnexpectedEOF) && (resp.ContentLength < 0 || int64(n) == resp.ContentLength):
		// What net/http says of a chunked answer that ends early is the same error; it is told apart by asking again.
		if _, again := resp.Body.Read(make([]byte, 1)); !errors.Is(again, io.EOF) {
			end.Result = policy.ResultReset
			return false
		}
		err = io.EOF
	case errors.Is(err, io.EOF) && n == 0: // an answer without a body
	default:
		end.Result = failureResult(err)
		return false
	}
	c.Post(dispatch.AttemptStarted{Attempt: e.Attempt})
	if !l.waitBound(ctx) {
		end.Result = policy.ResultCancelled
		return err != nil && !resp.Close // it is read to its end
	}
	observeHead(to, resp)
	for part := buf[:n]; ; part = buf[:n] {
		if n > 0 {
			if werr := to.WriteBody(part); werr != nil {
				c.Post(dispatch.ClientLeft{Client: e.Client})
				end.Result = policy.ResultCancelled
				return false
			}
		}
		if err != nil {
			return c.finish(resp, e, to, err, end)
		}
		ln.SetReadDeadline(time.Now().Add(c.Limits.StreamIdleTimeout))
		n, err = resp.Body.Read(buf)
	}
}

func observeHead(to Downstream, resp *http.Response) {
	if a, ok := to.(HeadObserver); ok {
		a.ObserveHead(resp)
	}
}

// waitBound waits until the broker has said whether the leg is the acquirer's.
func (l *attempt) waitBound(ctx context.Context) bool {
	select {
	case <-l.bound:
		return true
	case <-ctx.Done():
		return false
	}
}

// inspect takes from passing events what the module wants to know, and what a traced leg keeps account of.
func (l *attempt) inspect(part []byte, end *dispatch.AttemptEnded) {
	if usage := afterLast(part, `"usage":`); usage != nil {
		if n, ok := numberAfter(usage, `"cached_tokens":`); ok {
			end.CachedTokens = float64(n)
		}
		if l.times != nil {
			if n, ok := numberAfter(usage, `"completion_tokens":`); ok {
				l.times.Tokens = n
			}
		}
	}
	if l.times != nil {
		l.times.Bytes += len(part)
	}
	if !l.loadReporting.InResponses {
		return
	}
	if text := afterLast(part, "\n: "+loadHeader+":"); text != nil {
		text, _, _ = bytes.Cut(text, []byte("\n"))
		end.Report = ParseLoadReport(string(text), l.loadReporting.Columns)
	}
}

// afterLast returns what stands behind the last place of a name, or nil. Mostly the name is not there: to look for it from
// the front is many times as fast then.
func afterLast(part []byte, name string) []byte {
	if !bytes.Contains(part, []byte(name)) {
		return nil
	}
	return part[bytes.LastIndex(part, []byte(name))+len(name):]
}

// numberAfter reads the number behind the place where a field's name stands.
func numberAfter(text []byte, name string) (n int, ok bool) {
	_, rest, ok := bytes.Cut(text, []byte(name))
	if !ok {
		return 0, false
	}
	digits := bytes.TrimLeft(rest, " ")
	for n < len(digits) && n < 15 && digits[n] >= '0' && digits[n] <= '9' {
		n++
	}
	v, err := strconv.Atoi(string(digits[:n]))
	return v, err == nil
}

// SendProbe does broker.Probe. It does not wait.
func (c *Transport) SendProbe(e dispatch.SendProbe) {
	go func() {
		p := dispatch.ProbeDone{Pool: e.Pool, Host: e.Host, Sent: e.Sent}
		c.mu.Lock()
		r := c.loadReportingOf(e.Pool)
		c.mu.Unlock()
		p.Result, p.Report = c.healthCheck(endpoint{e.Host, e.Addr, e.Pool}, r)
		c.Post(p)
	}()
}

func (c *Transport) healthCheck(to endpoint, r *LoadReporting) (policy.Result, policy.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Limits.HealthCheckTimeout)
	defer cancel()
	ln, err := c.conns.get(ctx, to, c.Limits.ConnectTimeout, 0)
	if err != nil {
		return policy.ResultConnectFailed, policy.Report{}
	}
	path := c.Dialect.HealthCheckPath(r)
	until := time.Now().Add(c.Limits.HealthCheckTimeout)
	ln.SetDeadline(until)
	if _, err := io.WriteString(ln, "GET "+path+" HTTP/1.1\r\nHost: "+to.addr+"\r\n\r\n"); err != nil {
		_ = ln.Close() // the write has told
		return policy.ResultConnectFailed, policy.Report{}
	}
	resp, _, err := c.readResponse(ln, nil, until) //nolint:bodyclose // the body is read off a line that is closed or parked below
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, int64(c.Limits.ControlReadBytes)))
	}
	if err != nil || resp.Close || len(body) >= c.Limits.ControlReadBytes {
		_ = ln.Close() // it can serve no more
	} else {
		c.conns.put(ln)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return policy.ResultTimedOut, policy.Report{}
	case err != nil:
		return policy.ResultReset, policy.Report{}
	case resp.StatusCode != http.StatusOK:
		return policy.ResultError, policy.Report{}
	}
	text := string(body)
	if h := resp.Header.Get(loadHeader); h != "" {
		text = h
	}
	return policy.ResultOK, ParseLoadReport(text, r.Columns)
}

// errMalformedResponse is an answer that cannot be read, on a connection that works: its host lives, and may have run what
// it was sent.
var errMalformedResponse = errors.New("the answer is spoilt")

// failureResult tells how an answer that broke off counts. One that ended with its connection is a reset; one that came
// and cannot be read, or does not come to its end, is an error.
func failureResult(err error) policy.Result {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe), errors.As(err, &op):
		return policy.ResultReset
	}
	return policy.ResultError
}

// readResponse reads the head of the answer to an order (nil: to a probe), past a few interim ones and past whole answers to
// something else: a host that stutters sends one more than it was asked for, and it may come where the next is due. The
// line of such a host is not used again. How long it is silent before the answer is the broker's to bound, or until's;
// from the answer's first byte to its first event it has AnswerWait. first is when its first byte was there.
func (c *Transport) readResponse(ln *conn, o *Request, until time.Time) (_ *http.Response, first time.Time, _ error) {
	for range c.Limits.MaxInterimResponses + 1 {
		if _, err := ln.br.Peek(1); err != nil {
			return nil, first, err
		}
		first = time.Now()
		if soon := first.Add(c.Limits.FirstEventTimeout); until.IsZero() || soon.Before(until) {
			ln.SetReadDeadline(soon)
		}
		head, err := framing.PeekHead(ln.br)
		if err != nil {
			return nil, first, err
		}
		if !framing.HasUniqueFraming(head) || framing.ContainsStatusLine(head) {
			return nil, first, errMalformedResponse
		}
		sanitizeLoadReport(head)
		resp, err := http.ReadResponse(ln.br, nil)
		if err != nil {
			return nil, first, fmt.Errorf("%w: %w", errMalformedResponse, err)
		}
		if resp.StatusCode >= 200 {
			whose := MatchThisRequest
			if o != nil {
				whose = c.Dialect.MatchResponse(o, resp)
			}
			if whose == MatchThisRequest {
				return resp, first, nil
			}
			ln.mustClose = true
			if whose == MatchUnknown {
				return nil, first, errMalformedResponse
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limits.MaxDiscardedBody)); err != nil || n == limits.MaxDiscardedBody || resp.Close {
				return nil, first, cmp.Or(err, errMalformedResponse) // nothing more comes, or too much
			}
		}
		ln.SetReadDeadline(until)
	}
	return nil, first, errMalformedResponse
}

// sanitizeLoadReport takes what cannot stand in a header out of a load report: an unreadable report must not spoil a good answer.
func sanitizeLoadReport(head []byte) {
	for line := range bytes.Lines(head) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte(loadHeader)) {
			for i, b := range value {
				if b < ' ' && b != '\r' && b != '\n' || b == 0x7f {
					value[i] = ' '
				}
			}
		}
	}
}
