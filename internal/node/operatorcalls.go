package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

// ReplaceConfig implements api.Handler.
func (n *Node) ReplaceConfig(ctx context.Context, on uint64, text []byte) api.Result {
	began := time.Now()
	r := n.askReplica(ctx, func(id replica.RequestID, deadline time.Duration) replica.Event {
		return replica.ReplaceConfig{BaseRevision: on, Config: text, Request: id, Deadline: deadline}
	})
	n.log.Info("configuration call", "on", on, "bytes", len(text), "status", r.Status, "says", r.Message, "revision", r.Revision,
		"took", time.Since(began).Round(time.Millisecond).String())
	return r
}

// noReplica is what is said where nobody who holds the state is in reach.
var noReplica = api.Result{Status: http.StatusServiceUnavailable, Message: "no keeper answers"}

// RedirectTarget implements api.Handler: a keeper that was heard of lately, each in its turn, so that who comes again meets
// another.
func (n *Node) RedirectTarget() string {
	if n.replica != nil {
		return ""
	}
	all := n.discovery.reachableReplicas()
	if len(all) == 0 {
		return ""
	}
	return n.controlAddr(all[int(n.redirects.Add(1))%len(all)].Addr)
}

// controlAddr is the control address of the process at an inner one, on all machines control has the same port. "" = it can't be told.
func (n *Node) controlAddr(inner netip.AddrPort) string {
	own, err := netip.ParseAddrPort(n.cfg.Listeners.ControlPlane)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(inner.Addr(), own.Port()).String()
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

// askReplica has a call of the operator answered by the keeper here.
func (n *Node) askReplica(ctx context.Context, event func(id replica.RequestID, deadline time.Duration) replica.Event) api.Result {
	if n.replica == nil {
		return noReplica
	}
	ctx, cancel := context.WithTimeout(ctx, limits.OperatorCallTimeout)
	defer cancel()
	return n.replica.operate(ctx, event)
}
