// Package issuer speaks with issuer hosts: it keeps the lines to them, runs legs and probes, and says how
// each ended.
package issuer

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

// Order is what a leg sends. But for the budget it is passed on as it came.
type Order struct {
	Method, Target, Host string
	CallID, ContentType  string
	Body                 []byte
	// Of other dialects than the platform's: headers as they are sent, whether a length is, and when its client gives up.
	Header  []byte
	Counted bool
	Until   time.Time
	Once    bool // it must not run twice, so that a line that turns out to be dead costs it its answer
}

// Customer is the acquirer as a leg sees it.
type Customer interface {
	// Order is what the acquirer asked for.
	Order() *Order
	// Relay passes whole events on, at once.
	Relay(events []byte) error
	// Finish ends the answer: whole, or as a stream that broke.
	Finish(whole bool) error
}

// Answerer is a customer that wants to see the head of the answer that is passed on, before its first part.
type Answerer interface{ Answer(resp *http.Response) }

// Dialect is what messages to and from issuer hosts look like. A Client without one speaks the platform's.
type Dialect interface {
	// Head writes an order out, body and all, with the time that is left of its budget and the span that it belongs to.
	Head(o *Order, e *dispatch.StartAttempt, left time.Duration, span *trace.Context) []byte
	// Whose tells what an answer is an answer to: a host that stutters sends others than the one to this order.
	Whose(o *Order, resp *http.Response) Whose
	// Judge says what an answer's head makes of the leg; what it calls OK is passed on.
	Judge(resp *http.Response) policy.Result
	// Streams tells whether an answer that is passed on is a series of events.
	Streams(resp *http.Response) bool
	// Idle is how long the line of an answer may wait for its next order; 0 = as the limits say, below that not at all.
	Idle(resp *http.Response) time.Duration
	// Probe is the path that a probe asks for.
	Probe(r *Reports) string
	// CutRuns tells whether an order may run of which only a part was written before its line broke. Where not, that is a line
	// which could not be had.
	CutRuns() bool
}

// Whose says what an answer is an answer to.
type Whose uint8

// This order; another one; it does not say, so that it may be either.
const (
	Own Whose = iota
	Others
	Nobodys
)

// Config is what a Client is made of.
type Config struct {
	Lim     limits.Limits
	Dialect Dialect
	Reports
	Post func(dispatch.Event)
	Now  dispatch.Clock // for the times of traced legs
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Rest is how long a line may have rested at present that an order uses which must not run twice; 0 = no matter. nil =
	// it never matters.
	Rest func() time.Duration
	// Forgot is told that a host has ended a line that rested, though it takes new ones: it may forget others as well. It
	// must not wait; nil = nobody wants to know.
	Forgot func()
	// Go runs a leg beside its caller; nil = in a goroutine of its own. A walk over the orders of events runs all in one.
	Go func(func())
}

// Client does what the broker asks of issuer hosts.
type Client struct {
	Config
	lines lines
	mu    sync.Mutex
	legs  map[dispatch.AttemptID]*leg
	pools map[hoststate.PoolID]*Reports // where they are not the Config's
}

// Reports say how a pool's hosts tell of their load.
type Reports struct {
	Columns   []string // of load reports
	Stats     bool     // a probe asks for the load report
	Piggyback bool     // any answer may carry one
}

// New returns a client.
func New(c Config) *Client {
	if c.Dialect == nil {
		c.Dialect = platform{}
	}
	if c.Go == nil {
		c.Go = func(f func()) { go f() }
	}
	return &Client{
		Config: c, legs: map[dispatch.AttemptID]*leg{}, pools: map[hoststate.PoolID]*Reports{},
		lines: lines{
			lim: c.Lim, dial: c.Dial, post: c.Post, idle: map[dest][]*line{}, stock: quota.New(int64(c.Lim.UpstreamConns)),
		},
	}
}

// Set says how a pool's hosts report, and what part of the lines is the pool's. It holds for legs sent from now on.
func (c *Client) Set(id hoststate.PoolID, r Reports, lines quota.Claim) {
	c.mu.Lock()
	c.pools[id] = &r
	c.mu.Unlock()
	c.lines.mu.Lock()
	c.lines.stock.SetClaim(int(id), lines)
	c.lines.mu.Unlock()
}

