package check

import (
	"fmt"
	"io"
	"iter"
	"net"
	"syscall"
	"time"
)

// caller is a client's connection. The front serves it in a coroutine, which stops where it waits for the client.
type caller struct {
	net.Conn
	r      *router
	in     []byte
	err    error
	asks   *asked
	closed bool
	next   func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
}

func (r *router) call() *caller {
	c := &caller{r: r}
	c.next, c.stop = iter.Pull(func(yield func(struct{}) bool) {
		c.yield = yield
		r.front.ServeConn(c)
	})
	r.callers = append(r.callers, c)
	return c
}

func (c *caller) Read(p []byte) (int, error) {
	for len(c.in) == 0 && c.err == nil && !c.closed {
		if !c.yield(struct{}{}) {
			return 0, io.EOF
		}
	}
	if len(c.in) == 0 {
		if c.closed {
			return 0, net.ErrClosed
		}
		return 0, c.err
	}
	n := copy(p, c.in)
	c.in = c.in[n:]
	return n, nil
}

func (c *caller) Write(p []byte) (int, error) {
	if c.closed || c.err != nil {
		return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
	}
	if c.asks != nil && !c.r.dead {
		c.asks.got = append(c.asks.got, p...)
	}
	return len(p), nil
}

func (c *caller) Close() error {
	c.closed = true
	if c.asks != nil {
		c.asks.ended = true
	}
	return nil
}
func (*caller) SetReadDeadline(time.Time) error  { return nil }
func (*caller) SetWriteDeadline(time.Time) error { return nil }
func (*caller) SetDeadline(time.Time) error      { return nil }

// ask has a client send a request.
func (r *router) ask(c *caller, kind string) {
	q := &asked{id: fmt.Sprintf("r%04d", len(r.asked)), once: kind != routeIdempotent, path: "/" + kind + "/x", from: c}
	r.asked = append(r.asked, q)
	c.asks = q
	c.in = fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Remaining-Ms: 5000\r\nContent-Length: 9\r\n\r\nask %s", q.path, q.id, q.id)
	r.tell("%s %s", q.id, kind)
	c.next()
}

// leave has a client go away.
func (c *caller) leave() {
	c.err = io.EOF
	if c.asks != nil {
		c.asks.gone = true
	}
	c.next()
}
