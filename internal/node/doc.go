// Package node runs one process of the fleet. It reads the settings, opens the sockets and the disk, starts the components
// that the settings enable, reports readiness, and shuts down gracefully. It contains no decision logic: the reducers in the
// packages under internal/control and the policy modules decide.
//
// Files:
//
//   - node.go, startup.go, shutdown.go, readiness.go: the lifecycle of the process.
//   - configsync.go: the configuration in force, and fetching a newer one.
//   - discoveryhost.go, replicahost.go (its disk in replicadisk.go), singletonhost.go: the three reducers of the control
//     plane, each with a lock, a clock, a timer and its outgoing calls. The step methods pass events to a reducer and perform
//     the effects that it returns.
//   - dataplane.go, dataplaneconfig.go, upstreamdial.go: client requests, in a process with a frontend.
//   - peercalls.go, enginecalls.go, operatorcalls.go: calls received from peers, engines and operators.
//   - usagereport.go, metrics.go, status.go: what the process reports about itself.
//
// Guarantees: a process is ready only under the newest configuration that it can find (notReadyReason). A request that was
// accepted before the shutdown is answered within grace_period_s.
//
// Lock order: singletonHost, replicaHost, configSync.applyMu, dataPlane, discoveryHost. Datagrams are sent and counted with
// the lock of discoveryHost held (countTraffic).
//
// Goroutines: Run starts all loops with a context that it cancels when it returns. It also closes the transport, which ends
// the loops that read from a socket. Run does not wait for these goroutines, because the process exits. Calls that a reducer
// requests run under the same context.
package node
