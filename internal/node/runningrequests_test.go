package node

import (
	"net/http"
	"testing"

	"notchhinge/internal/control/fleetconfig"
)

// TestRunningRequestKeepsItsConfiguration: a new configuration removes the route or service of running requests, or requires
// an API key. The running requests complete; a new one is rejected.
func TestRunningRequestKeepsItsConfiguration(t *testing.T) {
	withKey := planeConfig()
	withKey.Revision, withKey.Tenants = 2, []fleetconfig.Tenant{{Name: "x", APIKeys: []string{"k"}}}
	for removed, next := range map[string]*fleetconfig.Config{
		"the route":   {Revision: 2, Services: []fleetconfig.Service{{Name: "s"}, {Name: "t"}}},
		"the service": {Revision: 2, Services: []fleetconfig.Service{{Name: "t"}}},
		"all of it":   {Revision: 2, Tenants: []fleetconfig.Tenant{{Name: "x", APIKeys: []string{"k"}}}},
		"the key":     withKey,
	} {
		t.Run(removed, func(t *testing.T) {
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
			want := http.StatusNotFound
			if removed == "the key" {
				want = http.StatusUnauthorized
			}
			if resp, _, err := post(t, p.addr, "/long/2"); err != nil || resp.StatusCode != want {
				t.Errorf("new request: %+v %v, want status %d", resp, err, want)
			}
			close(e.resume)
			for _, s := range running {
				if err := s.readRest(); err != nil {
					t.Errorf("running request: %v", err)
				}
			}
			if len(next.Services) == 0 || next.Services[0].Name == "t" {
				waitUntil(t, "removal of the service's policy module", func() bool {
					p.dataPlane.mu.Lock()
					defer p.dataPlane.mu.Unlock()
					return len(p.dataPlane.pools) == len(next.Services)
				})
			}
		})
	}
}
