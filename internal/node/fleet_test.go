package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
	"notchhinge/internal/limits"
)

// A fleet on loopback: real nodes in this process, engines, a platform and an operator of our own. Nothing waits for a fixed
// time; each step waits until what it needs is there, and fails after a bound.

const bound = 20 * time.Second

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !is(); {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, bound)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// machine is a node's place; the process there may be stopped and started, and its disk wiped.
type machine struct {
	t     *testing.T
	cfg   map[string]any
	path  string
	dir   string
	stop  chan os.Signal
	done  chan error
	front string
	ctl   string
	ready string
}

type testFleet struct {
	t        *testing.T
	edges    []*machine
	keepers  []*machine
	platform *platformStandIn
	make     func(i int, keeper bool) *machine
}

// port returns a port that is free at an address.
func port(t *testing.T, ip string) int {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// newTestFleet starts a fleet. Each machine has an address of its own in 127/8; inner ports are alike.
func newTestFleet(t *testing.T, edges int, subnet byte) *testFleet {
	return newTestFleetOf(t, 3, edges, subnet)
}

// newTestFleetOf starts a fleet whose keepers are all there from the beginning on.
func newTestFleetOf(t *testing.T, keepers, edges int, subnet byte) *testFleet {
	f := &testFleet{t: t, platform: newPlatform(t)}
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.1", 40+subnet, i+1) }
	inner := port(t, ip(0))
	control := port(t, ip(0))
	for control == inner {
		control = port(t, ip(0))
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), control))
	}
	zones := []string{"a", "b", "c"}
	f.make = func(i int, keeper bool) *machine {
		m := &machine{t: t, dir: t.TempDir(), ctl: fmt.Sprintf("%s:%d", ip(i), control)}
		m.cfg = map[string]any{
			"node_name": fmt.Sprintf("n%d", i), "machine_class": "edge", "ip_address": ip(i), "zone": zones[i%3],
			"internal_port_range": []int{inner, inner}, "seed_nodes": seeds, "bootstrap": true, "heartbeat_interval_ms": 300,
			"request_limits":  map[string]any{"cpu_fraction": 1, "cpu_cores": 8, "memory_mb": 512, "max_open_files": 2048},
			"fault_tolerance": map[string]any{"machines": 1}, "later_field": []int{1},
			"bounds":    map[string]any{"drain_timeout_ms": 1200, "grace_period_s": 4, "lease_ms": 1200, "usage_window_s": 1, "usage_delay_s": 4},
			"cloud_api": map[string]any{"address": f.platform.addr, "duties": []string{"usage_reporting", "autoscaler"}},
		}
		listeners := map[string]any{"control_plane": m.ctl}
		if keeper {
			m.cfg["machine_class"], m.cfg["quorum_member"], m.cfg["data_directory"] = "core", true, filepath.Join(m.dir, "data")
			f.keepers = append(f.keepers, m)
		} else {
			m.front, m.ready = fmt.Sprintf("%s:%d", ip(i), port(t, ip(i))), fmt.Sprintf("%s:%d", ip(i), port(t, ip(i)))
			listeners["frontend"], listeners["readiness"] = m.front, m.ready
			f.edges = append(f.edges, m)
		}
		m.cfg["listeners"] = listeners
		m.path = filepath.Join(m.dir, "boot.json")
		return m
	}
	for i := range keepers + edges {
		f.make(i, i < keepers)
	}
	t.Cleanup(func() {
		for _, m := range append(f.edges, f.keepers...) {
			m.end()
		}
	})
	for _, m := range append(f.edges, f.keepers...) {
		m.start()
	}
	return f
}

func (m *machine) start() {
	m.t.Helper()
	b, err := json.Marshal(m.cfg)
	if err == nil {
		err = os.WriteFile(m.path, b, 0o600)
	}
	if err == nil && m.cfg["data_directory"] != nil {
		err = os.MkdirAll(m.cfg["data_directory"].(string), 0o700)
	}
	if err != nil {
		m.t.Fatal(err)
	}
	m.stop, m.done = make(chan os.Signal, 1), make(chan error, 1)
	stop, done := m.stop, m.done
	go func() {
		done <- Run(m.path, slog.New(slog.NewTextHandler(io.Discard, nil)), Signals{Stop: stop})
	}()
}

// end stops the process in order.
func (m *machine) end() {
	if m.stop == nil {
		return
	}
	m.stop <- syscall.SIGTERM
	if err := <-m.done; err != nil {
		m.t.Errorf("%v: %v", m.cfg["node_name"], err)
	}
	m.stop = nil
}

