package node

import (
	"context"
	"net/netip"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

// noReplicaAnswers is the answer where this process is no replica and knows none that it could redirect to.
var noReplicaAnswers = api.Result{Status: api.StatusUnavailable, Message: "no replica answers"}

// ReplaceConfig implements api.Handler.
func (n *Node) ReplaceConfig(ctx context.Context, base uint64, encoded []byte) api.Result {
	began := time.Now()
	r := n.askReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.ReplaceConfig{BaseRevision: base, Config: encoded, Request: id, Deadline: deadline}
	})
	n.log.Info("configuration replace call", "base_revision", base, "bytes", len(encoded), "status", int(r.Status), "answer", r.Message,
		"revision", r.Revision, "duration", time.Since(began).Round(time.Millisecond).String())
	return r
}

// DescribeConfig implements api.Handler.
func (n *Node) DescribeConfig(ctx context.Context) api.Result {
	return n.askReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.ReadConfig{Request: id, Deadline: deadline}
	})
}

// ConfigHistory implements api.Handler.
func (n *Node) ConfigHistory(ctx context.Context) api.Result {
	return n.askReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.ReadHistory{Request: id, Deadline: deadline}
	})
}

// RemoveMember implements api.Handler.
func (n *Node) RemoveMember(ctx context.Context, name string) api.Result {
	return n.askReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.RemoveMember{Name: name, Request: id, Deadline: deadline}
	})
}

// askReplica has an operator's call answered by the replica here.
func (n *Node) askReplica(ctx context.Context, event operatorEvent) api.Result {
	if n.replica == nil {
		return noReplicaAnswers
	}
	ctx, cancel := context.WithTimeout(ctx, limits.OperatorCallTimeout)
	defer cancel()
	return n.replica.operate(ctx, event)
}

// RedirectTarget implements api.Handler. Replicas that are likely to answer are named in turn, so that a caller that comes
// again meets another one.
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

// controlAddr is the control address of the process at an internal address: the control port is the same on all machines.
// "" = this process has none, so that the port is not known.
func (n *Node) controlAddr(internal netip.AddrPort) string {
	own, err := netip.ParseAddrPort(n.cfg.Listeners.ControlPlane)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(internal.Addr(), own.Port()).String()
}
