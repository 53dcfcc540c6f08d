package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/net/netutil"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/route"
)

// ListenControl opens the control socket: for its owner only. What a router that was killed has left is taken away; a
// socket that still answers is another router's.
func ListenControl(path string) (net.Listener, error) {
	if c, err := (&net.Dialer{}).DialContext(context.Background(), "unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("control: %s is the socket of a program that runs", path)
	}
	if i, err := os.Lstat(path); err == nil {
		if i.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control: %s is there and is no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	// It is made where nobody else can get at it, lest somebody come before its permissions are right.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".control-")
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	defer os.RemoveAll(dir)
	made := filepath.Join(dir, "s")
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: made, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(made, 0o600), os.Rename(made, path)); err != nil {
		_ = ln.Close() // err is what is returned
		return nil, fmt.Errorf("control: %w", err)
	}
	return controlListener{ln, path}, nil
}

// controlListener takes its socket away at its end.
type controlListener struct {
	*net.UnixListener
	path string
}

func (l controlListener) Close() error {
	err := l.UnixListener.Close()
	if gone := os.Remove(l.path); gone != nil && !errors.Is(gone, syscall.ENOENT) {
		err = errors.Join(err, gone)
	}
	return err
}

// Control has the router answer at a control socket. It is called before Serve.
func (r *Router) Control(ln net.Listener) { r.control = ln }

// serveControl answers at the control socket, if it is on, and returns what ends that.
func (r *Router) serveControl(served chan<- error) (stop func()) {
	if r.control == nil {
		return func() {}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /pools", func(w http.ResponseWriter, _ *http.Request) { reply(w, r.pools()) })
	mux.HandleFunc("GET /routes/explain", func(w http.ResponseWriter, q *http.Request) {
		a, err := Explain(r.at.Load().Table, q.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, a)
	})
	lim := r.cfg.Limits
	web := &http.Server{Handler: mux, ReadHeaderTimeout: lim.RequestReadTimeout, IdleTimeout: lim.ClientIdleTimeout, MaxHeaderBytes: lim.RequestHeadBytes}
	go func() {
		if err := web.Serve(netutil.LimitListener(r.control, limits.ControlSocketConns)); !errors.Is(err, http.ErrServerClosed) {
			served <- err
		}
	}()
	return func() { web.Close() }
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a reader that has gone needs no answer
}

// State is what a router holds, as the control socket tells it.
type State struct {
	Generation int         `json:"generation"` // plans carried out since the start
	Pools      []PoolState `json:"pools"`
}

// PoolState is what a pool holds, as the control socket tells it.
type PoolState struct {
	Name      string `json:"name"`
	ID        int    `json:"id"`
	Leaving   bool   `json:"leaving"` // nothing more is led to it
	Discovery string `json:"discovery"`
	Hosts     int    `json:"hosts"`
	Ready     int    `json:"ready"` // of the hosts
	Open      int    `json:"open"`  // requests without the end of their answer
	Guarantee int64  `json:"open_guarantee"`
	Most      int64  `json:"open_most"`
	Lines     int    `json:"lines"`  // connections to boxes
	Bodies    int64  `json:"bodies"` // bytes held
	Taken     int    `json:"taken"`
	Served    int    `json:"served"`
	Refused   int    `json:"refused"`
	Failed    int    `json:"failed"`
	Broken    int    `json:"broken"`
	Gone      int    `json:"gone"`
	Declined  int    `json:"declined"` // for want of room, or for the id of an open one
	Legs      int    `json:"legs"`
}

// pools asks the loop what each pool holds.
func (r *Router) pools() State {
	out := State{Generation: int(r.generation.Load()), Pools: []PoolState{}}
	to := make(chan dispatch.CountersReport, 1)
	r.loop.Post(dispatch.GetCounters{ReplyTo: to})
	var c dispatch.CountersReport
	select {
	case c = <-to:
	case <-time.After(time.Second): // the loop has ended, or is to
		return out
	}
	for _, p := range c.Pools {
		s := PoolState{
			Name: p.Name, ID: int(p.Pool), Leaving: p.IsEnding, Hosts: p.Hosts, Ready: p.Ready, Open: p.Open,
			Guarantee: p.RequestQuota.Guarantee, Most: p.RequestQuota.Max, Lines: r.upstream.Connections(p.Pool), Bodies: r.front.BodyBytes(p.Pool),
			Taken: p.Received, Served: p.Served, Refused: p.Rejected, Failed: p.Failed, Broken: p.Broken, Gone: p.ClientsLeft,
			Declined: p.RejectedBeforeModule, Legs: p.Attempts,
		}
		if f := r.feed(p.Pool); f != nil {
			s.Discovery = f.Client.Addr
		}
		out.Pools = append(out.Pools, s)
	}
	return out
}

// Explanation says which route a request takes and why.
type Explanation struct {
	Host    string          `json:"host"` // in the spelling that is routed
	Path    string          `json:"path"`
	Method  string          `json:"method"`
	Class   string          `json:"class"`
	Service string          `json:"service"` // "" = no route takes it
	Routes  []ExplainedPart `json:"routes"`  // the one that wins, then those that were close
}

// ExplainedPart is a route in an explanation.
type ExplainedPart struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	Why     string `json:"why"`
	Wins    bool   `json:"wins"`
	Matches bool   `json:"matches"`
}

// Explain explains how a table leads a request: host, path, method, class and header (as name:value) are given.
func Explain(t *route.Table, asked map[string][]string) (*Explanation, error) {
	get := func(name, without string) string {
		if v := asked[name]; len(v) > 0 && v[0] != "" {
			return v[0]
		}
		return without
	}
	e := &Explanation{Method: get("method", "POST"), Class: get("class", "")}
	var err error
	if e.Host, err = route.NormalizeHost(get("host", "")); err != nil {
		return nil, fmt.Errorf("host: %w", err)
	}
	if e.Path, err = route.NormalizePath(get("path", "/")); err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	q := route.Query{Host: e.Host, Path: e.Path, Method: e.Method, Class: e.Class, Header: map[string][]string{}}
	for _, h := range asked["header"] {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("header: %q is no name:value", h)
		}
		name = http.CanonicalHeaderKey(strings.TrimSpace(name))
		q.Header[name] = append(q.Header[name], strings.TrimSpace(value))
	}
	if to := t.Lookup(&q); to != nil {
		e.Service = to.Service
	}
	const close = 5
	for _, c := range t.Explain(&q, close) {
		e.Routes = append(e.Routes, ExplainedPart{c.Route.Service, c.Route.Summary(), c.Reason, c.Wins, c.Matches})
	}
	return e, nil
}
