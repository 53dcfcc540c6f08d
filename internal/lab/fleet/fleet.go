// Package fleet starts what an experiment on sockets needs, on loopback: discovery, boxes, a collector, and routers as
// processes of their own, which it tells of each other as the platform would. It owns their lives; what happens to
// them in a run is the experiment's.
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

// Binary finds the router's program: the given path, else the one beside this program, else one that is built into dir.
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
		return "", fmt.Errorf("building the router (run this from the repository, or give --router): %w\n%s", err, text)
	}
	return out, nil
}

// Options say what a fleet is.
type Options struct {
	Binary   string // the router's program
	Dir      string // for the routers' files and logs
	Boxes    int
	Params   model.Params
	Classes  []load.Class
	Settings map[string]string // of each kind of router: the text of its --config file; "" = without
	Routers  []string          // kinds of the routers
	Cores    float64           // of each router
	MemoryMB int
	Sockets  int
	Pin      bool // routers run on the machine's first core, all else on the others
	Spans    func(standin.Span)
}

// Fleet is one that runs.
type Fleet struct {
	Discovery *standin.Discovery
	Boxes     []*standin.Engine
	Routers   []*Router
	o         Options
	stopped   bool
}

// Router is a router's process.
type Router struct {
	Name string
	Kind string
	Addr string
	Log  string // file
	File string // of its --config; "" = none
	cmd  *exec.Cmd
	done chan error
}

// Start starts everything and waits until the routers are ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	return StartWith(ctx, o, func(*Fleet) error { return nil })
}

// StartWith is Start with something more that discovery is to know of before the routers start.
func StartWith(ctx context.Context, o Options, more func(*Fleet) error) (f *Fleet, err error) {
	f = &Fleet{o: o}
	defer func() {
		if err != nil {
			_ = f.Stop() // err is what is returned
		}
	}()
	if o.Pin {
		if err := leaveFirstCore(); err != nil {
			return nil, err
		}
	}
	if f.Discovery, err = standin.StartDiscovery("127.0.0.1:0", 0); err != nil {
		return nil, err
	}
	for i := range o.Boxes {
		b := &standin.Engine{Name: fmt.Sprintf("s-%08x", i*0x9e3779b1&0xffffffff), Params: o.Params, OnSpan: o.Spans, Discovery: f.Discovery}
		if err := b.Start("127.0.0.1:0", false); err != nil {
			return nil, err
		}
		f.Boxes = append(f.Boxes, b)
	}
	if err := more(f); err != nil {
		return nil, err
	}
	for i, kind := range o.Routers {
		r, err := f.router(i, kind)
		if err != nil {
			return nil, err
		}
		f.Routers = append(f.Routers, r)
	}
	for _, r := range f.Routers {
		if err := r.ready(ctx); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// free takes a port that nothing listens on.
func free() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// config is a router's configuration, in the form in which the platform gives it.
func (f *Fleet) config(r *Router, i int) ([]byte, error) {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	type m = map[string]any
	var grades []m
	var perK, tokens []int64
	for _, c := range f.o.Classes {
		grades = append(grades, m{
			"name": c.Name, "objective": us(c.FirstTokenTarget), "deadline": us(c.Deadline), "dedupWindow": 5000000,
			"effect": "pure", "group": "all", "lateWorth": 0, "worth": c.Value, "streaming": true,
		})
		perK, tokens = append(perK, us(c.FirstTokenTargetPer1K)), append(tokens, us(c.TokenTarget))
	}
	return json.MarshalIndent(m{
		"name": r.Name, "listen": r.Addr, "discovery": f.Discovery.Addr(), "seed": fmt.Sprintf("%016x", 77+i),
		"limits": m{"cores": f.o.Cores, "memory_mb": f.o.MemoryMB, "sockets": f.o.Sockets}, "known": f.Discovery.Snapshot(),
		"settings": m{
			"azs": []string{"room"}, "discovery": "subscribe", "weights": "silent", "zone": 0, "me": i, "replicasOfMe": len(f.o.Routers),
			"grades": grades, "familyInfo": m{"aimUsPer1000PromptTokens": perK, "tokenAim": tokens, "resume": true},
			"limits": m{
				"cancel": true, "connectTimeout": 200000, "idleClose": 5000000, "maxOpen": 20000, "maxRetryAfter": 500000,
				"mostTries": 4, "probes": true, "retryAfter": true,
			},
			"prices": m{}, "report": m{"columns": []string{"x1", "concurrent"}, "how": "pull"},
			"rules": m{"askWithin": 10000000, "coldFrom": f.o.Params.ColdShare, "drainGrace": 500000, "warmUp": us(f.o.Params.WarmUp)},
		},
	}, "", " ")
}

func (f *Fleet) router(i int, kind string) (*Router, error) {
	addr, err := free()
	if err != nil {
		return nil, err
	}
	r := &Router{Name: fmt.Sprintf("n%d", i+1), Kind: kind, Addr: addr, done: make(chan error, 1)}
	cfg, err := f.config(r, i)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(f.o.Dir, r.Name+".json")
	if err := os.WriteFile(file, cfg, 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve"}
	if text := f.o.Settings[kind]; text != "" {
		own := filepath.Join(f.o.Dir, r.Name+".toml")
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			return nil, err
		}
		r.File = own
		args = append(args, "--config", own)
	}
	r.Log = filepath.Join(f.o.Dir, r.Name+".log")
	log, err := os.Create(r.Log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	r.cmd = exec.Command(f.o.Binary, args...) //nolint:noctx // Stop drains it, which a context would cut short
	r.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+file)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the lab
	start := r.cmd.Start
	if f.o.Pin {
		start = func() error { return startPinned(r.cmd) }
	}
	if err := start(); err != nil {
		return nil, err
	}
	go func() { r.done <- r.cmd.Wait() }()
	return r, nil
}

// ready waits until the router says that it is.
func (r *Router) ready(ctx context.Context) error {
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
			return fmt.Errorf("router %s ended: %w\n%s", r.Name, err, r.Tail())
		case <-ctx.Done():
			return fmt.Errorf("router %s is not ready: %w\n%s", r.Name, ctx.Err(), r.Tail())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Tail is the end of the router's log.
func (r *Router) Tail() string {
	text, _ := os.ReadFile(r.Log)
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(len(lines)-10, 0):], []byte("\n")))
}

