// Package limits holds every size, count and duration that bounds the program, with its unit and the reason for its value.
//
// Two kinds of limit live here. A [Limits] value is derived once at start from what the machine grants and what the settings
// ask for ([New], [NewFleetRouter]) and is handed down by value; With methods set descriptors aside for further listeners.
// Constants are the same for every process of the fleet. Nothing else in the program defines a limit that another package
// depends on.
//
// Sizes are in bytes unless the name says otherwise. The files follow the subsystems: clients and upstreams (limits.go),
// what a request may hold (request.go), descriptors and memory of a process (capacity.go), fleet routers (router.go),
// replicas of the control state (replica.go), gossip and failure detection (discovery.go), distribution of configurations
// (config.go), leases, usage and autoscaling (singleton.go), administration and hot restart (operations.go).
package limits
