// Package limits defines the sizes, counts and durations that bound the program.
//
// There are two kinds of limits. A [Limits] value is derived once at startup from the resources of the machine and from the
// settings ([New], [NewFleetRouter]) and is passed by value; its With methods reserve descriptors for further listeners.
// Constants are the same for every process of the fleet. A limit that several packages depend on is defined here and nowhere
// else.
//
// Sizes are in bytes unless the name says otherwise. There is a file for each subsystem: clients and upstreams (limits.go),
// bounds of client requests (request.go), descriptors and memory of a process (capacity.go), fleet routers (router.go),
// replicas of the control state (replica.go), gossip and failure detection (discovery.go), distribution of configurations
// (config.go), leases, usage and autoscaling (singleton.go), administration and hot restart (operations.go).
package limits