// again starts the process once more, as the platform does: not the first start, and perhaps with another disk.
func (m *machine) again(wipe bool) {
	m.cfg["bootstrap"] = false
	if wipe {
		if err := os.RemoveAll(m.cfg["data_directory"].(string)); err != nil {
			m.t.Fatal(err)
		}
	}
	m.start()
}

// platformStandIn takes duties, and notes every call.
type platformStandIn struct {
	addr   string
	mu     sync.Mutex
	usage  map[uint64]map[string]uint64
	other  int // reports of a window that differ from the one before
	fences []uint64
	ill    func(call int) (status int, wait time.Duration) // by the number of the call; nil = it is well
	calls  int
}

func newPlatform(t *testing.T) *platformStandIn {
	p := &platformStandIn{usage: map[uint64]map[string]uint64{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = ln.Addr().String()
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		var x struct {
			Window uint64            `cbor:"window_number"`
			Counts map[string]uint64 `cbor:"counts"`
		}
		fence, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
		p.mu.Lock()
		p.calls++
		status, wait := 0, time.Duration(0)
		if p.ill != nil {
			status, wait = p.ill(p.calls)
		}
		p.mu.Unlock()
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
			}
		}
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.fences = append(p.fences, fence)
		if r.URL.Path == "/usage-reports" && cbor.Unmarshal(b, &x) == nil {
			if before := p.usage[x.Window]; before != nil && fmt.Sprint(before) != fmt.Sprint(x.Counts) {
				p.other++
			}
			p.usage[x.Window] = x.Counts
		}
	})}
	go web.Serve(ln)
	t.Cleanup(func() { web.Close() })
	return p
}

// reported sums what was reported of a tenant.
func (p *platformStandIn) reported(tenant string) (n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.usage {
		n += w[tenant]
	}
	return n
}

// engine is a stand-in: it runs requests that name it, and says so.
type engine struct {
	t     *testing.T
	id    string
	addr  string
	web   *http.Server
	mu    sync.Mutex
	ran   map[string]int // by request id
	last  time.Time
	calls int
}

func newEngine(t *testing.T, id string) *engine {
	e := &engine{t: t, id: id, ran: map[string]int{}}
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
		e.last = time.Now()
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

func (e *engine) count() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range e.ran {
		n += k
	}
	return n
}

// beat calls a router.
func (e *engine) beat(to, status string) {
	e.t.Helper()
	e.calls++
	code, _ := call(e.t, "POST", to, "/Instances.Heartbeat/"+e.id, nil, map[string]any{
		"target_service": "s", "address": e.addr, "zone": "a", "revision": "v1", "capacity_slots": 4, "status": status, "call_count": e.calls,
	})
	if code != 200 {
		e.t.Errorf("a beat got %d", code)
	}
}

