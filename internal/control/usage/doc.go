// Package usage counts requests by tenant and usage window, so that the fleet can report each window to the platform.
//
// A router counts requests with a Meter and sends a Report to every replica of the control plane. A replica merges reports into a
// Table. The lease holder also merges the tables of the other replicas, before the counts of a window are committed to the log.
// Counters only grow and belong to one incarnation of one router; a merge takes the maximum of each. Reports may therefore be lost,
// repeated, reordered and forwarded between replicas, and the sum of a window still converges to the counts of the routers. This is
// the grow-only counter of Shapiro, Preguiça, Baquero, Zawirski, "A comprehensive study of convergent and commutative replicated
// data types" (2011).
//
// A Report contains only counters that the replica has not acknowledged. Each Ack identifies the replica's table, so a Meter sends
// all counters again to a replica with a new table.
//
// Windows are numbered from the Unix epoch in units of their length. The package performs no I/O and reads no clock; callers pass
// the time of day and the steady clock. Its types are not safe for concurrent use. Decoders return the errors of package encoding
// and limit the size of what they decode.
package usage
