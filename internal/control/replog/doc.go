// Package replog defines the replicated log of the control plane: its entries and the state machine that applies them. The
// package performs no I/O; package paxos chooses the value of each index, and package storage persists it.
//
// The log is a sequence of entries with indexes 0, 1, 2 and so on. The entry at index 0 lists the founding members. Each later
// entry replaces the members, accepts a configuration, grants the lease of the singleton roles, records the usage of a
// window, or does nothing (a Noop). A State is the result of applying all entries below its NextIndex. Every replica, at every
// version of the program, derives the same State from the same entries. A State can therefore be sent to a lagging replica in
// place of the entries.
//
// The index of the entry that granted the lease is its fencing token. It increases with each grant, so a receiver that
// remembers the highest token it has seen can reject an earlier holder.
//
// The state keeps a history of accepted configurations, so that an operator's repeated request is recognised as already done.
// Recent entries of the history have the whole digest. Older ones are compacted to the first 16 bytes of the digest; the state
// keeps at most limits.ConfigHistoryEntries compacted ones.
//
// The binary formats of entries and states are in codec.go. They are used on the wire and on disk, and the previous release of
// the program must be able to read them wherever possible.
package replog
