// Package system puts a whole fleet on one machine's loopback, for newcomers and for trying things out: processes of the
// program itself, and engines, an operator, a platform and clients of our own, which follow the platform's public protocol.
// It plays troubles on a timeline and counts what clients got and what must not happen. It is lab code: no part of the router.
package system

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"notchhinge/internal/lab/bootfile"

	"github.com/fxamacker/cbor/v2"
)

// Options say what is played.
type Options struct {
	Binary       string // notchhinge
	OtherBinary  string // another build of it, which every second process runs; "" = all run Binary
	SwapBinaries bool   // with Mixed: a process that starts again runs the build that it has not run before
	Dir          string // for settings, disks and logs
	Routers      int
	Engines      int
	Rate         float64 // requests a second
	Length       time.Duration
	Seed         uint64
	InjectFaults bool
	Out          io.Writer
}

// Report is what came of it.
type Report struct {
	Asked, Served, Late, Refused, Failed int
	P50, P99                             time.Duration
	RanTwice                             int                  // requests that ran twice and may not
	AfterDrain                           int                  // requests that reached an engine past its drain
	Windows, ConflictingReports          int                  // of usage: reported, and with two figures
	Traffic                              map[string][2]uint64 // by cause: bytes, and those between zones
}

// Violations tells what must not happen and has.
func (r *Report) Violations() (all []string) {
	for what, n := range map[string]int{
		"requests ran twice that may not": r.RanTwice, "requests reached an engine past its drain": r.AfterDrain, "windows were reported with two figures": r.ConflictingReports,
	} {
		if n > 0 {
			all = append(all, fmt.Sprintf("%d %s", n, what))
		}
	}
	slices.Sort(all)
	return all
}

const (
	beat     = 300 * time.Millisecond
	drain    = 1200 * time.Millisecond
	aim      = 400 * time.Millisecond
	timeout  = 3 * time.Second
	host     = "lab.example"
	key      = "a-key-of-the-lab"
	firstNet = 60 // 127.60.x.1
)

// machine is where a process runs.
type machine struct {
	name, ip, zone        string
	front, ready, control string
	dir                   string
	isReplica             bool
	mixed                 bool // it runs Options.Mixed
	cmd                   *exec.Cmd
	log                   *os.File
}

// system is all of it.
type system struct {
	Options
	machines []*machine
	inner    int
	ctl      int
	seeds    []string
	platform *platform
	engines  []*engine
	mu       sync.Mutex
	ups      []*machine // routers that are ready
	latency  []time.Duration
	report   Report
	now      Report // of this second
}

// FreePort finds a port that nobody has at any of the addresses.
func FreePort(ips []string) (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(20000)
		all := true
		for _, ip := range ips {
			ln, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				all = false
				break
			}
			ln.Close()
		}
		if all {
			return port, nil
		}
	}
	return 0, errors.New("no free port was found on loopback")
}

// Run starts everything, plays it, and stops it.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &system{Options: o, report: Report{Traffic: map[string][2]uint64{}}}
	var ips []string
	for i := range 3 + o.Routers {
		m := &machine{name: fmt.Sprintf("router-%d", i-2), ip: fmt.Sprintf("127.%d.%d.1", firstNet, i+1), zone: string(rune('a' + i%3))}
		if i < 3 {
			m.name, m.isReplica = fmt.Sprintf("replica-%d", i+1), true
		}
		m.mixed = o.OtherBinary != "" && i%2 == 1
		s.machines = append(s.machines, m)
		ips = append(ips, m.ip)
	}
	ports := make([]int, 4)
	for i := range ports {
		for {
			p, err := FreePort(ips)
			if err != nil {
				return nil, err
			}
			if !slices.Contains(ports, p) {
				ports[i] = p
				break
			}
		}
	}
	s.inner, s.ctl = ports[0], ports[1]
	for _, m := range s.machines {
		m.control = fmt.Sprintf("%s:%d", m.ip, s.ctl)
		m.front, m.ready = fmt.Sprintf("%s:%d", m.ip, ports[2]), fmt.Sprintf("%s:%d", m.ip, ports[3])
		if m.isReplica {
			s.seeds = append(s.seeds, m.control)
		}
	}
	var err error
	if s.platform, err = newPlatform(); err != nil {
		return nil, err
	}
	defer s.platform.close()
	defer s.stop()
	for _, m := range s.machines {
		if err := s.start(m, true); err != nil {
			return nil, err
		}
	}
	return s.play(ctx)
}

