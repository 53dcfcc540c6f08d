package nodeconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Minimum resources of a process, and the highest port number.
const (
	minMemoryMB  = 32
	minOpenFiles = 300
	maxPort      = 65535
)

// validator collects the errors of a Config.
type validator struct{ errs FieldErrors }

func (v *validator) addf(key, format string, args ...any) {
	v.errs = append(v.errs, fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...)))
}

// notEmpty rejects an empty string.
func (v *validator) notEmpty(key, value string) {
	if value == "" {
		v.addf(key, "must not be empty")
	}
}

// positive rejects numbers that are not greater than 0, including NaN.
func (v *validator) positive(key string, value float64) {
	if !(value > 0) {
		v.addf(key, "must be greater than 0, not %v", value)
	}
}

// addrPort rejects a string that is not an IP address with a port.
func (v *validator) addrPort(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addf(key, "%q is not an IP address with a port", value)
	}
}

// optionalAddrPort is like addrPort but accepts an empty string.
func (v *validator) optionalAddrPort(key, value string) {
	if value != "" {
		v.addrPort(key, value)
	}
}

// validate returns all errors, sorted by key.
func (c *Config) validate() FieldErrors {
	v := &validator{}
	c.validateIdentity(v)
	c.validateAddresses(v)
	c.validateResources(v)
	c.validateBounds(v)
	slices.SortFunc(v.errs, func(x, y error) int { return strings.Compare(x.Error(), y.Error()) })
	return v.errs
}

func (c *Config) validateIdentity(v *validator) {
	v.notEmpty("node_name", c.NodeName)
	v.notEmpty("zone", c.Zone)
	if a, err := netip.ParseAddr(c.IPAddress); err != nil || !a.Is4() {
		v.addf("ip_address", "%q is not an IPv4 address", c.IPAddress)
	}
}

func (c *Config) validateAddresses(v *validator) {
	l := &c.Listeners
	v.optionalAddrPort("listeners.frontend", l.Frontend)
	v.optionalAddrPort("listeners.readiness", l.Readiness)
	v.optionalAddrPort("listeners.control_plane", l.ControlPlane)
	v.optionalAddrPort("cloud_api.address", c.CloudAPI.Address)
	for i, addr := range c.SeedNodes {
		v.addrPort(fmt.Sprintf("seed_nodes[%d]", i), addr)
	}
	if l.Frontend == "" && l.ControlPlane == "" {
		v.addf("listeners", "frontend or control_plane must be set")
	}
	if l.Frontend != "" && l.Readiness == "" {
		v.addf("listeners.readiness", "must be set if frontend is set")
	}
	if p := c.InternalPorts; len(p) != 2 || p[0] < 1 || p[1] < p[0] || p[1] > maxPort {
		v.addf("internal_port_range", "must be two ports from 1 to %d, the first no greater than the second, not %v", maxPort, p)
	}
}

func (c *Config) validateResources(v *validator) {
	if m := &c.Machine; !(m.CPUFraction > 0) || m.MemoryMB < minMemoryMB || m.MaxOpenFiles < minOpenFiles {
		v.addf("request_limits", "cpu_fraction %v, memory_mb %d, max_open_files %d: must be greater than 0, at least %d, and at least %d",
			m.CPUFraction, m.MemoryMB, m.MaxOpenFiles, minMemoryMB, minOpenFiles)
	}
	if c.QuorumMember && c.DataDir == "" {
		v.addf("data_directory", "must be set if quorum_member is true")
	}
	if t := &c.FaultTolerance; t.Machines < 0 || t.Zones < 0 || t.Regions < 0 {
		v.addf("fault_tolerance", "must be 0 or more")
	}
}

func (c *Config) validateBounds(v *validator) {
	b := &c.Bounds
	v.positive("heartbeat_interval_ms", float64(c.HeartbeatIntervalMS))
	v.positive("bounds.contact_ms", float64(b.ContactMS))
	v.positive("bounds.drain_timeout_ms", float64(b.DrainTimeoutMS))
	v.positive("bounds.grace_period_s", b.GracePeriodS)
	v.positive("bounds.lease_ms", float64(b.LeaseMS))
	v.positive("bounds.usage_window_s", b.UsageWindowS)
}
