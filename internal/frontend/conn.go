package frontend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/framing"
	"notchhinge/internal/limits"
	"notchhinge/internal/trace"
)

// conn is a connection from an acquirer.
type conn struct {
	net.Conn
	server         *Server
	br             *bufio.Reader
	bufferReserved int64     // bytes that its buffer has beyond the usual, out of the room for bodies
	overLimit      bool      // beyond the connections that are kept
	acceptedAt     time.Time // when it was accepted

	mu           sync.Mutex
	busy         bool      // a message has begun to come in, or its answer is not at its end
	lastResponse time.Time // since its last answer
	hasReceived  bool      // it has sent something
}

func newConn(s *Server, nc net.Conn) *conn {
	// A head is looked at as a whole before it is parsed, so that the buffer is what bounds it; it grows to the bounds.
	return &conn{Conn: nc, server: s, br: bufio.NewReaderSize(nc, s.Limits.RequestHeadBytes), acceptedAt: time.Now()}
}

func (c *conn) setBusy(b bool) {
	c.mu.Lock()
	c.busy, c.hasReceived = b, true
	if !b {
		c.lastResponse = time.Now()
		// Closing on a message that crosses it is harmless: its acquirer sends that one again.
		c.SetReadDeadline(c.lastResponse.Add(c.server.Bounds().IdleTimeout))
	}
	c.mu.Unlock()
}

// closeIdle closes the connection unless it is busy.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.Conn.Close()
	}
	return !c.busy
}

// idleSince tells since when a connection is idle, and whether anything has ever been asked on it. One that is
// new is about to be used.
func (c *conn) idleSince(now time.Time) (at time.Time, asked, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasReceived {
		return c.lastResponse, true, !c.busy
	}
	return c.acceptedAt, false, now.Sub(c.acceptedAt) > c.server.Limits.NewConnGrace
}

// serve takes messages one after another. While an answer is on its way it already waits for the next
// message, since that is how it learns that the acquirer has gone.
func (c *conn) serve() {
	var open *openRequest
	c.SetReadDeadline(c.acceptedAt.Add(c.server.Bounds().ReadTimeout))
	defer c.releaseBuffer()
	for first := true; ; first = false {
		_, err := c.br.Peek(1)
		if open != nil {
			if err != nil && !open.finished() {
				c.server.Post(dispatch.ClientLeft{Client: open})
				open.release()
				return
			}
			if err == nil && !open.wait() {
				return
			}
		}
		if err != nil {
			return
		}
		c.setBusy(true)
		var d *Rejection
		from := time.Now()
		var begun time.Duration
		if c.server.TraceRequests {
			begun = c.server.Now()
		}
		if first {
			from = c.acceptedAt // one that dawdles before its first byte gets no more time than any other
		}
		open, d = c.readRequest(from)
		if open != nil {
			if open.origin != nil {
				open.origin.Begun = begun
			}
			c.server.Post(dispatch.RequestReceived{
				Client: open, Pool: open.pool, ClientRequestID: open.ClientRequestID, ReceivedAt: open.receivedAt, Request: open.Policy, MaxAttempts: open.MaxAttempts,
				Origin: open.origin,
			})
			continue
		}
		if d == nil {
			return // the acquirer went away within a message
		}
		if !c.writeRejection(d) {
			return
		}
		c.setBusy(false)
	}
}

// errNoHeadCapacity is a head that is within the bounds, and for which there is no room.
var errNoHeadCapacity = errors.New("there is no room for a head")

// readHead looks at the head that comes next. Its buffer grows as far as the bounds go and room is left.
func (c *conn) readHead(b *limits.RequestBounds) ([]byte, error) {
	for {
		head, err := framing.PeekHead(c.br)
		line := bytes.IndexByte(head, '\n') + 1
		if err == nil && (len(head) > b.HeadBytes || b.HeaderBytes > 0 && len(head)-line > b.HeaderBytes) {
			return nil, bufio.ErrBufferFull
		}
		size := c.br.Size()
		if !errors.Is(err, bufio.ErrBufferFull) || size >= b.HeadBytes {
			return head, err
		}
		more := min(size, b.HeadBytes-size)
		if !c.server.reserveBuffer(int64(more)) {
			return nil, errNoHeadCapacity
		}
		c.bufferReserved += int64(more)
		there, _ := c.br.Peek(c.br.Buffered())
		c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(there), c.Conn), size+more)
	}
}

// releaseBuffer gives back what the buffer has taken.
func (c *conn) releaseBuffer() { c.server.releaseBuffer(c.bufferReserved) }