// start starts a machine's process; first says that it is the system's first start.
func (s *system) start(m *machine, first bool) error {
	m.dir = filepath.Join(s.Dir, m.name)
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	b := bootfile.Process{
		Name: m.name, Zone: m.zone, IP: m.ip, InternalPort: s.inner, SeedNodes: s.seeds, ControlPlane: m.control, Bootstrap: first, HeartbeatInterval: beat,
		Cores: 1, MemoryMB: 256, MaxOpenFiles: 2048, MachineFaults: 1, CloudAPI: s.platform.addr, Duties: []string{"usage_reporting", "autoscaler"},
		Bounds: map[string]any{
			"drain_timeout_ms": drain.Milliseconds(), "grace_period_s": 6, "lease_ms": 1500, "usage_window_s": 2,
			"usage_delay_s": 2, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_extra": 20,
		},
	}
	if m.isReplica {
		b.DataDir = filepath.Join(m.dir, "data")
	} else {
		b.Frontend, b.Readiness = m.front, m.ready
	}
	path := filepath.Join(m.dir, "boot.json")
	if err := b.Write(path); err != nil {
		return err
	}
	if m.log == nil {
		var err error
		if m.log, err = os.Create(filepath.Join(m.dir, "log")); err != nil {
			return err
		}
	}
	if s.SwapBinaries && !first {
		m.mixed = !m.mixed
	}
	program := s.Binary
	if m.mixed {
		program = s.OtherBinary
	}
	m.cmd = exec.Command(program, "node") //nolint:noctx // stop drains it, which a context would cut short
	m.cmd.Env = append(os.Environ(), "NOTCHHINGE_BOOT="+path)
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	return m.cmd.Start()
}

// kill ends a process at once, and waits until it is gone.
func (m *machine) kill() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill() // it may have ended
		_ = m.cmd.Wait()         // with "killed"
		m.cmd = nil
	}
}

// stop shuts everything down gracefully, replicas last.
func (s *system) stop() {
	all := slices.Clone(s.machines) // engines may still be reading the list
	slices.Reverse(all)
	for _, m := range all {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		}
	}
	for _, m := range all {
		if m.cmd != nil {
			end := time.AfterFunc(8*time.Second, func() { _ = m.cmd.Process.Kill() })
			_ = m.cmd.Wait() // how it ends is in its log
			end.Stop()
		}
		if m.log != nil {
			_ = m.log.Close() // the process wrote it
		}
	}
	for _, e := range s.engines {
		e.web.Close()
	}
}

// says prints a line of what happens.
func (s *system) says(began time.Time, format string, args ...any) {
	fmt.Fprintf(s.Out, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// CallControlPlane makes a call of the control plane.
func CallControlPlane(method, url string, header map[string]string, v any) (int, []byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(b)) // bounded by the client's time-out
	if err != nil {
		return 0, nil, err
	}
	for k, x := range header {
		req.Header.Set(k, x)
	}
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, out, err
}

// configure is the operator: it sends a version until there is a clear answer.
func (s *system) configure(ctx context.Context, on, revision int, reads float64) error {
	route := func(name, prefix, kind string, attempts int, timeout float64) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": aim.Milliseconds(), "target_service": "lab", "max_attempts": attempts, "session_affinity": kind == "streaming",
		}
	}
	v := map[string]any{
		"revision": revision,
		"routes": []any{
			route("chat", "/chat/", "streaming", 2, float64(timeout.Milliseconds())), route("read", "/read/", "idempotent", 3, reads),
			route("write", "/write/", "non_idempotent", 2, float64(timeout.Milliseconds())),
		},
		"services": []any{map[string]any{"name": "lab", "health_path": "/health", "max_connections": 100, "protocol": "h1"}},
		"tenants":  []any{map[string]any{"name": "newcomer", "api_keys": []string{key}}},
	}
	for ctx.Err() == nil {
		m := s.machines[rand.IntN(len(s.machines))]
		code, says, err := CallControlPlane("POST", "http://"+m.control+"/Configuration.Replace", map[string]string{"X-Revision-Match": strconv.Itoa(on)}, v)
		if err == nil && code == 200 {
			return nil
		}
		if err == nil && code < 500 {
			return fmt.Errorf("the configuration got %d: %s", code, says)
		}
		pause(ctx, 100*time.Millisecond)
	}
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// look keeps the list of routers that are ready, as the platform's entry does.
func (s *system) look(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		var ups []*machine
		for _, m := range s.machines {
			if m.isReplica {
				continue
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/", nil)
			if err != nil {
				continue
			}
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ups = append(ups, m)
				}
			}
		}
		s.mu.Lock()
		s.ups = ups
		s.mu.Unlock()
		pause(ctx, 300*time.Millisecond)
	}
}

func (s *system) ready() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ups)
}

// play plays the timeline.
func (s *system) play(ctx context.Context) (*Report, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	setUp, done := context.WithTimeout(ctx, 30*time.Second)
	defer done()
	for i := range s.Engines {
		if err := s.addEngine(ctx, i); err != nil {
			return nil, err
		}
	}
	if err := s.configure(setUp, 0, 1, 2000); err != nil {
		return nil, fmt.Errorf("no configuration was taken: %w", err)
	}
	s.says(began, "revision 1 is acknowledged by the replicas")
	go s.look(ctx)
	for s.ready() < s.Routers && setUp.Err() == nil {
		pause(setUp, 50*time.Millisecond)
	}
	if setUp.Err() != nil {
		return nil, fmt.Errorf("only %d of %d routers are ready; logs are in %s", s.ready(), s.Routers, s.Dir)
	}
	s.says(began, "%d routers and %d replicas serve before %d engines", s.Routers, 3, s.Engines)
	began = time.Now()
	var wait sync.WaitGroup
	playing, over := context.WithTimeout(ctx, s.Length)
	defer over()
	wait.Go(func() { s.clients(playing) })
	wait.Go(func() { s.each(playing, began) })
	if s.InjectFaults {
		wait.Go(func() { s.troubles(playing, began) })
	}
	wait.Wait()
	pause(ctx, 4*time.Second) // for the last window of usage
	s.collect()
	return &s.report, nil
}

