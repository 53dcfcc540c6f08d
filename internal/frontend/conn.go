package frontend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"notchhinge/internal/dispatch"
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	server         *Server
	br             *bufio.Reader
	bufferReserved int64 // bytes of its buffer beyond the initial size, which count in the body quota
	overLimit      bool  // above the maximum: its requests are rejected
	acceptedAt     time.Time

	mu           sync.Mutex
	busy         bool      // a request is coming in, or its response is not at its end
	hasReceived  bool      // a byte has come in
	lastResponse time.Time // the end of the last response
}

func newConn(s *Server, netConn net.Conn) *conn {
	// A head is checked as a whole before it is parsed, so that the size of the buffer bounds it (see peekHead).
	return &conn{Conn: netConn, server: s, br: bufio.NewReaderSize(netConn, s.Limits.RequestHeadBytes), acceptedAt: time.Now()}
}

// serve serves requests one after another. While a response is on its way it waits for the next request already: so it learns
// that the client has closed the connection.
func (c *conn) serve() {
	c.SetReadDeadline(c.acceptedAt.Add(c.server.Bounds().ReadTimeout))
	defer c.releaseBuffer()
	var open *openRequest
	for first := true; ; first = false {
		_, err := c.br.Peek(1)
		if open != nil && !c.awaitResponse(open, err) {
			return
		}
		if err != nil {
			return
		}
		c.markBusy()
		var rejection *Rejection
		open, rejection = c.receive(first)
		switch {
		case open != nil:
			c.server.Post(open.receivedEvent())
		case rejection == nil: // the client has left within a request
			return
		case !c.writeRejection(rejection):
			return
		default:
			c.markIdle()
		}
	}
}

// awaitResponse waits for the end of a response and reports whether the connection goes on. readErr is what came of waiting
// for the next request.
func (c *conn) awaitResponse(open *openRequest, readErr error) bool {
	if readErr == nil {
		return open.wait()
	}
	if !open.ended.Load() {
		c.server.Post(dispatch.ClientLeft{Client: open})
		open.release()
	}
	return false
}

// receive reads the request of which the first byte has come in. The time of a connection's first request counts from its
// accept, so that a client that waits before its first byte gets no more time than others.
func (c *conn) receive(first bool) (*openRequest, *Rejection) {
	start := time.Now()
	var firstByteAt time.Duration
	if c.server.TraceRequests {
		firstByteAt = c.server.Now()
	}
	if first {
		start = c.acceptedAt
	}
	open, rejection := c.readRequest(start)
	if open != nil && open.origin != nil {
		open.origin.Begun = firstByteAt
	}
	return open, rejection
}

// markBusy notes that a request is coming in.
func (c *conn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.hasReceived = true, true
}

// markIdle notes that a response is at its end, and starts the idle time-out.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.hasReceived = false, true
	c.lastResponse = time.Now()
	// A request that crosses the close has not run, and the client sends it again.
	c.SetReadDeadline(c.lastResponse.Add(c.server.Bounds().IdleTimeout))
}

// closeIdle closes the connection unless it is busy, and reports whether it did.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.Conn.Close()
	}
	return !c.busy
}

// idleSince returns since when the connection is idle, and whether anything has ever come in on it. A connection within
// limits.NewConnGrace of its accept does not count as idle.
func (c *conn) idleSince(now time.Time) (since time.Time, hasReceived, isIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasReceived {
		return c.lastResponse, true, !c.busy
	}
	return c.acceptedAt, false, now.Sub(c.acceptedAt) > c.server.Limits.NewConnGrace
}

func (c *conn) write(b []byte) error {
	c.SetWriteDeadline(time.Now().Add(c.server.Limits.ClientWriteTimeout))
	_, err := c.Write(b)
	return err
}
