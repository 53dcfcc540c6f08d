package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"notchhinge/internal/config/nodeconfig"
	"notchhinge/internal/control/fleetconfig"
)

// seen is what an engine was shown.
type seen struct{ path, expect, from string }

// watched is an engine that notes what comes. Streams stop after their first event until they are let go on.
type watched struct {
	*rawEngine
	mu   sync.Mutex
	all  []seen
	goOn chan struct{}
}

func newWatched(t *testing.T) *watched {
	w := &watched{goOn: make(chan struct{})}
	w.rawEngine = newRawEngine(t, func(c net.Conn, r *http.Request) bool {
		w.mu.Lock()
		w.all = append(w.all, seen{r.URL.Path, r.Header.Get("X-Expect-Instance"), c.RemoteAddr().String()})
		w.mu.Unlock()
		if !strings.HasPrefix(r.URL.Path, "/long/") {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 4\r\n\r\ngood")
			return true
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 0\ndata: x\n\n\r\n")
		<-w.goOn
		io.WriteString(c, "f\r\nid: 1\ndata: y\n\n\r\n0\r\n\r\n")
		return true
	})
	return w
}

func (w *watched) seen() []seen {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]seen(nil), w.all...)
}

// stream is a client's, of which the first event has come.
type stream struct {
	c  net.Conn
	br *bufio.Reader
	*http.Response
	body *bufio.Reader
}

func openStream(t *testing.T, addr string) *stream {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	s := &stream{c: c, br: bufio.NewReader(c)}
	io.WriteString(c, "POST /long/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	if s.Response, err = http.ReadResponse(s.br, nil); err != nil || s.StatusCode != 200 {
		t.Fatalf("%+v %v", s.Response, err)
	}
	s.body = bufio.NewReader(s.Body)
	for range 3 {
		if _, err := s.body.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// rest reads the stream to its end.
func (s *stream) rest() error {
	b, err := io.ReadAll(s.body)
	if err == nil && string(b) != "id: 1\ndata: y\n\n" {
		err = fmt.Errorf("the rest is %q", b)
	}
	return err
}

func TestAddressPassesToAnotherService(t *testing.T) {
	// An engine goes, and its address is another service's engine's, while a leg is under way there and a line that served is
	// parked. What is asked of the new one comes on a line of its own and names it; the old service asks there no more.
	a, b := newWatched(t), newWatched(t)
	p := newPlane(t, 1, at("i-old", "s", a.rawEngine))
	if resp, _, err := post(t, p.addr, "/again/1"); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	parked := a.seen()[0].from
	until(t, "a parked line", func() bool { return p.d.issuer.Parked() == 1 }) // it is parked once the answer has gone to the client
	running := openStream(t, p.addr)
	if got := a.seen()[1]; got.from != parked || got.expect != "i-old" {
		t.Fatalf("%+v: the parked line was wanted", got)
	}
	if resp, _, err := post(t, p.addr, "/again/2"); err != nil || resp.StatusCode != 200 { // parks another
		t.Fatal(resp, err)
	}
	before := len(a.seen())
	p.set(at("i-new", "t", a.rawEngine), at("i-b", "s", b.rawEngine))
	for i := range 5 {
		for path, want := range map[string]string{"/other/": "i-new", "/again/": "i-b", "/once/": "i-b"} {
			if resp, _, err := post(t, p.addr, fmt.Sprint(path, i)); err != nil || resp.StatusCode != 200 {
				t.Errorf("%s, wanted of %s: %v %v", path, want, resp, err)
			}
		}
	}
	old := map[string]bool{}
	for i, x := range a.seen() {
		if i < before {
			old[x.from] = true
		} else if x.expect != "i-new" || !strings.HasPrefix(x.path, "/other/") || old[x.from] {
			t.Errorf("%+v on a line that served the other engine: %v", x, old[x.from])
		}
	}
	for _, x := range b.seen() {
		if x.expect != "i-b" || strings.HasPrefix(x.path, "/other/") {
			t.Errorf("the other engine was shown %+v", x)
		}
	}
	close(a.goOn)
	if err := running.rest(); err != nil {
		t.Errorf("the leg that was under way: %v", err)
	}
}

func TestRunningRequestOutlivesItsConfiguration(t *testing.T) {
	// A configuration takes a running request's route, its service and its tenant's key away.
	for name, next := range map[string]*fleetconfig.Config{
		"the route":   {Revision: 2, Services: []fleetconfig.Service{{Name: "s"}, {Name: "t"}}},
		"the service": {Revision: 2, Services: []fleetconfig.Service{{Name: "t"}}},
		"all of it":   {Revision: 2, Tenants: []fleetconfig.Tenant{{Name: "x", Keys: []string{"k"}}}},
		"the key": func() *fleetconfig.Config {
			c := planeConfig()
			c.Revision, c.Tenants = 2, []fleetconfig.Tenant{{Name: "x", Keys: []string{"k"}}}
			return c
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newWatched(t)
			p := newPlane(t, 1, at("i-1", "s", e.rawEngine))
			var running []*stream
			for range 20 {
				running = append(running, openStream(t, p.addr))
			}
			if err := p.d.apply(2, next); err != nil {
				t.Fatal(err)
			}
			want := 404
			if name == "the key" {
				want = 401
			}
			if resp, _, err := post(t, p.addr, "/long/2"); err != nil || resp.StatusCode != want {
				t.Errorf("a new one: %+v %v, not %d", resp, err, want)
			}
			close(e.goOn)
			for _, s := range running {
				if err := s.rest(); err != nil {
					t.Errorf("a running one: %v", err)
				}
			}
			if len(next.Services) == 0 || next.Services[0].Name == "t" {
				until(t, "the service's module is gone", func() bool {
					p.d.mu.Lock()
					defer p.d.mu.Unlock()
					return len(p.d.modules) == len(next.Services)
				})
			}
		})
	}
}

// ending is a node that carries traffic, to be stopped.
func ending(p *testPlane, grace float64) (n *Node, stopped chan time.Duration) {
	n = &Node{cfg: &nodeconfig.Settings{}, log: slog.New(slog.NewTextHandler(io.Discard, nil)), data: p.d}
	n.cfg.Bounds.GraceS = grace
	stopped = make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		n.stop(context.Background(), p.ln)
		stopped <- time.Since(began)
	}()
	until(p.t, "it stops", n.stopping.Load)
	return n, stopped
}

