package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/limits"
)

// handleCall answers a peer's call, by its kind.
func (n *Node) handleCall(ctx context.Context, kind uint8, from netip.Addr, body []byte) ([]byte, error) {
	if kind == configcache.CallFetch {
		return n.handleFetch(ctx, body)
	}
	if n.replica == nil {
		return nil, errNoReplica
	}
	switch call := replica.CallKind(kind); call {
	case replica.CallPaxos, replica.CallLearn, replica.CallSnapshot, replica.CallIdentity, replica.CallJoin, replica.CallCommit:
		ctx, cancel := context.WithTimeout(ctx, limits.OperatorCallTimeout)
		defer cancel()
		return n.replica.handleCall(ctx, call, from, body)
	}
	if n.singleton != nil && singleton.OwnsCall(kind) {
		return n.singleton.handleCall(kind, body)
	}
	return nil, fmt.Errorf("unknown call %d", kind)
}

// handleFetch answers a peer that asks for the configuration, with its difference to the one that the peer has. A process
// that is no replica answers with what it holds in either mode.
func (n *Node) handleFetch(ctx context.Context, body []byte) ([]byte, error) {
	index, mode, err := replica.DecodeIndexed(body)
	if err != nil {
		return nil, err
	}
	if decodeFetchMode(mode) == fetchConfirmed && n.replica != nil {
		ctx, cancel := context.WithTimeout(ctx, limits.ReplicaCallTimeout)
		defer cancel()
		r := n.replica.operate(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
			return replica.ReadConfig{Request: id, Deadline: deadline, Passive: true}
		})
		if !r.Status.IsFinal() { // StatusNotFound is: there is none yet
			return nil, errors.New(r.Message)
		}
	}
	return n.configs.cache.EncodeReply(index), nil
}

// causeOf is what a call between processes is for, in the metrics. The kinds are numbered over all packages: replica,
// singleton and configcache; 6, 7, 12 and 13 were an operator's forwarded calls, and are not used again.
func causeOf(kind uint8) metrics.Cause {
	switch replica.CallKind(kind) {
	case replica.CallPaxos, replica.CallLearn, replica.CallCommit:
		return metrics.CausePaxos
	}
	switch kind {
	case configcache.CallFetch:
		return metrics.CauseConfigs
	case singleton.CallUsageReport, singleton.CallUsageTable:
		return metrics.CauseUsage
	case singleton.CallRenewLease, singleton.CallCheckCandidacy:
		return metrics.CauseLeases
	}
	return metrics.CauseSnapshots
}
