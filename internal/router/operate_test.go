package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/limits"
	"notchhinge/policy"
)

const asks = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Class: doc-lookup\r\nContent-Length: 2\r\n\r\n{}"

// ask asks for readiness on a new connection.
func ask(t *testing.T, front *pipeListener) int {
	t.Helper()
	c, err := front.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return get(t, c, readiness).StatusCode
}

const readiness = "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"

func get(t *testing.T, c net.Conn, text string) *http.Response {
	t.Helper()
	go io.WriteString(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
	return r
}

// closed waits for the end of a connection and tells when it came.
func closed(c net.Conn) <-chan time.Time {
	at := make(chan time.Time, 1)
	go func() { io.Copy(io.Discard, c); at <- time.Now() }()
	return at
}

func TestDrainByCall(t *testing.T) {
	// Twice over: fail, fail again, ok, ok again. Idle connections are closed in time, new ones are served and closed with
	// their answer, and the process stays. At last SIGTERM comes within a drain, which then has no way back.
	synctest.Test(t, func(t *testing.T) {
		front, stop, done, _, r := bubbleOf(t, time.Second)
		for range 2 {
			if s := ask(t, front); s != 200 {
				t.Fatalf("ready: %d before a drain", s)
			}
			idle, used := must(front.dial()), must(front.dial())
			get(t, used, readiness)
			idleGone, usedGone := closed(idle), closed(used)
			began := time.Now()
			r.Fail()
			r.Fail()
			if s := ask(t, front); s != 503 {
				t.Errorf("ready: %d in a drain", s)
			}
			if ok, _ := r.Serving(); ok {
				t.Error("operators are told that it serves")
			}
			time.Sleep(300 * time.Millisecond) // the front has not noticed yet
			late := must(front.dial())
			if a := get(t, late, asks); a.StatusCode == 0 || !a.Close {
				t.Errorf("a connection that came late: %d, and goes on: %v", a.StatusCode, !a.Close)
			}
			for name, gone := range map[string]<-chan time.Time{"never asked": idleGone, "idle": usedGone} {
				if after := (<-gone).Sub(began); after < r.cfg.Limits.DrainIdleDelay || after > time.Second {
					t.Errorf("%s: closed after %v", name, after)
				}
			}
			// One that comes out of turn and says nothing is not held either.
			odd := must(front.dial())
			at := time.Now()
			if after := (<-closed(odd)).Sub(at); after < r.cfg.Limits.NewConnGrace || after > time.Second {
				t.Errorf("a silent connection was closed after %v", after)
			}
			if err := r.OK(); err != nil || ask(t, front) != 200 {
				t.Errorf("ok: %v", err)
			}
			if err := r.OK(); err != nil || ask(t, front) != 200 {
				t.Errorf("ok without a drain: %v", err)
			}
		}
		kept := must(front.dial())
		gone := closed(kept)
		time.Sleep(time.Second)
		select {
		case <-gone:
			t.Error("a drain that is over still closes connections")
		default:
		}
		r.Fail()
		stop <- syscall.SIGTERM
		synctest.Wait()
		if err := r.OK(); err == nil {
			t.Error("a drain by SIGTERM was taken back")
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// process is a router on a real address, as one of two.
type process struct {
	*Router
	stop chan os.Signal
	done chan error
}

func start(t *testing.T, dir, listen string) *process {
	t.Helper()
	cfg := load(t)
	cfg.SharedDir, cfg.ListenAddr = dir, listen
	p := &process{Router: newRouter(t, cfg, 0, &strings.Builder{}), stop: make(chan os.Signal, 1), done: make(chan error, 1)}
	if err := p.claim(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.serve(p.listen, Signals{Stop: p.stop}) }()
	return p
}

func TestReplacedUnderLoad(t *testing.T) {
	// The old process ends by itself once its connections have, and no call meets a closed door meanwhile.
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen, dir := free.Addr().String(), t.TempDir()
	free.Close()
	old := start(t, dir, listen)
	calls, halt := make(chan error), make(chan struct{})
	go func() {
		defer close(calls)
		client := &http.Client{Transport: &http.Transport{MaxIdleConns: 4}, Timeout: 10 * time.Second}
		for {
			select {
			case <-halt:
				return
			default:
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listen+"/health/ready", nil)
			if err != nil {
				t.Error(err)
				return
			}
			a, err := client.Do(req)
			if err == nil {
				io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			calls <- err
		}
	}()
	for err := range calls { // until the first is up
		if err == nil {
			break
		}
	}
	next := start(t, dir, listen)
	if next.limits() != next.cfg.Limits.TakeoverCapacity() {
		t.Errorf("an heir has %+v", next.limits())
	}
	if ok, why := next.Serving(); ok {
		t.Errorf("an heir says at once that it serves: %s", why)
	}
	served := 0
	ended := false
	for err := range calls {
		if err != nil {
			t.Errorf("a call: %v", err)
		}
		if served++; !ended {
			select {
			case err := <-old.done:
				if ended = true; err != nil {
					t.Error(err)
				}
				old.ops.place.Close() // as its process's end would
				served = 0
			default:
			}
		} else if ok, _ := next.Serving(); ok && served > 20 {
			break
		}
	}
	close(halt)
	for range calls {
	}
	next.stop <- syscall.SIGTERM
	if err := <-next.done; err != nil {
		t.Error(err)
	}
}

// limits is the room that a router keeps to.
func (r *Router) limits() limits.Capacity {
	return limits.Capacity{ClientConns: r.front.MaxConnections(), UpstreamConns: r.upstream.MaxConnections(), HeapBytes: r.cfg.Limits.TakeoverCapacity().HeapBytes}
}

func TestLegacy(t *testing.T) {
	l := &legacy{Pools: map[string]*policy.Snapshot{"": {
		Sessions: []policy.SnapshotSession{{Session: 3, Replica: 4, UsedAt: 5}},
		Replicas: []policy.SnapshotReplica{{ID: 4, ReadyAt: 1, EjectedUntil: 9, Weight: 2}},
		Prefixes: map[uint64]float64{7: 8}, ShedShare: 0.5,
	}}}
	b, err := l.encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeLegacy(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for name, bad := range map[string][]byte{
		"nothing": nil, "half": b[:len(b)/2], "short": b[:3], "another form": append([]byte("nhleg02\n"), b[8:]...),
		"a flipped bit": append(append([]byte{}, b[:len(b)-1]...), b[len(b)-1]^1),
	} {
		if _, err := decodeLegacy(bad); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}
