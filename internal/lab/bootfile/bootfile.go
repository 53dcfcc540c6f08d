// Package bootfile writes the boot file of a fleet process on loopback, for the lab and for tests. It spells out the keys of
// the platform's format instead of sharing them with the reader (internal/config/nodeconfig), so that a mistake in either
// package makes a test fail.
package bootfile

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Process holds the settings of one process. Zero values are written to the file unless the field's comment says otherwise.
type Process struct {
	Name, Zone        string
	IP                string
	InternalPort      int
	SeedNodes         []string // control-plane addresses
	ControlPlane      string   // listen address
	Frontend          string   // listen address of a router; "" = Frontend and Readiness are omitted
	Readiness         string   // listen address of a router
	DataDir           string   // of a replica; "" = the process is a router
	Bootstrap         bool     // first start of the fleet
	HeartbeatInterval time.Duration

	Cores, MemoryMB, MaxOpenFiles int
	MachineFaults                 int // number of simultaneous machine failures to tolerate
	Bounds                        map[string]any
	CloudAPI                      string            // the platform's address
	Duties                        []string          // roles that the fleet performs for the platform
	Region                        string            // "" = Region and Regions are omitted
	Regions                       map[string]string // region by zone
	Extra                         map[string]any    // additional top-level keys
}

// Settings returns the keys and values of the boot file.
func (p *Process) Settings() map[string]any {
	listeners := map[string]any{"control_plane": p.ControlPlane}
	s := map[string]any{
		"node_name": p.Name, "machine_class": "edge", "ip_address": p.IP, "zone": p.Zone, "listeners": listeners,
		"internal_port_range": []int{p.InternalPort, p.InternalPort}, "seed_nodes": p.SeedNodes, "bootstrap": p.Bootstrap,
		"heartbeat_interval_ms": p.HeartbeatInterval.Milliseconds(),
		"request_limits":        map[string]any{"cpu_fraction": 1, "cpu_cores": p.Cores, "memory_mb": p.MemoryMB, "max_open_files": p.MaxOpenFiles},
		"fault_tolerance":       map[string]any{"machines": p.MachineFaults},
		"bounds":                p.Bounds,
		"cloud_api":             map[string]any{"address": p.CloudAPI, "duties": p.Duties},
	}
	if p.DataDir != "" {
		s["machine_class"], s["quorum_member"], s["data_directory"] = "core", true, p.DataDir
	}
	if p.Frontend != "" {
		listeners["frontend"], listeners["readiness"] = p.Frontend, p.Readiness
	}
	if p.Region != "" {
		s["region"], s["zone_map"] = p.Region, p.Regions
	}
	for key, value := range p.Extra {
		s[key] = value
	}
	return s
}

// Write writes the boot file to path, readable by its owner only, and creates the data directory of a replica.
func (p *Process) Write(path string) error {
	if p.DataDir != "" {
		if err := os.MkdirAll(p.DataDir, 0o700); err != nil {
			return fmt.Errorf("create data directory of %s: %w", p.Name, err)
		}
	}
	b, err := json.Marshal(p.Settings())
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", p.Name, err)
	}
	return os.WriteFile(path, b, 0o600)
}
