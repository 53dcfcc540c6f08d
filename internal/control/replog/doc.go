// Package replog defines the replicated log of the control plane: its entries, and the state machine that they drive. It is
// pure; package paxos chooses the value of each index, and package storage keeps it.
//
// The log is a sequence of entries with indexes 0, 1, 2 and so on. The entry at index 0 names the founding members. Each later
// one replaces the members, accepts a configuration, grants the lease of the singleton roles, records the usage of a
// window, or does nothing (a Noop). A State is the sum of the entries below its NextIndex. The same entries lead to the same
// State on every replica, in every version of the program; it can therefore be sent to a replica that lags, in place of the
// entries.
//
// The index of the entry that granted the lease is its fencing token: it rises with each grant, and a receiver that remembers
// the highest one it has seen can reject an earlier holder.
//
// Accepted configurations are kept as history, so that a repeated request of an operator is recognised as done. Recent ones
// have their whole digest; older ones are compacted to 16 bytes of it; there are at most limits.ConfigHistoryEntries of these.
//
// The binary formats of entries and states are in codec.go. They are on the wire and on disk, and stay readable by the
// previous release of the program for as long as that is possible.
package replog
