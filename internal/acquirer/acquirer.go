// Package acquirer is the thin front before the platform's clients: it takes authorisations in, checks them,
// and writes their answers.
package acquirer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/internal/service"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// Options is what a Server is made of.
type Options struct {
	Lim     limits.Limits
	Dialect Dialect
	Routes  func() *service.Directory // at present; it may be asked at any time
	Post    func(dispatch.Event)
	Now     dispatch.Clock
	Ready   func() bool // whether the router knows of issuer hosts
	// Bounds are what messages keep to at present; nil = the limits', for good.
	Bounds func() limits.RequestBounds
	Trace  bool // journeys are recorded: contexts are read, and the writing of answers is told
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
	bodies *quota.Quota // bytes of bodies held, by pool
	calls  *quota.Quota // messages that are coming in or open, by pool
}

// nowhere holds what is led to no pool.
const nowhere = -1

// New returns a front. Its pools have no claims yet.
func New(o Options) *Server {
	s := &Server{
		Options: o, bodies: quota.New(o.Lim.TotalBodyBytes), calls: quota.New(int64(o.Lim.ClientConns + o.Lim.RejectConns)),
	}
	if s.Dialect == nil {
		s.Dialect = platform{s}
	}
	if s.Bounds == nil {
		s.Bounds = s.Lim.DefaultBounds
	}
	return s
}

// Set gives a pool its parts of the room for bodies, in bytes, and of the calls that may be coming in or open at once.
func (s *Server) Set(id hoststate.PoolID, bodies, calls quota.Claim) {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	s.bodies.SetClaim(int(id), bodies)
	s.calls.SetClaim(int(id), calls)
}

// End takes a pool's parts away.
func (s *Server) End(id hoststate.PoolID) {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	s.bodies.EndClaim(int(id))
	s.calls.EndClaim(int(id))
}