// End closes a pool's idle lines and forgets the pool. Its legs are over.
func (c *Client) End(id hoststate.PoolID) {
	c.lines.closeIf(func(to dest) bool { return to.pool == id })
	c.mu.Lock()
	delete(c.pools, id)
	c.mu.Unlock()
	c.lines.mu.Lock()
	c.lines.stock.EndClaim(int(id))
	c.lines.mu.Unlock()
}

// Lines tells how many lines a pool has, idle ones included.
func (c *Client) Lines(id hoststate.PoolID) int {
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	return int(c.lines.stock.Reserved(int(id)))
}

// Parked tells how many lines wait for their next request.
func (c *Client) Parked() (n int) {
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	for _, all := range c.lines.idle {
		n += len(all)
	}
	return n
}

// Resize changes how many lines there may be. Idle ones beyond that are closed.
func (c *Client) Resize(most int) {
	c.lines.mu.Lock()
	c.lines.stock.Resize(int64(most))
	c.lines.mu.Unlock()
	c.lines.shrink(int64(most))
}

// Most tells how many lines there may be.
func (c *Client) Most() int {
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	return int(c.lines.stock.Total())
}

// reports is how a pool's hosts report. The lock is held.
func (c *Client) reports(id hoststate.PoolID) *Reports {
	if r := c.pools[id]; r != nil {
		return r
	}
	return &c.Config.Reports
}

// leg is a leg that is out.
type leg struct {
	cancel  context.CancelFunc
	verdict chan struct{} // the leg is bound
	line    *line
	dropped bool
	reports *Reports
	span    *trace.Context // what it carries to its host; nil where nothing is traced
	times   *trace.Times   // likewise
	began   time.Time
	at      time.Duration // the loop's clock then; only where times are kept
}

// stamp notes a time of a traced leg. It converts what was read anyway: reading a clock is no small part of what
// tracing costs.
func (l *leg) stamp(at *time.Duration, t time.Time) { *at = l.at + t.Sub(l.began) }

// Send does broker.SendLeg. It does not wait.
func (c *Client) Send(e dispatch.StartAttempt) { c.send(e, nil) }

// SendTraced does broker.SendTraced. It does not wait.
func (c *Client) SendTraced(e dispatch.StartTracedAttempt) { c.send(e.StartAttempt, e.Span) }

func (c *Client) send(e dispatch.StartAttempt, span *trace.Carried) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &leg{cancel: cancel, verdict: make(chan struct{}, 1)}
	if span != nil {
		l.span, l.times = &span.Context, &span.Times
	}
	c.mu.Lock()
	c.legs[e.Attempt], l.reports = l, c.reports(e.Pool)
	c.mu.Unlock()
	c.Go(func() { c.run(ctx, l, e) })
}

// Perform does an effect that concerns legs and lines, and tells whether it was one. It does not wait.
func (c *Client) Perform(e dispatch.Effect) bool {
	switch e := e.(type) {
	case dispatch.StartAttempt:
		c.Send(e)
	case dispatch.StartTracedAttempt:
		c.SendTraced(e)
	case dispatch.BindAttempt:
		c.Bind(e.Attempt)
	case dispatch.CancelAttempt:
		c.Drop(e.Attempt)
	case dispatch.CloseIdleConnection:
		c.HangUp(e.Connection)
	case dispatch.SendProbe:
		c.Probe(e)
	default:
		return false
	}
	return true
}

// Bind does broker.Bind.
func (c *Client) Bind(id dispatch.AttemptID) {
	if l := c.find(id); l != nil {
		l.verdict <- struct{}{} // at most one Bind a leg, so that there is room
	}
}

// Drop does broker.DropLeg: the leg's line is closed, whatever it is at.
func (c *Client) Drop(id dispatch.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.legs[id]
	if l == nil {
		return
	}
	l.dropped = true
	l.cancel()
	if l.line != nil {
		_ = l.line.Close() // the leg's reads end by it
	}
}

func (c *Client) find(id dispatch.AttemptID) *leg {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.legs[id]
}

// HangUp does broker.HangUp.
func (c *Client) HangUp(number uint64) { c.lines.hangUp(number) }

// Close closes the idle lines.
func (c *Client) Close() { c.lines.closeIf(func(dest) bool { return true }) }

