package nodeconfig

import (
	"slices"
	"time"
)

// Config holds the settings of a process.
type Config struct {
	// NodeName identifies the machine in the fleet and in logs. Required, unique.
	NodeName string `json:"node_name"`
	// Role is the role of the process in the deployment. It has no effect: Listeners and DataDir determine what a process does.
	Role string `json:"role"`
	// MachineClass is the kind of machine, edge or core. It is only logged.
	MachineClass string `json:"machine_class"`
	// Serves lists the kinds of traffic from outside the fleet: edge, control. It has no effect: Listeners determine what is
	// served.
	Serves []string `json:"serves"`
	// IPAddress is the IPv4 address of the machine for traffic between processes. Required.
	IPAddress string `json:"ip_address"`
	// Zone is the failure domain of the machine. Required. A drain is also acknowledged by processes in another zone, and traffic
	// between zones is counted separately.
	Zone string `json:"zone"`
	// Region is the group of zones to which the machine belongs. It has no effect.
	Region string `json:"region"`
	// ZoneRegions maps each zone to its region. It has no effect.
	ZoneRegions map[string]string `json:"zone_map"`
	// Listeners are the addresses on which the process listens.
	Listeners Listeners `json:"listeners"`
	// InternalPorts are the first and the last port for calls and gossip between processes, 1 to 65535. Required. A process
	// listens on the first free port of the range. It contacts seed nodes on the first port.
	InternalPorts []int `json:"internal_port_range"`
	// SeedNodes are the control_plane addresses of machines through which a new process discovers the others. One reachable
	// seed node is enough; several tolerate failures.
	SeedNodes []string `json:"seed_nodes"`
	// Bootstrap states that the fleet starts for the first time, with empty disks, so that replicas may form a new group. Default
	// false. It is ignored where a disk is not empty, because on a later start it could form a second group.
	Bootstrap bool `json:"bootstrap"`
	// QuorumMember makes the process a replica, which counts towards FaultTolerance. Default false; requires DataDir.
	QuorumMember bool `json:"quorum_member"`
	// Machine holds the resources that the process may use.
	Machine Machine `json:"request_limits"`
	// DataDir is the directory for persistent state. The default, empty, means that the process has no disk.
	DataDir string `json:"data_directory"`
	// HeartbeatIntervalMS is the interval of engines' heartbeats in milliseconds, greater than 0; default 1500. An engine is
	// considered failed half an interval after it missed limits.MissedHeartbeats heartbeats.
	HeartbeatIntervalMS int `json:"heartbeat_interval_ms"`
	// FaultTolerance is the number of simultaneous failures that the fleet must tolerate.
	FaultTolerance FaultTolerance `json:"fault_tolerance"`
	// Bounds holds the time limits and other values of the platform's rules.
	Bounds Bounds `json:"bounds"`
	// CloudAPI configures calls to the platform's API for usage reports and for ordering engines.
	CloudAPI CloudAPI `json:"cloud_api"`
}

// Listeners are the addresses with a port on which a process listens; an empty one is not used. Frontend or ControlPlane is
// required.
type Listeners struct {
	// Frontend accepts requests of clients. A process that sets it is a router.
	Frontend string `json:"frontend"`
	// Readiness serves the platform's load balancer, which asks whether clients may be sent here. Required with Frontend.
	Readiness string `json:"readiness"`
	// ControlPlane accepts calls of engines and of the operator.
	ControlPlane string `json:"control_plane"`
}

// Machine holds the resources that a process may use.
type Machine struct {
	// CPUFraction is the share of a core, greater than 0. Required. It is checked but has no effect.
	CPUFraction float64 `json:"cpu_fraction"`
	// CPUCores is the number of cores that the process sees; GOMAXPROCS is the nearest whole number, at least 1.
	CPUCores float64 `json:"cpu_cores"`
	// MemoryMB is the memory in MiB, 32 or more; a process that uses more is killed. Required. The soft limit of the Go heap is
	// 60% of it.
	MemoryMB int `json:"memory_mb"`
	// MaxOpenFiles is the number of file descriptors, 300 or more. Required. It bounds the number of connections from clients and
	// to engines.
	MaxOpenFiles int `json:"max_open_files"`
	// BandwidthMbps is the bandwidth of the machine's link, in Mbit/s. It has no effect.
	BandwidthMbps float64 `json:"bandwidth_mbps"`
	// DiskMB is the size of the disk in MB. It has no effect; limits.LogTailBytes assumes 256 MB.
	DiskMB int `json:"disk_mb"`
}

