// Package fleet starts a test fleet on loopback: a discovery server and stand-in engines inside this process, and routers as
// child processes, each with the configuration that the platform would provide. It also injects scheduled faults into the
// engines and stops everything at the end.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"notchhinge/internal/lab/load"
	"notchhinge/internal/lab/model"
	"notchhinge/internal/lab/standin"
)

// Binary returns the path of the router's executable: the given one, else the one next to this program, else one that it
// builds into dir.
func Binary(ctx context.Context, given, dir string) (string, error) {
	if given != "" {
		return filepath.Abs(given)
	}
	if own, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(own), "notchhinge")
		if _, err := os.Stat(beside); err == nil {
			return beside, nil
		}
	}
	out := filepath.Join(dir, "notchhinge")
	build := exec.CommandContext(ctx, "go", "build", "-o", out, "notchhinge/cmd/notchhinge")
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the router (run this command inside the repository, or set --router): %w\n%s", err, text)
	}
	return out, nil
}

// Options describe a fleet.
type Options struct {
	Binary     string // path of the router's executable
	Dir        string // holds the routers' configuration files and logs
	Engines    int
	Params     model.Params
	Classes    []load.Class
	Settings   map[string]string // by kind of router: the text of its --config file; "" = no file
	Routers    []string          // the kind of each router
	Cores      float64           // of each router
	MemoryMB   int
	Sockets    int
	PinRouters bool               // sets CPU affinity: routers on the first core, this process on the others
	OnSpan     func(standin.Span) // receives the engines' spans; may be nil
}

// Fleet is a running fleet.
type Fleet struct {
	Discovery *standin.Discovery
	Engines   []*standin.Engine
	Routers   []*Router
	options   Options
	stopped   bool
}

// Router is a router process.
type Router struct {
	Name       string
	Kind       string
	Addr       string
	LogFile    string // path
	ConfigFile string // path of its --config file; "" = none
	cmd        *exec.Cmd
	done       chan error
}

// Start starts discovery, engines and routers, and waits until the routers are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	return StartWith(ctx, o, func(*Fleet) error { return nil })
}

// StartWith is Start with a callback that runs before the routers start, to register more engines with discovery.
func StartWith(ctx context.Context, o Options, prepare func(*Fleet) error) (f *Fleet, err error) {
	f = &Fleet{options: o}
	defer func() {
		if err != nil {
			_ = f.Stop() // err is already set
		}
	}()
	if o.PinRouters {
		if err := leaveFirstCore(); err != nil {
			return nil, err
		}
	}
	if f.Discovery, err = standin.StartDiscovery("127.0.0.1:0", 0); err != nil {
		return nil, err
	}
	for i := range o.Engines {
		engine := &standin.Engine{Name: fmt.Sprintf("s-%08x", i*0x9e3779b1&0xffffffff), Params: o.Params, OnSpan: o.OnSpan, Discovery: f.Discovery}
		if err := engine.Start("127.0.0.1:0", false); err != nil {
			return nil, err
		}
		f.Engines = append(f.Engines, engine)
	}
	if err := prepare(f); err != nil {
		return nil, err
	}
	for i, kind := range o.Routers {
		r, err := f.startRouter(i, kind)
		if err != nil {
			return nil, err
		}
		f.Routers = append(f.Routers, r)
	}
	for _, r := range f.Routers {
		if err := r.waitReady(ctx); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeAddr returns a loopback address with an unused port.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// config returns the configuration of router i in the platform's format.
func (f *Fleet) config(r *Router, i int) ([]byte, error) {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	type m = map[string]any
	var grades []m
	var perK, tokens []int64
	for _, c := range f.options.Classes {
		grades = append(grades, m{
			"name": c.Name, "objective": us(c.FirstTokenTarget), "deadline": us(c.Deadline), "dedupWindow": 5000000,
			"effect": "pure", "group": "all", "lateWorth": 0, "worth": c.Value, "streaming": true,
		})
		perK, tokens = append(perK, us(c.FirstTokenTargetPer1K)), append(tokens, us(c.TokenTarget))
	}
	return json.MarshalIndent(m{
		"name": r.Name, "listen": r.Addr, "discovery": f.Discovery.Addr(), "seed": fmt.Sprintf("%016x", 77+i),
		"limits": m{"cores": f.options.Cores, "memory_mb": f.options.MemoryMB, "sockets": f.options.Sockets}, "known": f.Discovery.Snapshot(),
		"settings": m{
			"azs": []string{"room"}, "discovery": "subscribe", "weights": "silent", "zone": 0, "me": i, "replicasOfMe": len(f.options.Routers),
			"grades": grades, "familyInfo": m{"aimUsPer1000PromptTokens": perK, "tokenAim": tokens, "resume": true},
			"limits": m{
				"cancel": true, "connectTimeout": 200000, "idleClose": 5000000, "maxOpen": 20000, "maxRetryAfter": 500000,
				"mostTries": 4, "probes": true, "retryAfter": true,
			},
			"prices": m{}, "report": m{"columns": []string{"x1", "concurrent"}, "how": "pull"},
			"rules": m{"askWithin": 10000000, "coldFrom": f.options.Params.ColdShare, "drainGrace": 500000, "warmUp": us(f.options.Params.WarmUp)},
		},
	}, "", " ")
}

func (f *Fleet) startRouter(i int, kind string) (*Router, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	r := &Router{Name: fmt.Sprintf("n%d", i+1), Kind: kind, Addr: addr, done: make(chan error, 1)}
	cfg, err := f.config(r, i)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.options.Dir, r.Name+".json")
	if err := os.WriteFile(file, cfg, 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve"}
	if text := f.options.Settings[kind]; text != "" {
		own := filepath.Join(f.options.Dir, r.Name+".toml")
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			return nil, err
		}
		r.ConfigFile = own
		args = append(args, "--config", own)
	}
	r.LogFile = filepath.Join(f.options.Dir, r.Name+".log")
	log, err := os.Create(r.LogFile)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	r.cmd = exec.Command(f.options.Binary, args...) //nolint:noctx // Stop drains it; a canceled context would kill it
	r.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+file)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no router outlives this process
	start := r.cmd.Start
	if f.options.PinRouters {
		start = func() error { return startPinned(r.cmd) }
	}
	if err := start(); err != nil {
		return nil, err
	}
	go func() { r.done <- r.cmd.Wait() }()
	return r, nil
}

