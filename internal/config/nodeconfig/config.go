package nodeconfig

import (
	"slices"
	"time"
)

// Config is the settings of a process.
type Config struct {
	// NodeName identifies the machine in the fleet and in logs. Required, unique.
	NodeName string `json:"node_name"`
	// Role is the role that this process runs in the deployment. It has no effect: what a process does follows from Listeners
	// and DataDir.
	Role string `json:"role"`
	// MachineClass is the kind of machine, edge or core. It is logged only.
	MachineClass string `json:"machine_class"`
	// Serves names who may call the role from outside: edge, control. It has no effect; Listeners decide.
	Serves []string `json:"serves"`
	// IPAddress is the machine's IPv4 address, at which it talks to other processes. Required.
	IPAddress string `json:"ip_address"`
	// Zone is the failure domain of the machine. Required. Drains are acknowledged by processes in another zone as well, and
	// traffic between zones is counted apart.
	Zone string `json:"zone"`
	// Region is the group of zones that the machine is in. It has no effect.
	Region string `json:"region"`
	// ZoneRegions has the region of every zone. It has no effect.
	ZoneRegions map[string]string `json:"zone_map"`
	// Listeners are the addresses that the process serves.
	Listeners Listeners `json:"listeners"`
	// InternalPorts are the first and the last port for calls and gossip between processes, 1 to 65535. Required. A process
	// takes the first free one, and looks for others at their first.
	InternalPorts []int `json:"internal_port_range"`
	// SeedNodes are control_plane addresses of machines that a new process asks for others. One that can be reached is
	// enough; more allow for failed ones.
	SeedNodes []string `json:"seed_nodes"`
	// Bootstrap says that the fleet starts for the first time, with empty disks, so that replicas may found the group. Default
	// false. True on a later start could found a second group and is therefore ignored where a disk is not empty.
	Bootstrap bool `json:"bootstrap"`
	// QuorumMember says that the machine counts for FaultTolerance: it becomes a replica. Default false; needs DataDir.
	QuorumMember bool `json:"quorum_member"`
	// Machine is what the process may use.
	Machine Machine `json:"request_limits"`
	// DataDir is the directory of the disk; empty, the default, means that there is none.
	DataDir string `json:"data_directory"`
	// HeartbeatIntervalMS is the interval of engines' heartbeats, in milliseconds, above 0; default 1500. An engine has failed
	// after limits.MissedHeartbeats and a half.
	HeartbeatIntervalMS int `json:"heartbeat_interval_ms"`
	// FaultTolerance is what may be lost at once.
	FaultTolerance FaultTolerance `json:"fault_tolerance"`
	// Bounds are the times and figures of the platform's rules.
	Bounds Bounds `json:"bounds"`
	// CloudAPI is the platform's API for usage reports and for ordering engines.
	CloudAPI CloudAPI `json:"cloud_api"`
}

// Listeners are addresses with a port that a process serves; an empty one is not served. Frontend or ControlPlane is
// required.
type Listeners struct {
	// Frontend takes requests of clients. It makes the process a router.
	Frontend string `json:"frontend"`
	// Readiness tells the platform's load balancer whether clients may be sent here. Required with Frontend.
	Readiness string `json:"readiness"`
	// ControlPlane takes calls of engines and of the operator.
	ControlPlane string `json:"control_plane"`
}

// Machine is what the machine grants to the process.
type Machine struct {
	// CPUFraction is the share of a core, above 0. Required. It is checked only.
	CPUFraction float64 `json:"cpu_fraction"`
	// CPUCores is the number of cores that the process sees; GOMAXPROCS is the nearest whole number, at least 1.
	CPUCores float64 `json:"cpu_cores"`
	// MemoryMB is the memory in MiB, 32 or more; above it the process is killed. Required. The soft limit of the Go heap is
	// 60% of it.
	MemoryMB int `json:"memory_mb"`
	// MaxOpenFiles is the number of file descriptors, 300 or more. Required. It bounds the connections of clients and to engines.
	MaxOpenFiles int `json:"max_open_files"`
	// BandwidthMbps is the bandwidth of the machine's link, in Mbit/s. It has no effect.
	BandwidthMbps float64 `json:"bandwidth_mbps"`
	// DiskMB is the size of the disk in MB. It has no effect; limits.LogTailBytes is chosen for 256.
	DiskMB int `json:"disk_mb"`
}

