package frontend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/framing"
	"notchhinge/internal/limits"
	"notchhinge/internal/trace"
)

// errNoHeadCapacity reports a head that is within the bounds but for which the body quota is exhausted.
var errNoHeadCapacity = errors.New("body quota exhausted by a request head")

// readRequest reads one request, whose read timeout counts from start. It returns the request or a rejection, or neither if the
// client has disconnected.
func (c *conn) readRequest(start time.Time) (*openRequest, *Rejection) {
	bounds := c.server.Bounds()
	defer c.SetReadDeadline(time.Time{})
	c.SetReadDeadline(start.Add(bounds.ReadTimeout))
	req, rejection := c.readHead(&bounds)
	if req == nil {
		return nil, rejection
	}
	if req.Header.Get("Expect") == "100-continue" && req.ContentLength != 0 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	dst, routeRejection := c.server.Dialect.Route(req)
	if !dst.BodyDeadline.IsZero() {
		c.SetReadDeadline(dst.BodyDeadline)
	}
	body, reserved, rejection := c.server.readBody(req, &dst, int64(bounds.BodyBytes))
	if rejection != nil {
		return nil, c.countRejection(rejection)
	}
	receivedAt := c.server.Now()
	if rejection = routeRejection; rejection == nil {
		rejection = c.checkConnection(req)
	}
	var open *openRequest
	if rejection == nil {
		open, rejection = c.buildRequest(req, &dst, body)
	}
	if rejection != nil {
		c.server.release(reserved)
		rejection.CloseConnection = rejection.CloseConnection || req.Close
		return nil, c.countRejection(rejection)
	}
	open.reservation, open.closeConnection, open.receivedAt = reserved, req.Close, receivedAt
	return open, nil
}

// readHead reads and parses the next head. It returns the head or a rejection, or neither if the client has disconnected.
func (c *conn) readHead(b *limits.RequestBounds) (*http.Request, *Rejection) {
	head, err := c.peekHead(b)
	switch {
	case err != nil:
		return nil, c.rejectHead(err)
	case !framing.HasUniqueFraming(head):
		return nil, c.rejectUnread(http.StatusBadRequest, "the head is ambiguous")
	case !framing.HasNoControlBytes(head):
		return nil, c.rejectUnread(http.StatusBadRequest, "control characters in the head")
	}
	unread := c.br.Buffered() - len(head)
	req, err := http.ReadRequest(c.br)
	switch {
	case err != nil:
		return nil, c.rejectHead(err)
	case c.br.Buffered() != unread: // net/http disagrees on where the head ends
		return nil, c.rejectUnread(http.StatusBadRequest, "the head is ambiguous")
	case req.Host == "" && req.ProtoAtLeast(1, 1):
		return nil, c.rejectUnread(http.StatusBadRequest, "the head is malformed")
	}
	return req, nil
}

// peekHead returns the next head without consuming it. The buffer grows up to the bounds, and the body quota must have room for the
// growth; otherwise the error is errNoHeadCapacity. A head that exceeds the bounds is the error bufio.ErrBufferFull.
func (c *conn) peekHead(b *limits.RequestBounds) ([]byte, error) {
	for {
		head, err := framing.PeekHead(c.br)
		requestLine := bytes.IndexByte(head, '\n') + 1
		if err == nil && (len(head) > b.HeadBytes || b.HeaderBytes > 0 && len(head)-requestLine > b.HeaderBytes) {
			return nil, bufio.ErrBufferFull
		}
		size := c.br.Size()
		if !errors.Is(err, bufio.ErrBufferFull) || size >= b.HeadBytes {
			return head, err
		}
		growth := min(size, b.HeadBytes-size)
		if !c.server.reserveBuffer(int64(growth)) {
			return nil, errNoHeadCapacity
		}
		c.bufferReserved += int64(growth)
		buffered, _ := c.br.Peek(c.br.Buffered())
		c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c.Conn), size+growth)
	}
}

// releaseBuffer releases the reservation of the read buffer.
func (c *conn) releaseBuffer() { c.server.releaseBuffer(c.bufferReserved) }

// rejectHead returns the rejection for a head that could not be read, or nil if the client has disconnected.
func (c *conn) rejectHead(err error) *Rejection {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return c.rejectUnread(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.Is(err, errNoHeadCapacity):
		r := c.rejectUnread(http.StatusServiceUnavailable, "no room")
		r.RetryAfter = c.server.Limits.OverloadRetryAfter
		return r
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.rejectUnread(http.StatusRequestTimeout, "the head took too long")
	case errors.Is(err, io.EOF), isNetError(err):
		return nil
	}
	return c.rejectUnread(http.StatusBadRequest, "the head is malformed")
}

func isNetError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr)
}

// rejectUnread returns and counts the rejection of a request whose rest is not read. The connection closes after it.
func (c *conn) rejectUnread(status int, reason string) *Rejection {
	return c.countRejection(&Rejection{Status: status, Reason: reason, bodyUnread: true})
}

// countRejection reports a rejection to the dispatcher, for its counters, and returns it.
func (c *conn) countRejection(r *Rejection) *Rejection {
	if !r.uncounted {
		c.server.Post(dispatch.RejectedByFrontend{})
	}
	return r
}

// checkConnection rejects a request whose connection is above the maximum, or whose HTTP version is not supported.
func (c *conn) checkConnection(req *http.Request) *Rejection {
	if !req.ProtoAtLeast(1, 1) { // an HTTP/1.0 client cannot read a chunked response
		return &Rejection{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is wanted", CloseConnection: true}
	}
	if c.overLimit {
		return &Rejection{
			Status: http.StatusServiceUnavailable, Reason: "too many connections", RetryAfter: c.server.Limits.OverloadRetryAfter, CloseConnection: true,
		}
	}
	return nil
}

// buildRequest builds an openRequest from a head and a complete body, or rejects the request.
func (c *conn) buildRequest(req *http.Request, dst *Destination, body []byte) (*openRequest, *Rejection) {
	r, rejection := c.server.Dialect.BuildRequest(req, dst, body)
	if rejection != nil {
		return nil, rejection
	}
	open, origin := c.server.newOpenRequest(req.Header)
	*open = openRequest{conn: c, pool: dst.Pool.ID, Request: r, done: make(chan struct{}), origin: origin}
	return open, nil
}

// newOpenRequest allocates a request and, if requests are traced, its origin, in a single allocation. If the trace context (W3C Trace
// Context, traceparent) is missing or malformed, a new trace begins.
func (s *Server) newOpenRequest(h http.Header) (*openRequest, *trace.Origin) {
	if !s.TraceRequests {
		return &openRequest{}, nil
	}
	allocation := &struct {
		openRequest
		origin trace.Origin
	}{}
	o := &allocation.origin
	o.Frontend, o.ReportsRejection = "calls", true
	if parents := h["Traceparent"]; len(parents) == 1 {
		if c, ok := trace.ParseParent(parents[0]); ok {
			o.Context = c
			o.State, _ = trace.ParseState(h["Tracestate"]...)
		}
	}
	return &allocation.openRequest, o
}
