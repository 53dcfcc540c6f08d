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

const completionRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Class: doc-lookup\r\nContent-Length: 2\r\n\r\n{}"

// readinessStatus returns the status code of the readiness check on a new connection.
func readinessStatus(t *testing.T, listener *pipeListener) int {
	t.Helper()
	c, err := listener.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return roundTrip(t, c, readinessRequest).StatusCode
}

const readinessRequest = "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"

func roundTrip(t *testing.T, c net.Conn, text string) *http.Response {
	t.Helper()
	go io.WriteString(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, r.Body)
	return r
}

// closeTime sends the time at which the peer closes a connection.
func closeTime(c net.Conn) <-chan time.Time {
	at := make(chan time.Time, 1)
	go func() { io.Copy(io.Discard, c); at <- time.Now() }()
	return at
}

func TestDrainByOperator(t *testing.T) {
	// StartDrain and StopDrain are each called twice, in two rounds. Idle connections are closed in time, and new ones are served and
	// closed after their response. SIGTERM during a drain makes it final.
	synctest.Test(t, func(t *testing.T) {
		listener, stop, done, _, r := startInMemory(t, time.Second)
		for range 2 {
			if s := readinessStatus(t, listener); s != 200 {
				t.Fatalf("readiness %d before a drain", s)
			}
			idle, used := mustDial(listener.dial()), mustDial(listener.dial())
			roundTrip(t, used, readinessRequest)
			idleClosed, usedClosed := closeTime(idle), closeTime(used)
			began := time.Now()
			r.StartDrain()
			r.StartDrain()
			if s := readinessStatus(t, listener); s != 503 {
				t.Errorf("readiness %d during a drain", s)
			}
			if ok, _ := r.Serving(); ok {
				t.Error("Serving reports ready during a drain")
			}
			time.Sleep(300 * time.Millisecond) // the load balancer has not noticed yet
			late := mustDial(listener.dial())
			if a := roundTrip(t, late, completionRequest); a.StatusCode == 0 || !a.Close {
				t.Errorf("a late connection: status %d, stays open: %v", a.StatusCode, !a.Close)
			}
			for name, gone := range map[string]<-chan time.Time{"without a request": idleClosed, "idle": usedClosed} {
				if after := (<-gone).Sub(began); after < r.cfg.Limits.DrainIdleDelay || after > time.Second {
					t.Errorf("%s: closed after %v", name, after)
				}
			}
			// A new connection without a request is closed, too.
			silent := mustDial(listener.dial())
			opened := time.Now()
			if after := (<-closeTime(silent)).Sub(opened); after < r.cfg.Limits.NewConnGrace || after > time.Second {
				t.Errorf("a silent connection was closed after %v", after)
			}
			if err := r.StopDrain(); err != nil || readinessStatus(t, listener) != 200 {
				t.Errorf("StopDrain: %v", err)
			}
			if err := r.StopDrain(); err != nil || readinessStatus(t, listener) != 200 {
				t.Errorf("StopDrain without a drain: %v", err)
			}
		}
		kept := mustDial(listener.dial())
		gone := closeTime(kept)
		time.Sleep(time.Second)
		select {
		case <-gone:
			t.Error("a connection was closed after the end of the drain")
		default:
		}
		r.StartDrain()
		stop <- syscall.SIGTERM
		synctest.Wait()
		if err := r.StopDrain(); err == nil {
			t.Error("StopDrain undid a drain by SIGTERM")
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// process is a router on a TCP address that it shares with another one.
type process struct {
	*Router
	stop chan os.Signal
	done chan error
}

func startProcess(t *testing.T, dir, listen string) *process {
	t.Helper()
	cfg := loadConfig(t)
	cfg.SharedDir, cfg.ListenAddr = dir, listen
	p := &process{Router: newRouter(t, cfg, 0, &strings.Builder{}), stop: make(chan os.Signal, 1), done: make(chan error, 1)}
	if err := p.claimAddress(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.serve(p.listen, Signals{Stop: p.stop}) }()
	return p
}

func TestReplacementUnderLoad(t *testing.T) {
	// The old process exits when its connections are closed, and no call fails during the replacement.
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen, dir := free.Addr().String(), t.TempDir()
	free.Close()
	old := startProcess(t, dir, listen)
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
	for err := range calls { // until the first process serves
		if err == nil {
			break
		}
	}
	next := startProcess(t, dir, listen)
	if next.capacity() != next.cfg.Limits.TakeoverCapacity() {
		t.Errorf("the capacity of a successor: %+v", next.capacity())
	}
	if ok, why := next.Serving(); ok {
		t.Errorf("a successor is ready at once: %s", why)
	}
	served := 0
	ended := false
	for err := range calls {
		if err != nil {
			t.Errorf("call failed: %v", err)
		}
		if served++; !ended {
			select {
			case err := <-old.done:
				if ended = true; err != nil {
					t.Error(err)
				}
				old.lifecycle.claim.Close() // as the exit of its process would
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

// capacity returns the limits that a router applies.
func (r *Router) capacity() limits.Capacity {
	return limits.Capacity{ClientConns: r.frontend.MaxConnections(), UpstreamConns: r.upstream.MaxConnections(), HeapBytes: r.cfg.Limits.TakeoverCapacity().HeapBytes}
}

func TestHandoverStateEncoding(t *testing.T) {
	state := &handoverState{Pools: map[string]*policy.Snapshot{"": {
		Sessions: []policy.SnapshotSession{{Session: 3, Replica: 4, UsedAt: 5}},
		Replicas: []policy.SnapshotReplica{{ID: 4, ReadyAt: 1, EjectedUntil: 9, Weight: 2}},
		Prefixes: map[uint64]float64{7: 8}, ShedShare: 0.5,
	}}}
	b, err := state.encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeHandoverState(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(state, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for name, bad := range map[string][]byte{
		"nothing": nil, "half": b[:len(b)/2], "short": b[:3], "another version": append([]byte("nhleg02\n"), b[8:]...),
		"a flipped bit": append(append([]byte{}, b[:len(b)-1]...), b[len(b)-1]^1),
	} {
		if _, err := decodeHandoverState(bad); err == nil {
			t.Errorf("%s was decoded without an error", name)
		}
	}
}
