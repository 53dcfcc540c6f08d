// Package replica implements one replica of the fleet's replicated state: the group membership, the configuration, the
// lease and the usage figures. The state is built from a log. Each log index is one Paxos instance, and there is no leader:
// any replica may propose at any time. Package paxos implements the instance, package replog the state machine.
//
// A Replica votes, proposes, catches up with other replicas, founds the group when a fleet starts for the first time, changes
// the membership and answers operators. It is a reducer, as in etcd's raft library: Reduce takes an Event and returns the
// resulting Effects. It reads no clock, starts no goroutine and does no I/O. The same Config and the same events at the same
// times produce the same effects.
//
// # Duties of the owner
//
// The owner performs the effects of each Reduce in order. In particular:
//
//  1. It makes a Write durable (synced) before it performs any later effect, and reports the result as WriteDone before any
//     other event. Effects that depend on the write are returned by Reduce(WriteDone), never together with the Write. The
//     order is therefore persist, report, send.
//  2. It reports a failed write as WriteDone{Durable: false}. Before the next write it then writes the whole of State and
//     AcceptorState, because the replica does not repeat the lost write.
//  3. It passes exactly one CallReturned to Reduce for each SendCall, with an error after Timeout at the latest.
//  4. It assigns a RequestID to every CallReceived and every operator event. Exactly one effect carries the same ID
//     (SendReply, OperatorAnswer, ProposeDone, LeaveDone). Pending holds the requests without an answer.
//  5. It delivers a Tick no later than NextTimer returns. Effects are valid until the next call of Reduce.
//
// Times are durations on a monotonic clock that the owner chooses. If a time is earlier than that of a previous event, Reduce uses
// the time of the previous event.
//
// # Guarantees
//
// A value chosen for an index is never replaced. Reads are linearizable: an answer reflects everything that was acknowledged
// before the read began. An operator's request is answered by its deadline. A group of 2f+1 voters (Config.MinVoters)
// tolerates the loss of any f at once.
//
// # References
//
// Leslie Lamport, "Paxos Made Simple" (2001), for the instances; Diego Ongaro, "Consensus: Bridging Theory and Practice"
// (2014), for snapshots, learners that catch up before they vote (4.2.1), and hand-over before a shutdown; Charapko, Ailijiang
// and Demirbas, "Linearizable Quorum Reads in Paxos" (HotStorage 2019), for reads without a leader.
package replica
