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

// ListenControl listens on a Unix socket with permissions for its owner only. It replaces the socket of a process that was killed,
// and returns an error if another process accepts connections on the path.
func ListenControl(path string) (net.Listener, error) {
	if c, err := (&net.Dialer{}).DialContext(context.Background(), "unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("control: %s is in use by another process", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("control: %s exists and is not a socket", path)
		}
		if err := os.Remove(path); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
	}
	// The socket is created in a directory of the owner, so that no other user can connect before its permissions are set.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".control-")
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	defer os.RemoveAll(dir)
	tempPath := filepath.Join(dir, "s")
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	ln.SetUnlinkOnClose(false)
	if err := errors.Join(os.Chmod(tempPath, 0o600), os.Rename(tempPath, path)); err != nil {
		_ = ln.Close() // err is returned
		return nil, fmt.Errorf("control: %w", err)
	}
	return controlListener{ln, path}, nil
}

// controlListener removes its socket when it is closed.
type controlListener struct {
	*net.UnixListener
	path string
}

func (l controlListener) Close() error {
	err := l.UnixListener.Close()
	if removeErr := os.Remove(l.path); removeErr != nil && !errors.Is(removeErr, syscall.ENOENT) {
		err = errors.Join(err, removeErr)
	}
	return err
}

// EnableControl enables the control API on a listener. It must be called before Serve.
func (r *Router) EnableControl(ln net.Listener) { r.controlListener = ln }

// serveControl serves the control API, if it is enabled, and returns a function that stops it.
func (r *Router) serveControl(serverErrors chan<- error) (stop func()) {
	if r.controlListener == nil {
		return func() {}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /pools", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.poolStates()) })
	mux.HandleFunc("GET /routes/explain", func(w http.ResponseWriter, q *http.Request) {
		explanation, err := Explain(r.directory.Load().Table, q.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, explanation)
	})
	lim := r.cfg.Limits
	server := &http.Server{Handler: mux, ReadHeaderTimeout: lim.RequestReadTimeout, IdleTimeout: lim.ClientIdleTimeout, MaxHeaderBytes: lim.RequestHeadBytes}
	go func() {
		if err := server.Serve(netutil.LimitListener(r.controlListener, limits.ControlSocketConns)); !errors.Is(err, http.ErrServerClosed) {
			serverErrors <- err
		}
	}()
	return func() { server.Close() }
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have closed the connection
}

// State is the response to GET /pools of the control API.
type State struct {
	Generation int         `json:"generation"` // number of plans applied since the start
	Pools      []PoolState `json:"pools"`
}

// PoolState is the state of a pool and its counters since it was added.
type PoolState struct {
	Name               string `json:"name"`
	ID                 int    `json:"id"`
	IsEnding           bool   `json:"leaving"`   // requests are no longer routed to it
	Discovery          string `json:"discovery"` // address of the endpoint list
	Hosts              int    `json:"hosts"`
	Ready              int    `json:"ready"`          // hosts that are ready
	Open               int    `json:"open"`           // requests in flight
	RequestGuarantee   int64  `json:"open_guarantee"` // requests in flight that are guaranteed to the pool
	MaxRequests        int64  `json:"open_most"`      // maximum of requests in flight
	UpstreamConns      int    `json:"lines"`          // open connections to endpoints
	BodyBytes          int64  `json:"bodies"`         // bytes of request bodies in memory
	Received           int    `json:"taken"`          // requests received
	Served             int    `json:"served"`
	Rejected           int    `json:"refused"`
	Failed             int    `json:"failed"`
	Broken             int    `json:"broken"`   // response streams that failed after their first event
	ClientsLeft        int    `json:"gone"`     // requests whose client disconnected before the end of the response
	RejectedByFrontend int    `json:"declined"` // for lack of capacity, or because a request with the same id is in flight
	Attempts           int    `json:"legs"`     // sent upstream
}

// poolStates returns the state of every pool. The list is empty if the event loop does not respond within a second.
func (r *Router) poolStates() State {
	state := State{Generation: int(r.generation.Load()), Pools: []PoolState{}}
	reply := make(chan dispatch.CountersReport, 1)
	r.loop.Post(dispatch.GetCounters{ReplyTo: reply})
	var report dispatch.CountersReport
	select {
	case report = <-reply:
	case <-time.After(time.Second): // the loop has stopped or is stopping
		return state
	}
	for _, p := range report.Pools {
		s := PoolState{
			Name: p.Name, ID: int(p.Pool), IsEnding: p.IsEnding, Hosts: p.Hosts, Ready: p.Ready, Open: p.Open,
			RequestGuarantee: p.RequestQuota.Guarantee, MaxRequests: p.RequestQuota.Max, UpstreamConns: r.upstream.Connections(p.Pool), BodyBytes: r.frontend.BodyBytes(p.Pool),
			Received: p.Received, Served: p.Served, Rejected: p.Rejected, Failed: p.Failed, Broken: p.Broken, ClientsLeft: p.ClientsLeft,
			RejectedByFrontend: p.RejectedBeforeModule, Attempts: p.Attempts,
		}
		if f := r.feed(p.Pool); f != nil {
			s.Discovery = f.Client.Addr
		}
		state.Pools = append(state.Pools, s)
	}
	return state
}

// Explanation describes which route a request takes, and why.
type Explanation struct {
	Host    string           `json:"host"` // normalized, as routed
	Path    string           `json:"path"`
	Method  string           `json:"method"`
	Class   string           `json:"class"`
	Service string           `json:"service"` // "" = no route matches
	Routes  []ExplainedRoute `json:"routes"`  // the route that wins, then those that differ least from a match
}

// ExplainedRoute is a route compared with the request.
type ExplainedRoute struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	Reason  string `json:"why"`
	Wins    bool   `json:"wins"`
	Matches bool   `json:"matches"`
}

// Explain describes how a table routes a request. The keys of params are those of the control API: host, path, method and class with
// one value each, and header with any number of values of the form name:value.
func Explain(t *route.Table, params map[string][]string) (*Explanation, error) {
	get := func(name, fallback string) string {
		if v := params[name]; len(v) > 0 && v[0] != "" {
			return v[0]
		}
		return fallback
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
	for _, h := range params["header"] {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("header: %q is no name:value", h)
		}
		name = http.CanonicalHeaderKey(strings.TrimSpace(name))
		q.Header[name] = append(q.Header[name], strings.TrimSpace(value))
	}
	if target := t.Lookup(&q); target != nil {
		e.Service = target.Service
	}
	const maxRoutes = 5
	for _, c := range t.Explain(&q, maxRoutes) {
		e.Routes = append(e.Routes, ExplainedRoute{c.Route.Service, c.Route.Summary(), c.Reason, c.Wins, c.Matches})
	}
	return e, nil
}
