// Package discovery owns what a process learns and makes known: which endpoints there are, which of them have failed, and that
// there is a new configuration. It joins packages gossip and endpoints, and adds a failure detector and acknowledged drains.
//
// # Drain acknowledgements
//
// An endpoint that reports that it is draining, or deregisters, gets its reply only after [limits.DrainAckPeers] other processes have
// acknowledged its record, in different roles and zones if there are such. What was acknowledged then survives this process.
//
// # Failure detector
//
// Heartbeats go to the replicas of the control plane alone. Each replica receives all heartbeats, directly or through gossip; one
// that is in contact with a majority of the voters suspects endpoints whose heartbeats have stopped, and only suspicions and
// refutations are disseminated to all processes. What a router sends so does not grow with the number of endpoints.
// A process that knows better refutes a suspicion, as in SWIM (Das, Gupta, Motivala, 2002).
//
// # Rejections
//
// A process without contact to the replicas rejects heartbeats, so that the endpoint sends them to another process.
//
// The package is a reducer: pure, given a steady clock, the wall time in ms since the Unix epoch, and a seed.
package discovery
