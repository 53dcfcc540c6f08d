// Package admin serves the operators' HTTP API of a process: a readiness check, and calls that start and stop a drain. A connection
// carries one HTTP/1.1 request. The number of open connections is bounded; at the bound, a new one replaces the oldest, so that slow
// clients do not block others. The State performs the calls.
package admin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"notchhinge/internal/framing"
	"notchhinge/internal/limits"
)

// State is the state of the process that operators read and change. Its methods must not wait for traffic.
type State interface {
	// Serving reports whether the process is ready for requests and, if it is not, the reason.
	Serving() (bool, string)
	// StartDrain starts a drain. It has no effect if one is in progress.
	StartDrain()
	// StopDrain ends the drain, if one is in progress. The error states why the drain cannot end.
	StopDrain() error
}

// Path is the path of the readiness check and the prefix of the paths that start and stop a drain.
const Path = "/healthcheck"

// Server serves the operators' API.
type Server struct {
	State State

	mu    sync.Mutex
	conns []*clientConn // oldest first
}

// clientConn is an open connection of a client.
type clientConn struct {
	net.Conn
	closeOnce sync.Once
}

// Close closes the connection on the first call and does nothing on later ones.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() { err = c.Conn.Close() })
	return err
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		accepted, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(limits.AdminAcceptBackoff) // out of file descriptors, or the client has disconnected already
			continue
		}
		c := &clientConn{Conn: accepted}
		s.addConn(c)
		go func() {
			defer s.removeConn(c)
			s.serveConn(c)
		}()
	}
}

// addConn adds a connection. At the limit of limits.AdminConns it closes the oldest one.
func (s *Server) addConn(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= limits.AdminConns {
		_ = s.conns[0].Close() // its serveConn then returns
		s.conns = s.conns[1:]
	}
	s.conns = append(s.conns, c)
}

// removeConn closes a connection and removes it from the list.
func (s *Server) removeConn(c *clientConn) {
	_ = c.Close() // the response was sent, or the client has disconnected
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			return
		}
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// serveConn reads one request, performs it and writes the response.
func (s *Server) serveConn(c net.Conn) {
	c.SetDeadline(time.Now().Add(limits.AdminTimeout))
	status, body := s.serveRequest(c)
	if status == 0 {
		return // the client sent no complete request
	}
	allow := ""
	if status == http.StatusMethodNotAllowed {
		allow = "Allow: " + body + "\r\n"
		body = "only " + body + " is served here"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s\n",
		status, http.StatusText(status), allow, len(body)+1, body)
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // closing a connection with unread bytes would reset it before the client has read the response
	}
}

// serveRequest reads a request and performs it. A status of 0 means that no complete request arrived. With status 405, body is the
// allowed method.
func (s *Server) serveRequest(c net.Conn) (status int, body string) {
	br := bufio.NewReaderSize(c, limits.AdminHeadBytes)
	head, err := framing.PeekHead(br)
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return http.StatusRequestHeaderFieldsTooLarge, "the head is too long"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, ""
	case err != nil:
		return 0, ""
	case !framing.HasUniqueFraming(head):
		return http.StatusBadRequest, "the head is ambiguous"
	}
	req, err := http.ReadRequest(br)
	if err != nil {
		return http.StatusBadRequest, "the head is malformed"
	}
	return s.perform(req.Method, req.URL.Path)
}

// perform performs a call. With status 405, body is the allowed method.
func (s *Server) perform(method, path string) (status int, body string) {
	allowed := map[string]string{Path: http.MethodGet, Path + "/fail": http.MethodPost, Path + "/ok": http.MethodPost}[path]
	switch {
	case allowed == "":
		return http.StatusNotFound, "no such path"
	case method != allowed:
		return http.StatusMethodNotAllowed, allowed
	}
	switch path {
	case Path + "/fail":
		s.State.StartDrain()
		return http.StatusOK, "draining"
	case Path + "/ok":
		if err := s.State.StopDrain(); err != nil {
			return http.StatusConflict, err.Error()
		}
	}
	if ready, reason := s.State.Serving(); !ready && path == Path {
		return http.StatusServiceUnavailable, reason
	}
	return http.StatusOK, "ok"
}
