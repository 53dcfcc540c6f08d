package node

import (
	"bytes"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/limits"
)

// testPlane is a data plane without a node around it.
type testPlane struct {
	t         *testing.T
	dataPlane *dataPlane
	addr      string
	listener  net.Listener
	endpoints atomic.Pointer[[]endpoints.Endpoint]
	logged    logBuffer
}

// logBuffer keeps what is logged. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

// String returns all that was logged.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// endpointOf returns an endpoint for a scripted engine.
func endpointOf(id, service string, e *scriptedEngine) endpoints.Endpoint {
	return endpoints.Endpoint{Record: endpoints.Record{ID: id, Service: service, Addr: e.addr}}
}

// newTestPlane starts a data plane under the configuration of planeConfig.
func newTestPlane(t *testing.T, seed uint64, engines ...endpoints.Endpoint) *testPlane {
	t.Helper()
	p := &testPlane{t: t}
	p.endpoints.Store(&engines)
	p.dataPlane = newDataPlane(dataPlaneOptions{
		log: slog.New(slog.NewTextHandler(&p.logged, nil)), traffic: &metrics.Traffic{}, drainGrace: time.Second, seed: seed,
		limits: limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 284, Sockets: 4100}),
		endpoints: func(service string) (all []endpoints.Endpoint) {
			for _, e := range *p.endpoints.Load() {
				if e.Service == service {
					all = append(all, e)
				}
			}
			return all
		},
	})
	go p.dataPlane.run(t.Context())
	if err := p.dataPlane.applyConfig(1, planeConfig()); err != nil {
		t.Fatal(err)
	}
	var err error
	if p.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.listener.Close() })
	p.addr = p.listener.Addr().String()
	go func() { _ = p.dataPlane.frontend.Serve(p.listener) }() // returns when the listener is closed
	return p
}

// setEndpoints replaces the endpoints and publishes them to the policy modules.
func (p *testPlane) setEndpoints(engines ...endpoints.Endpoint) {
	p.endpoints.Store(&engines)
	p.dataPlane.mu.Lock()
	defer p.dataPlane.mu.Unlock()
	p.dataPlane.publishEndpoints()
}

// planeConfig returns a configuration with a route of each type to service s, a route to service t, and a streaming route with
// a long timeout.
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

// planeAddr starts a data plane in front of engines of service s, by id, and returns its address.
func planeAddr(t *testing.T, seed uint64, engines map[string]*scriptedEngine) string {
	t.Helper()
	var all []endpoints.Endpoint
	for id, e := range engines {
		all = append(all, endpointOf(id, "s", e))
	}
	return newTestPlane(t, seed, all...).addr
}
