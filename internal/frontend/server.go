// Package frontend is the thin front before the platform's clients: it takes authorisations in, checks them,
// and writes their answers.
package frontend

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
	Limits    limits.Limits
	Dialect   Dialect
	Directory func() *service.Directory // at present; it may be asked at any time
	Post      func(dispatch.Event)
	Now       dispatch.Clock
	IsReady   func() bool // whether the router knows of issuer hosts
	// Bounds are what messages keep to at present; nil = the limits', for good.
	Bounds        func() limits.RequestBounds
	TraceRequests bool // journeys are recorded: contexts are read, and the writing of answers is told
}

// Server is the front.
type Server struct {
	Options
	mu                  sync.Mutex
	conns               map[*conn]struct{}
	draining            atomic.Bool
	handingOver         atomic.Bool  // another process takes new connections: those there are go with their next answer
	connectionReduction atomic.Int64 // connections that are not to be used of those there may be
	wg                  sync.WaitGroup

	quotaMu      sync.Mutex
	bodyQuota    *quota.Quota // bytes of bodies held, by pool
	requestQuota *quota.Quota // messages that are coming in or open, by pool
}

// noPool holds what is led to no pool.
const noPool = -1

// New returns a front. Its pools have no claims yet.
func New(o Options) *Server {
	s := &Server{
		Options: o, bodyQuota: quota.New(o.Limits.TotalBodyBytes), requestQuota: quota.New(int64(o.Limits.ClientConns + o.Limits.RejectConns)),
	}
	if s.Dialect == nil {
		s.Dialect = platform{s}
	}
	if s.Bounds == nil {
		s.Bounds = s.Limits.DefaultBounds
	}
	return s
}

// ConfigurePool gives a pool its parts of the room for bodies, in bytes, and of the calls that may be coming in or open at once.
func (s *Server) ConfigurePool(id hoststate.PoolID, bodies, calls quota.Claim) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.SetClaim(int(id), bodies)
	s.requestQuota.SetClaim(int(id), calls)
}

// RemovePool takes a pool's parts away.
func (s *Server) RemovePool(id hoststate.PoolID) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.EndClaim(int(id))
	s.requestQuota.EndClaim(int(id))
}

// BodyBytes tells how many bytes of bodies a pool holds.
func (s *Server) BodyBytes(id hoststate.PoolID) int64 {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	return s.bodyQuota.Reserved(int(id))
}