// FaultTolerance is what may be lost at once while the fleet goes on. Each is 0 or more; default 0.
type FaultTolerance struct {
	// Machines is the number of machines with QuorumMember. The group of replicas is founded with two voters for each, and one.
	// More survive more losses, and make every change wait for more disks.
	Machines int `json:"machines"`
	// Zones is the number of zones. It is checked only.
	Zones int `json:"zone_map"`
	// Regions is the number of regions. It is checked only.
	Regions int `json:"regions"`
}

// Bounds are the times and figures of the platform's rules.
type Bounds struct {
	// AddressReuseS is how long the address of an ended engine is not given to another, in seconds. It has no effect:
	// responses are checked for the engine that gave them.
	AddressReuseS float64 `json:"address_reuse_s"`
	// ContactMS is how long a machine must have run undisturbed before the rules bind it, in milliseconds, above 0; default
	// 4000. It is checked only.
	ContactMS int `json:"contact_ms"`
	// DrainTimeoutMS is the time within which no request may reach an engine after its drain was acknowledged, in milliseconds,
	// above 0; default 3000. Known sessions may go on for limits.DrainGrace of it.
	DrainTimeoutMS int `json:"drain_timeout_ms"`
	// GracePeriodS is the time from SIGTERM to SIGKILL, in seconds, above 0; default 6. Requests in flight may finish within it.
	GracePeriodS float64 `json:"grace_period_s"`
	// ConfigApplyMS is the time within which an accepted configuration takes effect, in milliseconds; default 3000. It has no
	// effect: configurations are applied at once.
	ConfigApplyMS int `json:"config_apply_ms"`
	// LeaseMS is the term of the lease under which one replica calls the platform, in milliseconds, above 0; default 3000. A long
	// one delays the takeover from a failed holder; a short one must be renewed more often and is lost to a slow disk.
	LeaseMS int `json:"lease_ms"`
	// FencingEnabled says that the platform rejects calls with an old fencing token. It has no effect: tokens are always sent,
	// and the lease alone excludes two callers.
	FencingEnabled bool `json:"fencing_enabled"`
	// UsageWindowS is the length of a window of usage reports, in seconds, above 0; default 5.
	UsageWindowS float64 `json:"usage_window_s"`
	// UsageDelayS is the time after a window's end within which its report is due, in seconds; default 10. A window is reported
	// after 0.3 of it, so that the last counts have arrived.
	UsageDelayS float64 `json:"usage_delay_s"`
	// RetryBudgetRatio is the retry budget: the share of requests that may be sent again, such as 0.2. Routers use half of it.
	RetryBudgetRatio float64 `json:"retry_budget_ratio"`
	// RetryWindowS is the sliding window that the retry budget is counted in, in seconds; 0, the default, sets no retry budget.
	RetryWindowS float64 `json:"retry_window_s"`
	// RetryExtra is the number of retries within a window beyond the ratio, of the whole fleet. Routers share it.
	RetryExtra float64 `json:"retry_extra"`
}

// CloudAPI is the platform's API.
type CloudAPI struct {
	// Address is where the platform is called; empty, the default, disables all of SingletonRoles.
	Address string `json:"address"`
	// RatePerS is the number of calls a second that the platform accepts. It has no effect: far fewer are made.
	RatePerS float64 `json:"rate_per_s"`
	// SingletonRoles are the roles that one replica at a time has towards the platform: RoleUsage, RoleAutoscaler.
	SingletonRoles []string `json:"duties"`
	// SingletonRatePerS is the number of calls a second that the platform accepts for these. It has no effect, as RatePerS.
	SingletonRatePerS float64 `json:"duties_per_s"`
}

// The singleton roles, as the platform names them.
const (
	RoleUsage      = "usage_reporting"
	RoleAutoscaler = "autoscaler"
)

// HasRole reports whether a singleton role is the fleet's.
func (c *CloudAPI) HasRole(role string) bool {
	return c.Address != "" && slices.Contains(c.SingletonRoles, role)
}

// HeartbeatInterval is the interval of engines' heartbeats.
func (c *Config) HeartbeatInterval() time.Duration {
	return time.Duration(c.HeartbeatIntervalMS) * time.Millisecond
}

// IsReplica reports whether the process holds the control state.
func (c *Config) IsReplica() bool { return c.DataDir != "" && c.QuorumMember }
