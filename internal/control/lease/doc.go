// Package lease decides who may act for the whole fleet. The replicated log names a holder; what makes it safe to act is the
// lease that a majority of the voters grants it. Each voter grants its own to one holder at a time, for a duration by its own
// steady clock, so two majorities cannot grant leases that overlap (C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant
// mechanism for distributed file cache consistency", 1989).
//
// Grants is a voter's side, Holder the holder's. The holder counts from when it asked and stops a margin early; the package
// assumes that steady clocks drift apart by less than that margin within a lease. The fencing token of a holder is the log index
// at which it was agreed: it grows with every new holder, and the platform rejects calls with a lower one than it has seen.
//
// Grants are not on the disk. A voter that starts may have granted a lease before and waits for the length of one, unless it is
// known that there was no holder yet. Nothing in the package is safe for concurrent use.
package lease
