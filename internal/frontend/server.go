package frontend

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
)

// Options configures a Server. Limits, Directory, Post, Now and IsReady are required.
type Options struct {
	Limits    limits.Limits
	Dialect   Dialect                     // nil = the platform's
	Directory func() *directory.Directory // the services in force; called for each request
	Post      func(dispatch.Event)        // hands an event to the dispatcher; it must not wait for the response
	Now       dispatch.Clock
	IsReady   func() bool                 // whether the router knows of endpoints
	Bounds    func() limits.RequestBounds // the bounds in force; nil = those of Limits
	// TraceRequests has trace contexts read, and written rejections reported with dispatch.RejectionWritten.
	TraceRequests bool
}

// Server is the frontend: the set of client connections, and what they share.
type Server struct {
	Options

	mu    sync.Mutex
	conns map[*conn]struct{}

	quotaMu      sync.Mutex
	bodyQuota    *quota.Quota // bytes of bodies and of grown read buffers, by pool
	requestQuota *quota.Quota // requests that are coming in or open, by pool

	draining            atomic.Bool
	handingOver         atomic.Bool  // another process accepts new connections
	connectionReduction atomic.Int64 // by how much MaxConnections is below the limit
	wg                  sync.WaitGroup
}

// New returns a server. Its pools have no claims yet.
func New(o Options) *Server {
	s := &Server{
		Options: o, conns: map[*conn]struct{}{}, bodyQuota: quota.New(o.Limits.TotalBodyBytes),
		requestQuota: quota.New(int64(o.Limits.ClientConns + o.Limits.RejectConns)),
	}
	if s.Dialect == nil {
		s.Dialect = platform{s}
	}
	if s.Bounds == nil {
		s.Bounds = s.Limits.DefaultBounds
	}
	return s
}

// Serve accepts connections until the listener is closed. It returns nil then.
func (s *Server) Serve(ln net.Listener) error {
	for {
		netConn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(10 * time.Millisecond) // out of file descriptors, or the client has closed it already
			continue
		}
		s.wg.Go(func() { s.ServeConn(netConn) })
	}
}

// ServeConn serves one connection to its end, and closes it.
func (s *Server) ServeConn(netConn net.Conn) {
	defer netConn.Close()
	c := newConn(s, netConn)
	admitted := s.add(c)
	defer s.remove(c)
	if !admitted {
		s.Post(dispatch.RejectedByFrontend{}) // without a response: there is no capacity left to write one
		return
	}
	c.serve()
}

// add admits a connection unless RejectConns of them are above the maximum. Those above the maximum get rejections only.
func (s *Server) add(c *conn) (admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	limit := s.MaxConnections()
	c.overLimit = len(s.conns) > limit && !s.evictIdle(c.acceptedAt)
	return len(s.conns) <= limit+s.Limits.RejectConns
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// evictIdle closes the connection that has been idle for the longest, if one is; connections without any request so far go
// first. Clients open more connections than they use, and some open hundreds and send nothing: no request is rejected while
// such a connection holds a file descriptor. The caller holds mu.
func (s *Server) evictIdle(now time.Time) bool {
	var oldest *conn
	var oldestSince time.Time
	var oldestReceived bool
	for c := range s.conns {
		idleSince, received, idle := c.idleSince(now)
		if idle && (oldest == nil || oldestReceived && !received || oldestReceived == received && idleSince.Before(oldestSince)) {
			oldest, oldestSince, oldestReceived = c, idleSince, received
		}
	}
	if oldest == nil || !oldest.closeIdle() {
		return false
	}
	delete(s.conns, oldest)
	return true
}

// Drain has every connection closed after its next response, and readiness denied.
func (s *Server) Drain() { s.draining.Store(true) }

// Undrain ends a drain.
func (s *Server) Undrain() { s.draining.Store(false) }

// IsDraining reports whether the server drains.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// StartHandover has every connection closed after its next response, since another process accepts new ones. Readiness stays
// as it is: it is that of the address, whichever process answers.
func (s *Server) StartHandover() { s.handingOver.Store(true) }

// CancelHandover undoes StartHandover.
func (s *Server) CancelHandover() { s.handingOver.Store(false) }

// closesAfterResponse reports whether connections end with their next response.
func (s *Server) closesAfterResponse() bool { return s.draining.Load() || s.handingOver.Load() }

// MaxConnections returns how many connections may be open.
func (s *Server) MaxConnections() int {
	return s.Limits.ClientConns - int(s.connectionReduction.Load())
}

// SetMaxConnections changes how many connections may be open. Idle connections above that are closed at once; the others
// close when they are idle and a new connection needs their place.
func (s *Server) SetMaxConnections(limit int) {
	s.connectionReduction.Store(int64(s.Limits.ClientConns - limit))
	s.mu.Lock()
	defer s.mu.Unlock()
	for now := time.Now(); len(s.conns) > limit && s.evictIdle(now); {
	}
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes the connections without an open request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// CloseIdleExceptNew is CloseIdle, but for connections so new (limits.NewConnGrace) that their first request may be on its way.
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

// Wait returns once every connection of Serve is closed, or ctx is done.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
