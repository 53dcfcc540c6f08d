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
	r := n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReplaceConfig{BaseRevision: on, Config: text, Of: of, Until: until}
	})
	n.log.Info("configuration call", "on", on, "bytes", len(text), "status", r.Status, "says", r.Message, "revision", r.Revision,
		"took", time.Since(began).Round(time.Millisecond).String())
	return r
}

// noKeeper is what is said where nobody who holds the state is in reach.
var noKeeper = api.Result{Status: http.StatusServiceUnavailable, Message: "no keeper answers"}

// RedirectTarget implements api.Handler: a keeper that was heard of lately, each in its turn, so that who comes again meets
// another.
func (n *Node) RedirectTarget() string {
	if n.keeper != nil {
		return ""
	}
	all := n.news.reachable()
	if len(all) == 0 {
		return ""
	}
	return n.control(all[int(n.sent.Add(1))%len(all)].Addr)
}

// control is the control address of the process at an inner one, on all machines control has the same port. "" = it can't be told.
func (n *Node) control(inner netip.AddrPort) string {
	own, err := netip.ParseAddrPort(n.cfg.Listeners.ControlPlane)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(inner.Addr(), own.Port()).String()
}

// DescribeConfig implements api.Handler.
func (n *Node) DescribeConfig(ctx context.Context) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReadConfig{Of: of, Until: until}
	})
}

// ConfigHistory implements api.Handler.
func (n *Node) ConfigHistory(ctx context.Context) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReadHistory{Of: of, Until: until}
	})
}

// RemoveMember implements api.Handler.
func (n *Node) RemoveMember(ctx context.Context, name string) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.RemoveMember{Name: name, Of: of, Until: until}
	})
}

// held has a call of the operator answered by the keeper here.
func (n *Node) held(ctx context.Context, event func(of chan api.Result, until time.Duration) replica.Event) api.Result {
	if n.keeper == nil {
		return noKeeper
	}
	ctx, cancel := context.WithTimeout(ctx, limits.OperatorCallTimeout)
	defer cancel()
	return n.keeper.operate(ctx, event)
}