// Signal sends the router a signal.
func (r *Router) Signal(s os.Signal) error { return r.cmd.Process.Signal(s) }

// Stop drains the router and waits for its end, which must be in order.
func (r *Router) Stop() error {
	if r.cmd == nil || r.cmd.Process == nil {
		return nil
	}
	_ = r.cmd.Process.Signal(syscall.SIGTERM) // it may have ended, which done tells
	select {
	case err := <-r.done:
		r.done <- nil
		if err != nil {
			return fmt.Errorf("router %s: %w\n%s", r.Name, err, r.Tail())
		}
		return nil
	case <-time.After(20 * time.Second):
		_ = r.cmd.Process.Kill() // it may have ended meanwhile
		return fmt.Errorf("router %s did not drain within 20 s", r.Name)
	}
}

// CPU is the processor time that the router's process has used.
func (r *Router) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	at := bytes.LastIndexByte(text, ')') // the name may hold spaces
	fields := strings.Fields(string(text[at+1:]))
	if at < 0 || len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has another form")
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2) // ticks of 10 ms
}

// Memory is what the process has resident now, and the most that it has had, in bytes.
func (r *Router) Memory() (now, most int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		for name, to := range map[string]*int64{"VmRSS:": &now, "VmHWM:": &most} {
			if kb, ok := strings.CutPrefix(line, name); ok {
				if *to, err = strconv.ParseInt(strings.Fields(kb)[0], 10, 64); err != nil {
					return 0, 0, err
				}
				*to <<= 10
			}
		}
	}
	if now == 0 || most == 0 {
		return 0, 0, errors.New("/proc/PID/status has no VmRSS or VmHWM")
	}
	return now, most, nil
}

// Addrs are where the routers listen.
func (f *Fleet) Addrs() []string {
	var all []string
	for _, r := range f.Routers {
		all = append(all, r.Addr)
	}
	return all
}

// Stop ends everything, the routers first and in order. A second call does nothing.
func (f *Fleet) Stop() error {
	if f.stopped {
		return nil
	}
	f.stopped = true
	var errs []error
	ends := make(chan error, len(f.Routers))
	for _, r := range f.Routers {
		go func() { ends <- r.Stop() }()
	}
	for range f.Routers {
		errs = append(errs, <-ends)
	}
	for _, b := range f.Boxes {
		b.Kill()
	}
	if f.Discovery != nil {
		_ = f.Discovery.Close() // a server of this program, which is done with
	}
	return errors.Join(errs...)
}