// each prints a line a second.
func (s *system) each(ctx context.Context, began time.Time) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		n := s.now
		s.now = Report{}
		ups := len(s.ups)
		s.mu.Unlock()
		s.says(began, "asked %3d  served %3d  late %2d  refused %2d  failed %2d   routers ready %d", n.Asked, n.Served, n.Late, n.Refused, n.Failed, ups)
	}
}

// troubles plays what happens.
func (s *system) troubles(ctx context.Context, began time.Time) {
	at := func(share float64) bool {
		pause(ctx, time.Until(began.Add(time.Duration(share*float64(s.Length)))))
		return ctx.Err() == nil
	}
	router, replica := s.machines[3], s.machines[1]
	if at(0.15) {
		s.says(began, "%s is killed", router.name)
		router.kill()
	}
	if at(0.25) {
		s.says(began, "%s starts again", router.name)
		if err := s.start(router, false); err != nil {
			s.says(began, "it does not: %v", err)
		}
	}
	if at(0.35) {
		s.says(began, "%s is killed, and its disk is lost", replica.name)
		replica.kill()
		if err := os.RemoveAll(filepath.Join(replica.dir, "data")); err != nil {
			s.says(began, "it is not: %v", err)
		}
	}
	if at(0.42) {
		if err := s.configure(ctx, 1, 2, 1500); err == nil {
			s.says(began, "revision 2 is acknowledged by the two that are left")
		}
	}
	if at(0.5) {
		s.says(began, "%s starts with an empty folder, to become a voter again", replica.name)
		if err := s.start(replica, false); err != nil {
			s.says(began, "it does not: %v", err)
		}
	}
	if at(0.6) {
		s.says(began, "%s drains, and ends", s.engines[0].id)
		go s.engines[0].leave(ctx, s)
	}
	if s.OtherBinary != "" && at(0.65) {
		s.restartOnDisk(s.machines[2], began)
	}
	if at(0.72) {
		last := s.machines[len(s.machines)-1]
		s.says(began, "%s is frozen for 1.5 s", last.name)
		_ = last.cmd.Process.Signal(syscall.SIGSTOP) // if it has ended, the report has its loss
		pause(ctx, 1500*time.Millisecond)
		_ = last.cmd.Process.Signal(syscall.SIGCONT) // likewise
	}
	if at(0.85) {
		s.says(began, "%s crashes without a word", s.engines[1].id)
		s.engines[1].crash()
	}
	if s.OtherBinary != "" && at(0.9) {
		if err := s.configure(ctx, 2, 3, 1400); err == nil {
			s.says(began, "revision 3 is acknowledged")
		}
	}
}

// restartOnDisk has a machine start again with the disk that its last process left, which may be of the other build.
func (s *system) restartOnDisk(m *machine, began time.Time) {
	m.kill()
	if err := s.start(m, false); err != nil {
		s.says(began, "%s does not start again: %v", m.name, err)
		return
	}
	s.says(began, "%s is killed and starts again upon its disk", m.name)
}

// collect adds up what processes and the platform know at the end.
func (s *system) collect() {
	for _, m := range s.machines {
		code, b, err := CallControlPlane("GET", "http://"+m.control+"/fleet/status", nil, nil)
		var st struct {
			Account []struct {
				Cause          string
				Bytes, Between uint64
			}
		}
		if err != nil || code != 200 || json.Unmarshal(b, &st) != nil {
			continue
		}
		for _, r := range st.Account {
			x := s.report.Traffic[r.Cause]
			s.report.Traffic[r.Cause] = [2]uint64{x[0] + r.Bytes, x[1] + r.Between}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.latency)
	if n := len(s.latency); n > 0 {
		s.report.P50, s.report.P99 = s.latency[n/2], s.latency[min(n*99/100, n-1)]
	}
	for _, e := range s.engines {
		e.mu.Lock()
		for id, n := range e.ran {
			if n > 1 && !strings.HasPrefix(id, "read") {
				s.report.RanTwice++
			}
		}
		s.report.AfterDrain += e.past
		e.mu.Unlock()
	}
	ran := map[string]int{}
	for _, e := range s.engines {
		for id := range e.ran {
			if ran[id]++; ran[id] == 2 && !strings.HasPrefix(id, "read") {
				s.report.RanTwice++
			}
		}
	}
	s.report.Windows, s.report.ConflictingReports = s.platform.counts()
}