// readRequest reads one message, which began at from: an authorisation, or what to decline it with, or neither.
func (c *conn) readRequest(from time.Time) (*openRequest, *Rejection) {
	bounds := c.server.Bounds()
	defer c.SetReadDeadline(time.Time{})
	c.SetReadDeadline(from.Add(bounds.ReadTimeout))
	head, err := c.readHead(&bounds)
	var req *http.Request
	switch {
	case err != nil:
	case !framing.HasUniqueFraming(head):
		return nil, c.rejectAndClose(http.StatusBadRequest, "the head is ambiguous")
	case !framing.HasNoControlBytes(head):
		return nil, c.rejectAndClose(http.StatusBadRequest, "control characters in the head")
	}
	if err == nil {
		left := c.br.Buffered() - len(head)
		if req, err = http.ReadRequest(c.br); err == nil && c.br.Buffered() != left {
			return nil, c.rejectAndClose(http.StatusBadRequest, "the head is ambiguous")
		}
	}
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, c.rejectAndClose(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.Is(err, errNoHeadCapacity):
		d := c.rejectAndClose(http.StatusServiceUnavailable, "no room")
		d.RetryAfter = c.server.Limits.OverloadRetryAfter
		return nil, d
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.rejectAndClose(http.StatusRequestTimeout, "the head took too long")
	case errors.Is(err, io.EOF), isNetError(err):
		return nil, nil
	case err != nil, req.Host == "" && req.ProtoAtLeast(1, 1):
		return nil, c.rejectAndClose(http.StatusBadRequest, "the head is malformed")
	}
	if req.Header.Get("Expect") == "100-continue" && req.ContentLength != 0 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	w, misled := c.server.Dialect.Route(req)
	if !w.BodyDeadline.IsZero() {
		c.SetReadDeadline(w.BodyDeadline)
	}
	body, held, d := c.server.readBody(req, &w, int64(bounds.BodyBytes))
	if d != nil {
		c.server.Post(dispatch.RejectedByFrontend{})
		return nil, d
	}
	at := c.server.Now()
	a, d := c.buildRequest(req, &w, misled, body)
	if a == nil {
		c.server.release(held)
		d.CloseConnection = d.CloseConnection || req.Close
		return nil, d
	}
	a.reservation, a.closeConnection, a.receivedAt = held, req.Close, at
	return a, nil
}

func isNetError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// rejectAndClose declines a message after which the connection cannot go on.
func (c *conn) rejectAndClose(status int, reason string) *Rejection {
	c.server.Post(dispatch.RejectedByFrontend{})
	return &Rejection{Status: status, Reason: reason, bodyUnread: true}
}

// buildRequest checks a whole message.
func (c *conn) buildRequest(req *http.Request, w *Destination, d *Rejection, body []byte) (*openRequest, *Rejection) {
	if d != nil {
		if !d.uncounted {
			c.server.Post(dispatch.RejectedByFrontend{})
		}
		return nil, d
	}
	if !req.ProtoAtLeast(1, 1) {
		c.server.Post(dispatch.RejectedByFrontend{}) // it could not take an answer in chunks
		return nil, &Rejection{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is wanted", CloseConnection: true}
	}
	if c.overLimit {
		c.server.Post(dispatch.RejectedByFrontend{})
		return nil, &Rejection{
			Status: http.StatusServiceUnavailable, Reason: "too many connections", RetryAfter: c.server.Limits.OverloadRetryAfter, CloseConnection: true,
		}
	}
	m, d := c.server.Dialect.BuildRequest(req, w, body)
	if d != nil {
		c.server.Post(dispatch.RejectedByFrontend{})
		return nil, d
	}
	a, origin := c.server.newOpenRequest(req.Header)
	*a = openRequest{conn: c, pool: w.Pool.ID, Request: m, done: make(chan struct{}), origin: origin}
	return a, nil
}

// newOpenRequest makes one and, where journeys are recorded, what is known of its origin beside it. A bad trace context
// is dropped: a new trace begins.
func (s *Server) newOpenRequest(h http.Header) (*openRequest, *trace.Origin) {
	if !s.TraceRequests {
		return &openRequest{}, nil
	}
	both := &struct {
		openRequest
		origin trace.Origin
	}{}
	o := &both.origin
	o.Front, o.Tells = "calls", true
	if parents := h["Traceparent"]; len(parents) == 1 {
		if c, ok := trace.ParseParent(parents[0]); ok {
			o.Context = c
			o.State, _ = trace.ParseState(h["Tracestate"]...)
		}
	}
	return &both.openRequest, o
}
