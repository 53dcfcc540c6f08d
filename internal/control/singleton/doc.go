// Package singleton runs the roles that exactly one process has for the whole fleet: reporting usage to the platform and scaling
// engines.
//
// Each replica of the control plane has a Controller. The Controllers of the voters elect a lease holder through the replicated log
// and grant it a lease by majority (package lease). All Controllers merge the usage reports of routers (package usage). The holder
// commits the counts of each usage window to the log, reports them to the platform, and orders the targets of package autoscale.
//
// Guarantees: the holder calls the platform only while its lease has enough time left for the call. Each call carries the
// holder's fencing token. At most one proposal or platform call is in flight. Once the counts of a window are committed, they are
// sent unchanged until the platform accepts them.
//
// A Controller is a reducer: given the clocks, a seed and the results of its effects, the same events produce the same effects.
// Its owner performs calls between processes, proposals and platform calls, and writes the log messages. The steady clock is a
// time.Duration since an arbitrary origin and is never zero. The time of day is used only for usage windows.
package singleton
