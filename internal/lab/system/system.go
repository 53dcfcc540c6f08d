// Package system runs a whole fleet on loopback for the lab: processes of the program itself, fake engines, a fake platform,
// an operator and clients. The fakes follow the platform's public protocol. It injects faults on a timeline and counts the
// results of the clients and violations of the fleet's rules.
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

// Options configure a run.
type Options struct {
	Binary       string // path of notchhinge
	OtherBinary  string // path of another build, which every second process runs; "" = all run Binary
	SwapBinaries bool   // with OtherBinary: a restarted process switches to the other build
	Dir          string // for settings, data and logs
	Routers      int
	Engines      int
	Rate         float64 // requests per second
	Length       time.Duration
	Seed         uint64
	InjectFaults bool
	Out          io.Writer
}

// Report holds the results of a run.
type Report struct {
	Asked, Served, Late, Refused, Failed int
	P50, P99                             time.Duration
	RanTwice                             int                  // non-idempotent requests that were executed twice
	AfterDrain                           int                  // requests that reached an engine after its drain
	Windows, ConflictingReports          int                  // reported usage windows, and contradictory reports of a window
	Traffic                              map[string][2]uint64 // by cause: bytes in total and between zones
}

// Violations returns a line for each rule that the run violated.
func (r *Report) Violations() (all []string) {
	for what, n := range map[string]int{
		"non-idempotent requests were executed twice": r.RanTwice, "requests reached an engine after its drain": r.AfterDrain, "usage reports contradicted an earlier report": r.ConflictingReports,
	} {
		if n > 0 {
			all = append(all, fmt.Sprintf("%d %s", n, what))
		}
	}
	slices.Sort(all)
	return all
}

const (
	heartbeatInterval = 300 * time.Millisecond
	drainTimeout      = 1200 * time.Millisecond
	targetLatency     = 400 * time.Millisecond
	requestTimeout    = 3 * time.Second
	hostname          = "lab.example"
	apiKey            = "a-key-of-the-lab"
	secondOctet       = 60 // machines have the addresses 127.60.x.1
)

// machine is a loopback address with a process of the fleet.
type machine struct {
	name, ip, zone               string
	frontend, readiness, control string
	dir                          string
	isReplica                    bool
	runsOther                    bool // runs Options.OtherBinary
	cmd                          *exec.Cmd
	log                          *os.File
}

// system is a running fleet.
type system struct {
	Options
	machines      []*machine
	internalPort  int
	controlPort   int
	seedNodes     []string
	platform      *platform
	engines       []*engine
	mu            sync.Mutex
	readyRouters  []*machine
	latency       []time.Duration // of served requests
	report        Report
	currentSecond Report // counts since the last printed line
}