func TestStopAmongStreams(t *testing.T) {
	// SIGTERM comes in the midst of hundreds of streams: each comes to its end, what is asked before the platform's entry has
	// noticed is served, and the process ends once they have.
	t.Parallel()
	e := newWatched(t)
	p := newPlane(t, 1, at("i-1", "s", e.rawEngine))
	var running []*stream
	for range 300 {
		running = append(running, openStream(t, p.addr))
	}
	n, stopped := ending(p, 20)
	says := httptest.NewRecorder()
	if n.readiness(says, nil); says.Code != 503 {
		t.Errorf("readiness says %d", says.Code)
	}
	for i := range 20 {
		resp, _, err := post(t, p.addr, fmt.Sprint("/again/", i))
		if err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("a request on the way there: %+v %v", resp, err)
		}
	}
	select {
	case took := <-stopped:
		t.Fatalf("it ended after %v with %d streams open", took, len(running))
	default:
	}
	close(e.goOn)
	for i, s := range running {
		if err := s.rest(); err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if took := <-stopped; took > 15*time.Second {
		t.Errorf("it ended after %v", took)
	}
	if left := p.d.front.Conns(); left != 0 {
		t.Errorf("%d connections are left", left)
	}
	if c, err := net.Dial("tcp4", p.addr); err == nil {
		c.Close()
		t.Error("it takes connections still")
	}
}

func TestStopEndsInItsGrace(t *testing.T) {
	// A stream that does not end must not hold the process until it is killed.
	t.Parallel()
	e := newWatched(t)
	p := newPlane(t, 1, at("i-1", "s", e.rawEngine))
	openStream(t, p.addr)
	const grace = 3500 * time.Millisecond
	if _, stopped := ending(p, grace.Seconds()); <-stopped > grace {
		t.Error("it ended after its grace")
	}
	close(e.goOn)
}
