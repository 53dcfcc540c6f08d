package frontend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"notchhinge/internal/dispatch"
)

// conn is a client connection.
type conn struct {
	net.Conn
	server         *Server
	br             *bufio.Reader
	bufferReserved int64 // bytes reserved in the body quota for growth of br
	overLimit      bool  // accepted above the maximum, so its requests are rejected
	acceptedAt     time.Time

	mu           sync.Mutex
	busy         bool      // a request is being read or answered
	hasReceived  bool      // at least one byte was received
	lastResponse time.Time // when the last response ended
}

func newConn(s *Server, netConn net.Conn) *conn {
	// peekHead checks a whole head in the buffer before it is parsed, so the size of the buffer bounds the head.
	return &conn{Conn: netConn, server: s, br: bufio.NewReaderSize(netConn, s.Limits.RequestHeadBytes), acceptedAt: time.Now()}
}

// serve reads and answers one request after another. While a response is being written it already waits for the next byte, in order
// to detect that the client has closed the connection.
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
		case rejection == nil: // the client disconnected within a request
			return
		case !c.writeRejection(rejection):
			return
		default:
			c.markIdle()
		}
	}
}

// awaitResponse waits for the end of a response and reports whether the connection stays open. readErr is the result of waiting for
// the next request; an error means that the client has disconnected.
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

// receive reads a request whose first byte has arrived. The read timeout starts at that byte, or at the accept for the first request
// of a connection, so that a client cannot gain time by delaying its first byte.
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
		open.origin.FirstByte = firstByteAt
	}
	return open, rejection
}

// markBusy marks the connection as reading a request.
func (c *conn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.hasReceived = true, true
}

// markIdle marks the connection as idle after a response and starts the idle timeout.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.hasReceived = false, true
	c.lastResponse = time.Now()
	// A request that arrives at the moment of the close does not run, and the client can send it again.
	c.SetReadDeadline(c.lastResponse.Add(c.server.Bounds().IdleTimeout))
}

// closeIdle closes the connection unless it is busy, and reports whether it closed it.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.Conn.Close()
	}
	return !c.busy
}

// idleSince returns when the connection became idle, whether it has received any byte, and whether it is idle now. An unused
// connection does not count as idle within Limits.NewConnGrace of its accept.
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