// FreePort returns a port that is free on all the given addresses.
func FreePort(ips []string) (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(20000)
		free := true
		for _, ip := range ips {
			ln, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free port found on loopback")
}

// Run starts a fleet, runs the load and the faults of the options, and stops the fleet.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &system{Options: o, report: Report{Traffic: map[string][2]uint64{}}}
	var ips []string
	for i := range 3 + o.Routers {
		m := &machine{name: fmt.Sprintf("router-%d", i-2), ip: fmt.Sprintf("127.%d.%d.1", secondOctet, i+1), zone: string(rune('a' + i%3))}
		if i < 3 {
			m.name, m.isReplica = fmt.Sprintf("replica-%d", i+1), true
		}
		m.runsOther = o.OtherBinary != "" && i%2 == 1
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
	s.internalPort, s.controlPort = ports[0], ports[1]
	for _, m := range s.machines {
		m.control = fmt.Sprintf("%s:%d", m.ip, s.controlPort)
		m.frontend, m.readiness = fmt.Sprintf("%s:%d", m.ip, ports[2]), fmt.Sprintf("%s:%d", m.ip, ports[3])
		if m.isReplica {
			s.seedNodes = append(s.seedNodes, m.control)
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
	return s.runTimeline(ctx)
}

// start starts the process of a machine. first marks the first start of the fleet.
func (s *system) start(m *machine, first bool) error {
	m.dir = filepath.Join(s.Dir, m.name)
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	process := bootfile.Process{
		Name: m.name, Zone: m.zone, IP: m.ip, InternalPort: s.internalPort, SeedNodes: s.seedNodes, ControlPlane: m.control, Bootstrap: first, HeartbeatInterval: heartbeatInterval,
		Cores: 1, MemoryMB: 256, MaxOpenFiles: 2048, MachineFaults: 1, CloudAPI: s.platform.addr, Duties: []string{"usage_reporting", "autoscaler"},
		Bounds: map[string]any{
			"drain_timeout_ms": drainTimeout.Milliseconds(), "grace_period_s": 6, "lease_ms": 1500, "usage_window_s": 2,
			"usage_delay_s": 2, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_extra": 20,
		},
	}
	if m.isReplica {
		process.DataDir = filepath.Join(m.dir, "data")
	} else {
		process.Frontend, process.Readiness = m.frontend, m.readiness
	}
	path := filepath.Join(m.dir, "boot.json")
	if err := process.Write(path); err != nil {
		return err
	}
	if m.log == nil {
		var err error
		if m.log, err = os.Create(filepath.Join(m.dir, "log")); err != nil {
			return err
		}
	}
	if s.SwapBinaries && !first {
		m.runsOther = !m.runsOther
	}
	binary := s.Binary
	if m.runsOther {
		binary = s.OtherBinary
	}
	m.cmd = exec.Command(binary, "node") //nolint:noctx // stop shuts it down gracefully; a context would kill it
	m.cmd.Env = append(os.Environ(), "NOTCHHINGE_BOOT="+path)
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	return m.cmd.Start()
}

// kill kills the machine's process and waits for its exit.
func (m *machine) kill() {
	if m.cmd != nil {
		_ = m.cmd.Process.Kill() // fails if the process has exited
		_ = m.cmd.Wait()         // reports the kill as an error
		m.cmd = nil
	}
}

// stop shuts the fleet down gracefully, with the replicas last, and closes the engines.
func (s *system) stop() {
	all := slices.Clone(s.machines) // engines may still read s.machines
	slices.Reverse(all)
	for _, m := range all {
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has exited
		}
	}
	for _, m := range all {
		if m.cmd != nil {
			killTimer := time.AfterFunc(8*time.Second, func() { _ = m.cmd.Process.Kill() })
			_ = m.cmd.Wait() // the exit status is of no interest; its log has the reason
			killTimer.Stop()
		}
		if m.log != nil {
			_ = m.log.Close() // only the process writes to it
		}
	}
	for _, e := range s.engines {
		e.server.Close()
	}
}

// logf prints an event with the time since started.
func (s *system) logf(started time.Time, format string, args ...any) {
	fmt.Fprintf(s.Out, "%5.1f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// CallControlPlane sends v as CBOR to a control-plane URL and returns the status and body of the response.
func CallControlPlane(method, url string, header map[string]string, v any) (int, []byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body)) // bounded by the client's timeout
	if err != nil {
		return 0, nil, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, response, err
}

// configure replaces the fleet's configuration as an operator does. It retries until a process accepts or rejects the revision.
func (s *system) configure(ctx context.Context, base, revision int, readTimeoutMS float64) error {
	route := func(name, prefix, kind string, attempts int, timeoutMS float64) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostname, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS,
			"target_latency_ms": targetLatency.Milliseconds(), "target_service": "lab", "max_attempts": attempts, "session_affinity": kind == "streaming",
		}
	}
	configuration := map[string]any{
		"revision": revision,
		"routes": []any{
			route("chat", "/chat/", "streaming", 2, float64(requestTimeout.Milliseconds())), route("read", "/read/", "idempotent", 3, readTimeoutMS),
			route("write", "/write/", "non_idempotent", 2, float64(requestTimeout.Milliseconds())),
		},
		"services": []any{map[string]any{"name": "lab", "health_path": "/health", "max_connections": 100, "protocol": "h1"}},
		"tenants":  []any{map[string]any{"name": "newcomer", "api_keys": []string{apiKey}}},
	}
	for ctx.Err() == nil {
		m := s.machines[rand.IntN(len(s.machines))]
		code, response, err := CallControlPlane("POST", "http://"+m.control+"/Configuration.Replace", map[string]string{"X-Revision-Match": strconv.Itoa(base)}, configuration)
		if err == nil && code == 200 {
			return nil
		}
		if err == nil && code < 500 {
			return fmt.Errorf("configuration rejected with status %d: %s", code, response)
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return ctx.Err()
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// pollReadiness keeps the list of ready routers up to date, as the platform's load balancer does.
func (s *system) pollReadiness(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		var ready []*machine
		for _, m := range s.machines {
			if m.isReplica {
				continue
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.readiness+"/", nil)
			if err != nil {
				continue
			}
			if resp, err := client.Do(req); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					ready = append(ready, m)
				}
			}
		}
		s.mu.Lock()
		s.readyRouters = ready
		s.mu.Unlock()
		sleep(ctx, 300*time.Millisecond)
	}
}

func (s *system) readyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readyRouters)
}

// runTimeline starts the engines, waits until the fleet is ready, runs the load and the faults, and collects the results.
func (s *system) runTimeline(ctx context.Context) (*Report, error) {
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	setUp, cancelSetUp := context.WithTimeout(ctx, 30*time.Second)
	defer cancelSetUp()
	for i := range s.Engines {
		if err := s.addEngine(ctx, i); err != nil {
			return nil, err
		}
	}
	if err := s.configure(setUp, 0, 1, 2000); err != nil {
		return nil, fmt.Errorf("configure the fleet: %w", err)
	}
	s.logf(started, "revision 1 is acknowledged by the replicas")
	go s.pollReadiness(ctx)
	for s.readyCount() < s.Routers && setUp.Err() == nil {
		sleep(setUp, 50*time.Millisecond)
	}
	if setUp.Err() != nil {
		return nil, fmt.Errorf("only %d of %d routers are ready; logs are in %s", s.readyCount(), s.Routers, s.Dir)
	}
	s.logf(started, "%d routers and %d replicas serve, with %d engines", s.Routers, 3, s.Engines)
	started = time.Now()
	var tasks sync.WaitGroup
	running, cancelRunning := context.WithTimeout(ctx, s.Length)
	defer cancelRunning()
	tasks.Go(func() { s.generateLoad(running) })
	tasks.Go(func() { s.printProgress(running, started) })
	if s.InjectFaults {
		tasks.Go(func() { s.injectFaults(running, started) })
	}
	tasks.Wait()
	sleep(ctx, 4*time.Second) // for the last usage window
	s.collect()
	return &s.report, nil
}