func (c *Client) run(ctx context.Context, l *leg, e dispatch.StartAttempt) {
	end := dispatch.AttemptEnded{Attempt: e.Attempt}
	var keep *line
	defer func() {
		l.cancel()
		c.mu.Lock()
		delete(c.legs, e.Attempt)
		dropped := l.dropped
		c.mu.Unlock()
		if l.span != nil {
			l.stamp(&l.times.Ended, time.Now())
			end.Times = l.times
		}
		c.Post(end)
		if keep != nil && !dropped {
			c.lines.put(keep)
		} else if l.line != nil {
			_ = l.line.Close() // how the leg ended is known
		}
	}()
	l.began = time.Now()
	if l.times != nil {
		l.at = c.Now()
		l.times.Begun = l.at
	}
	customer := e.Client.(Customer)
	most := time.Duration(0)
	if c.Rest != nil && customer.Order().Once {
		most = c.Rest()
	}
	ln, err := c.lines.get(ctx, dest{e.Host, e.Addr, e.Pool}, min(c.Lim.ConnectTimeout, e.Timeout), most)
	if err != nil {
		end.Result = policy.ResultConnectFailed
		return
	}
	lined := time.Now()
	if l.times != nil {
		l.times.Fresh = ln.number == 0
		l.stamp(&l.times.Lined, lined)
	}
	c.mu.Lock()
	l.line = ln
	dropped := l.dropped
	c.mu.Unlock()
	if dropped {
		end.Result = policy.ResultConnectFailed
		return
	}
	ln.SetWriteDeadline(l.began.Add(e.Timeout))
	var until time.Time
	if n, err := ln.Write(c.Dialect.Head(customer.Order(), &e, e.Timeout-lined.Sub(l.began), l.span)); err != nil && (n == 0 || !c.Dialect.CutRuns()) {
		end.Result = policy.ResultConnectFailed // not enough of it is on its way to run
		end.StaleConnection = c.stale(ln)
		return
	} else if err != nil {
		// Some of it is, and a host may begin before it has all. If it has answered, that is there or comes at once.
		ln.unclean, until = true, time.Now().Add(cutWait)
		ln.SetReadDeadline(until)
	}
	if l.times != nil {
		l.stamp(&l.times.Written, time.Now())
	}
	resp, first, err := c.readResponse(ln, customer.Order(), until) //nolint:bodyclose // the body is read off a line that the leg closes or parks
	if l.times != nil && !first.IsZero() {
		l.stamp(&l.times.First, first)
	}
	if err != nil {
		end.Result = ended(err) // a stale line ends here too: nothing is sent again behind the module's back
		end.StaleConnection = end.Result == policy.ResultReset && ln.br.Buffered() == 0 && c.stale(ln)
		return
	}
	if l.reports.Piggyback {
		end.Report = ParseReport(resp.Header.Get(loadHeader), l.reports.Columns)
	}
	ln.idle = c.Dialect.Idle(resp)
	if result := c.Dialect.Judge(resp); result != policy.ResultOK {
		end.Result, end.ReachedOtherHost = result, result == policy.ResultConnectFailed
		if k, ok := customer.(Keeper); ok && c.Dialect != (platform{}) {
			if k.Keep(result, resp, ln) && !resp.Close {
				keep = ln
			}
		} else if drained(ln, resp) {
			keep = ln
		}
		return
	}
	pass := c.stream
	if !c.Dialect.Streams(resp) {
		pass = c.plain
	}
	if pass(ctx, ln, resp, l, e, customer, &end) {
		keep = ln
	}
}

// cutWait is how long the answer to a request is waited for whose connection has ended before it was written whole.
const cutWait = 100 * time.Millisecond

// stale tells whether a line that ended without a word of an answer had served before. Its host may have closed it
// long ago, which says nothing of the host now; the lines parked beside it are no better.
func (c *Client) stale(ln *line) bool {
	if ln.number == 0 {
		return false
	}
	c.lines.clear(ln.to)
	if c.Forgot != nil {
		c.Go(func() { c.forgot(ln.to) })
	}
	return true
}

// forgot finds out whether a host that has ended a line takes new ones, or has ended itself. The new one is parked.
func (c *Client) forgot(to dest) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Lim.ConnectTimeout)
	defer cancel()
	if ln, err := c.lines.get(ctx, to, c.Lim.ConnectTimeout, 0); err == nil {
		c.lines.put(ln)
		c.Forgot()
	}
}

// Keeper is a customer that wants to see answers that are not passed on: should nothing better come, one of them may be
// all that there is to tell. It reads the body, and tells whether it has come to its end.
type Keeper interface {
	Keep(r policy.Result, resp *http.Response, line net.Conn) (whole bool)
}

