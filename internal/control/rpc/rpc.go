// Package rpc lists the kinds of calls between processes: who answers each, what its bytes are counted as, and how long its
// caller waits.
//
// The list is the only one. A process, the simulations and the tests find the owner of a call with Lookup, and an owner finds
// its handler in a Handlers table, so that a kind is delivered everywhere once it is listed here, and Handlers.Missing names
// the kinds that an owner has no handler for.
//
// Numbers stand on the wire: a new kind takes the next free one. 6, 7, 12 and 13 were an operator's forwarded calls in earlier
// releases and stay free. A process of an earlier release answers a kind that it does not know with an error.
package rpc

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/control/metrics"
	"notchhinge/internal/limits"
)

// Kind is the number of a kind of call, as it stands on the wire.
type Kind uint8

// The kinds of calls.
const (
	KindPaxos           Kind = 1  // paxos.Request, answered by paxos.Response
	KindLearn           Kind = 2  // an index and the value chosen for it; without a value, notice of a longer log
	KindSnapshot        Kind = 3  // the whole state, if it is beyond an index, in the newest format that the caller reads
	KindIdentity        Kind = 4  // answered by the identity of the replica
	KindFetchConfig     Kind = 5  // the newest configuration, as its difference to the caller's; package configcache
	KindUsageReport     Kind = 8  // from a router: usage.Report, answered by usage.Ack
	KindUsageTable      Kind = 9  // from a voter: a range of windows, answered by an encoded usage.Table
	KindJoin            Kind = 10 // identity of a learner that asks for a vote; answered by nothing, or that the group is full
	KindRenewLease      Kind = 11 // from the holder: lease.Renewal, answered by a verdict
	KindCommit          Kind = 14 // what the callee has accepted for an index under a proposal number was chosen
	KindCheckCandidacy  Kind = 15 // from a voter: lease.Candidacy, answered by a verdict
	KindCheckReachable  Kind = 16 // whether the replica at an address answers the callee: 1, or 0
	highestKind              = KindCheckReachable
	snapshotCallTimeout      = 2 * limits.ReplicaCallTimeout // also for a callee that makes a call of its own first
)

// Owner is the part of a process that answers a kind of call.
type Owner uint8

// The owners.
const (
	OwnerNone      Owner = iota // nobody: the kind is unknown
	OwnerReplica                // replica.Replica
	OwnerSingleton              // singleton.Controller
	OwnerConfigs                // the process's configurations, held by routers and replicas
)

// Spec describes a kind of call.
type Spec struct {
	Owner   Owner
	Cause   metrics.Cause // what the bytes of the call and its answer are counted as
	Timeout time.Duration // how long the caller waits; a callee need not take a call that has waited for longer
}

var specs = [highestKind + 1]Spec{
	KindPaxos:          {OwnerReplica, metrics.CausePaxos, limits.ReplicaCallTimeout},
	KindLearn:          {OwnerReplica, metrics.CausePaxos, limits.ReplicaCallTimeout},
	KindSnapshot:       {OwnerReplica, metrics.CauseSnapshots, snapshotCallTimeout},
	KindIdentity:       {OwnerReplica, metrics.CauseSnapshots, limits.ReplicaCallTimeout},
	KindFetchConfig:    {OwnerConfigs, metrics.CauseConfigs, limits.ReplicaFailoverTimeout},
	KindUsageReport:    {OwnerSingleton, metrics.CauseUsage, limits.ReplicaFailoverTimeout},
	KindUsageTable:     {OwnerSingleton, metrics.CauseUsage, limits.ReplicaCallTimeout},
	KindJoin:           {OwnerReplica, metrics.CauseSnapshots, limits.OperatorCallTimeout},
	KindRenewLease:     {OwnerSingleton, metrics.CauseLeases, limits.ReplicaCallTimeout},
	KindCommit:         {OwnerReplica, metrics.CausePaxos, limits.ReplicaCallTimeout},
	KindCheckCandidacy: {OwnerSingleton, metrics.CauseLeases, limits.ReplicaCallTimeout},
	KindCheckReachable: {OwnerReplica, metrics.CauseSnapshots, snapshotCallTimeout},
}

// Lookup returns the description of a kind of call. That of an unknown kind is counted with the configurations and has
// OwnerNone.
func Lookup(kind Kind) Spec {
	if int(kind) < len(specs) && specs[kind].Owner != OwnerNone {
		return specs[kind]
	}
	return Spec{Owner: OwnerNone, Cause: metrics.CauseConfigs, Timeout: limits.ReplicaCallTimeout}
}

// Kinds returns the kinds of calls of an owner, in the order of their numbers.
func Kinds(owner Owner) (kinds []Kind) {
	for number := range specs {
		if specs[number].Owner == owner && owner != OwnerNone {
			kinds = append(kinds, Kind(number))
		}
	}
	return kinds
}

// UnknownKindError is returned for a call of a kind that nobody here answers.
type UnknownKindError Kind

func (e UnknownKindError) Error() string { return fmt.Sprintf("unknown call %d", uint8(e)) }

// Handlers are the functions that answer the calls of one owner, by kind.
type Handlers[F any] map[Kind]F

// Lookup returns the handler of a kind, or UnknownKindError.
func (h Handlers[F]) Lookup(kind Kind) (F, error) {
	handler, ok := h[kind]
	if !ok {
		return handler, UnknownKindError(kind)
	}
	return handler, nil
}

// Mismatches returns the kinds of an owner that have no handler, and those with a handler that belong to another owner.
func (h Handlers[F]) Mismatches(owner Owner) (kinds []Kind) {
	for _, kind := range Kinds(owner) {
		if _, ok := h[kind]; !ok {
			kinds = append(kinds, kind)
		}
	}
	for kind := range h {
		if Lookup(kind).Owner != owner {
			kinds = append(kinds, kind)
		}
	}
	slices.SortFunc(kinds, cmp.Compare[Kind])
	return kinds
}
