// Package singleton runs the roles that one process has for the whole fleet: it reports usage to the platform and orders engines.
//
// Each voter of the control plane has a Controller. Controllers have a lease holder agreed in the replicated log, grant it a
// lease by majority (package lease), and merge what routers report (package usage). The holder has the figures of each usage
// window agreed and reported, and the targets of package autoscale ordered.
//
// Promises: nothing is sent to the platform except under a lease with enough time left for the call; each call carries the
// fencing token of its holder; at most one proposal or platform call is in flight; the figures of a window that were agreed are
// sent unchanged until the platform has taken them.
//
// A Controller is a reducer: given clocks, a seed and the outcome of its effects, the same events lead to the same effects. Calls
// between processes, proposals, calls to the platform and the log are its owner's. The steady clock is a time.Duration from any
// origin that is not zero; the time of day is used only for usage windows.
package singleton
