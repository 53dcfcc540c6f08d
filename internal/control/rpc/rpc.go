// Package rpc defines the kinds of calls between processes: the owner that answers each, the cause under which its
// bytes are counted, and the timeout of its caller.
//
// Processes, simulations and tests use this table to find the owner of a call (Lookup), and an owner finds its handler
// in a Handlers table. A new kind is therefore delivered everywhere once it is listed here, and Handlers.Mismatches
// reports kinds without a handler.
//
// Kind numbers are part of the wire format: a new kind takes the next free number. The numbers 6, 7, 12 and 13 were
// used by earlier releases for forwarded operator calls and must not be reused. A process of an earlier release answers
// an unknown kind with an error.
package rpc

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/control/metrics"
	"notchhinge/internal/limits"
)

// Kind is the number of a kind of call in the wire format.
type Kind uint8

// The kinds of calls.
const (
	KindPaxos           Kind = 1  // paxos.Request, answered with paxos.Response
	KindLearn           Kind = 2  // an index and the value chosen for it; an empty value announces a longer log
	KindSnapshot        Kind = 3  // the whole state if it is beyond the given index, in the newest format that the caller reads
	KindIdentity        Kind = 4  // answered with the identity of the replica
	KindFetchConfig     Kind = 5  // the newest configuration, as a difference from the caller's; see package configcache
	KindUsageReport     Kind = 8  // from a router: usage.Report, answered with usage.Ack
	KindUsageTable      Kind = 9  // from the lease holder: a range of windows, answered with an encoded usage.Table
	KindJoin            Kind = 10 // identity of a learner that requests a vote; the answer is empty, or reports that the group is full
	KindRenewLease      Kind = 11 // from the lease holder: lease.Renewal, answered with a verdict
	KindCommit          Kind = 14 // announces that the value that the callee accepted for an index under a proposal number was chosen
	KindCheckCandidacy  Kind = 15 // from a voter: lease.Candidacy, answered with a verdict
	KindCheckReachable  Kind = 16 // whether the replica at an address answers the callee; answered with 1 or 0
	highestKind              = KindCheckReachable
	snapshotCallTimeout      = 2 * limits.ReplicaCallTimeout // for a large reply, or a callee that first makes a call of its own
)

// Owner is the component of a process that answers a kind of call.
type Owner uint8

// The owners.
const (
	OwnerNone      Owner = iota // no owner: the kind is unknown
	OwnerReplica                // replica.Replica
	OwnerSingleton              // singleton.Controller
	OwnerConfigs                // the configuration cache of a router or replica
)

// Spec describes a kind of call.
type Spec struct {
	Owner   Owner
	Cause   metrics.Cause // cause under which the bytes of the call and its answer are counted
	Timeout time.Duration // of the caller; a callee may drop a call that has been queued for longer
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

// Lookup returns the description of a kind of call. For an unknown kind it returns OwnerNone and counts the bytes as
// configurations.
func Lookup(kind Kind) Spec {
	if int(kind) < len(specs) && specs[kind].Owner != OwnerNone {
		return specs[kind]
	}
	return Spec{Owner: OwnerNone, Cause: metrics.CauseConfigs, Timeout: limits.ReplicaCallTimeout}
}

// Kinds returns the kinds of calls of an owner, in numerical order.
func Kinds(owner Owner) (kinds []Kind) {
	for number := range specs {
		if specs[number].Owner == owner && owner != OwnerNone {
			kinds = append(kinds, Kind(number))
		}
	}
	return kinds
}

// UnknownKindError is the error for a call of a kind that has no handler.
type UnknownKindError Kind

func (e UnknownKindError) Error() string { return fmt.Sprintf("unknown call %d", uint8(e)) }

// Handlers maps the kinds of calls of one owner to their handlers.
type Handlers[F any] map[Kind]F

// Lookup returns the handler of a kind, or UnknownKindError.
func (h Handlers[F]) Lookup(kind Kind) (F, error) {
	handler, ok := h[kind]
	if !ok {
		return handler, UnknownKindError(kind)
	}
	return handler, nil
}

// Mismatches returns the kinds of an owner that have no handler, and the kinds in h that belong to another owner.
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
