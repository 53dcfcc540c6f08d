package check

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"notchhinge/internal/dispatch"
)

// engineConn is a connection to an engine.
type engineConn struct {
	net.Conn
	walk          *routerWalk
	host          string
	readable      []byte // bytes that the router can read
	remainder     []byte // of a response that has begun
	surplus       []byte // bytes sent before the next response
	err           error  // returned by reads after readable
	request       *clientRequest
	delivery      *delivery
	isRetry       bool   // the request has reached an engine before
	isSilent      bool   // the engine sends nothing more
	unusable      string // why the connection must not be reused; "" = it may be
	unusableLater string // value of unusable once the remainder has been sent
	isForgotten   bool   // the engine no longer has it open, and resets it at the next request
	isClosed      bool
}

var errReset = &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}

func (r *routerWalk) dial(_ context.Context, _, addr string) (net.Conn, error) {
	c := &engineConn{walk: r, host: addr}
	r.engineConns = append(r.engineConns, c)
	return c, nil
}

func (*engineConn) SetReadDeadline(time.Time) error  { return nil }
func (*engineConn) SetWriteDeadline(time.Time) error { return nil }
func (*engineConn) SetDeadline(time.Time) error      { return nil }
func (c *engineConn) Close() error                   { c.isClosed = true; return nil }

// IsIdle implements upstream.IdleChecker.
func (c *engineConn) IsIdle() bool {
	return c.walk.skipsIdleCheck || len(c.readable) == 0 && c.err == nil
}

