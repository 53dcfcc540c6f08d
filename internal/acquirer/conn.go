package acquirer

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
	s     *Server
	br    *bufio.Reader
	grown int64     // bytes that its buffer has beyond the usual, out of the room for bodies
	spare bool      // beyond the connections that are kept
	came  time.Time // when it was accepted

	mu    sync.Mutex
	busy  bool      // a message has begun to come in, or its answer is not at its end
	idle  time.Time // since its last answer
	asked bool      // it has sent something
}

func newConn(s *Server, nc net.Conn) *conn {
	// A head is looked at as a whole before it is parsed, so that the buffer is what bounds it; it grows to the bounds.
	return &conn{Conn: nc, s: s, br: bufio.NewReaderSize(nc, s.Lim.RequestHeadBytes), came: time.Now()}
}

func (c *conn) setBusy(b bool) {
	c.mu.Lock()
	c.busy, c.asked = b, true
	if !b {
		c.idle = time.Now()
		// Closing on a message that crosses it is harmless: its acquirer sends that one again.
		c.SetReadDeadline(c.idle.Add(c.s.Bounds().IdleTimeout))
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
	if c.asked {
		return c.idle, true, !c.busy
	}
	return c.came, false, now.Sub(c.came) > c.s.Lim.NewConnGrace
}

// serve takes messages one after another. While an answer is on its way it already waits for the next
// message, since that is how it learns that the acquirer has gone.
func (c *conn) serve() {
	var open *authorisation
	c.SetReadDeadline(c.came.Add(c.s.Bounds().ReadTimeout))
	defer c.shrink()
	for first := true; ; first = false {
		_, err := c.br.Peek(1)
		if open != nil {
			if err != nil && !open.finished() {
				c.s.Post(dispatch.ClientLeft{Client: open})
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
		var d *Refusal
		from := time.Now()
		var begun time.Duration
		if c.s.Trace {
			begun = c.s.Now()
		}
		if first {
			from = c.came // one that dawdles before its first byte gets no more time than any other
		}
		open, d = c.read(from)
		if open != nil {
			if open.origin != nil {
				open.origin.Begun = begun
			}
			c.s.Post(dispatch.RequestReceived{
				Client: open, Pool: open.pool, ClientRequestID: open.Name, ReceivedAt: open.at, Request: open.Request, MaxAttempts: open.Attempts,
				Origin: open.origin,
			})
			continue
		}
		if d == nil {
			return // the acquirer went away within a message
		}
		if !c.answer(d) {
			return
		}
		c.setBusy(false)
	}
}

// errNoRoom is a head that is within the bounds, and for which there is no room.
var errNoRoom = errors.New("there is no room for a head")

// head looks at the head that comes next. Its buffer grows as far as the bounds go and room is left.
func (c *conn) head(b *limits.RequestBounds) ([]byte, error) {
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
		if !c.s.grow(int64(more)) {
			return nil, errNoRoom
		}
		c.grown += int64(more)
		there, _ := c.br.Peek(c.br.Buffered())
		c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(there), c.Conn), size+more)
	}
}

// shrink gives back what the buffer has taken.
func (c *conn) shrink() { c.s.shrink(c.grown) }

// read reads one message, which began at from: an authorisation, or what to decline it with, or neither.
func (c *conn) read(from time.Time) (*authorisation, *Refusal) {
	bounds := c.s.Bounds()
	defer c.SetReadDeadline(time.Time{})
	c.SetReadDeadline(from.Add(bounds.ReadTimeout))
	head, err := c.head(&bounds)
	var req *http.Request
	switch {
	case err != nil:
	case !framing.HasUniqueFraming(head):
		return nil, c.bad(http.StatusBadRequest, "the head is ambiguous")
	case !framing.HasNoControlBytes(head):
		return nil, c.bad(http.StatusBadRequest, "control characters in the head")
	}
	if err == nil {
		left := c.br.Buffered() - len(head)
		if req, err = http.ReadRequest(c.br); err == nil && c.br.Buffered() != left {
			return nil, c.bad(http.StatusBadRequest, "the head is ambiguous")
		}
	}
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, c.bad(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.Is(err, errNoRoom):
		d := c.bad(http.StatusServiceUnavailable, "no room")
		d.Retry = c.s.Lim.OverloadRetryAfter
		return nil, d
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.bad(http.StatusRequestTimeout, "the head took too long")
	case errors.Is(err, io.EOF), isNet(err):
		return nil, nil
	case err != nil, req.Host == "" && req.ProtoAtLeast(1, 1):
		return nil, c.bad(http.StatusBadRequest, "the head is malformed")
	}
	if req.Header.Get("Expect") == "100-continue" && req.ContentLength != 0 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	w, misled := c.s.Dialect.Lead(req)
	if !w.Until.IsZero() {
		c.SetReadDeadline(w.Until)
	}
	body, held, d := c.s.body(req, &w, int64(bounds.BodyBytes))
	if d != nil {
		c.s.Post(dispatch.RejectedByFrontend{})
		return nil, d
	}
	at := c.s.Now()
	a, d := c.accept(req, &w, misled, body)
	if a == nil {
		c.s.release(held)
		d.Close = d.Close || req.Close
		return nil, d
	}
	a.held, a.last, a.at = held, req.Close, at
	return a, nil
}

func isNet(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// bad declines a message after which the connection cannot go on.
func (c *conn) bad(status int, reason string) *Refusal {
	c.s.Post(dispatch.RejectedByFrontend{})
	return &Refusal{Status: status, Reason: reason, unread: true}
}

// accept checks a whole message.
func (c *conn) accept(req *http.Request, w *Way, d *Refusal, body []byte) (*authorisation, *Refusal) {
	if d != nil {
		if !d.quiet {
			c.s.Post(dispatch.RejectedByFrontend{})
		}
		return nil, d
	}
	if !req.ProtoAtLeast(1, 1) {
		c.s.Post(dispatch.RejectedByFrontend{}) // it could not take an answer in chunks
		return nil, &Refusal{Status: http.StatusHTTPVersionNotSupported, Reason: "HTTP/1.1 is wanted", Close: true}
	}
	if c.spare {
		c.s.Post(dispatch.RejectedByFrontend{})
		return nil, &Refusal{
			Status: http.StatusServiceUnavailable, Reason: "too many connections", Retry: c.s.Lim.OverloadRetryAfter, Close: true,
		}
	}
	m, d := c.s.Dialect.Accept(req, w, body)
	if d != nil {
		c.s.Post(dispatch.RejectedByFrontend{})
		return nil, d
	}
	a, origin := c.s.authorisation(req.Header)
	*a = authorisation{conn: c, pool: w.Pool.ID, Message: m, done: make(chan struct{}), origin: origin}
	return a, nil
}

// authorisation makes one and, where journeys are recorded, what is known of its origin beside it. A bad trace context
// is dropped: a new trace begins.
func (s *Server) authorisation(h http.Header) (*authorisation, *trace.Origin) {
	if !s.Trace {
		return &authorisation{}, nil
	}
	both := &struct {
		authorisation
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
	return &both.authorisation, o
}
