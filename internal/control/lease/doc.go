// Package lease implements the lease of the process that runs the singleton roles of the fleet. The replicated log names the
// holder, and the holder may act while it has a lease from a majority of the voters. Each voter grants its lease to one holder at a
// time, for a duration on its own steady clock. Leases of two majorities therefore cannot overlap (C. Gray, D. Cheriton, "Leases:
// an efficient fault-tolerant mechanism for distributed file cache consistency", 1989).
//
// Grants is the voter's side and Holder is the holder's side. The holder counts the duration from the time of its request and stops
// a margin before the end. The package assumes that the steady clocks drift apart by less than that margin during a lease. The
// fencing token of a holder is the log index of its election. It increases with each holder, and the platform rejects calls with a
// lower token than the highest it has seen.
//
// Grants are not persisted. A voter that restarts may have granted a lease before, so it waits for the duration of a lease unless
// no lease can have been granted yet. The types of the package are not safe for concurrent use.
package lease
