// Package paxos chooses one value for each index of a replicated log, among a set of voters and without a leader. Each
// index is one instance of the single-decree algorithm of Lamport, "Paxos Made Simple" (2001), with his terms: proposers
// issue proposals under ordered proposal numbers, acceptors answer prepare and accept requests, and a value that a quorum
// of acceptors has accepted under one number is chosen.
//
// The package owns the two roles and nothing else. Acceptor holds what an acceptor must never forget, and Proposer runs one
// proposal through its prepare and accept phases. It does no I/O, has no clock, and treats values as opaque bytes. The
// caller carries requests and responses between the voters and keeps the log.
//
// # Promises
//
// At most one value is chosen for an index. Any number of proposers may work on an index at the same time. Once a value is
// chosen, every later proposal for that index that reaches its accept phase proposes the same value.
//
// # What the caller owes
//
//   - When Acceptor.Handle reports a changed state, that state is synced to disk before the response leaves. Without this,
//     an acceptor that restarts can break a promise, and two values can be chosen for one index.
//   - No two proposals carry the same ProposalNumber: terms only rise, and a process draws a new proposer id when it starts.
//   - Every voter of a proposal has the same view of who votes at that index. The log guarantees it: an acceptor accepts only
//     at the first index that it has not learned, and all earlier entries, which set the voters, are then known to it.
package paxos
