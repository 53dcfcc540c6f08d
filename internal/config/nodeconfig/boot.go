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

// Variable names the settings file.
const Variable = "NOTCHHINGE_BOOT"

// Settings are what a process is told.
type Settings struct {
	Node         string            `json:"node_name"`
	Role         string            `json:"role"`
	Class        string            `json:"machine_class"`
	Serves       []string          `json:"serves"`
	IP           string            `json:"ip_address"`
	Zone         string            `json:"zone"`
	Region       string            `json:"region"`
	Zones        map[string]string `json:"zone_map"` // regions by zone
	Listeners    Listeners         `json:"listeners"`
	Ports        []int             `json:"internal_port_range"` // first and last
	Seeds        []string          `json:"seed_nodes"`          // control_plane addresses
	Bootstrap    bool              `json:"bootstrap"`
	QuorumMember bool              `json:"quorum_member"`
	Limits       Limits            `json:"request_limits"`
	Data         string            `json:"data_directory"` // "" = no disk
	BeatMS       int               `json:"heartbeat_interval_ms"`
	Tolerance    Tolerance         `json:"fault_tolerance"`
	Bounds       Bounds            `json:"bounds"`
	Cloud        Cloud             `json:"cloud_api"`
}

// Listeners are the addresses that a process serves at; "" = it does not.
type Listeners struct {
	Frontend  string `json:"frontend"`
	Readiness string `json:"readiness"`
	Control   string `json:"control_plane"`
}

// Limits are what the machine grants.
type Limits struct {
	CPU      float64 `json:"cpu_fraction"`
	Cores    float64 `json:"cpu_cores"`
	MemoryMB int     `json:"memory_mb"`
	Files    int     `json:"max_open_files"`
	LinkMbps float64 `json:"bandwidth_mbps"`
	DiskMB   int     `json:"disk_mb"`
}

// Tolerance is what may be lost at once.
type Tolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zone_map"`
	Regions  int `json:"regions"`
}

// Bounds are the figures of the rules.
type Bounds struct {
	ReuseS       float64 `json:"address_reuse_s"`
	ContactMS    int     `json:"contact_ms"`
	DrainMS      int     `json:"drain_timeout_ms"`
	GraceS       float64 `json:"grace_period_s"`
	ConfigMS     int     `json:"config_apply_ms"`
	LeaseMS      int     `json:"lease_ms"`
	Fencing      bool    `json:"fencing_enabled"`
	UsageWindowS float64 `json:"usage_window_s"`
	UsageDelayS  float64 `json:"usage_delay_s"`
	RetryRatio   float64 `json:"retry_budget_ratio"`
	RetryWindowS float64 `json:"retry_window_s"`
	RetryExtra   float64 `json:"retry_extra"`
}

// Cloud is the platform's API.
type Cloud struct {
	Address    string   `json:"address"`
	PerS       float64  `json:"rate_per_s"`
	Duties     []string `json:"duties"`
	DutiesPerS float64  `json:"duties_per_s"`
}

// Has tells whether a duty is the fleet's.
func (c *Cloud) Has(duty string) bool { return c.Address != "" && slices.Contains(c.Duties, duty) }

// Beat is how often engines report.
func (s *Settings) Beat() time.Duration { return time.Duration(s.BeatMS) * time.Millisecond }

// Keeper tells whether the process holds the state.
func (s *Settings) Keeper() bool { return s.Data != "" && s.QuorumMember }

// Faults is everything that is wrong with a settings file.
type Faults []error

func (f Faults) Error() string {
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
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, errors.New(Variable + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(text)
	if faults, ok := err.(Faults); ok {
		for i := range faults {
			faults[i] = fmt.Errorf("%s: %w", path, faults[i])
		}
	}
	return s, err
}

// Parse checks settings, and fills in what may be left out.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{BeatMS: 1500, Bounds: Bounds{
		ContactMS: 4000, DrainMS: 3000, GraceS: 6, ConfigMS: 3000, LeaseMS: 3000, UsageWindowS: 5, UsageDelayS: 10,
	}}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, Faults{err}
	}
	var faults Faults
	bad := func(key, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: "+format, append([]any{key}, args...)...))
	}
	if s.Node == "" {
		bad("node_name", "a name is wanted")
	}
	if a, err := netip.ParseAddr(s.IP); err != nil || !a.Is4() {
		bad("ip_address", "%q is no IPv4 address", s.IP)
	}
	for key, addr := range map[string]string{
		"listeners.frontend": s.Listeners.Frontend, "listeners.readiness": s.Listeners.Readiness,
		"listeners.control_plane": s.Listeners.Control, "cloud_api.address": s.Cloud.Address,
	} {
		if _, err := netip.ParseAddrPort(addr); addr != "" && err != nil {
			bad(key, "%q is no address with a port", addr)
		}
	}
	for i, addr := range s.Seeds {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			bad(fmt.Sprintf("seed_nodes[%d]", i), "%q is no address with a port", addr)
		}
	}
	if len(s.Ports) != 2 || s.Ports[0] < 1 || s.Ports[1] < s.Ports[0] || s.Ports[1] > 65535 {
		bad("internal_port_range", "two ports from 1 to 65535 are wanted, the first not above the second: %v", s.Ports)
	}
	if s.Listeners.Frontend == "" && s.Listeners.Control == "" {
		bad("listeners", "frontend or control_plane is wanted")
	}
	if s.Listeners.Frontend != "" && s.Listeners.Readiness == "" {
		bad("listeners.readiness", "it goes with frontend")
	}
	if s.QuorumMember && s.Data == "" {
		bad("data_directory", "a member of the quorum needs a disk")
	}
	if s.Zone == "" {
		bad("zone", "a zone is wanted")
	}
	if l := s.Limits; !(l.CPU > 0) || l.MemoryMB < 32 || l.Files < 300 {
		bad("request_limits", "cpu_fraction %v, memory_mb %d, max_open_files %d: above 0, 32 or more and 300 or more are wanted",
			l.CPU, l.MemoryMB, l.Files)
	}
	if s.Tolerance.Machines < 0 || s.Tolerance.Zones < 0 || s.Tolerance.Regions < 0 {
		bad("fault_tolerance", "0 or more is wanted")
	}
	for key, v := range map[string]float64{
		"heartbeat_interval_ms": float64(s.BeatMS), "bounds.drain_timeout_ms": float64(s.Bounds.DrainMS),
		"bounds.grace_period_s": s.Bounds.GraceS, "bounds.lease_ms": float64(s.Bounds.LeaseMS),
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
