// Package node is one process of the fleet. It reads the settings, opens the sockets and the disk, starts the parts that
// the settings ask for, reports readiness, and shuts down gracefully. It decides nothing itself: decisions are those of the
// reducers in the packages under internal/control and of the policy modules.
//
// What it owns:
//
//   - node.go, startup.go, shutdown.go, readiness.go: the start and the end of the process.
//   - configsync.go: which configuration is in force here, and how a newer one is fetched.
//   - discoveryhost.go, replicahost.go (its disk in replicadisk.go), singletonhost.go: the three reducers of the control
//     plane, each under one lock, with its clock, its timer and its calls. Events go in by step, effects are carried out.
//   - dataplane.go, dataplaneconfig.go, upstreamdial.go: the client's requests, in a process with a frontend.
//   - peercalls.go, enginecalls.go, operatorcalls.go: who answers a call of a peer, an engine, an operator.
//   - usagereport.go, metrics.go, status.go: what the process reports of itself.
//
// What it promises: a process is ready only with the newest configuration that it can learn of (notReadyReason); a request
// that was accepted before shutdown is answered, within grace_period_s.
//
// Locks are taken in this order only: the singleton's, the replica's, configSync.applyMu, the data plane's, the discovery's.
// Datagrams are sent, and counted, with the discovery's lock held (countTraffic).
//
// Goroutines: Run starts all loops with a context that it cancels as it returns, and closes the transport, which ends those
// that read from a socket. Nobody waits for them beyond that, since the process ends then. Calls that effects ask for run
// under the same context.
package node
