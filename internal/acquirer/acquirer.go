// Package acquirer is the thin front before the platform's clients: it takes authorisations in, checks them,
// and writes their answers.
package acquirer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/broker"
	"notchhinge/internal/limits"
	"notchhinge/internal/pool"
	"notchhinge/internal/route"
	"notchhinge/internal/service"
	"notchhinge/internal/share"
)

// Options is what a Server is made of.
type Options struct {
	Lim    limits.Limits
	Routes func() *service.Directory // at present; it may be asked at any time
	Post   func(broker.Event)
	Now    broker.Clock
	Ready  func() bool // whether the router knows of issuer hosts
	Trace  bool        // journeys are recorded: contexts are read, and the writing of answers is told
}

// Server is the front.
type Server struct {
	Options
	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining atomic.Bool
	yielding atomic.Bool  // another process takes new connections: those there are go with their next answer
	fewer    atomic.Int64 // connections that are not to be used of those there may be
	wg       sync.WaitGroup

	roomMu sync.Mutex
	bodies *share.Stock // bytes of bodies held, by pool
	calls  *share.Stock // messages that are coming in or open, by pool
}

// nowhere holds what is led to no pool.
const nowhere = -1

// New returns a front. Its pools have no claims yet.
func New(o Options) *Server {
	return &Server{
		Options: o, bodies: share.New(o.Lim.BodiesBytes), calls: share.New(int64(o.Lim.AcquirerConns + o.Lim.SpareConns)),
	}
}

// Set gives a pool its parts of the room for bodies, in bytes, and of the calls that may be coming in or open at once.
func (s *Server) Set(id pool.ID, bodies, calls share.Claim) {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	s.bodies.Set(int(id), bodies)
	s.calls.Set(int(id), calls)
}

// End takes a pool's parts away.
func (s *Server) End(id pool.ID) {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	s.bodies.End(int(id))
	s.calls.End(int(id))
}

// Bodies tells how many bytes of bodies a pool holds.
func (s *Server) Bodies(id pool.ID) int64 {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	return s.bodies.Held(int(id))
}

// room is what a message has taken of the stocks.
type room struct {
	pool int
	body int64
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors, or a connection that was gone at once
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.ServeConn(nc)
		}()
	}
}

// ServeConn serves one connection to its end.
func (s *Server) ServeConn(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	most := s.Most()
	c.spare = len(s.conns) > most && !s.makeRoom(c.came)
	full := len(s.conns) > most+s.Lim.SpareConns
	s.mu.Unlock()
	if full {
		s.Post(broker.Declined{}) // not even a word to decline it has room
	}
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		nc.Close()
	}()
	if !full {
		c.serve()
	}
}

// makeRoom closes the connection that has been idle for the longest, if one is: those first on which nothing
// has ever been asked. A client may well keep more connections than it uses, and others open them by the
// hundreds and say nothing; declining a request while such a one holds a descriptor would be a loss. The lock
// is held.
func (s *Server) makeRoom(now time.Time) bool {
	var oldest *conn
	var since time.Time
	var used bool
	for c := range s.conns {
		at, asked, idle := c.idleSince(now)
		if idle && (oldest == nil || used && !asked || used == asked && at.Before(since)) {
			oldest, since, used = c, at, asked
		}
	}
	if oldest == nil || !oldest.closeIdle() {
		return false
	}
	delete(s.conns, oldest)
	return true
}

// Drain has every connection closed with its next answer from now on, and readiness say no.
func (s *Server) Drain() { s.draining.Store(true) }

// Undrain ends a drain.
func (s *Server) Undrain() { s.draining.Store(false) }

// Draining tells whether there is one.
func (s *Server) Draining() bool { return s.draining.Load() }

// Yield has every connection closed with its next answer, or not any more; readiness stays as it is, for it is the
// address that is ready, whoever answers there.
func (s *Server) Yield(to bool) { s.yielding.Store(to) }

// Most tells how many connections there may be.
func (s *Server) Most() int { return s.Lim.AcquirerConns - int(s.fewer.Load()) }

// Conns tells how many connections there are.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closing tells whether connections end with their answers.
func (s *Server) closing() bool { return s.draining.Load() || s.yielding.Load() }

// Resize changes how many connections there may be. Of those that are too many the idle ones are closed at once; others
// go with their answers, as each that comes makes room.
func (s *Server) Resize(most int) {
	s.fewer.Store(int64(s.Lim.AcquirerConns - most))
	s.mu.Lock()
	defer s.mu.Unlock()
	for now := time.Now(); len(s.conns) > most && s.makeRoom(now); {
	}
}

// CloseIdle closes the connections on which no authorisation is open.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// SweepIdle is CloseIdle, but for connections that are so new that their first message may be on its way.
func (s *Server) SweepIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if _, _, idle := c.idleSince(now); idle {
			c.closeIdle()
		}
	}
}

// Wait returns once every connection is closed, or the context is over.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

const (
	readyPath = "/health/ready"
	livePath  = "/health/live"
)

