// Package admin is the address for operators: whether this process is ready, and the drain by call. It owns its callers'
// connections, HTTP/1.1 with one call each, and nothing else; what a call asks for is the State's to do. A caller that
// is slow costs a place among a bounded number and holds up nobody.
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

// State is what operators ask about and change. None of its methods may wait for traffic.
type State interface {
	// Serving tells whether requests are wanted here, and why not otherwise.
	Serving() (bool, string)
	// StartDrain begins a drain, or goes on with the one that there is.
	StartDrain()
	// StopDrain ends a drain, if there is one. An error says why it cannot.
	StopDrain() error
}

// Path is where operators call.
const Path = "/healthcheck"

// Server answers operators.
type Server struct {
	State State

	mu      sync.Mutex
	callers []*caller // oldest first
}

// caller is a connection whose call has not been answered.
type caller struct {
	net.Conn
	once sync.Once
}

func (c *caller) Close() (err error) {
	c.once.Do(func() { err = c.Conn.Close() })
	return err
}

// Serve takes callers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(limits.AdminAcceptBackoff) // out of descriptors, or a caller that was gone at once
			continue
		}
		c := &caller{Conn: nc}
		s.enter(c)
		go func() {
			defer s.leave(c)
			s.serve(c)
		}()
	}
}

// enter gives a caller its place: that of the one that has waited for longest, if all are taken.
func (s *Server) enter(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= limits.AdminConns {
		_ = s.callers[0].Close() // its serve ends by it
		s.callers = s.callers[1:]
	}
	s.callers = append(s.callers, c)
}

func (s *Server) leave(c *caller) {
	_ = c.Close() // it was answered, or nobody is there
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.callers {
		if o == c {
			s.callers = append(s.callers[:i:i], s.callers[i+1:]...)
			return
		}
	}
}

// Callers tells how many calls are not answered yet.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// serve takes one call in and answers it.
func (s *Server) serve(c net.Conn) {
	c.SetDeadline(time.Now().Add(limits.AdminTimeout))
	status, says := s.read(c)
	if status == 0 {
		return // nobody is there to be told
	}
	allow := ""
	if status == http.StatusMethodNotAllowed {
		allow = "Allow: " + says + "\r\n"
		says = "only " + says + " is served here"
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n\r\n%s\n",
		status, http.StatusText(status), allow, len(says)+1, says)
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // a close on unread bytes would reset the answer
	}
}

// read reads a call and does it.
func (s *Server) read(c net.Conn) (status int, says string) {
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
	return s.call(req.Method, req.URL.Path)
}

// call does a call. With 405, says is the one method that is served.
func (s *Server) call(method, path string) (status int, says string) {
	wants := map[string]string{Path: http.MethodGet, Path + "/fail": http.MethodPost, Path + "/ok": http.MethodPost}[path]
	switch {
	case wants == "":
		return http.StatusNotFound, "no such path"
	case method != wants:
		return http.StatusMethodNotAllowed, wants
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
	if ok, why := s.State.Serving(); !ok && path == Path {
		return http.StatusServiceUnavailable, why
	}
	return http.StatusOK, "ok"
}
