package node

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A fleet on loopback: real nodes in this process, engines, a platform and an operator of our own. Nothing waits for a fixed
// time; each step waits until what it needs is there, and fails after a bound.

const waitLimit = 20 * time.Second

func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !is(); {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, waitLimit)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// testNode is a node's place; the process there may be stopped and started, and its disk wiped.
type testNode struct {
	t         *testing.T
	cfg       map[string]any
	path      string
	dir       string
	signals   chan os.Signal
	done      chan error
	frontend  string
	control   string
	readiness string
}

type testFleet struct {
	t        *testing.T
	routers  []*testNode
	replicas []*testNode
	platform *fakePlatform
	newNode  func(i int, keeper bool) *testNode
}

// freePort returns a port that is free at an address.
func freePort(t *testing.T, ip string) int {
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
	f := &testFleet{t: t, platform: newFakePlatform(t)}
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.1", 40+subnet, i+1) }
	inner := freePort(t, ip(0))
	control := freePort(t, ip(0))
	for control == inner {
		control = freePort(t, ip(0))
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), control))
	}
	zones := []string{"a", "b", "c"}
	f.newNode = func(i int, keeper bool) *testNode {
		m := &testNode{t: t, dir: t.TempDir(), control: fmt.Sprintf("%s:%d", ip(i), control)}
		m.cfg = map[string]any{
			"node_name": fmt.Sprintf("n%d", i), "machine_class": "edge", "ip_address": ip(i), "zone": zones[i%3],
			"internal_port_range": []int{inner, inner}, "seed_nodes": seeds, "bootstrap": true, "heartbeat_interval_ms": 300,
			"request_limits":  map[string]any{"cpu_fraction": 1, "cpu_cores": 8, "memory_mb": 512, "max_open_files": 2048},
			"fault_tolerance": map[string]any{"machines": 1}, "later_field": []int{1},
			"bounds":    map[string]any{"drain_timeout_ms": 1200, "grace_period_s": 4, "lease_ms": 1200, "usage_window_s": 1, "usage_delay_s": 4},
			"cloud_api": map[string]any{"address": f.platform.addr, "duties": []string{"usage_reporting", "autoscaler"}},
		}
		listeners := map[string]any{"control_plane": m.control}
		if keeper {
			m.cfg["machine_class"], m.cfg["quorum_member"], m.cfg["data_directory"] = "core", true, filepath.Join(m.dir, "data")
			f.replicas = append(f.replicas, m)
		} else {
			m.frontend, m.readiness = fmt.Sprintf("%s:%d", ip(i), freePort(t, ip(i))), fmt.Sprintf("%s:%d", ip(i), freePort(t, ip(i)))
			listeners["frontend"], listeners["readiness"] = m.frontend, m.readiness
			f.routers = append(f.routers, m)
		}
		m.cfg["listeners"] = listeners
		m.path = filepath.Join(m.dir, "boot.json")
		return m
	}
	for i := range keepers + edges {
		f.newNode(i, i < keepers)
	}
	t.Cleanup(func() {
		for _, m := range append(f.routers, f.replicas...) {
			m.stop()
		}
	})
	for _, m := range append(f.routers, f.replicas...) {
		m.start()
	}
	return f
}

func (m *testNode) start() {
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
	m.signals, m.done = make(chan os.Signal, 1), make(chan error, 1)
	stop, done := m.signals, m.done
	go func() {
		done <- Run(m.path, slog.New(slog.NewTextHandler(io.Discard, nil)), Signals{Stop: stop})
	}()
}

// stop stops the process in order.
func (m *testNode) stop() {
	if m.signals == nil {
		return
	}
	m.signals <- syscall.SIGTERM
	if err := <-m.done; err != nil {
		m.t.Errorf("%v: %v", m.cfg["node_name"], err)
	}
	m.signals = nil
}

// again starts the process once more, as the platform does: not the first start, and perhaps with another disk.
func (m *testNode) again(wipe bool) {
	m.cfg["bootstrap"] = false
	if wipe {
		if err := os.RemoveAll(m.cfg["data_directory"].(string)); err != nil {
			m.t.Fatal(err)
		}
	}
	m.start()
}

func (m *testNode) isReady() bool {
	resp, err := http.Get("http://" + m.readiness + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}