// drained reads the rest of a small answer, so that its line can serve again.
func drained(ln *line, resp *http.Response) bool {
	const small, soon = 4 << 10, 100 * time.Millisecond
	ln.SetReadDeadline(time.Now().Add(soon))
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, small))
	return err == nil && n < small && !resp.Close
}

// stream passes a stream on once the leg is bound, and tells whether the line can serve again.
func (c *Client) stream(ctx context.Context, ln *line, resp *http.Response, l *leg, e dispatch.StartAttempt, to Customer,
	end *dispatch.AttemptEnded,
) bool {
	ev := events{from: resp.Body, most: c.Lim.StreamEventBytes, buf: make([]byte, 0, c.Lim.ControlReadBytes)}
	part, err := ev.next()
	if len(part) == 0 {
		// An answer without any event is not a stream; one that breaks before its first event is a reset.
		end.Result = ended(err)
		if errors.Is(err, io.EOF) {
			end.Result = policy.ResultError
		}
		return false
	}
	if l.times != nil {
		l.stamp(&l.times.Event, time.Now())
	}
	c.Post(dispatch.AttemptStarted{Attempt: e.Attempt})
	if !l.bound(ctx) {
		end.Result = policy.ResultCancelled
		return false
	}
	tell(to, resp)
	var relay time.Time // of the write under way
	if l.times != nil {
		relay = time.Now()
		l.stamp(&l.times.Bound, relay)
	}
	for {
		l.note(part, end)
		if werr := to.Relay(part); werr != nil {
			c.Post(dispatch.ClientLeft{Client: e.Client})
			end.Result = policy.ResultCancelled
			return false
		}
		if err != nil {
			break
		}
		now := time.Now()
		ln.SetReadDeadline(now.Add(c.Lim.StreamIdleTimeout))
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
func (c *Client) finish(resp *http.Response, e dispatch.StartAttempt, to Customer, err error, end *dispatch.AttemptEnded) bool {
	// Only a framed answer shows its end; one that lasts as long as its connection may have been cut off.
	whole := errors.Is(err, io.EOF) && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	if werr := to.Finish(whole); !whole {
		end.Result = policy.ResultReset
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			end.Result = ended(err)
		}
	} else if werr != nil {
		c.Post(dispatch.ClientLeft{Client: e.Client})
		end.Result = policy.ResultCancelled
	} else {
		end.Result = policy.ResultOK
	}
	return whole && !resp.Close
}

// plain passes an answer on that is no series of events, and tells whether the line can serve again. What fits into the
// buffer is read whole before the leg begins: should it break off, another host may be asked.
func (c *Client) plain(ctx context.Context, ln *line, resp *http.Response, l *leg, e dispatch.StartAttempt, to Customer,
	end *dispatch.AttemptEnded,
) bool {
	ln.SetReadDeadline(time.Now().Add(c.Lim.FirstEventTimeout))
	size := int64(2 * c.Lim.ControlReadBytes) // of one that does not tell its length
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength+1, int64(c.Lim.StreamEventBytes))
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
		end.Result = ended(err)
		return false
	}
	c.Post(dispatch.AttemptStarted{Attempt: e.Attempt})
	if !l.bound(ctx) {
		end.Result = policy.ResultCancelled
		return err != nil && !resp.Close // it is read to its end
	}
	tell(to, resp)
	for part := buf[:n]; ; part = buf[:n] {
		if n > 0 {
			if werr := to.Relay(part); werr != nil {
				c.Post(dispatch.ClientLeft{Client: e.Client})
				end.Result = policy.ResultCancelled
				return false
			}
		}
		if err != nil {
			return c.finish(resp, e, to, err, end)
		}
		ln.SetReadDeadline(time.Now().Add(c.Lim.StreamIdleTimeout))
		n, err = resp.Body.Read(buf)
	}
}

func tell(to Customer, resp *http.Response) {
	if a, ok := to.(Answerer); ok {
		a.Answer(resp)
	}
}

// bound waits until the broker has said whether the leg is the acquirer's.
func (l *leg) bound(ctx context.Context) bool {
	select {
	case <-l.verdict:
		return true
	case <-ctx.Done():
		return false
	}
}

