package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"notchhinge/internal/lab/bootfile"
)

// This file runs a fleet on loopback: real nodes in the test process, with fake engines and a fake platform. Tests wait for
// conditions instead of fixed times, and fail after waitLimit.

const waitLimit = 20 * time.Second

// waitUntil polls a condition until it holds.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", description, waitLimit)
		}
		<-time.After(5 * time.Millisecond)
	}
}

// testNode is a machine of a fleet. Its process can be stopped and started, and its disk wiped.
type testNode struct {
	t         *testing.T
	settings  bootfile.Process
	path      string // of the settings file
	frontend  string // address; "" = no listener, as in the next two
	control   string
	readiness string

	signals chan os.Signal // nil while the process is stopped
	done    chan error     // receives the result of Run
}

// testFleet is a set of testNodes with a fake platform.
type testFleet struct {
	t         *testing.T
	platform  *fakePlatform
	replicas  []*testNode
	routers   []*testNode
	subnet    byte // of this fleet in 127/8
	internal  int  // internal port, the same on all machines
	control   int  // control port, the same on all machines
	seedNodes []string
}

// fleetSize is the number of machines with which a fleet starts.
type fleetSize struct {
	replicas int // 0 = three
	routers  int
}

// newTestFleet starts a fleet. Each machine has its own address in the subnet of 127/8; the internal port is the same on all.
func newTestFleet(t *testing.T, subnet byte, size fleetSize) *testFleet {
	t.Helper()
	if size.replicas == 0 {
		size.replicas = 3
	}
	f := &testFleet{t: t, platform: newFakePlatform(t), subnet: subnet}
	f.internal = freePort(t, f.ip(0))
	for f.control == 0 || f.control == f.internal {
		f.control = freePort(t, f.ip(0))
	}
	for i := range 3 {
		f.seedNodes = append(f.seedNodes, fmt.Sprintf("%s:%d", f.ip(i), f.control))
	}
	for i := range size.replicas {
		f.addReplica(i)
	}
	for i := range size.routers {
		f.addRouter(size.replicas + i)
	}
	t.Cleanup(func() {
		for _, m := range f.nodes() {
			m.stop()
		}
	})
	for _, m := range f.nodes() {
		m.start()
	}
	return f
}

// nodes returns the routers, then the replicas.
func (f *testFleet) nodes() []*testNode { return slices.Concat(f.routers, f.replicas) }

// ip returns the IP address of machine i.
func (f *testFleet) ip(i int) string { return fmt.Sprintf("127.%d.%d.1", 40+f.subnet, i+1) }

// freePort returns a port that is free at an address.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// newNode returns machine i with a control address.
func (f *testFleet) newNode(i int) *testNode {
	m := &testNode{t: f.t, control: fmt.Sprintf("%s:%d", f.ip(i), f.control)}
	m.settings = bootfile.Process{
		Name: fmt.Sprintf("n%d", i), Zone: []string{"a", "b", "c"}[i%3], IP: f.ip(i), InternalPort: f.internal, SeedNodes: f.seedNodes,
		ControlPlane: m.control, Bootstrap: true, HeartbeatInterval: 300 * time.Millisecond, Cores: 8, MemoryMB: 512, MaxOpenFiles: 2048, MachineFaults: 1,
		Bounds:   map[string]any{"drain_timeout_ms": 1200, "grace_period_s": 4, "lease_ms": 1200, "usage_window_s": 1, "usage_delay_s": 4},
		CloudAPI: f.platform.addr, Duties: []string{"usage_reporting", "autoscaler"}, Extra: map[string]any{"later_field": []int{1}},
	}
	m.path = filepath.Join(f.t.TempDir(), "boot.json")
	return m
}

// addReplica adds machine i as a replica, without starting it.
func (f *testFleet) addReplica(i int) *testNode {
	m := f.newNode(i)
	m.settings.DataDir = filepath.Join(filepath.Dir(m.path), "data")
	f.replicas = append(f.replicas, m)
	return m
}

// addRouter adds machine i as a router, without starting it.
func (f *testFleet) addRouter(i int) *testNode {
	m := f.newNode(i)
	m.frontend, m.readiness = fmt.Sprintf("%s:%d", f.ip(i), freePort(f.t, f.ip(i))), fmt.Sprintf("%s:%d", f.ip(i), freePort(f.t, f.ip(i)))
	m.settings.Frontend, m.settings.Readiness = m.frontend, m.readiness
	f.routers = append(f.routers, m)
	return m
}

func (m *testNode) name() string { return m.settings.Name }

func (m *testNode) dataDir() string { return m.settings.DataDir }

// start writes the settings file and starts the process.
func (m *testNode) start() {
	m.t.Helper()
	if err := m.settings.Write(m.path); err != nil {
		m.t.Fatal(err)
	}
	m.signals, m.done = make(chan os.Signal, 1), make(chan error, 1)
	signals, done := m.signals, m.done
	go func() {
		done <- Run(m.path, slog.New(slog.NewTextHandler(io.Discard, nil)), Signals{Stop: signals})
	}()
}

// isRunning reports whether the process was started and not stopped since.
func (m *testNode) isRunning() bool { return m.signals != nil }

// stop shuts the process down gracefully if it is running.
func (m *testNode) stop() {
	if !m.isRunning() {
		return
	}
	m.signals <- syscall.SIGTERM
	if err := <-m.done; err != nil {
		m.t.Errorf("%s: %v", m.name(), err)
	}
	m.signals = nil
}

// restart starts the process again as the platform does, without the bootstrap setting of the fleet's first start.
func (m *testNode) restart() {
	m.t.Helper()
	m.settings.Bootstrap = false
	m.start()
}

// restartEmpty is restart with an empty disk.
func (m *testNode) restartEmpty() {
	m.t.Helper()
	if err := os.RemoveAll(m.dataDir()); err != nil {
		m.t.Fatal(err)
	}
	m.restart()
}

// isReady checks the readiness of the process as the platform's load balancer does.
func (m *testNode) isReady() bool {
	req, err := http.NewRequestWithContext(m.t.Context(), http.MethodGet, "http://"+m.readiness+"/readiness", http.NoBody)
	if err != nil {
		m.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// nodeStatus is a part of the response of /fleet/status.
type nodeStatus struct {
	Ready       string `json:"ready"`
	Revision    int    `json:"revision"`
	NextIndex   uint64 `json:"chain"`
	HasVote     bool   `json:"votes"`
	Voters      int    `json:"members"`
	LeaseHolder string `json:"holder"`
}

// status returns the status of the process, or the zero value if the process does not answer.
func (m *testNode) status() (s nodeStatus) {
	m.t.Helper()
	if _, b := controlCall(m.t, m.control, controlRequest{method: http.MethodGet, path: "/fleet/status"}); len(b) > 0 {
		if err := json.Unmarshal(b, &s); err != nil {
			m.t.Errorf("status of %s: %v", m.name(), err)
		}
	}
	return s
}

// hasConfig reports whether the process returns exactly this configuration as the newest.
func (m *testNode) hasConfig(encoded []byte) bool {
	code, b := controlCall(m.t, m.control, controlRequest{method: http.MethodGet, path: "/Configuration.Describe"})
	return code == http.StatusOK && bytes.Equal(b, encoded)
}
