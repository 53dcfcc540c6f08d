// Package paxos chooses one value for each index of a replicated log, among a set of voters and without a leader. Each
// index is one instance of the single-decree algorithm of Lamport, "Paxos Made Simple" (2001), and the names follow that
// paper: proposers issue proposals under ordered proposal numbers, acceptors answer prepare and accept requests, and a value
// that a quorum of acceptors has accepted under one number is chosen.
//
// The package contains the two roles only. Acceptor holds the state that an acceptor must keep, and Proposer runs one
// proposal through its prepare and accept phases. The package does no I/O, reads no clock, and treats values as opaque bytes.
// The caller carries requests and responses between the voters and keeps the log.
//
// # Guarantees
//
// At most one value is chosen for an index. Any number of proposers may work on an index at the same time. Once a value is
// chosen, every later proposal for that index that reaches its accept phase proposes the same value.
//
// # Duties of the caller
//
//   - When Acceptor.Handle reports a changed state, that state is synced to disk before the response is sent. Without this,
//     an acceptor that restarts can break a promise, and two values can be chosen for one index.
//   - No two proposals carry the same ProposalNumber: terms only rise, and a process draws a new proposer id when it starts.
//   - All proposals for an index have the same voters. The log guarantees this: an acceptor accepts only at the first index
//     that it has not learned, and has then learned all earlier entries, which determine the voters.
package paxos