// note takes from passing events what the module wants to know, and what a traced leg keeps account of.
func (l *leg) note(part []byte, end *dispatch.AttemptEnded) {
	if usage := tail(part, `"usage":`); usage != nil {
		if n, ok := number(usage, `"cached_tokens":`); ok {
			end.CachedTokens = float64(n)
		}
		if l.times != nil {
			if n, ok := number(usage, `"completion_tokens":`); ok {
				l.times.Tokens = n
			}
		}
	}
	if l.times != nil {
		l.times.Bytes += len(part)
	}
	if !l.reports.Piggyback {
		return
	}
	if text := tail(part, "\n: "+loadHeader+":"); text != nil {
		text, _, _ = bytes.Cut(text, []byte("\n"))
		end.Report = ParseReport(string(text), l.reports.Columns)
	}
}

// tail returns what stands behind the last place of a name, or nil. Mostly the name is not there: to look for it from
// the front is many times as fast then.
func tail(part []byte, name string) []byte {
	if !bytes.Contains(part, []byte(name)) {
		return nil
	}
	return part[bytes.LastIndex(part, []byte(name))+len(name):]
}

// number reads the number behind the place where a field's name stands.
func number(text []byte, name string) (n int, ok bool) {
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

// Probe does broker.Probe. It does not wait.
func (c *Client) Probe(e dispatch.SendProbe) {
	go func() {
		p := dispatch.ProbeDone{Pool: e.Pool, Host: e.Host, Sent: e.Sent}
		c.mu.Lock()
		r := c.reports(e.Pool)
		c.mu.Unlock()
		p.Result, p.Report = c.probe(dest{e.Host, e.Addr, e.Pool}, r)
		c.Post(p)
	}()
}

func (c *Client) probe(to dest, r *Reports) (policy.Result, policy.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Lim.HealthCheckTimeout)
	defer cancel()
	ln, err := c.lines.get(ctx, to, c.Lim.ConnectTimeout, 0)
	if err != nil {
		return policy.ResultConnectFailed, policy.Report{}
	}
	path := c.Dialect.Probe(r)
	until := time.Now().Add(c.Lim.HealthCheckTimeout)
	ln.SetDeadline(until)
	if _, err := io.WriteString(ln, "GET "+path+" HTTP/1.1\r\nHost: "+to.addr+"\r\n\r\n"); err != nil {
		_ = ln.Close() // the write has told
		return policy.ResultConnectFailed, policy.Report{}
	}
	resp, _, err := c.readResponse(ln, nil, until) //nolint:bodyclose // the body is read off a line that is closed or parked below
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, int64(c.Lim.ControlReadBytes)))
	}
	if err != nil || resp.Close || len(body) >= c.Lim.ControlReadBytes {
		_ = ln.Close() // it can serve no more
	} else {
		c.lines.put(ln)
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
	return policy.ResultOK, ParseReport(text, r.Columns)
}

// errSpoilt is an answer that cannot be read, on a connection that works: its host lives, and may have run what
// it was sent.
var errSpoilt = errors.New("the answer is spoilt")

// ended tells how an answer that broke off counts. One that ended with its connection is a reset; one that came
// and cannot be read, or does not come to its end, is an error.
func ended(err error) policy.Result {
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
func (c *Client) readResponse(ln *line, o *Order, until time.Time) (_ *http.Response, first time.Time, _ error) {
	for range c.Lim.MaxInterimResponses + 1 {
		if _, err := ln.br.Peek(1); err != nil {
			return nil, first, err
		}
		first = time.Now()
		if soon := first.Add(c.Lim.FirstEventTimeout); until.IsZero() || soon.Before(until) {
			ln.SetReadDeadline(soon)
		}
		head, err := framing.Head(ln.br)
		if err != nil {
			return nil, first, err
		}
		if !framing.Single(head) || framing.Merged(head) {
			return nil, first, errSpoilt
		}
		blank(head)
		resp, err := http.ReadResponse(ln.br, nil)
		if err != nil {
			return nil, first, fmt.Errorf("%w: %w", errSpoilt, err)
		}
		if resp.StatusCode >= 200 {
			whose := Own
			if o != nil {
				whose = c.Dialect.Whose(o, resp)
			}
			if whose == Own {
				return resp, first, nil
			}
			ln.unclean = true
			if whose == Nobodys {
				return nil, first, errSpoilt
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limits.MaxDiscardedBody)); err != nil || n == limits.MaxDiscardedBody || resp.Close {
				return nil, first, cmp.Or(err, errSpoilt) // nothing more comes, or too much
			}
		}
		ln.SetReadDeadline(until)
	}
	return nil, first, errSpoilt
}

// blank takes what cannot stand in a header out of a load report: an unreadable report must not spoil a good answer.
func blank(head []byte) {
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
