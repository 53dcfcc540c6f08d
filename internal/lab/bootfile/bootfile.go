// Package bootfile writes the settings file of a fleet's process on loopback, for labs and tests. It has the keys as the
// platform writes them, apart from the package that reads them (internal/config/nodeconfig), so that either shows a mistake
// in the other.
package bootfile

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Process is what the platform tells a process. A zero field that is not noted here stands in the file as it is.
type Process struct {
	Name, Zone        string
	IP                string
	InternalPort      int
	SeedNodes         []string // control addresses
	ControlPlane      string   // addresses; Frontend and Readiness are a router's
	Frontend          string   // "" = none
	Readiness         string
	DataDir           string // of a replica; "" = it is a router
	Bootstrap         bool   // it is the fleet's first start
	HeartbeatInterval time.Duration

	Cores, MemoryMB, MaxOpenFiles int
	MachineFaults                 int // machines that may be lost at once
	Bounds                        map[string]any
	CloudAPI                      string   // the platform's address
	Duties                        []string // what the fleet does for the platform
	Region                        string   // "" = it does not stand in the file
	Regions                       map[string]string
	Extra                         map[string]any // further keys
}

// Settings are the keys and values of the file.
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

// Write writes the file at path, for its owner only, and makes a replica's data directory if it is not there.
func (p *Process) Write(path string) error {
	if p.DataDir != "" {
		if err := os.MkdirAll(p.DataDir, 0o700); err != nil {
			return fmt.Errorf("data directory of %s: %w", p.Name, err)
		}
	}
	b, err := json.Marshal(p.Settings())
	if err != nil {
		return fmt.Errorf("settings of %s: %w", p.Name, err)
	}
	return os.WriteFile(path, b, 0o600)
}