// FaultTolerance is the number of simultaneous failures that the fleet must tolerate. Each number is 0 or more; default 0.
type FaultTolerance struct {
	// Machines is the number of failed machines with QuorumMember. The group of replicas is formed with 2*Machines+1 voters. A
	// higher number tolerates more failures, but each change must then be written to more disks.
	Machines int `json:"machines"`
	// Zones is the number of failed zones. It is checked but has no effect.
	Zones int `json:"zone_map"`
	// Regions is the number of failed regions. It is checked but has no effect.
	Regions int `json:"regions"`
}

// Bounds holds the time limits and other values of the platform's rules.
type Bounds struct {
	// AddressReuseS is the time in seconds before the address of a stopped engine is assigned to another one. It has no effect:
	// each response is checked for the engine that sent it.
	AddressReuseS float64 `json:"address_reuse_s"`
	// ContactMS is the time in milliseconds that a machine must run undisturbed before the rules apply to it, greater than 0;
	// default 4000. It is checked but has no effect.
	ContactMS int `json:"contact_ms"`
	// DrainTimeoutMS is the time in milliseconds from the acknowledgement of an engine's drain after which no request may reach
	// the engine, greater than 0; default 3000. limits.DrainGrace is the part of it in which requests of known sessions may
	// still be sent.
	DrainTimeoutMS int `json:"drain_timeout_ms"`
	// GracePeriodS is the time from SIGTERM to SIGKILL in seconds, greater than 0; default 6. Requests in flight may finish
	// within it.
	GracePeriodS float64 `json:"grace_period_s"`
	// ConfigApplyMS is the time in milliseconds within which an accepted configuration must be applied; default 3000. It has no
	// effect: configurations are applied at once.
	ConfigApplyMS int `json:"config_apply_ms"`
	// LeaseMS is the term in milliseconds of the lease under which one replica calls the platform, greater than 0; default 3000. A
	// long lease delays the takeover from a failed holder; a short one is renewed more often and may expire during a slow disk
	// write.
	LeaseMS int `json:"lease_ms"`
	// FencingEnabled states that the platform rejects calls with an old fencing token. It has no effect: tokens are always sent,
	// and the lease alone prevents two concurrent callers.
	FencingEnabled bool `json:"fencing_enabled"`
	// UsageWindowS is the length of a usage report window in seconds, greater than 0; default 5.
	UsageWindowS float64 `json:"usage_window_s"`
	// UsageDelayS is the time in seconds after a window's end within which its report is due; default 10. After 0.3 of this time the
	// last counts have arrived and the window is reported.
	UsageDelayS float64 `json:"usage_delay_s"`
	// RetryBudgetRatio is the maximum ratio of retries to requests, such as 0.2. Routers use half of it.
	RetryBudgetRatio float64 `json:"retry_budget_ratio"`
	// RetryWindowS is the length in seconds of the retry budget's sliding window; 0, the default, means no retry budget.
	RetryWindowS float64 `json:"retry_window_s"`
	// RetryExtra is the number of retries per window that the whole fleet may make beyond the ratio. Routers share it.
	RetryExtra float64 `json:"retry_extra"`
}

// CloudAPI configures calls to the platform's API.
type CloudAPI struct {
	// Address is the address of the platform's API; empty, the default, disables all SingletonRoles.
	Address string `json:"address"`
	// RatePerS is the number of calls per second that the platform accepts. It has no effect: far fewer are made.
	RatePerS float64 `json:"rate_per_s"`
	// SingletonRoles are the roles that only one replica at a time performs: RoleUsage, RoleAutoscaler.
	SingletonRoles []string `json:"duties"`
	// SingletonRatePerS is the number of calls per second that the platform accepts for these roles. It has no effect: far
	// fewer are made.
	SingletonRatePerS float64 `json:"duties_per_s"`
}

// Values of CloudAPI.SingletonRoles, as the platform writes them.
const (
	RoleUsage      = "usage_reporting"
	RoleAutoscaler = "autoscaler"
)

// HasRole reports whether the fleet performs a singleton role.
func (c *CloudAPI) HasRole(role string) bool {
	return c.Address != "" && slices.Contains(c.SingletonRoles, role)
}

// HeartbeatInterval returns the interval of engines' heartbeats.
func (c *Config) HeartbeatInterval() time.Duration {
	return time.Duration(c.HeartbeatIntervalMS) * time.Millisecond
}

// IsReplica reports whether the process stores a replica of the control state.
func (c *Config) IsReplica() bool { return c.DataDir != "" && c.QuorumMember }
