// Package replica implements one replica of the replicated state on which the fleet agrees: membership of the group, the
// configuration, the lease holder, usage figures. The state is a log, one Paxos instance an index, without a leader: any
// replica may propose at any time (packages paxos and replog hold the instance and the state machine).
//
// A Replica votes, proposes, catches up with others, founds the group at the first start of a fleet, changes the membership
// and answers operators. It is a reducer in the manner of etcd's raft library: Reduce takes an Event and returns the Effects
// that follow. It reads no clock, starts no goroutine, does no I/O. Given the same Config, the same events at the same times
// lead to the same effects.
//
// # Duties of the owner
//
// The owner performs the effects of one Reduce in their order, and in particular:
//
//  1. A Write is made durable (synced) before the effects behind it are looked at. Its result is handed back as WriteDone
//     before any other event. Effects that must not leave before the disk has a write are returned by Reduce(WriteDone),
//     never beside the Write. So the order is: persist, report, then send.
//  2. A write that fails is reported with WriteDone{Durable: false}. Before the next write is made after that, the owner
//     writes the whole of State and AcceptorState, since the replica does not repeat what was lost.
//  3. A SendCall leads to exactly one CallReturned with its ID, with an error at the latest after Timeout.
//  4. A CallReceived, and every event of an operator, carries a RequestID that the owner has chosen. It comes back in exactly
//     one effect (SendReply, OperatorAnswer, ProposeDone, LeaveDone). Pending keeps what waits for it.
//  5. Tick is handed in no later than NextTimer says. Effects are valid until the next call of Reduce.
//
// Times are durations on a steady clock of the owner's choice, and never go back; a time that does is taken for the latest.
//
// # What a replica promises
//
// A value that was chosen for an index is never replaced. A read that is answered is linearizable: the answer is no older than
// anything that was acknowledged before the read began. An operator's request has an answer by its deadline. Of 2f+1 voters
// (Config.MinVoters) any f may be lost at once.
//
// # Sources
//
// Leslie Lamport, "Paxos Made Simple" (2001), for the instances; Diego Ongaro, "Consensus: Bridging Theory and Practice"
// (2014), for snapshots, learners that catch up before they vote (4.2.1), and hand-over before a shutdown; Charapko, Ailijiang
// and Demirbas, "Linearizable Quorum Reads in Paxos" (HotStorage 2019), for reads without a leader.
package replica
