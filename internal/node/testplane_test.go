package node

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/limits"
)

// testPlane is a data plane of its own.
type testPlane struct {
	t    *testing.T
	d    *dataPlane
	addr string
	ln   net.Listener
	list atomic.Pointer[[]endpoints.Endpoint]
}

func at(id, service string, e *rawEngine) endpoints.Endpoint {
	return endpoints.Endpoint{Record: endpoints.Record{ID: id, Service: service, Addr: e.addr}}
}

// newPlane starts one under the configuration of planeConfig.
func newPlane(t *testing.T, seed uint64, engines ...endpoints.Endpoint) *testPlane {
	t.Helper()
	p := &testPlane{t: t}
	p.list.Store(&engines)
	p.d = newDataPlane(dataPlaneOptions{
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), traffic: &metrics.Traffic{}, drainGrace: time.Second, seed: seed,
		limits: limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 284, Sockets: 4100}),
		endpoints: func(service string) (all []endpoints.Endpoint) {
			for _, e := range *p.list.Load() {
				if e.Service == service {
					all = append(all, e)
				}
			}
			return all
		},
	})
	go p.d.run(t.Context())
	if err := p.d.applyConfig(1, planeConfig()); err != nil {
		t.Fatal(err)
	}
	var err error
	if p.ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.ln.Close() })
	p.addr = p.ln.Addr().String()
	go p.d.frontend.Serve(p.ln)
	return p
}

// set changes the engines; what is asked from now on meets those.
func (p *testPlane) set(engines ...endpoints.Endpoint) {
	p.list.Store(&engines)
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.publishEndpoints(p.d.routes.Load())
}

func planeConfig() *fleetconfig.Config {
	route := func(name, prefix string, kind fleetconfig.RouteType) fleetconfig.Route {
		return fleetconfig.Route{Name: name, Hostname: "h", PathPrefix: prefix, Type: kind, TimeoutMS: 1500, TargetLatencyMS: 100, TargetService: "s", MaxAttempts: 2}
	}
	other := route("d", "/other/", fleetconfig.RouteIdempotent)
	other.TargetService = "t"
	long := route("e", "/long/", fleetconfig.RouteStreaming)
	long.TimeoutMS = 20000
	return &fleetconfig.Config{Revision: 1, Services: []fleetconfig.Service{{Name: "s"}, {Name: "t"}}, Routes: []fleetconfig.Route{
		route("a", "/once/", fleetconfig.RouteNonIdempotent), route("b", "/again/", fleetconfig.RouteIdempotent), route("c", "/stream/", fleetconfig.RouteStreaming), other, long,
	}}
}

// plane is a data plane with engines of service s by name; its address is returned.
func plane(t *testing.T, seed uint64, engines map[string]*rawEngine) string {
	t.Helper()
	var all []endpoints.Endpoint
	for id, e := range engines {
		all = append(all, at(id, "s", e))
	}
	return newPlane(t, seed, all...).addr
}