// decline is an answer that this front gives by itself.
type decline struct {
	status int
	reason string
	allow  string // for a wrong method
	retry  time.Duration
	close  bool // the connection is closed after it
	unread bool // so it is here, since the rest of the message is still coming
}

// way is where a message leads to.
type way struct {
	pool         *service.Pool
	target, host string // as they are sent on
}

// route finds a message's pool by its host, path, method, class and headers; d is what it is declined with otherwise.
func (s *Server) route(req *http.Request) (w way, d *decline) {
	path, query, asks := strings.Cut(req.RequestURI, "?") // as it came, for so it is passed on
	switch path {
	case readyPath, livePath:
		switch {
		case req.Method != http.MethodGet:
			return w, &decline{status: http.StatusMethodNotAllowed, reason: "only GET is served here", allow: "GET"}
		case path == readyPath && (s.draining.Load() || !s.Ready()):
			return w, &decline{status: http.StatusServiceUnavailable, reason: "not ready"}
		}
		return w, &decline{status: http.StatusOK, reason: "ok"}
	}
	at := s.Routes()
	w.target, w.host = req.RequestURI, req.Host
	q := route.Query{Path: path, Method: req.Method, Header: req.Header}
	if classes := req.Header[classHeader]; len(classes) == 1 {
		q.Class = classes[0]
	}
	if at.Strict {
		if d := w.spell(req, path, query, asks, &q); d != nil {
			return w, d
		}
	}
	to := at.Table.Lookup(&q)
	if to == nil {
		if allow := at.Table.Methods(&q); len(allow) > 0 {
			list := strings.Join(allow, ", ")
			return w, &decline{status: http.StatusMethodNotAllowed, reason: "only " + list + " is served here", allow: list}
		}
		d := &decline{status: http.StatusNotFound, reason: "no such path"}
		if at.Strict {
			d.reason = "no_route: no route takes " + q.Method + " " + q.Path + " at " + q.Host
		}
		return w, d
	}
	var conversation uint64
	if to.Splits() {
		if session := req.Header.Get(sessionHeader); session != "" {
			conversation = word(session)
		} else {
			conversation = route.Conversation(req.Header.Get(idHeader))
		}
	}
	w.pool = at.Find(to, conversation)
	return w, nil
}

// spell brings host and path into their one spelling, in which they are both routed and sent on.
func (w *way) spell(req *http.Request, path, query string, asks bool, q *route.Query) *decline {
	// In the absolute form the target's authority is the host, whatever the header says; so net/http has read it.
	if !strings.HasPrefix(path, "/") {
		if req.URL.Scheme != "http" && req.URL.Scheme != "https" || req.URL.User != nil {
			return &decline{status: http.StatusBadRequest, reason: "bad_target: the target has no form that is served here"}
		}
		path = req.URL.EscapedPath()
		if path == "" {
			path = "/"
		}
	}
	host, port, err := route.SplitHost(req.Host)
	if err != nil {
		return &decline{status: http.StatusBadRequest, reason: "bad_host: " + err.Error()}
	}
	if path, err = route.Path(path); err != nil {
		return &decline{status: http.StatusBadRequest, reason: "bad_path: " + err.Error()}
	}
	q.Host, q.Path = host, path
	w.host, w.target = route.JoinHost(host, port), path
	if asks {
		w.target += "?" + query
	}
	return nil
}

// take takes room for a message of a pool, or says what it is declined with.
func (s *Server) take(w *way, body int64) (room, *decline) {
	r := room{nowhere, body}
	retry := s.Lim.SpareAnswer
	if w.pool != nil {
		r.pool = int(w.pool.ID)
		if w.pool.RetryAfter > 0 {
			retry = w.pool.RetryAfter
		}
	}
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	if w.pool == nil || s.calls.Take(r.pool, 1) { // what leads nowhere is bounded by the connections
		if s.bodies.Take(r.pool, body) {
			return r, nil
		}
		s.calls.Give(r.pool, 1)
	}
	return room{}, &decline{status: http.StatusServiceUnavailable, reason: "no room", retry: retry, unread: true}
}

// body reads the body of a message within the limits. What it holds is counted until release.
func (s *Server) body(req *http.Request, w *way) (body []byte, held room, d *decline) {
	most := int64(s.Lim.BodyBytes)
	if req.ContentLength > most {
		return nil, held, &decline{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", unread: true}
	}
	size := req.ContentLength
	if size < 0 {
		size = most // its length shows only at its end
	}
	if held, d = s.take(w, size); d != nil {
		return nil, held, d
	}
	var err error
	if req.ContentLength >= 0 {
		body = make([]byte, req.ContentLength)
		_, err = io.ReadFull(req.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(req.Body, most+1))
	}
	switch {
	case err != nil:
		s.release(held)
		return nil, held, &decline{status: http.StatusBadRequest, reason: "the body is malformed or cut off", unread: true}
	case int64(len(body)) > most:
		s.release(held)
		return nil, held, &decline{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", unread: true}
	}
	return body, held, nil
}

func (s *Server) release(r room) {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	s.bodies.Give(r.pool, r.body)
	s.calls.Give(r.pool, 1)
}
