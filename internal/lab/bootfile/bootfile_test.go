package bootfile

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"notchhinge/internal/config/nodeconfig"
)

// TestNodeconfigReadsBootFile checks that nodeconfig reads the files of a replica and a router with the intended values.
func TestNodeconfigReadsBootFile(t *testing.T) {
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
			type settings struct {
				name, zone, region, cloudAPI string
				isReplica, isRouter, scales  bool
				heartbeat                    time.Duration
				leaseMS, machineFaults       int
				gracePeriodS                 float64 // missing from the file; nodeconfig's default
			}
			want := settings{
				name: name, zone: "a", region: "r", cloudAPI: "127.0.0.1:5", isReplica: c.isReplica, isRouter: !c.isReplica, scales: true,
				heartbeat: 300 * time.Millisecond, leaseMS: 1500, machineFaults: 1, gracePeriodS: 6,
			}
			if got := (settings{
				name: got.NodeName, zone: got.Zone, region: got.Region, cloudAPI: got.CloudAPI.Address, isReplica: got.IsReplica(),
				isRouter: got.Listeners.Frontend != "", scales: got.CloudAPI.HasRole("autoscaler"), heartbeat: got.HeartbeatInterval(),
				leaseMS: got.Bounds.LeaseMS, machineFaults: got.FaultTolerance.Machines, gracePeriodS: got.Bounds.GracePeriodS,
			}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
			if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
				t.Errorf("got %v, %v; want a file with mode 0600, as it may hold secrets", info, err)
			}
		})
	}
}
