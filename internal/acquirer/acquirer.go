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
)

// Server is the front.
type Server struct {
	Lim     limits.Limits
	Classes map[string]int
	Post    func(broker.Event)
	Now     broker.Clock
	Ready   func() bool // whether the router knows of issuer hosts
	Trace   bool        // journeys are recorded: contexts are read, and the writing of answers is told

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining atomic.Bool
	bodies   atomic.Int64 // bytes of bodies held
	wg       sync.WaitGroup
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
	c.spare = len(s.conns) > s.Lim.AcquirerConns && !s.makeRoom(c.came)
	full := len(s.conns) > s.Lim.AcquirerConns+s.Lim.SpareConns
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

// Drain has every connection closed with its next answer from now on.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no authorisation is open.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
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
	callsPath = "/v1/chat/completions"
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

// route checks method and path; ok tells whether the message is an authorisation.
func (s *Server) route(req *http.Request) (d decline, ok bool) {
	path, _, _ := strings.Cut(req.RequestURI, "?") // as it came, for so it is passed on
	switch path {
	case callsPath:
		if req.Method != http.MethodPost {
			return decline{status: http.StatusMethodNotAllowed, reason: "only POST is served here", allow: "POST"}, false
		}
		return d, true
	case readyPath, livePath:
		switch {
		case req.Method != http.MethodGet:
			return decline{status: http.StatusMethodNotAllowed, reason: "only GET is served here", allow: "GET"}, false
		case path == readyPath && (s.draining.Load() || !s.Ready()):
			return decline{status: http.StatusServiceUnavailable, reason: "not ready"}, false
		}
		return decline{status: http.StatusOK, reason: "ok"}, false
	}
	return decline{status: http.StatusNotFound, reason: "no such path"}, false
}

// body reads the body of a message within the limits. What it holds is counted until release.
func (s *Server) body(req *http.Request) (body []byte, held int64, d *decline) {
	most := int64(s.Lim.BodyBytes)
	if req.ContentLength > most {
		return nil, 0, &decline{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", unread: true}
	}
	held = req.ContentLength
	if held < 0 {
		held = most // its length shows only at its end
	}
	if s.bodies.Add(held) > s.Lim.BodiesBytes {
		s.release(held)
		return nil, 0, &decline{
			status: http.StatusServiceUnavailable, reason: "no room", retry: s.Lim.SpareAnswer, unread: true,
		}
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
		return nil, 0, &decline{status: http.StatusBadRequest, reason: "the body is malformed or cut off", unread: true}
	case int64(len(body)) > most:
		s.release(held)
		return nil, 0, &decline{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", unread: true}
	}
	return body, held, nil
}

func (s *Server) release(held int64) { s.bodies.Add(-held) }
