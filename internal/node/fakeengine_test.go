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

// fakeEngine is a stand-in: it runs requests that name it, and says so.
type fakeEngine struct {
	t           *testing.T
	id          string
	addr        string
	web         *http.Server
	mu          sync.Mutex
	ran         map[string]int // by request id
	lastRequest time.Time
	callCount   int
}

func newFakeEngine(t *testing.T, id string) *fakeEngine {
	e := &fakeEngine{t: t, id: id, ran: map[string]int{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.addr = ln.Addr().String()
	e.web = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	})}
	go e.web.Serve(ln)
	t.Cleanup(func() { e.web.Close() })
	return e
}

func (e *fakeEngine) requests() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range e.ran {
		n += k
	}
	return n
}

// heartbeat calls a router.
func (e *fakeEngine) heartbeat(to, status string) {
	e.t.Helper()
	e.callCount++
	code, _ := controlCall(e.t, "POST", to, "/Instances.Heartbeat/"+e.id, nil, map[string]any{
		"target_service": "s", "address": e.addr, "zone": "a", "revision": "v1", "capacity_slots": 4, "status": status, "call_count": e.callCount,
	})
	if code != 200 {
		e.t.Errorf("a beat got %d", code)
	}
}

// scriptedEngine reads requests and lets play answer on the connection; it closes it when play says so.
type scriptedEngine struct {
	addr     string
	requests atomic.Int64
}

func newScriptedEngine(t *testing.T, play func(c net.Conn, r *http.Request) (goOn bool)) *scriptedEngine {
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
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					e.requests.Add(1)
					if !play(c, r) {
						return
					}
				}
			}()
		}
	}()
	return e
}

func respondWith(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		return true
	}
}

const (
	answerFull        = "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	answerMisdirected = "HTTP/1.1 421 Misdirected Request\nX-Not-Executed: 1\nContent-Length: 0\n\n"
	answerServed      = "HTTP/1.1 200 OK\nX-Response-Seal: s\nContent-Length: 4\n\ngood"
	answerFailed      = "HTTP/1.1 500 Internal Server Error\nX-Response-Seal: f\nContent-Length: 3\n\nbad"
)
