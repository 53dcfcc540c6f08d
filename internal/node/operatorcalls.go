package node

import (
	"context"
	"net/netip"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

// noReplicaResult is the result of an operator call in a process that has no replica and knows none to redirect to.
var noReplicaResult = api.Result{Status: api.StatusUnavailable, Message: "no replica answers"}

// ReplaceConfig implements api.Handler.
func (n *Node) ReplaceConfig(ctx context.Context, base uint64, encoded []byte) api.Result {
	began := time.Now()
	r := n.callReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.ReplaceConfig{BaseRevision: base, Config: encoded, Request: id, Deadline: deadline}
	})
	n.log.Info("configuration replace call", "base_revision", base, "bytes", len(encoded), "status", int(r.Status), "answer", r.Message,
		"revision", r.Revision, "duration", time.Since(began).Round(time.Millisecond).String())
	return r
}

// DescribeConfig implements api.Handler.
func (n *Node) DescribeConfig(ctx context.Context) api.Result {
	return n.callReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.ReadConfig{Request: id, Deadline: deadline}
	})
}

// ConfigHistory implements api.Handler.
func (n *Node) ConfigHistory(ctx context.Context) api.Result {
	return n.callReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.ReadHistory{Request: id, Deadline: deadline}
	})
}

// RemoveMember implements api.Handler.
func (n *Node) RemoveMember(ctx context.Context, name string) api.Result {
	return n.callReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.RemoveMember{Name: name, Request: id, Deadline: deadline}
	})
}

// callReplica passes an operator call to the replica of this process and returns its result.
func (n *Node) callReplica(ctx context.Context, event operatorEvent) api.Result {
	if n.replica == nil {
		return noReplicaResult
	}
	ctx, cancel := context.WithTimeout(ctx, limits.OperatorCallTimeout)
	defer cancel()
	return n.replica.handleOperatorCall(ctx, event)
}

// RedirectTarget implements api.Handler. It rotates through the replicas that are likely to respond, so that a caller that
// retries is redirected to another one.
func (n *Node) RedirectTarget() string {
	if n.replica != nil {
		return ""
	}
	replicas := n.discovery.responsiveReplicas()
	if len(replicas) == 0 {
		return ""
	}
	return n.controlAddr(replicas[int(n.redirects.Add(1))%len(replicas)].Addr)
}

// controlAddr returns the control address of the process at an internal address. The control port is the same on all
// machines; a process without a control listener does not know it and returns "".
func (n *Node) controlAddr(internal netip.AddrPort) string {
	own, err := netip.ParseAddrPort(n.cfg.Listeners.ControlPlane)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(internal.Addr(), own.Port()).String()
}
