// Package nodeconfig reads what a process of the fleet is told: the settings file that NOTCHHINGE_BOOT names. It owns their
// form and their checks, and opens nothing but that file. Fields that are not known are passed over.
package nodeconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// EnvVar names the settings file.
const EnvVar = "NOTCHHINGE_BOOT"

// Config are what a process is told.
type Config struct {
	NodeName            string            `json:"node_name"`
	Role                string            `json:"role"`
	MachineClass        string            `json:"machine_class"`
	Serves              []string          `json:"serves"`
	IPAddress           string            `json:"ip_address"`
	Zone                string            `json:"zone"`
	Region              string            `json:"region"`
	ZoneRegions         map[string]string `json:"zone_map"` // regions by zone
	Listeners           Listeners         `json:"listeners"`
	InternalPorts       []int             `json:"internal_port_range"` // first and last
	SeedNodes           []string          `json:"seed_nodes"`          // control_plane addresses
	Bootstrap           bool              `json:"bootstrap"`
	QuorumMember        bool              `json:"quorum_member"`
	Machine             Machine           `json:"request_limits"`
	DataDir             string            `json:"data_directory"` // "" = no disk
	HeartbeatIntervalMS int               `json:"heartbeat_interval_ms"`
	FaultTolerance      FaultTolerance    `json:"fault_tolerance"`
	Bounds              Bounds            `json:"bounds"`
	CloudAPI            CloudAPI          `json:"cloud_api"`
}

// Listeners are the addresses that a process serves at; "" = it does not.
type Listeners struct {
	Frontend     string `json:"frontend"`
	Readiness    string `json:"readiness"`
	ControlPlane string `json:"control_plane"`
}

// Machine are what the machine grants.
type Machine struct {
	CPUFraction   float64 `json:"cpu_fraction"`
	CPUCores      float64 `json:"cpu_cores"`
	MemoryMB      int     `json:"memory_mb"`
	MaxOpenFiles  int     `json:"max_open_files"`
	BandwidthMbps float64 `json:"bandwidth_mbps"`
	DiskMB        int     `json:"disk_mb"`
}

// FaultTolerance is what may be lost at once.
type FaultTolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zone_map"`
	Regions  int `json:"regions"`
}

// Bounds are the figures of the rules.
type Bounds struct {
	AddressReuseS    float64 `json:"address_reuse_s"`
	ContactMS        int     `json:"contact_ms"`
	DrainTimeoutMS   int     `json:"drain_timeout_ms"`
	GracePeriodS     float64 `json:"grace_period_s"`
	ConfigApplyMS    int     `json:"config_apply_ms"`
	LeaseMS          int     `json:"lease_ms"`
	FencingEnabled   bool    `json:"fencing_enabled"`
	UsageWindowS     float64 `json:"usage_window_s"`
	UsageDelayS      float64 `json:"usage_delay_s"`
	RetryBudgetRatio float64 `json:"retry_budget_ratio"`
	RetryWindowS     float64 `json:"retry_window_s"`
	RetryExtra       float64 `json:"retry_extra"`
}

// CloudAPI is the platform's API.
type CloudAPI struct {
	Address           string   `json:"address"`
	RatePerS          float64  `json:"rate_per_s"`
	SingletonRoles    []string `json:"duties"`
	SingletonRatePerS float64  `json:"duties_per_s"`
}

// HasRole tells whether a duty is the fleet's.
func (c *CloudAPI) HasRole(duty string) bool {
	return c.Address != "" && slices.Contains(c.SingletonRoles, duty)
}

// HeartbeatInterval is how often engines report.
func (s *Config) HeartbeatInterval() time.Duration {
	return time.Duration(s.HeartbeatIntervalMS) * time.Millisecond
}

// IsReplica tells whether the process holds the state.
func (s *Config) IsReplica() bool { return s.DataDir != "" && s.QuorumMember }

// FieldErrors is everything that is wrong with a settings file.
type FieldErrors []error