// printProgress prints the counts of each second.
func (s *system) printProgress(ctx context.Context, started time.Time) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		n := s.currentSecond
		s.currentSecond = Report{}
		ready := len(s.readyRouters)
		s.mu.Unlock()
		s.logf(started, "asked %3d  served %3d  late %2d  refused %2d  failed %2d   routers ready %d", n.Asked, n.Served, n.Late, n.Refused, n.Failed, ready)
	}
}

// injectFaults injects the faults and makes the operator's changes at fixed shares of the run.
func (s *system) injectFaults(ctx context.Context, started time.Time) {
	at := func(share float64) bool {
		sleep(ctx, time.Until(started.Add(time.Duration(share*float64(s.Length)))))
		return ctx.Err() == nil
	}
	router, replica := s.machines[3], s.machines[1]
	if at(0.15) {
		s.logf(started, "%s is killed", router.name)
		router.kill()
	}
	if at(0.25) {
		s.logf(started, "%s restarts", router.name)
		if err := s.start(router, false); err != nil {
			s.logf(started, "restart failed: %v", err)
		}
	}
	if at(0.35) {
		s.logf(started, "%s is killed and its data directory is deleted", replica.name)
		replica.kill()
		if err := os.RemoveAll(filepath.Join(replica.dir, "data")); err != nil {
			s.logf(started, "cannot delete the data directory: %v", err)
		}
	}
	if at(0.42) {
		if err := s.configure(ctx, 1, 2, 1500); err == nil {
			s.logf(started, "revision 2 is acknowledged by the two remaining replicas")
		}
	}
	if at(0.5) {
		s.logf(started, "%s restarts with an empty data directory, to rejoin as a voter", replica.name)
		if err := s.start(replica, false); err != nil {
			s.logf(started, "restart failed: %v", err)
		}
	}
	if at(0.6) {
		s.logf(started, "%s drains and stops", s.engines[0].id)
		go s.engines[0].shutDown(ctx, s)
	}
	if s.OtherBinary != "" && at(0.65) {
		s.restartWithData(s.machines[2], started)
	}
	if at(0.72) {
		last := s.machines[len(s.machines)-1]
		s.logf(started, "%s is frozen for 1.5 s", last.name)
		_ = last.cmd.Process.Signal(syscall.SIGSTOP) // an exited process shows in the report
		sleep(ctx, 1500*time.Millisecond)
		_ = last.cmd.Process.Signal(syscall.SIGCONT) // likewise
	}
	if at(0.85) {
		s.logf(started, "%s crashes without deregistering", s.engines[1].id)
		s.engines[1].crash()
	}
	if s.OtherBinary != "" && at(0.9) {
		if err := s.configure(ctx, 2, 3, 1400); err == nil {
			s.logf(started, "revision 3 is acknowledged")
		}
	}
}

// restartWithData kills the process of a machine and starts it with the existing data, which another build may have written.
func (s *system) restartWithData(m *machine, started time.Time) {
	m.kill()
	if err := s.start(m, false); err != nil {
		s.logf(started, "%s failed to restart: %v", m.name, err)
		return
	}
	s.logf(started, "%s is killed and restarts with its data", m.name)
}

// collect completes the report with data from the processes, the engines and the platform.
func (s *system) collect() {
	for _, m := range s.machines {
		code, body, err := CallControlPlane("GET", "http://"+m.control+"/fleet/status", nil, nil)
		var status struct {
			Account []struct {
				Cause          string
				Bytes, Between uint64
			}
		}
		if err != nil || code != 200 || json.Unmarshal(body, &status) != nil {
			continue
		}
		for _, account := range status.Account {
			sum := s.report.Traffic[account.Cause]
			s.report.Traffic[account.Cause] = [2]uint64{sum[0] + account.Bytes, sum[1] + account.Between}
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
		for id, n := range e.executions {
			if n > 1 && !strings.HasPrefix(id, "read") {
				s.report.RanTwice++
			}
		}
		s.report.AfterDrain += e.afterDrain
		e.mu.Unlock()
	}
	executedBy := map[string]int{} // number of engines by request ID
	for _, e := range s.engines {
		for id := range e.executions {
			if executedBy[id]++; executedBy[id] == 2 && !strings.HasPrefix(id, "read") {
				s.report.RanTwice++
			}
		}
	}
	s.report.Windows, s.report.ConflictingReports = s.platform.totals()
}