// reservation is what a message has taken of the stocks.
type reservation struct {
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
	most := s.MaxConnections()
	c.overLimit = len(s.conns) > most && !s.evictIdle(c.acceptedAt)
	full := len(s.conns) > most+s.Limits.RejectConns
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

// evictIdle closes the connection that has been idle for the longest, if one is: those first on which nothing
// has ever been asked. A client may well keep more connections than it uses, and others open them by the
// hundreds and say nothing; declining a request while such a one holds a descriptor would be a loss. The lock
// is held.
func (s *Server) evictIdle(now time.Time) bool {
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

// IsDraining tells whether there is one.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// SetHandingOver has every connection closed with its next answer, or not any more; readiness stays as it is, for it is the
// address that is ready, whoever answers there.
func (s *Server) SetHandingOver(to bool) { s.handingOver.Store(to) }

// MaxConnections tells how many connections there may be.
func (s *Server) MaxConnections() int {
	return s.Limits.ClientConns - int(s.connectionReduction.Load())
}

// Connections tells how many connections there are.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closesAfterResponse tells whether connections end with their answers.
func (s *Server) closesAfterResponse() bool { return s.draining.Load() || s.handingOver.Load() }

// SetMaxConnections changes how many connections there may be. Of those that are too many the idle ones are closed at once; others
// go with their answers, as each that comes makes room.
func (s *Server) SetMaxConnections(most int) {
	s.connectionReduction.Store(int64(s.Limits.ClientConns - most))
	s.mu.Lock()
	defer s.mu.Unlock()
	for now := time.Now(); len(s.conns) > most && s.evictIdle(now); {
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

// CloseIdleExceptNew is CloseIdle, but for connections that are so new that their first message may be on its way.
func (s *Server) CloseIdleExceptNew() {
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

// Rejection is an answer that this front gives by itself.
type Rejection struct {
	Status          int
	Reason          string
	Allow           string // for a wrong method
	RetryAfter      time.Duration
	CloseConnection bool // the connection is closed after it
	bodyUnread      bool // so it is here, since the rest of the message is still coming
	uncounted       bool // it is no refusal, but what was asked for: it is not counted
}

// Destination is where a message leads to.
type Destination struct {
	Pool         *service.Pool // nil: nowhere; it is refused once its body is read
	Target, Host string        // as they are sent on
	BodyDeadline time.Time     // for its body; zero = it has what is left of the head's time
	DialectData  any           // what the dialect knows of it
}

// Request is a whole message that is to be an authorisation.
type Request struct {
	Policy   policy.Request
	Upstream upstream.Request
	// MaxAttempts is how many legs it may have at the most; 0 = as many as its pool allows.
	MaxAttempts int
	// ClientRequestID is the one under which one authorisation of its pool may be open; "" = none.
	ClientRequestID string
	// DialectData is the dialect's own word of it; it comes back with Reply and Kept.
	DialectData any
}

// Dialect is what messages of acquirers look like. A Server without one speaks the platform's.
type Dialect interface {
	// Route finds where a message leads to by its head. With a Refusal, its body is read first, within limits.
	Route(req *http.Request) (Destination, *Rejection)
	// BuildRequest makes a message out of its head and body, or says what it is refused with.
	BuildRequest(req *http.Request, w *Destination, body []byte) (Request, *Rejection)
	// BuildResponseHead writes the head of an answer that is passed on, up to the empty line but for what concerns the connection.
	BuildResponseHead(m *Request, resp *http.Response) ResponseHead
	// Reject says how an authorisation ends that nothing served; kept is the last answer that was not passed on, if any.
	Reject(m *Request, why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *ErrorResponse) (*Rejection, *ErrorResponse)
	// KeepErrorResponse makes what is kept of an answer that is not passed on.
	KeepErrorResponse(m *Request, result policy.Result, resp *http.Response, body []byte) *ErrorResponse
}

// ResponseHead is the head of an answer that is passed on.
type ResponseHead struct {
	Lines         []byte // status line and headers, each with its end of line
	ContentLength int64  // of the body; -1 = in chunks
	NoBody        bool   // it has no body, whatever its length
}

// ErrorResponse is a whole small answer of an issuer host that was not passed on.
type ErrorResponse struct {
	Result policy.Result
	ResponseHead
	Body []byte
}

// reserve takes room for a message of a pool, or says what it is declined with.
func (s *Server) reserve(w *Destination, body int64) (reservation, *Rejection) {
	r := reservation{noPool, body}
	retry := s.Limits.OverloadRetryAfter
	if w.Pool != nil {
		r.pool = int(w.Pool.ID)
		if w.Pool.RetryAfter > 0 {
			retry = w.Pool.RetryAfter
		}
	}
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	if w.Pool == nil || s.requestQuota.Take(r.pool, 1) { // what leads nowhere is bounded by the connections
		if s.bodyQuota.Take(r.pool, body) {
			return r, nil
		}
		s.requestQuota.Release(r.pool, 1)
	}
	return reservation{}, &Rejection{Status: http.StatusServiceUnavailable, Reason: "no room", RetryAfter: retry, bodyUnread: true}
}

// readBody reads the body of a message within the limits. What it holds is counted until release.
func (s *Server) readBody(req *http.Request, w *Destination, most int64) (body []byte, held reservation, d *Rejection) {
	if req.ContentLength > most {
		return nil, held, &Rejection{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large", bodyUnread: true}
	}
	size := req.ContentLength
	if size < 0 {
		size = min(most, initialChunkedBody) // its length shows only at its end
	}
	if held, d = s.reserve(w, size); d != nil {
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
			if !s.extend(&held, min(held.body, most-held.body)) {
				s.release(held)
				return nil, held, &Rejection{Status: http.StatusServiceUnavailable, Reason: "no room", RetryAfter: s.Limits.OverloadRetryAfter, bodyUnread: true}
			}
		}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && !w.BodyDeadline.IsZero():
		s.release(held)
		return nil, held, &Rejection{Status: http.StatusRequestTimeout, Reason: "the body took too long", bodyUnread: true}
	case err != nil:
		s.release(held)
		return nil, held, &Rejection{Status: http.StatusBadRequest, Reason: "the body is malformed or cut off", bodyUnread: true}
	case int64(len(body)) > most:
		s.release(held)
		return nil, held, &Rejection{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large", bodyUnread: true}
	}
	return body, held, nil
}

// initialChunkedBody is the room that a body takes at first that does not tell its length, in bytes; it takes more as it grows.
const initialChunkedBody = 256 << 10

// extend takes more room for a body that is coming in.
func (s *Server) extend(r *reservation, bytes int64) bool {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	if bytes <= 0 || !s.bodyQuota.Take(r.pool, bytes) {
		return false
	}
	r.body += bytes
	return true
}

func (s *Server) release(r reservation) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.Release(r.pool, r.body)
	s.requestQuota.Release(r.pool, 1)
}

// reserveBuffer takes room for the buffer of a connection.
func (s *Server) reserveBuffer(bytes int64) bool {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	return s.bodyQuota.Take(noPool, bytes)
}

func (s *Server) releaseBuffer(bytes int64) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	s.bodyQuota.Release(noPool, bytes)
}