// Write handles a request that the router sends: the walk picks how much of it arrives.
func (c *engineConn) Write(b []byte) (int, error) {
	r := c.walk
	if c.isClosed || r.hasCrashed {
		return 0, net.ErrClosed
	}
	_, id, _ := bytes.Cut(b, []byte("X-Request-Id: "))
	id, _, _ = bytes.Cut(id, []byte("\r\n"))
	i := slices.IndexFunc(r.requests, func(q *clientRequest) bool { return q.id == string(id) })
	if i < 0 {
		r.violate("%q is sent, but no client has sent this request", b)
		return len(b), nil
	}
	q := r.requests[i]
	if c.unusable != "" {
		r.violate("%s is sent on an unusable connection (%s)", q.id, c.unusable)
	}
	c.request, c.isRetry, c.unusable = q, len(q.deliveries) > 0, "its response is incomplete"
	recordDelivery := func() {
		if q.isNonIdempotent && slices.ContainsFunc(q.deliveries, func(d *delivery) bool { return !d.isNotExecuted }) {
			r.violate("%s is not idempotent and is sent again", q.id)
		}
		c.delivery = &delivery{isLost: c.isForgotten, at: r.now}
		q.deliveries = append(q.deliveries, c.delivery)
	}
	if c.isForgotten {
		recordDelivery()
		c.err = errReset
		r.logStep("%s to %s on a connection that the engine has forgotten", q.id, c.host)
		return len(b), nil
	}
	failure := 0
	if !r.respondsNormally && !c.isRetry {
		failure = r.pick(5)
	}
	written := []int{len(b), 0, 40, len(b) - 3, len(b) - 3}[failure]
	r.logStep("%s to %s: %s", q.id, c.host, []string{
		"whole", "reset before it", "reset within its header", "response before its end, then reset", "rejected before its end, then reset",
	}[failure])
	if failure == 0 {
		recordDelivery()
		return len(b), nil
	}
	c.err = errReset
	if failure > 1 {
		recordDelivery()
	}
	if failure == 3 {
		c.readable = c.response(q, "")
	}
	if failure == 4 {
		c.readable = c.errorResponse(q, "503 Service Unavailable", true)
	}
	return written, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

// Read returns the bytes that have arrived; if there are none, the walk picks the next event.
func (c *engineConn) Read(p []byte) (int, error) {
	for {
		switch {
		case c.isClosed, c.walk.hasCrashed:
			return 0, net.ErrClosed
		case len(c.readable) > 0:
			n := copy(p, c.readable)
			c.readable = c.readable[n:]
			return n, nil
		case c.err != nil:
			return 0, c.err
		}
		c.nextEvent()
	}
}

// response returns a complete response to a request; head holds additional header lines.
func (c *engineConn) response(q *clientRequest, head string) []byte {
	n := len(q.responses)
	seal := fmt.Sprintf("seal-%s-%d", q.id, n)
	body := fmt.Sprintf("id: 0\ndata: %s %d\n\nid: 1\ndata: end of %s\n\n", q.id, n, q.id)
	q.responses = append(q.responses, seal+" "+body)
	start := "HTTP/1.1 200 OK\r\nX-Response-Seal: " + seal + "\r\nX-Request-Id: " + q.id + "\r\nKeep-Alive: timeout=10\r\n" + head
	if strings.Contains(q.path, routeStreaming) {
		at := strings.Index(body, "\n\n") + 2
		return fmt.Appendf(nil, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", start, at, body[:at], len(body)-at, body[at:])
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", start, len(body), body)
}

// errorResponse returns a response with an error status.
func (c *engineConn) errorResponse(q *clientRequest, status string, notExecuted bool) []byte {
	head := ""
	if notExecuted {
		head = "X-Not-Executed: 1\r\n"
	}
	if c.delivery != nil && (notExecuted || strings.HasPrefix(status, "421")) {
		c.delivery.isNotExecuted = true
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: 6\r\n\r\n%s.", status, q.id, head, q.id)
}

// deliver makes a response readable, after the surplus bytes of an earlier one.
func (c *engineConn) deliver(b []byte) {
	c.unusable = ""
	if len(c.surplus) > 0 {
		c.unusable = "it has sent an unexpected response"
	}
	c.readable, c.surplus = slices.Concat(c.surplus, b), nil
}

// event is a possible next event on a connection.
type event struct {
	name string
	do   func()
}

// nextEvent picks and applies the next event on a connection on which the router waits.
func (c *engineConn) nextEvent() {
	q, r := c.request, c.walk
	if r.respondsNormally {
		c.deliver(c.response(q, ""))
		return
	}
	var all []event
	add := func(name string, do func()) { all = append(all, event{name, do}) }
	end := func(err error) { c.err, c.unusable = err, "it is closed" }
	switch {
	case c.isSilent:
	case c.remainder != nil:
		add("the remaining bytes", func() { c.readable, c.remainder, c.unusable = c.remainder, nil, c.unusableLater })
		add("a reset", func() { end(errReset) })
		add("a close", func() { end(io.EOF) })
	case c.isRetry && r.limitsRetryEvents:
		c.addCommonEvents(add, end)
	default:
		c.addCommonEvents(add, end)
		c.addRareEvents(add, end)
	}
	if r.externalEvents > 0 {
		c.addExternalEvents(add)
	}
	// If the engine stays silent, the attempt ends at the deadline, or when the client disconnects after a partial response.
	add("the deadline", func() {
		r.now += 6 * time.Second
		r.post(dispatch.Tick{})
		if !c.isClosed {
			q.client.disconnect()
		}
		if !c.isClosed {
			r.violate("an attempt of %s continues after its client has disconnected", q.id)
			c.isClosed = true
		}
	})
	picked := all[r.pick(len(all))]
	r.logStep("%s at %s: %s", q.id, c.host, picked.name)
	picked.do()
}

// addCommonEvents adds the most frequent events.
func (c *engineConn) addCommonEvents(add func(string, func()), end func(error)) {
	q := c.request
	add("a response", func() { c.deliver(c.response(q, "")) })
	add("503, not executed", func() { c.deliver(c.errorResponse(q, "503 Service Unavailable", true)) })
	add("421", func() { c.deliver(c.errorResponse(q, "421 Misdirected Request", false)) })
	add("500", func() { c.deliver(c.errorResponse(q, "500 Internal Server Error", false)) })
	add("a reset", func() { end(errReset) })
}

// addRareEvents adds the remaining events of an engine.
func (c *engineConn) addRareEvents(add func(string, func()), end func(error)) {
	q, r := c.request, c.walk
	addPartial := func(name string, upTo func(b []byte) int) {
		add(name, func() {
			b := c.response(q, "")
			at := upTo(b)
			c.deliver(b[:at])
			c.remainder, c.unusableLater, c.unusable = b[at:], c.unusable, "its response is incomplete"
		})
	}
	addPartial("first byte of a response", func([]byte) int { return 1 })
	addPartial("half a header", func([]byte) int { return 50 })
	addPartial("a header", func(b []byte) int { return bytes.Index(b, []byte("\r\n\r\n")) + 4 })
	addPartial("a response without its last bytes", func(b []byte) int { return len(b) - 3 })
	addPartial("first event of a response", func(b []byte) int { return bytes.Index(b, []byte("\n\n")) + 2 })
	add("a response, Connection: close", func() {
		c.deliver(c.response(q, "Connection: close\r\n"))
		end(io.EOF)
	})
	add("a response without a length", func() {
		b := c.response(q, "")
		at := bytes.Index(b, []byte("Content-Length"))
		if at < 0 {
			at = bytes.Index(b, []byte("Transfer-Encoding"))
		}
		c.deliver(append(b[:at:at], "X-No: length\r\n\r\nid: 0\ndata: x\n\n"...))
		q.responses = q.responses[:len(q.responses)-1] // it is incomplete
		end(io.EOF)
	})
	secondResponse := func() []byte {
		b := c.response(q, "")
		q.responses = q.responses[:len(q.responses)-1] // the response after it has the same number
		return b
	}
	add("a response and a second one", func() {
		second := secondResponse()
		c.deliver(append(c.response(q, ""), second...))
		c.unusable = "it has sent an unexpected response"
	})
	add("a response and half of a second one", func() {
		second := secondResponse()
		c.deliver(append(c.response(q, ""), second[:50]...))
		c.unusable = "it has sent an unexpected response"
	})
	add("a response, and a second one while the connection is idle", func() {
		second := secondResponse()
		c.deliver(c.response(q, ""))
		c.deliverWhenIdle(second)
	})
	add("a response, and a second one before the next", func() {
		second := secondResponse()
		c.deliver(c.response(q, ""))
		c.surplus = second
	})
	add("a response, and a part of a second one before the next", func() {
		second := secondResponse()
		c.deliver(c.response(q, ""))
		head := bytes.Index(second, []byte("\r\n\r\n")) + 4
		if r.cutsEveryByte {
			c.surplus = second[:r.pick(len(second)-1)+1]
			return
		}
		c.surplus = second[:[]int{9, 17, 19, 40, head - 4, head, head + 5, len(second) - 3}[r.pick(8)]]
	})
	add("a response to another request, then to this one", func() {
		c.deliver(append(c.response(&clientRequest{id: "r9999", path: q.path}, ""), c.response(q, "")...))
		c.unusable = "it has sent an unexpected response"
	})
	add("a response to another request", func() {
		c.deliver(c.response(&clientRequest{id: "r9999", path: q.path}, ""))
		c.unusable, c.isSilent = "it has sent an unexpected response", true
	})
	add("a response without a request ID", func() {
		c.deliver(bytes.Replace(c.response(q, ""), []byte("X-Request-Id"), []byte("X-Else"), 1))
		q.responses, c.unusable = q.responses[:len(q.responses)-1], "it has sent an unexpected response"
	})
	add("103 and a response", func() { c.deliver(append([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), c.response(q, "")...)) })
	add("nonsense", func() {
		c.deliver([]byte("\x00\xff nonsense\r\n\r\n"))
		c.unusable = "it has sent an unexpected response"
	})
	for _, status := range []string{"429 Too Many Requests", "408 Request Timeout"} {
		add(status+", not executed", func() { c.deliver(c.errorResponse(q, status, true)) })
	}
	for _, status := range []string{
		"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "504 Gateway Timeout", "404 Not Found",
	} {
		add(status, func() { c.deliver(c.errorResponse(q, status, false)) })
	}
	add("400, not executed", func() { c.deliver(c.errorResponse(q, "400 Bad Request", true)) })
	add("half of 503, not executed", func() { c.deliver([]byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n")); end(errReset) })
	add("a close", func() { end(io.EOF) })
}

// deliverWhenIdle makes unrequested bytes arrive once the response has been read, where IsIdle detects them.
func (c *engineConn) deliverWhenIdle(more []byte) {
	r := c.walk
	r.whenIdle = append(r.whenIdle, func() { c.readable, c.unusable = append(c.readable, more...), "it has unrequested bytes" })
}

// addExternalEvents adds events of clients and of the router's process. At most two occur in a run, or one if cutsEveryByte is set.
func (c *engineConn) addExternalEvents(add func(string, func())) {
	q, r := c.request, c.walk
	addOnce := func(name string, do func()) {
		add(name, func() { r.externalEvents--; do() })
	}
	if q.client.err == nil {
		addOnce("its client disconnects", func() { q.client.disconnect() })
	}
	if !r.isDraining {
		addOnce("a drain", func() { r.isDraining = true; r.frontend.Drain() })
	}
	if len(r.requests) < 2 {
		addOnce("another client's request", func() {
			r.respondsNormally = r.cutsEveryByte
			r.sendRequest(r.connect(), r.secondKind)
			r.runAttempts()
			r.respondsNormally = false
		})
	}
	addOnce("the router crashes", func() { r.hasCrashed = true })
}

// idleConnEvents picks what happens to connections while they are idle.
func (r *routerWalk) idleConnEvents() {
	for _, f := range r.whenIdle {
		f()
	}
	r.whenIdle = nil
	var idle []*engineConn
	for _, c := range r.engineConns {
		if !c.isClosed {
			idle = append(idle, c)
		}
	}
	if len(idle) == 0 || r.hasCrashed {
		return
	}
	switch r.pick(4) {
	case 1:
		r.logStep("connections are closed")
		for _, c := range idle {
			c.err, c.unusable = io.EOF, "it is closed"
		}
	case 2:
		r.logStep("connections are forgotten")
		for _, c := range idle {
			c.isForgotten = true
		}
	case 3:
		r.logStep("connections are idle for long")
		r.now += 20 * time.Second
		r.post(dispatch.Tick{})
		for _, c := range idle {
			if c.unusable = "it was idle for too long"; !c.isClosed {
				r.violate("an idle connection to %s is still open", c.host)
			}
		}
	}
}
