package acquirer

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"notchhinge/internal/broker"
	"notchhinge/internal/issuer"
)

// conn is a connection from an acquirer.
type conn struct {
	net.Conn
	s     *Server
	in    *headLimit
	br    *bufio.Reader
	spare bool // beyond the connections that are kept

	mu   sync.Mutex
	busy bool      // a message has begun to come in, or its answer is not at its end
	idle time.Time // since its last answer; zero before the first
}

var errHeadTooLong = errors.New("the head is too long")

// headLimit bounds what is read until it is lifted.
type headLimit struct {
	from io.Reader
	left int
}

func (h *headLimit) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.from.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, s: s, in: &headLimit{from: nc}}
	c.br = bufio.NewReaderSize(c.in, s.Lim.ReadBuffer)
	return c
}

func (c *conn) setBusy(b bool) {
	c.mu.Lock()
	c.busy = b
	if !b {
		c.idle = time.Now()
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

// idleSince tells since when a connection that has served is idle. One that has not is about to be used.
func (c *conn) idleSince() (at time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, !c.busy && !c.idle.IsZero()
}

// serve takes messages one after another. While an answer is on its way it already waits for the next
// message, since that is how it learns that the acquirer has gone.
func (c *conn) serve() {
	var open *authorisation
	for {
		c.in.left = c.s.Lim.HeadBytes
		_, err := c.br.Peek(1)
		if open != nil {
			if err != nil && !open.finished() {
				c.s.Post(broker.Departed{From: open})
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
		var d *decline
		open, d = c.read()
		if open != nil {
			c.s.Post(broker.Taken{From: open, At: open.at, Request: open.request})
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

// read reads one message: an authorisation, or what to decline it with, or neither.
func (c *conn) read() (*authorisation, *decline) {
	defer c.SetReadDeadline(time.Time{})
	c.SetReadDeadline(time.Now().Add(c.s.Lim.HeadWait))
	req, err := http.ReadRequest(c.br)
	switch {
	case errors.Is(err, errHeadTooLong):
		return nil, c.bad(http.StatusRequestHeaderFieldsTooLarge, "the head is too long")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, c.bad(http.StatusRequestTimeout, "the head took too long")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNet(err):
		return nil, nil
	case err != nil, req.Host == "" && req.ProtoAtLeast(1, 1):
		return nil, c.bad(http.StatusBadRequest, "the head is malformed")
	}
	c.in.left = math.MaxInt
	c.SetReadDeadline(time.Now().Add(c.s.Lim.BodyWait))
	if req.Header.Get("Expect") == "100-continue" && req.ContentLength != 0 {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	body, held, d := c.s.body(req)
	if d != nil {
		c.s.Post(broker.Declined{})
		return nil, d
	}
	at := c.s.Now()
	a, d := c.accept(req, body)
	if a == nil {
		c.s.release(held)
		d.close = d.close || req.Close
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
func (c *conn) bad(status int, reason string) *decline {
	c.s.Post(broker.Declined{})
	return &decline{status: status, reason: reason, unread: true}
}

// accept checks a whole message.
func (c *conn) accept(req *http.Request, body []byte) (*authorisation, *decline) {
	d, ok := c.s.route(req)
	if !ok {
		if d.status != http.StatusOK && req.URL.Path != readyPath {
			c.s.Post(broker.Declined{})
		}
		return nil, &d
	}
	if !req.ProtoAtLeast(1, 1) {
		c.s.Post(broker.Declined{}) // it could not take an answer in chunks
		return nil, &decline{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 is wanted", close: true}
	}
	if c.spare {
		c.s.Post(broker.Declined{})
		return nil, &decline{
			status: http.StatusServiceUnavailable, reason: "too many connections", retry: c.s.Lim.SpareAnswer, close: true,
		}
	}
	q, reason := parseRequest(req.Header, c.s.Classes, c.s.Lim.MaxBudget)
	if reason != "" {
		c.s.Post(broker.Declined{})
		return nil, &decline{status: http.StatusBadRequest, reason: reason}
	}
	return &authorisation{
		conn: c, request: q, done: make(chan struct{}),
		order: issuer.Order{
			Method: req.Method, Target: req.RequestURI, Host: req.Host,
			CallID: req.Header.Get(idHeader), ContentType: req.Header.Get("Content-Type"), Body: body,
		},
	}, nil
}
