package check

import (
	"fmt"
	"io"
	"iter"
	"net"
	"syscall"
	"time"
)

// clientConn is a client's connection. The frontend serves it in a coroutine, which yields while it waits for the client.
type clientConn struct {
	net.Conn
	walk     *routerWalk
	input    []byte // sent by the client, not yet read
	err      error  // returned by reads after the input
	request  *clientRequest
	isClosed bool
	next     func() (struct{}, bool)
	stop     func()
	yield    func(struct{}) bool
}

// connect opens a client's connection.
func (r *routerWalk) connect() *clientConn {
	c := &clientConn{walk: r}
	c.next, c.stop = iter.Pull(func(yield func(struct{}) bool) {
		c.yield = yield
		r.frontend.ServeConn(c)
	})
	r.clients = append(r.clients, c)
	return c
}

func (c *clientConn) Read(p []byte) (int, error) {
	for len(c.input) == 0 && c.err == nil && !c.isClosed {
		if !c.yield(struct{}{}) {
			return 0, io.EOF
		}
	}
	if len(c.input) == 0 {
		if c.isClosed {
			return 0, net.ErrClosed
		}
		return 0, c.err
	}
	n := copy(p, c.input)
	c.input = c.input[n:]
	return n, nil
}

func (c *clientConn) Write(p []byte) (int, error) {
	if c.isClosed || c.err != nil {
		return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
	}
	if c.request != nil && !c.walk.hasCrashed {
		c.request.received = append(c.request.received, p...)
	}
	return len(p), nil
}

func (c *clientConn) Close() error {
	c.isClosed = true
	if c.request != nil {
		c.request.isConnClosed = true
	}
	return nil
}
func (*clientConn) SetReadDeadline(time.Time) error  { return nil }
func (*clientConn) SetWriteDeadline(time.Time) error { return nil }
func (*clientConn) SetDeadline(time.Time) error      { return nil }

// sendRequest sends a request of a kind, and runs the frontend until it waits for the client.
func (r *routerWalk) sendRequest(c *clientConn, kind string) {
	q := &clientRequest{id: fmt.Sprintf("r%04d", len(r.requests)), isNonIdempotent: kind != routeIdempotent, path: "/" + kind + "/x", client: c}
	r.requests = append(r.requests, q)
	c.request = q
	c.input = fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Remaining-Ms: 5000\r\nContent-Length: 9\r\n\r\nask %s", q.path, q.id, q.id)
	r.logStep("%s %s", q.id, kind)
	c.next()
}

// disconnect closes the client's side of the connection.
func (c *clientConn) disconnect() {
	c.err = io.EOF
	if c.request != nil {
		c.request.clientLeft = true
	}
	c.next()
}
