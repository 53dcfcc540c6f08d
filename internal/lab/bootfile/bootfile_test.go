package bootfile

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"notchhinge/internal/config/nodeconfig"
)

// TestProcessIsReadAsItWasMeant: a replica's and a router's file are accepted, with the roles that were meant.
func TestProcessIsReadAsItWasMeant(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct {
		change    func(*Process)
		isReplica bool
	}{
		"replica": {func(p *Process) { p.DataDir = filepath.Join(dir, "data") }, true},
		"router":  {func(p *Process) { p.Frontend, p.Readiness = "127.0.0.1:3", "127.0.0.1:4" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := Process{
				Name: name, Zone: "a", IP: "127.0.0.1", InternalPort: 1, ControlPlane: "127.0.0.1:2", HeartbeatInterval: 300 * time.Millisecond,
				Cores: 1, MemoryMB: 256, MaxOpenFiles: 2048, MachineFaults: 1, Bounds: map[string]any{"lease_ms": 1500},
				CloudAPI: "127.0.0.1:5", Duties: []string{"autoscaler"}, Region: "r", Regions: map[string]string{"a": "r"}, Extra: map[string]any{"later_field": 1},
			}
			c.change(&p)
			path := filepath.Join(dir, name)
			if err := p.Write(path); err != nil {
				t.Fatal(err)
			}
			got, err := nodeconfig.Load(path)
			if err != nil {
				t.Fatal(err)
			}
			if got.IsReplica() != c.isReplica || (got.Listeners.Frontend != "") == c.isReplica || got.NodeName != name || got.Zone != "a" || got.Region != "r" ||
				got.HeartbeatInterval() != 300*time.Millisecond || got.Bounds.LeaseMS != 1500 || got.Bounds.GracePeriodS != 6 || got.FaultTolerance.Machines != 1 ||
				got.CloudAPI.Address != "127.0.0.1:5" || !got.CloudAPI.HasRole("autoscaler") {
				t.Errorf("%+v", got)
			}
			if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
				t.Errorf("%v %v: it may hold what others must not read", info, err)
			}
		})
	}
}
