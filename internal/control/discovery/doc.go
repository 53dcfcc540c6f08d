// Package discovery distributes what processes have to know about the fleet: its endpoints and their failures, and new
// configurations. It combines packages gossip and endpoints, and adds a failure detector and acknowledged drains.
//
// # Drain acknowledgements
//
// An endpoint that reports that it is draining, or that deregisters, gets its reply only after [limits.DrainAckPeers] other processes
// have acknowledged its record. If possible, they have different roles and zones. The record then survives a failure of this process.
// Replicas acknowledge the record after they have stored it on their disks, and [Options].MinStored of them must have done so: after a
// failure of all processes, a heartbeat that was on its way must not make the endpoint live again. A replica restores the records at
// its start, and removes them when the registry drops them. Nothing is stored of endpoints that are ready.
//
// # Failure detector
//
// Heartbeats are sent only to the replicas of the control plane. Each replica receives all heartbeats, directly or through gossip.
// A replica in contact with a majority of the voters suspects endpoints whose heartbeats have stopped. Only suspicions and
// refutations are disseminated to all processes, so the traffic of a router does not grow with the number of endpoints.
// A process with a newer heartbeat refutes a suspicion, as in SWIM (Das, Gupta, Motivala, 2002).
//
// # Rejections
//
// A process without contact to the replicas rejects heartbeats, so that the endpoint sends them to another process.
//
// The package is a pure state machine, given a monotonic clock, the wall time in ms since the Unix epoch, and a seed.
package discovery
