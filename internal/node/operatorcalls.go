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

// Replace implements api.Handler.
func (n *Node) Replace(ctx context.Context, on uint64, text []byte) api.Result {
	began := time.Now()
	r := n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReplaceConfig{BaseRevision: on, Config: text, Of: of, Until: until}
	})
	n.log.Info("configuration call", "on", on, "bytes", len(text), "status", r.Status, "says", r.Says, "revision", r.Rev,
		"took", time.Since(began).Round(time.Millisecond).String())
	return r
}

// noKeeper is what is said where nobody who holds the state is in reach.
var noKeeper = api.Result{Status: http.StatusServiceUnavailable, Says: "no keeper answers"}

// Elsewhere implements api.Handler: a keeper that was heard of lately, each in its turn, so that who comes again meets
// another.
func (n *Node) Elsewhere() string {
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
	own, err := netip.ParseAddrPort(n.cfg.Listeners.Control)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(inner.Addr(), own.Port()).String()
}

// Describe implements api.Handler.
func (n *Node) Describe(ctx context.Context) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReadConfig{Of: of, Until: until}
	})
}

// History implements api.Handler.
func (n *Node) History(ctx context.Context) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.ReadHistory{Of: of, Until: until}
	})
}

// Dismiss implements api.Handler.
func (n *Node) Dismiss(ctx context.Context, name string) api.Result {
	return n.held(ctx, func(of chan api.Result, until time.Duration) replica.Event {
		return replica.RemoveMember{Name: name, Of: of, Until: until}
	})
}

// held has a call of the operator answered by the keeper here.
func (n *Node) held(ctx context.Context, event func(of chan api.Result, until time.Duration) replica.Event) api.Result {
	if n.keeper == nil {
		return noKeeper
	}
	ctx, cancel := context.WithTimeout(ctx, limits.NodeSettle)
	defer cancel()
	return n.keeper.operate(ctx, event)
}
