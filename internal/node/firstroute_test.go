package node

import (
	"net"
	"net/http"
	"testing"

	"notchhinge/internal/control/fleetconfig"
)

// lateService is the service of the tests below; its routes come after the service was listed.
const lateService = "late"

// lateConfig returns planeConfig with lateService and the given routes to it.
func lateConfig(revision uint64, routes ...fleetconfig.Route) *fleetconfig.Config {
	c := planeConfig()
	c.Revision = revision
	c.Services = append(c.Services, fleetconfig.Service{Name: lateService})
	c.Routes = append(c.Routes, routes...)
	return c
}

// lateRoute returns a route to lateService.
func lateRoute(prefix string, kind fleetconfig.RouteType, targetLatencyMS float64) fleetconfig.Route {
	return fleetconfig.Route{
		Name: prefix, Hostname: "h", PathPrefix: prefix, Type: kind, TimeoutMS: 1500, TargetLatencyMS: targetLatencyMS,
		TargetService: lateService, MaxAttempts: 2,
	}
}

// TestFirstRouteOfAListedServiceDecidesItsRetries guards against streams that run twice: a service without a route had a
// placeholder class that permits retries, and the class of its first route did not replace it.
func TestFirstRouteOfAListedServiceDecidesItsRetries(t *testing.T) {
	const path = "/late/"
	for kind, wantRuns := range map[fleetconfig.RouteType]int64{
		fleetconfig.RouteStreaming: 1, fleetconfig.RouteNonIdempotent: 1, fleetconfig.RouteIdempotent: 2,
	} {
		route := lateRoute(path, kind, 100)
		other := lateRoute("/other-kind/", fleetconfig.RouteIdempotent, 100)
		for sequence, configs := range map[string][]*fleetconfig.Config{
			"listed, then routed":                 {lateConfig(2), lateConfig(3, route)},
			"listed twice, then routed":           {lateConfig(2), lateConfig(3), lateConfig(4, route)},
			"routed, moved away, moved back":      {lateConfig(2, route), lateConfig(3), lateConfig(4, route)},
			"listed, dropped, listed and routed":  {lateConfig(2), planeConfig(), lateConfig(4), lateConfig(5, route)},
			"routed, dropped, listed, routed":     {lateConfig(2, route), planeConfig(), lateConfig(4), lateConfig(5, route)},
			"listed, routed after another route":  {lateConfig(2), lateConfig(3, other), lateConfig(4, other, route)},
			"listed, routed along with another":   {lateConfig(2), lateConfig(3, other, route)},
			"listed, another moved away, routed":  {lateConfig(2), lateConfig(3, other), lateConfig(4, route)},
			"listed, routed before another route": {lateConfig(2), lateConfig(3, route), lateConfig(4, route, other)},
		} {
			t.Run(string(kind)+", "+sequence, func(t *testing.T) {
				t.Parallel()
				loseAnswer := func(net.Conn, *http.Request) bool { return false } // the engine has run the request
				one, two := newScriptedEngine(t, loseAnswer), newScriptedEngine(t, loseAnswer)
				p := newTestPlane(t, 1, endpointOf("one", lateService, one), endpointOf("two", lateService, two))
				for i, c := range configs {
					if err := p.dataPlane.applyConfig(uint64(i)+2, c); err != nil {
						t.Fatal(err)
					}
				}
				resp, _, err := post(t, p.addr, path+"1")
				if err != nil {
					t.Fatal(err)
				}
				if runs := one.requests.Load() + two.requests.Load(); runs != wantRuns || resp.StatusCode == http.StatusServiceUnavailable {
					t.Errorf("the request ran %d times, want %d; status %d", runs, wantRuns, resp.StatusCode)
				}
			})
		}
	}
}

// TestFurtherRouteOfAListedServiceIsServed guards against a route that every router refuses for good: the policy module of a
// service that was listed before it had a route rejected all later classes.
func TestFurtherRouteOfAListedServiceIsServed(t *testing.T) {
	e := newScriptedEngine(t, respondWith(answerServed))
	p := newTestPlane(t, 1, endpointOf("one", lateService, e))
	first, further := lateRoute("/first/", fleetconfig.RouteStreaming, 100), lateRoute("/further/", fleetconfig.RouteStreaming, 200)
	for i, c := range []*fleetconfig.Config{lateConfig(2), lateConfig(3, first), lateConfig(4, first, further)} {
		if err := p.dataPlane.applyConfig(uint64(i)+2, c); err != nil {
			t.Fatal(err)
		}
	}
	for _, path := range []string{"/first/1", "/further/1"} {
		if resp, _, err := post(t, p.addr, path); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %+v, %v", path, resp, err)
		}
	}
}
