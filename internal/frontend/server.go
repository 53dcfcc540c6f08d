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
	Dialect   Dialect                     // nil = the dialect of the platform
	Directory func() *directory.Directory // returns the current routing directory; called for each request
	Post      func(dispatch.Event)        // passes an event to the dispatcher; must not wait for the response
	Now       dispatch.Clock
	IsReady   func() bool                 // whether the router has discovered endpoints
	Bounds    func() limits.RequestBounds // returns the current bounds; nil = those of Limits
	// TraceRequests enables parsing of trace contexts, and dispatch.RejectionWritten events.
	TraceRequests bool
}

// Server manages the set of client connections and the state that they share.
type Server struct {
	Options

	mu    sync.Mutex
	conns map[*conn]struct{}

	quotaMu      sync.Mutex
	bodyQuota    *quota.Quota // bytes of bodies and of read buffer growth, by pool
	requestQuota *quota.Quota // requests that are being read or answered, by pool

	draining            atomic.Bool
	handingOver         atomic.Bool  // another process accepts new connections
	connectionReduction atomic.Int64 // Limits.ClientConns minus MaxConnections
	wg                  sync.WaitGroup
}

// New returns a Server without any claims of pools.
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

// Serve accepts and serves connections until the listener is closed, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	for {
		netConn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(10 * time.Millisecond) // out of file descriptors, or the client has already closed the connection
			continue
		}
		s.wg.Go(func() { s.ServeConn(netConn) })
	}
}

// ServeConn serves one connection until it ends, and closes it.
func (s *Server) ServeConn(netConn net.Conn) {
	defer netConn.Close()
	c := newConn(s, netConn)
	admitted := s.add(c)
	defer s.remove(c)
	if !admitted {
		s.Post(dispatch.RejectedByFrontend{}) // without a response, because there is no capacity left to write one
		return
	}
	c.serve()
}

// add adds a connection to the set and reports whether it is admitted. Up to Limits.RejectConns connections above the maximum are
// admitted, but their requests are rejected.
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

// evictIdle closes the connection that has been idle for the longest time and reports whether it closed one. It prefers connections
// that have not received any byte, because some clients open hundreds of connections and send nothing. A new connection thus
// replaces an idle one instead of having its requests rejected. The caller holds mu.
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

// Drain starts a drain: every connection closes after its next response, and the readiness check fails.
func (s *Server) Drain() { s.draining.Store(true) }

// Undrain ends a drain.
func (s *Server) Undrain() { s.draining.Store(false) }

// IsDraining reports whether a drain is in progress.
func (s *Server) IsDraining() bool { return s.draining.Load() }

// StartHandover starts a handover to another process, which accepts new connections: every connection closes after its next
// response. The readiness check is unaffected, because it applies to the address and not to the process.
func (s *Server) StartHandover() { s.handingOver.Store(true) }

// CancelHandover undoes StartHandover.
func (s *Server) CancelHandover() { s.handingOver.Store(false) }

// closesAfterResponse reports whether connections close after their next response.
func (s *Server) closesAfterResponse() bool { return s.draining.Load() || s.handingOver.Load() }

// MaxConnections returns the maximum number of open connections.
func (s *Server) MaxConnections() int {
	return s.Limits.ClientConns - int(s.connectionReduction.Load())
}

// SetMaxConnections changes the maximum number of open connections. It closes idle connections above the maximum at once. Busy
// connections stay open until a new connection evicts them once they are idle.
func (s *Server) SetMaxConnections(limit int) {
	s.connectionReduction.Store(int64(s.Limits.ClientConns - limit))
	s.mu.Lock()
	defer s.mu.Unlock()
	for now := time.Now(); len(s.conns) > limit && s.evictIdle(now); {
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle closes all connections without an open request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// CloseIdleExceptNew is like CloseIdle, but keeps connections within Limits.NewConnGrace of their accept, whose first request may be
// in transit.
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

// Wait waits until all connections of Serve are closed or ctx is done.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