// call makes a call of the control plane.
func call(t *testing.T, method, to, path string, header map[string]string, v any) (int, []byte) {
	t.Helper()
	var body []byte
	if b, ok := v.([]byte); ok {
		body = b
	} else if v != nil {
		var err error
		if body, err = cbor.Marshal(v); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, x := range header {
		req.Header.Set(k, x)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, b
}

// config is one with a streaming and an idempotent route of service s.
func config(revision int, key string) []byte {
	mode, err := cbor.CanonicalEncOptions().EncMode() // the same bytes every time
	if err != nil {
		return nil
	}
	b, err := mode.Marshal(map[string]any{
		"revision": revision,
		"routes": []any{
			map[string]any{"name": "chat", "hostname": "f.example", "path_prefix": "/chat/", "route_type": "streaming", "timeout_ms": 5000,
				"target_latency_ms": 500, "target_service": "s", "max_attempts": 2, "session_affinity": true},
			map[string]any{"name": "read", "hostname": "f.example", "path_prefix": "/read/", "route_type": "idempotent", "timeout_ms": 3000,
				"target_latency_ms": 500, "target_service": "s", "max_attempts": 3},
		},
		"services": []any{map[string]any{"name": "s", "health_path": "/h"}},
		"tenants":  []any{map[string]any{"name": "lab", "api_keys": []any{key}}},
	})
	if err != nil {
		return nil
	}
	return b
}

// put sends a configuration until it gets a clear answer.
func put(t *testing.T, to string, on int, text []byte) (code int) {
	t.Helper()
	until(t, "a clear answer to a configuration", func() bool {
		code, _ = call(t, "POST", to, "/Configuration.Replace", map[string]string{"X-Revision-Match": strconv.Itoa(on)}, text)
		return code != 0 && code < 500
	})
	return code
}

var requests int

// ask makes a client's request.
func ask(t *testing.T, m *machine, path, key string, header ...string) (*http.Response, string) {
	t.Helper()
	requests++
	req, err := http.NewRequest("POST", "http://"+m.front+path, strings.NewReader(`{"q":1}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "f.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", requests))
	req.Header.Set("X-Credential", key)
	req.Header.Set("X-Deadline-Remaining-Ms", "4000")
	req.Header.Set("X-Tenant", "forged")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, err.Error()
	}
	return resp, string(b)
}

func (m *machine) isReady() bool {
	resp, err := http.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func TestFleet(t *testing.T) {
	f := newTestFleet(t, 2, 0)
	one, two := newEngine(t, "i-one"), newEngine(t, "i-two")
	edge := f.edges[0]
	// The first configuration, by way of a router that holds no state; invalid ones and races.
	if code := put(t, edge.ctl, 0, config(3, "key-1")); code != 200 {
		t.Fatalf("the first configuration: %d", code)
	}
	for what, c := range map[string]struct {
		on   int
		text []byte
		want int
	}{
		"the same again":   {0, config(3, "key-1"), 200},
		"a lost race":      {0, config(4, "key-x"), 412},
		"not above":        {3, config(3, "key-x"), 400},
		"cannot be read":   {3, []byte{0xff, 0}, 400},
		"upon one to come": {9, config(10, "key-x"), 412},
	} {
		for _, m := range []*machine{f.edges[1], f.keepers[1]} {
			if code := put(t, m.ctl, c.on, c.text); code != c.want {
				t.Errorf("%s: %d, %d is wanted", what, code, c.want)
			}
		}
	}
	if code, _ := call(t, "POST", edge.ctl, "/Configuration.Replace", nil, config(9, "k")); code != 400 {
		t.Errorf("without the version that it builds on: %d", code)
	}
	// Engines become known wherever they call; routers become ready.
	one.beat(f.keepers[0].ctl, "ready")
	two.beat(f.edges[1].ctl, "ready")
	for _, m := range f.edges {
		until(t, "readiness", m.isReady)
	}
	until(t, "both engines serve at both routers", func() bool {
		for _, m := range f.edges {
			ask(t, m, "/read/1", "key-1")
		}
		return one.count() > 0 && two.count() > 0
	})
	resp, body := ask(t, edge, "/read/1", "key-1")
	if resp == nil || resp.StatusCode != 200 || !strings.HasPrefix(body, "answer of i-") || resp.Header.Get("X-Saw-Tenant") != "lab" ||
		resp.Header.Get("X-Saw-Key") != "" || !strings.HasPrefix(resp.Header.Get("X-Response-Seal"), "seal-") {
		t.Errorf("%+v %q", resp, body)
	}
	// The staff may ask what is known, and what would become of a request.
	explain := func(m *machine, head string) string {
		t.Helper()
		_, b := call(t, "POST", m.ctl, "/fleet/explain", nil, []byte(head))
		return string(b)
	}
	for _, want := range []string{`"route":"chat"`, `"tenant":"lab"`, `"service":"s"`, `"session":true`, `"ready":["i-one","i-two"]`} {
		if got := explain(edge, "POST /chat/1 HTTP/1.1\r\nHost: f.example\r\nX-Credential: key-1\r\nX-Prompt-Prefix: 9"); !strings.Contains(got, want) {
			t.Errorf("%s is not in %s", want, got)
		}
	}
	if got := explain(edge, "GET /chat/1 HTTP/1.1\r\nHost: f.example\r\nX-Credential: none"); !strings.Contains(got, `"status":401`) || strings.Contains(got, "none") {
		t.Errorf("a wrong key: %s", got)
	}
	if got := explain(f.keepers[0], "GET / HTTP/1.1\r\nHost: f.example"); !strings.Contains(got, "ask a router") {
		t.Errorf("a keeper explains: %s", got)
	}
	if _, b := call(t, "GET", f.keepers[2].ctl, "/fleet/engines", nil, nil); bytes.Count(b, []byte(`"state":"ready","heard_s"`)) != 2 {
		t.Errorf("engines known at a keeper: %s", b)
	}
	if _, b := call(t, "GET", edge.ctl, "/fleet/history", nil, nil); !bytes.HasPrefix(b, []byte(`[{"revision":3,`)) {
		t.Errorf("the history: %s", b)
	}
	// A session stays with its engine.
	_, first := ask(t, edge, "/chat/1", "key-1", "X-Prompt-Prefix", "17")
	for range 8 {
		if _, again := ask(t, edge, "/chat/1", "key-1", "X-Prompt-Prefix", "17"); again != first || strings.Count(again, "id: ") != 3 {
			t.Errorf("a turn of the session: %q, not %q", again, first)
		}
	}
	for path, want := range map[string]int{"/none/": 404, "/read/1": 401} {
		if resp, _ := ask(t, edge, path, "wrong"); resp == nil || resp.StatusCode != want {
			t.Errorf("%s with a wrong key: %v", path, resp)
		}
	}
	// A key is taken away: every router heeds it.
	if code := put(t, f.keepers[2].ctl, 3, config(8, "key-2")); code != 200 {
		t.Errorf("the second configuration: %d", code)
	}
	for _, m := range f.edges {
		until(t, "the new key", func() bool { r, _ := ask(t, m, "/read/1", "key-2"); return r != nil && r.StatusCode == 200 })
		if r, _ := ask(t, m, "/read/1", "key-1"); r == nil || r.StatusCode != 401 {
			t.Errorf("the key that was taken away: %v", r)
		}
	}
	// An engine leaves: once that is acknowledged and the platform's time is over nothing reaches it.
	two.beat(f.keepers[0].ctl, "draining")
	acknowledged := time.Now()
	until(t, "the time of the drain", func() bool {
		ask(t, f.edges[0], "/read/1", "key-2")
		ask(t, f.edges[1], "/chat/1", "key-2", "X-Prompt-Prefix", "3")
		one.beat(f.keepers[1].ctl, "ready")
		return time.Since(acknowledged) > 1500*time.Millisecond
	})
	two.mu.Lock()
	if late := two.last.Sub(acknowledged); late > 1200*time.Millisecond {
		t.Errorf("a request reached an engine %v after it was acknowledged to drain", late)
	}
	two.mu.Unlock()
	// What began is reported, one figure a window.
	until(t, "usage", func() bool {
		ask(t, edge, "/read/1", "key-2")
		one.beat(f.keepers[1].ctl, "ready")
		return f.platform.reported("lab") > 20
	})
	f.platform.mu.Lock()
	if f.platform.other > 0 {
		t.Errorf("%d windows were reported with two figures", f.platform.other)
	}
	for i := 1; i < len(f.platform.fences); i++ {
		if f.platform.fences[i] < f.platform.fences[i-1] {
			t.Errorf("fences %v", f.platform.fences)
		}
	}
	f.platform.mu.Unlock()
	for id, n := range two.ran {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

func TestStateOutlivesLosses(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k2")); code != 200 {
		t.Fatal(code)
	}
	described := func(m *machine) []byte {
		code, b := call(t, "GET", m.ctl, "/Configuration.Describe", nil, nil)
		if code != 200 {
			return nil
		}
		return b
	}
	// One keeper is away: two settle it. It comes back and has it.
	f.keepers[2].end()
	if code := put(t, f.keepers[0].ctl, 2, config(5, "k5")); code != 200 {
		t.Fatal(code)
	}
	f.keepers[2].again(false)
	until(t, "who was away has it", func() bool { return bytes.Equal(described(f.keepers[2]), config(5, "k5")) })
	// One loses its disk: it is taken in again, and then another may lose its own.
	for i, revision := range []int{7, 9, 12} {
		f.keepers[i].end()
		f.keepers[i].again(true)
		until(t, "it is taken in again", func() bool {
			_, b := call(t, "GET", f.keepers[i].ctl, "/fleet/status", nil, nil)
			return bytes.Contains(b, []byte(`"votes":true`))
		})
		on := []int{5, 7, 9}[i]
		if code := put(t, f.edges[0].ctl, on, config(revision, "k")); code != 200 {
			t.Fatalf("after disk %d was lost: %d", i, code)
		}
	}
	// All are stopped at once; what was acknowledged is there.
	for _, m := range f.keepers {
		m.end()
	}
	until(t, "a router says that no keeper answers", func() bool {
		code, _ := call(t, "POST", f.edges[0].ctl, "/Configuration.Replace", map[string]string{"X-Revision-Match": "12"}, config(20, "k"))
		return code == 503
	})
	for _, m := range f.keepers {
		m.again(false)
	}
	until(t, "the newest configuration", func() bool { return bytes.Equal(described(f.edges[0]), config(12, "k")) })
}

// TestStartBehindACut: a router that starts and knows only a keeper that is cut off and behind is not ready with what that
// has, for as long as a majority may be found; then it serves with it, and has the newest once a majority is there.
func TestStartBehindACut(t *testing.T) {
	f := newTestFleet(t, 0, 11)
	edge, behind := f.make(3, false), f.keepers[2]
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k2")); code != 200 {
		t.Fatal(code)
	}
	until(t, "all have it", func() bool {
		_, b := call(t, "GET", behind.ctl, "/Configuration.Describe", nil, nil)
		return bytes.Equal(b, config(2, "k2"))
	})
	behind.end()
	if code := put(t, f.keepers[0].ctl, 2, config(5, "k5")); code != 200 {
		t.Fatal(code)
	}
	f.keepers[0].end()
	f.keepers[1].end()
	behind.again(false)
	edge.start()
	status := func() (ready string, revision int) {
		var s struct {
			Ready    string `json:"ready"`
			Revision int    `json:"revision"`
		}
		if _, b := call(t, "GET", edge.ctl, "/fleet/status", nil, nil); len(b) > 0 {
			if err := json.Unmarshal(b, &s); err != nil {
				t.Fatal(err)
			}
		}
		return s.Ready, s.Revision
	}
	began := time.Now()
	ready := ""
	until(t, "it has what the keeper has that is cut off", func() bool {
		now, revision := status()
		ready = now
		return revision == 2 && !strings.Contains(ready, "no keeper has")
	})
	if !strings.Contains(ready, "majority") && time.Since(began) < limits.NodeUnsettled/2 {
		t.Errorf("it is ready with an old configuration: %q", ready)
	}
	until(t, "it serves all the same where there is no majority", func() bool { ready, _ := status(); return strings.Contains(ready, "engine") })
	f.keepers[0].again(false)
	until(t, "it has the newest", func() bool { _, revision := status(); return revision == 5 })
}

func TestWhoHasLostItsDiskHasNoVote(t *testing.T) {
	// Two of three are gone and one comes back without its disk: the two that are there must not settle anything.
	f := newTestFleet(t, 1, 2)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k")); code != 200 {
		t.Fatal(code)
	}
	f.keepers[1].end()
	f.keepers[2].end()
	f.keepers[2].again(true)
	until(t, "the newcomer has caught up", func() bool {
		_, b := call(t, "GET", f.keepers[2].ctl, "/fleet/status", nil, nil)
		return bytes.Contains(b, []byte(`"votes":false`)) && !bytes.Contains(b, []byte(`"chain":0,`))
	})
	for range 3 {
		if code, _ := call(t, "POST", f.keepers[0].ctl, "/Configuration.Replace", map[string]string{"X-Revision-Match": "2"}, config(3, "k")); code != 503 {
			t.Fatalf("one of three members has settled a configuration: %d", code)
		}
	}
	f.keepers[1].again(false) // now there is a majority, and the newcomer is taken in
	if code := put(t, f.keepers[0].ctl, 2, config(3, "k")); code != 200 {
		t.Error(code)
	}
}

func TestMajorityOfDisksLost(t *testing.T) {
	// The one disk that is left is backed up, and a core is founded anew from it; the others come back empty and are taken in.
	f := newTestFleet(t, 1, 3)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k")); code != 200 {
		t.Fatal(code)
	}
	for _, m := range f.keepers {
		m.end()
	}
	first := f.keepers[0]
	s, kept, err := storage.Open(first.cfg["data_directory"].(string), storage.Identity{ID: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := os.RemoveAll(first.cfg["data_directory"].(string)); err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("%v:%d", first.cfg["ip_address"], first.cfg["internal_port_range"].([]int)[0])
	if err := storage.RestoreBackup(first.cfg["data_directory"].(string), &kept.State, replog.Member{ID: 77, Name: "n0", Addr: addr}); err != nil {
		t.Fatal(err)
	}
	first.again(false)
	f.keepers[1].again(true)
	f.keepers[2].again(true)
	for _, m := range f.keepers {
		until(t, "three members", func() bool {
			_, b := call(t, "GET", m.ctl, "/fleet/status", nil, nil)
			return bytes.Contains(b, []byte(`"votes":true,"members":3`))
		})
	}
	if code := put(t, f.edges[0].ctl, 2, config(5, "k")); code != 200 {
		t.Errorf("the next configuration: %d", code)
	}
}

func TestMemberThatIsGoneForGood(t *testing.T) {
	// One of four keepers is gone for good: it is taken out by name, by way of a router that holds no state. The same order
	// again is done, wherever it comes to. Those that the losses to be borne want stay, whoever asks.
	f := newTestFleetOf(t, 4, 1, 4)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k")); code != 200 {
		t.Fatal(code)
	}
	members := func(m *machine, votes bool) func() bool {
		return func() bool {
			_, b := call(t, "GET", m.ctl, "/fleet/status", nil, nil)
			return bytes.Contains(b, fmt.Appendf(nil, `"votes":%v,"members":3`, votes))
		}
	}
	fourth := f.keepers[3]
	fourth.end()
	f.keepers = f.keepers[:3]
	remove := func(at *machine, name string, want int) {
		t.Helper()
		until(t, "a clear answer", func() bool {
			code, b := call(t, "DELETE", at.ctl, "/fleet/members/"+name, nil, nil)
			if code != want && code != 503 && code != 0 { // 0: sent on to the one that has just ended
				t.Fatalf("%s: %d %s, not %d", name, code, b, want)
			}
			return code == want
		})
	}
	remove(f.edges[0], "nobody", 404)
	remove(f.edges[0], fourth.cfg["node_name"].(string), 200)
	for _, m := range append(f.keepers, f.edges...) {
		remove(m, fourth.cfg["node_name"].(string), 200)
	}
	until(t, "three members", members(f.keepers[0], true))
	remove(f.edges[0], "n1", 409)

	// A further keeper has no vote while three live. One that ends hands its own over, so that a second may go at once.
	standby := f.make(9, true)
	standby.cfg["bootstrap"] = false
	standby.start()
	until(t, "a standby", members(standby, false))
	f.keepers[2].end()
	until(t, "its vote", members(standby, true)) // a majority has it when the other has ended; the standby may be told a moment later
	f.keepers[1].end()
	if code := put(t, f.edges[0].ctl, 2, config(5, "k")); code != 200 {
		t.Errorf("the next configuration: %d", code)
	}
}

func TestUsageThroughTroubles(t *testing.T) {
	// The platform is busy, then fails, then takes reports whose answer comes too late; the holder ends meanwhile, and so does
	// its successor. Each window is reported with one figure, and all of them add up to what began.
	f := newTestFleet(t, 1, 5)
	e := newEngine(t, "i-1")
	if code := put(t, f.edges[0].ctl, 0, config(3, "k")); code != 200 {
		t.Fatal(code)
	}
	f.platform.mu.Lock()
	f.platform.ill = func(call int) (int, time.Duration) {
		switch {
		case call <= 3:
			return 429, 0
		case call <= 5:
			return 503, 0
		case call <= 7:
			return 0, 2 * time.Second // it is taken, and who sent it does not know
		}
		return 0, 0
	}
	f.platform.mu.Unlock()
	e.beat(f.keepers[0].ctl, "ready")
	until(t, "readiness", f.edges[0].isReady)
	began := uint64(0)
	asked := func(n int) {
		for range n {
			e.beat(f.edges[0].ctl, "ready")
			if resp, _ := ask(t, f.edges[0], "/read/1", "k"); resp != nil && resp.StatusCode == 200 {
				began++
			}
		}
	}
	holder := func() *machine {
		for _, m := range f.keepers {
			if m.stop == nil {
				continue
			}
			_, b := call(t, "GET", m.ctl, "/fleet/status", nil, nil)
			for _, k := range f.keepers {
				if bytes.Contains(b, fmt.Appendf(nil, `"holder":"%v"`, k.cfg["node_name"])) {
					return k
				}
			}
		}
		return nil
	}
	for range 2 {
		asked(20)
		var h *machine
		until(t, "a holder", func() bool { h = holder(); return h != nil && h.stop != nil })
		h.end()
		asked(20)
		h.again(false)
	}
	until(t, "all that began is reported", func() bool {
		e.beat(f.edges[0].ctl, "ready")
		return f.platform.reported("lab") == began
	})
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	if f.platform.other > 0 || f.platform.calls < 6 {
		t.Errorf("%d windows with two figures, in %d calls", f.platform.other, f.platform.calls)
	}
	for i := 1; i < len(f.platform.fences); i++ {
		if f.platform.fences[i] < f.platform.fences[i-1] {
			t.Errorf("fences %v", f.platform.fences)
		}
	}
}
