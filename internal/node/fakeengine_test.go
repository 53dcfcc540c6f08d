package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakeEngine is an engine that answers requests that carry its id, and rejects all others as misdirected. Its responses
// contain the id.
type fakeEngine struct {
	t          *testing.T
	id         string
	addr       string
	heartbeats int // sent so far

	mu          sync.Mutex
	ran         map[string]int // number of executions by request id
	lastRequest time.Time
}

func newFakeEngine(t *testing.T, id string) *fakeEngine {
	t.Helper()
	e := &fakeEngine{t: t, id: id, ran: map[string]int{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.addr = ln.Addr().String()
	server := &http.Server{Handler: e}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return e
}

// ServeHTTP implements http.Handler.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.ran[r.Header.Get("X-Request-Id")]++
	e.lastRequest = time.Now()
	e.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal-"+r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Saw-Tenant", r.Header.Get("X-Tenant"))
	w.Header().Set("X-Saw-Key", r.Header.Get("X-Credential"))
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.id)
			w.(http.Flusher).Flush()
		}
		return
	}
	fmt.Fprintf(w, "answer of %s", e.id)
}

// requests returns the number of executed requests.
func (e *fakeEngine) requests() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range e.ran {
		n += k
	}
	return n
}

// heartbeat sends a heartbeat to a control address, which must acknowledge it.
func (e *fakeEngine) heartbeat(to, status string) {
	e.t.Helper()
	if code := e.tryHeartbeat(to, status); code != 200 {
		e.t.Errorf("heartbeat: status %d, want 200", code)
	}
}

// tryHeartbeat sends a heartbeat to a control address, and returns the status of the answer.
func (e *fakeEngine) tryHeartbeat(to, status string) (code int) {
	e.t.Helper()
	e.heartbeats++
	code, _ = controlCall(e.t, to, controlRequest{method: http.MethodPost, path: "/Instances.Heartbeat/" + e.id, body: map[string]any{
		"target_service": "s", "address": e.addr, "zone": "a", "revision": "v1", "capacity_slots": 4, "status": status, "call_count": e.heartbeats,
	}})
	return code
}

// script answers a request on its connection, and reports whether the connection stays open.
type script func(c net.Conn, r *http.Request) (keepOpen bool)

// scriptedEngine is an engine whose answers are given by a script.
type scriptedEngine struct {
	addr     string
	requests atomic.Int64 // received so far
}

func newScriptedEngine(t *testing.T, answer script) *scriptedEngine {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := &scriptedEngine{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c, answer)
		}
	}()
	return e
}

// serve answers the requests of a connection.
func (e *scriptedEngine) serve(c net.Conn, answer script) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		e.requests.Add(1)
		if !answer(c, r) {
			return
		}
	}
}

// respondWith returns a script that answers each request with a text, after replacing LF by CRLF.
func respondWith(text string) script {
	return func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		return true
	}
}

// Responses of an engine.
const (
	answerFull        = "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	answerMisdirected = "HTTP/1.1 421 Misdirected Request\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	answerServed      = "HTTP/1.1 200 OK\nX-Response-Seal: s\nContent-Length: 4\n\ngood"
	answerFailed      = "HTTP/1.1 500 Internal Server Error\nX-Response-Seal: f\nContent-Length: 3\n\nbad"
)
