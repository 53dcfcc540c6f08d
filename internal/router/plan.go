package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"notchhinge/internal/config/tomlfile"

	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// apply carries a plan out: pools that are new come first, then requests are led by the new routes, and last the pools
// that nothing is led to any more begin to leave. What was led by the old routes is taken still.
func (r *Router) apply(ctx context.Context, next *reconcile.Plan) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	c := next.ChangesFrom(r.plan)
	modules := map[hoststate.PoolID]*policy.Balancer{}
	for _, q := range c.Added {
		m, err := policy.New(q.Module.Settings, q.Seed)
		if err != nil {
			return fmt.Errorf("pool %q: %w", q.Name, err)
		}
		modules[q.ID] = m
	}
	for _, q := range next.Pools {
		r.set(&q, modules[q.ID])
	}
	for _, q := range c.Added {
		r.join(ctx, &q, true)
	}
	for _, q := range c.SourceChanged {
		r.join(ctx, &q, false)
	}
	r.at.Store(next.Directory)
	for _, q := range c.Removed {
		r.loop.Post(dispatch.EndPool{Pool: q.ID})
	}
	r.plan = next
	r.generation.Add(1)
	return nil
}

// set gives a pool its parts of the process.
func (r *Router) set(q *reconcile.Pool, module *policy.Balancer) {
	r.upstream.ConfigurePool(q.ID, upstream.LoadReporting{
		Columns: q.Module.LoadReportColumns, StatsPath: len(q.Module.LoadReportColumns) > 0, InResponses: q.Module.LoadReportsInResponses,
	}, q.UpstreamConnQuota)
	r.front.ConfigurePool(q.ID, q.BodyQuota, q.ClientConnQuota)
	e := dispatch.ConfigurePool{
		Pool: q.ID, Name: q.Name, Module: module, SlowStart: q.Module.Settings.SlowStart, SlowStartInitial: q.Module.Settings.SlowStartInitial,
		Classes: traceClasses(&q.Module), RequestQuota: q.RequestQuota, TurnWeight: q.TurnWeight, RetryAfter: q.RetryAfter,
		MaxAttempts: q.Module.Settings.Limits.MaxAttempts,
	}
	if q.MaxAttempts > 0 {
		e.MaxAttempts = min(e.MaxAttempts, q.MaxAttempts)
	}
	r.loop.Post(e)
}

// join has a pool hear of its part of its discovery's list, which may be another than it had.
func (r *Router) join(ctx context.Context, q *reconcile.Pool, first bool) {
	r.mu.Lock()
	f, old := r.feeds[q.DiscoveryAddr], r.feedOf[q.ID]
	fresh := f == nil
	if fresh {
		f = listwatch.NewFeed(listwatch.Client{Addr: q.DiscoveryAddr, Limits: r.cfg.Limits, DialContext: r.dial}, r.listed)
		r.feeds[q.DiscoveryAddr] = f
	}
	r.feedOf[q.ID] = f
	r.mu.Unlock()
	if fresh && first && r.plan == nil && q.DiscoveryAddr == r.cfg.DiscoveryAddr {
		f.SetInitial(r.cfg.InitialEndpoints)
	}
	f.SetPool(q.ID, listwatch.PoolUse{Selection: q.Selection, Zones: q.Module.ZoneNames, IsNew: first})
	if fresh {
		f.Run(ctx)
		if !first || q.Name != "" && !f.HasList() {
			f.RequestWatchNow() // nothing is known of it, and the module would take its time to ask
		}
	}
	if old != nil && old != f {
		r.leave(old, q.ID)
	}
}

// leave takes a pool out of a feed, which ends with its last.
func (r *Router) leave(f *listwatch.Feed, id hoststate.PoolID) {
	if f.RemovePool(id) {
		return
	}
	f.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr, other := range r.feeds {
		if other == f {
			delete(r.feeds, addr)
		}
	}
}

// feed is where a pool has its list from.
func (r *Router) feed(id hoststate.PoolID) *listwatch.Feed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.feedOf[id]
}

// allFeeds are those there are at present.
func (r *Router) allFeeds() []*listwatch.Feed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.feeds))
}

// gone does broker.PoolGone.
func (r *Router) gone(id hoststate.PoolID) {
	r.applying.Lock()
	defer r.applying.Unlock()
	if f := r.feed(id); f != nil {
		r.leave(f, id)
	}
	r.mu.Lock()
	delete(r.feedOf, id)
	r.mu.Unlock()
	r.upstream.RemovePool(id)
	r.front.RemovePool(id)
	r.log.Info("pool ended", "id", int(id))
}

// reload takes over what a running router can: discovery's address, and services, routes and pools. What is bad changes
// nothing.
func (r *Router) reload(ctx context.Context, reread func(*reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error)) {
	cfg, next, err := reread(r.plan)
	if err == nil {
		moved := cfg.DiscoveryAddr != r.cfg.DiscoveryAddr
		c := next.ChangesFrom(r.plan)
		if err = r.apply(ctx, next); err == nil {
			r.cfg.DiscoveryAddr = cfg.DiscoveryAddr
			args := []any{"discovery", cfg.DiscoveryAddr, "moved", moved}
			if len(c.Added)+len(c.Removed)+len(c.Renamed) > 0 || len(next.Pools) > 1 {
				args = append(args, "pools", len(next.Pools), "added", len(c.Added), "ended", len(c.Removed), "renamed", len(c.Renamed),
					"routes", next.Directory.Table.Len())
			}
			r.log.Info("configuration read again", args...)
			return
		}
	}
	var faults tomlfile.Errors
	if !errors.As(err, &faults) {
		r.log.Error("configuration not taken over", "err", err)
		return
	}
	for _, f := range faults {
		r.log.Error("configuration not taken over", "file", f.File, "line", f.Line, "key", f.Key, "err", f.Message)
	}
}
