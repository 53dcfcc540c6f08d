package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/metrics"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/limits"
)

var errNotReplica = errors.New("no state is held here")

// handleCall answers another process.
func (n *Node) handleCall(ctx context.Context, kind uint8, from netip.Addr, body []byte) ([]byte, error) {
	if kind == configcache.CallFetch {
		place, how, err := replica.DecodeIndexed(body)
		if err != nil {
			return nil, err
		}
		if len(how) > 0 && how[0] == fetchConfirmed && n.replica != nil {
			ctx, cancel := context.WithTimeout(ctx, limits.ReplicaCallTimeout)
			defer cancel()
			r := n.replica.operate(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
				return replica.ReadConfig{Request: id, Deadline: deadline, Passive: true}
			})
			if r.Status >= http.StatusInternalServerError { // 404: there is none yet
				return nil, errors.New(r.Message)
			}
		}
		return n.configCache.EncodeReply(place), nil
	}
	k := n.replica
	if k == nil {
		return nil, errNotReplica
	}
	switch call := replica.CallKind(kind); call {
	case replica.CallPaxos, replica.CallLearn, replica.CallSnapshot, replica.CallIdentity, replica.CallJoin, replica.CallCommit:
		ctx, cancel := context.WithTimeout(ctx, limits.OperatorCallTimeout)
		defer cancel()
		return k.handleCall(ctx, call, from, body)
	}
	if n.singleton != nil && singleton.OwnsCall(kind) {
		return n.singleton.handleCall(kind, body)
	}
	return nil, fmt.Errorf("call %d is not known here", kind)
}

// causeOf is what a call is for. The kinds of calls between processes are those of the state (core), of the duties (duty) and
// of configurations (texts); 6, 7, 12 and 13 were the operator's, passed on.
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