// Bodies tells how many bytes of bodies a pool holds.
func (s *Server) Bodies(id hoststate.PoolID) int64 {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	return s.bodies.Reserved(int(id))
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
	full := len(s.conns) > most+s.Lim.RejectConns
	s.mu.Unlock()
	if full {
		s.Post(dispatch.RejectedByFrontend{}) // not even a word to decline it has room
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
func (s *Server) Most() int { return s.Lim.ClientConns - int(s.fewer.Load()) }

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
	s.fewer.Store(int64(s.Lim.ClientConns - most))
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

// Refusal is an answer that this front gives by itself.
type Refusal struct {
	Status int
	Reason string
	Allow  string // for a wrong method
	Retry  time.Duration
	Close  bool // the connection is closed after it
	unread bool // so it is here, since the rest of the message is still coming
	quiet  bool // it is no refusal, but what was asked for: it is not counted
}

// Way is where a message leads to.
type Way struct {
	Pool         *service.Pool // nil: nowhere; it is refused once its body is read
	Target, Host string        // as they are sent on
	Until        time.Time     // for its body; zero = it has what is left of the head's time
	Of           any           // what the dialect knows of it
}

// Message is a whole message that is to be an authorisation.
type Message struct {
	Request policy.Request
	Order   upstream.Request
	// Attempts is how many legs it may have at the most; 0 = as many as its pool allows.
	Attempts int
	// Name is the one under which one authorisation of its pool may be open; "" = none.
	Name string
	// Of is the dialect's own word of it; it comes back with Reply and Kept.
	Of any
}

// Dialect is what messages of acquirers look like. A Server without one speaks the platform's.
type Dialect interface {
	// Lead finds where a message leads to by its head. With a Refusal, its body is read first, within limits.
	Lead(req *http.Request) (Way, *Refusal)
	// Accept makes a message out of its head and body, or says what it is refused with.
	Accept(req *http.Request, w *Way, body []byte) (Message, *Refusal)
	// Head writes the head of an answer that is passed on, up to the empty line but for what concerns the connection.
	Head(m *Message, resp *http.Response) Reply
	// Close says how an authorisation ends that nothing served; kept is the last answer that was not passed on, if any.
	Close(m *Message, why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *Kept) (*Refusal, *Kept)
	// Keep makes what is kept of an answer that is not passed on.
	Keep(m *Message, result policy.Result, resp *http.Response, body []byte) *Kept
}

// Reply is the head of an answer that is passed on.
type Reply struct {
	Head   []byte // status line and headers, each with its end of line
	Length int64  // of the body; -1 = in chunks
	Bare   bool   // it has no body, whatever its length
}

// Kept is a whole small answer of an issuer host that was not passed on.
type Kept struct {
	Result policy.Result
	Reply
	Body []byte
}

// take takes room for a message of a pool, or says what it is declined with.
func (s *Server) take(w *Way, body int64) (room, *Refusal) {
	r := room{nowhere, body}
	retry := s.Lim.OverloadRetryAfter
	if w.Pool != nil {
		r.pool = int(w.Pool.ID)
		if w.Pool.RetryAfter > 0 {
			retry = w.Pool.RetryAfter
		}
	}
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	if w.Pool == nil || s.calls.Take(r.pool, 1) { // what leads nowhere is bounded by the connections
		if s.bodies.Take(r.pool, body) {
			return r, nil
		}
		s.calls.Release(r.pool, 1)
	}
	return room{}, &Refusal{Status: http.StatusServiceUnavailable, Reason: "no room", Retry: retry, unread: true}
}

// body reads the body of a message within the limits. What it holds is counted until release.
func (s *Server) body(req *http.Request, w *Way, most int64) (body []byte, held room, d *Refusal) {
	if req.ContentLength > most {
		return nil, held, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large", unread: true}
	}
	size := req.ContentLength
	if size < 0 {
		size = min(most, unsized) // its length shows only at its end
	}
	if held, d = s.take(w, size); d != nil {
		return nil, held, d
	}
	var err error
	if req.ContentLength >= 0 {
		body = make([]byte, req.ContentLength)
		_, err = io.ReadFull(req.Body, body)
	} else {
		for {
			var part []byte
			part, err = io.ReadAll(io.LimitReader(req.Body, held.body+1-int64(len(body))))
			body = append(body, part...)
			if err != nil || int64(len(body)) <= held.body || int64(len(body)) > most {
				break
			}
			if !s.more(&held, min(held.body, most-held.body)) {
				s.release(held)
				return nil, held, &Refusal{Status: http.StatusServiceUnavailable, Reason: "no room", Retry: s.Lim.OverloadRetryAfter, unread: true}
			}
		}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && !w.Until.IsZero():
		s.release(held)
		return nil, held, &Refusal{Status: http.StatusRequestTimeout, Reason: "the body took too long", unread: true}
	case err != nil:
		s.release(held)
		return nil, held, &Refusal{Status: http.StatusBadRequest, Reason: "the body is malformed or cut off", unread: true}
	case int64(len(body)) > most:
		s.release(held)
		return nil, held, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large", unread: true}
	}
	return body, held, nil
}

// unsized is the room that a body takes at first that does not tell its length, in bytes; it takes more as it grows.
const unsized = 256 << 10

// more takes more room for a body that is coming in.
func (s *Server) more(r *room, bytes int64) bool {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	if bytes <= 0 || !s.bodies.Take(r.pool, bytes) {
		return false
	}
	r.body += bytes
	return true
}

func (s *Server) release(r room) {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	s.bodies.Release(r.pool, r.body)
	s.calls.Release(r.pool, 1)
}

// grow takes room for the buffer of a connection.
func (s *Server) grow(bytes int64) bool {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	return s.bodies.Take(nowhere, bytes)
}

func (s *Server) shrink(bytes int64) {
	s.roomMu.Lock()
	defer s.roomMu.Unlock()
	s.bodies.Release(nowhere, bytes)
}
