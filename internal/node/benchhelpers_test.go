package node

import (
	"context"
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

	settings "notchhinge/internal/config/platformconfig"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/router"
)

// benchEngine answers every request with a stream of one event.
func benchEngine(b *testing.B) string {
	b.Helper()
	return benchServer(b, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Keep-Alive", "timeout=10")
		for _, name := range []string{"X-Request-Id", "X-Call-Id"} { // a response must carry its request's id
			if id := r.Header.Get(name); id != "" {
				w.Header().Set(name, id)
			}
		}
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "data: 1\n\n")
		w.(http.Flusher).Flush()
	})
}

// benchServer starts a server on loopback and returns its address.
func benchServer(b *testing.B, handler http.HandlerFunc) string {
	b.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(ln)
	b.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

// benchNode starts a node's data plane in front of an engine, and returns its address.
func benchNode(b *testing.B, engine string) string {
	b.Helper()
	d := newDataPlane(dataPlaneOptions{
		log: slog.New(slog.DiscardHandler), traffic: &metrics.Traffic{}, drainGrace: time.Second, seed: 1,
		limits: limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 284, Sockets: 4100}),
		endpoints: func(string) []endpoints.Endpoint {
			return []endpoints.Endpoint{{Record: endpoints.Record{ID: "i-1", Service: "s", Addr: engine}}}
		},
	})
	go d.run(b.Context())
	if err := d.applyConfig(1, &fleetconfig.Config{
		Revision: 1, Services: []fleetconfig.Service{{Name: "s"}},
		Routes: []fleetconfig.Route{{Name: "r", Hostname: "h", PathPrefix: "/", Type: fleetconfig.RouteStreaming, TimeoutMS: 5000, TargetService: "s", MaxAttempts: 2}},
	}); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	go func() { _ = d.frontend.Serve(listener) }() // returns when the listener is closed
	return listener.Addr().String()
}

// benchServe starts a router as `notchhinge run` does, in front of an engine from its settings, and returns its address.
func benchServe(b *testing.B, engine string) string {
	b.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	path := filepath.Join(b.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, `{"name": "n1", "listen": %q, "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
"limits": {"cores": 1.0, "memory_mb": 284, "sockets": 4100},
"known": {"seq": 41, "whole": true, "hosts": [
	{"host": "s-1", "dial": %q, "site": "room", "class": "gpu", "block": 3, "health": "Ready", "share": 1.0, "born_ms": 0}]},
"settings": {
	"azs": ["room"], "discovery": "subscribe", "weights": "silent", "zone": 0, "me": 0, "replicasOfMe": 1,
	"grades": [{"name": "chat", "objective": 2500000, "deadline": 12000000, "dedupWindow": 5000000, "effect": "pure", "group": "all", "lateWorth": 0, "worth": 5, "streaming": true}],
	"limits": {"cancel": true, "connectTimeout": 100000, "idleClose": 5000000, "maxOpen": 20000, "maxRetryAfter": 2000000, "mostTries": 4, "probes": true, "retryAfter": true},
	"prices": {}, "report": {"columns": ["x1", "concurrent"], "how": "pull"},
	"rules": {"askWithin": 10000000, "coldFrom": 0.36, "drainGrace": 500000, "warmUp": 8900000}}}`, listener.Addr(), engine), 0o600); err != nil {
		b.Fatal(err)
	}
	cfg, err := settings.Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
	if err != nil {
		b.Fatal(err)
	}
	p, err := reconcile.NewPlan(cfg, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	r := router.New(cfg, p, slog.New(slog.DiscardHandler), func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr == cfg.DiscoveryAddr { // the discovery service never answers
			local, remote := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, remote) }() // returns when the router closes local
			return local, nil
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}, dispatch.UnixClock())
	stop, done := make(chan os.Signal, 1), make(chan error, 1)
	go func() { done <- r.ServeOn(listener, router.Signals{Stop: stop}) }()
	b.Cleanup(func() {
		stop <- os.Interrupt
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	return listener.Addr().String()
}

// benchPacedEngine answers every request with a stream of one event every 35 ms.
func benchPacedEngine(b *testing.B) string {
	b.Helper()
	return benchServer(b, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		tick := time.NewTicker(35 * time.Millisecond)
		defer tick.Stop()
		for r.Context().Err() == nil {
			io.WriteString(w, "data: {\"token\":\"abcdef\"}\n\n")
			w.(http.Flusher).Flush()
			<-tick.C
		}
	})
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