func (f FieldErrors) Error() string {
	var b strings.Builder
	for i, e := range f {
		if i > 0 {
			b.WriteString("\n")
		}
		b.WriteString(e.Error())
	}
	return b.String()
}

// Load reads and checks a settings file. The error is Faults where the file could be read.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New(EnvVar + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(text)
	if faults, ok := err.(FieldErrors); ok {
		for i := range faults {
			faults[i] = fmt.Errorf("%s: %w", path, faults[i])
		}
	}
	return s, err
}

// Parse checks settings, and fills in what may be left out.
func Parse(text []byte) (*Config, error) {
	s := &Config{HeartbeatIntervalMS: 1500, Bounds: Bounds{
		ContactMS: 4000, DrainTimeoutMS: 3000, GracePeriodS: 6, ConfigApplyMS: 3000, LeaseMS: 3000, UsageWindowS: 5, UsageDelayS: 10,
	}}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, FieldErrors{err}
	}
	var faults FieldErrors
	bad := func(key, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: "+format, append([]any{key}, args...)...))
	}
	if s.NodeName == "" {
		bad("node_name", "a name is wanted")
	}
	if a, err := netip.ParseAddr(s.IPAddress); err != nil || !a.Is4() {
		bad("ip_address", "%q is no IPv4 address", s.IPAddress)
	}
	for key, addr := range map[string]string{
		"listeners.frontend": s.Listeners.Frontend, "listeners.readiness": s.Listeners.Readiness,
		"listeners.control_plane": s.Listeners.ControlPlane, "cloud_api.address": s.CloudAPI.Address,
	} {
		if _, err := netip.ParseAddrPort(addr); addr != "" && err != nil {
			bad(key, "%q is no address with a port", addr)
		}
	}
	for i, addr := range s.SeedNodes {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			bad(fmt.Sprintf("seed_nodes[%d]", i), "%q is no address with a port", addr)
		}
	}
	if len(s.InternalPorts) != 2 || s.InternalPorts[0] < 1 || s.InternalPorts[1] < s.InternalPorts[0] || s.InternalPorts[1] > 65535 {
		bad("internal_port_range", "two ports from 1 to 65535 are wanted, the first not above the second: %v", s.InternalPorts)
	}
	if s.Listeners.Frontend == "" && s.Listeners.ControlPlane == "" {
		bad("listeners", "frontend or control_plane is wanted")
	}
	if s.Listeners.Frontend != "" && s.Listeners.Readiness == "" {
		bad("listeners.readiness", "it goes with frontend")
	}
	if s.QuorumMember && s.DataDir == "" {
		bad("data_directory", "a member of the quorum needs a disk")
	}
	if s.Zone == "" {
		bad("zone", "a zone is wanted")
	}
	if l := s.Machine; !(l.CPUFraction > 0) || l.MemoryMB < 32 || l.MaxOpenFiles < 300 {
		bad("request_limits", "cpu_fraction %v, memory_mb %d, max_open_files %d: above 0, 32 or more and 300 or more are wanted",
			l.CPUFraction, l.MemoryMB, l.MaxOpenFiles)
	}
	if s.FaultTolerance.Machines < 0 || s.FaultTolerance.Zones < 0 || s.FaultTolerance.Regions < 0 {
		bad("fault_tolerance", "0 or more is wanted")
	}
	for key, v := range map[string]float64{
		"heartbeat_interval_ms": float64(s.HeartbeatIntervalMS), "bounds.drain_timeout_ms": float64(s.Bounds.DrainTimeoutMS),
		"bounds.grace_period_s": s.Bounds.GracePeriodS, "bounds.lease_ms": float64(s.Bounds.LeaseMS),
		"bounds.usage_window_s": s.Bounds.UsageWindowS, "bounds.contact_ms": float64(s.Bounds.ContactMS),
	} {
		if !(v > 0) {
			bad(key, "above 0 is wanted, not %v", v)
		}
	}
	if len(faults) > 0 {
		slices.SortFunc(faults, func(x, y error) int { return strings.Compare(x.Error(), y.Error()) })
		return nil, faults
	}
	return s, nil
}