// waitReady polls the readiness endpoint until it answers 200, the process ends or 20 s have passed.
func (r *Router) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Addr+"/health/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case err := <-r.done:
			r.done <- err
			return fmt.Errorf("router %s exited before it was ready: %w\n%s", r.Name, err, r.Tail())
		case <-ctx.Done():
			return fmt.Errorf("router %s did not become ready: %w\n%s", r.Name, ctx.Err(), r.Tail())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Tail returns the last ten lines of the router's log.
func (r *Router) Tail() string {
	text, _ := os.ReadFile(r.LogFile)
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(len(lines)-10, 0):], []byte("\n")))
}

// Signal sends the router a signal.
func (r *Router) Signal(s os.Signal) error { return r.cmd.Process.Signal(s) }

// Stop drains the router with SIGTERM and waits up to 20 s for it to exit with status 0.
func (r *Router) Stop() error {
	if r.cmd == nil || r.cmd.Process == nil {
		return nil
	}
	_ = r.cmd.Process.Signal(syscall.SIGTERM) // it may have exited already; done has its status
	select {
	case err := <-r.done:
		r.done <- nil
		if err != nil {
			return fmt.Errorf("router %s: %w\n%s", r.Name, err, r.Tail())
		}
		return nil
	case <-time.After(20 * time.Second):
		_ = r.cmd.Process.Kill() // it may have exited meanwhile
		return fmt.Errorf("router %s did not exit within 20 s of SIGTERM", r.Name)
	}
}

// CPU returns the CPU time, user and system, that the router has used.
func (r *Router) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	at := bytes.LastIndexByte(text, ')') // the command name may contain spaces
	fields := strings.Fields(string(text[at+1:]))
	if at < 0 || len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has an unexpected format")
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2) // clock ticks of 10 ms
}

// Memory returns the resident memory of the router and its peak, in bytes.
func (r *Router) Memory() (now, peak int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		for name, to := range map[string]*int64{"VmRSS:": &now, "VmHWM:": &peak} {
			if kb, ok := strings.CutPrefix(line, name); ok {
				if *to, err = strconv.ParseInt(strings.Fields(kb)[0], 10, 64); err != nil {
					return 0, 0, err
				}
				*to <<= 10
			}
		}
	}
	if now == 0 || peak == 0 {
		return 0, 0, errors.New("/proc/PID/status has no VmRSS or VmHWM")
	}
	return now, peak, nil
}

// Addrs returns the addresses on which the routers listen.
func (f *Fleet) Addrs() []string {
	var all []string
	for _, r := range f.Routers {
		all = append(all, r.Addr)
	}
	return all
}

// Stop stops the routers gracefully, then the engines and discovery. Later calls do nothing.
func (f *Fleet) Stop() error {
	if f.stopped {
		return nil
	}
	f.stopped = true
	var errs []error
	results := make(chan error, len(f.Routers))
	for _, r := range f.Routers {
		go func() { results <- r.Stop() }()
	}
	for range f.Routers {
		errs = append(errs, <-results)
	}
	for _, engine := range f.Engines {
		engine.Kill()
	}
	if f.Discovery != nil {
		_ = f.Discovery.Close() // no client is left
	}
	return errors.Join(errs...)
}
