package node

import (
	"testing"

	"notchhinge/internal/control/fleetconfig"
)

func TestRunningRequestKeepsItsConfiguration(t *testing.T) {
	// A configuration takes a running request's route, its service and its tenant's key away.
	for name, next := range map[string]*fleetconfig.Config{
		"the route":   {Revision: 2, Services: []fleetconfig.Service{{Name: "s"}, {Name: "t"}}},
		"the service": {Revision: 2, Services: []fleetconfig.Service{{Name: "t"}}},
		"all of it":   {Revision: 2, Tenants: []fleetconfig.Tenant{{Name: "x", APIKeys: []string{"k"}}}},
		"the key": func() *fleetconfig.Config {
			c := planeConfig()
			c.Revision, c.Tenants = 2, []fleetconfig.Tenant{{Name: "x", APIKeys: []string{"k"}}}
			return c
		}(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newRecordingEngine(t)
			p := newTestPlane(t, 1, endpointOf("i-1", "s", e.scriptedEngine))
			var running []*clientStream
			for range 20 {
				running = append(running, openStream(t, p.addr))
			}
			if err := p.dataPlane.applyConfig(2, next); err != nil {
				t.Fatal(err)
			}
			want := 404
			if name == "the key" {
				want = 401
			}
			if resp, _, err := post(t, p.addr, "/long/2"); err != nil || resp.StatusCode != want {
				t.Errorf("a new one: %+v %v, not %d", resp, err, want)
			}
			close(e.resume)
			for _, s := range running {
				if err := s.readRest(); err != nil {
					t.Errorf("a running one: %v", err)
				}
			}
			if len(next.Services) == 0 || next.Services[0].Name == "t" {
				waitUntil(t, "the service's module is gone", func() bool {
					p.dataPlane.mu.Lock()
					defer p.dataPlane.mu.Unlock()
					return len(p.dataPlane.modules) == len(next.Services)
				})
			}
		})
	}
}
