// Package usage counts requests by tenant and usage window, so that the fleet can report each window to the platform.
//
// A router counts with a Meter and sends a Report to every voter of the control plane. A voter merges reports into a Table, and
// merges the tables of other voters before it has the figures of a window agreed. Counters only grow and belong to one
// incarnation of one router; a merge takes the highest value of each. Reports may therefore be lost, repeated, reordered and
// passed on between voters: the sum of a window converges to what the routers have counted. This is the grow-only counter of
// Shapiro, Preguiça, Baquero, Zawirski, "A comprehensive study of convergent and commutative replicated data types" (2011).
//
// Reports carry increments only: an Ack says which table a voter has, and a Meter leaves out what that table holds already.
//
// Windows are numbered from the Unix epoch in units of their length. The package is pure: the time of day and the steady clock
// are given. Nothing in it is safe for concurrent use. Decoders return the errors of package encoding and bound what they read.
package usage
