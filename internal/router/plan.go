package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// apply makes a plan the running one. It adds the new pools, then routes requests by the new routes, then ends the pools that
// are no longer in the plan. Requests that were routed before are still served by their pools.
func (r *Router) apply(ctx context.Context, next *reconcile.Plan) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	c := next.ChangesFrom(r.plan)
	modules := map[hoststate.PoolID]*policy.Balancer{}
	for _, pool := range c.Added {
		m, err := policy.New(pool.Module.Settings, pool.Seed)
		if err != nil {
			return fmt.Errorf("pool %q: %w", pool.Name, err)
		}
		modules[pool.ID] = m
	}
	for _, pool := range next.Pools {
		r.configurePool(&pool, modules[pool.ID])
	}
	for _, pool := range c.Added {
		r.attachToFeed(ctx, &pool, true)
	}
	for _, pool := range c.SourceChanged {
		r.attachToFeed(ctx, &pool, false)
	}
	r.directory.Store(next.Directory)
	for _, pool := range c.Removed {
		r.loop.Post(dispatch.EndPool{Pool: pool.ID})
	}
	r.plan = next
	r.generation.Add(1)
	return nil
}

// configurePool sets the quotas and settings of a pool in the upstream transport, the frontend and the dispatcher.
func (r *Router) configurePool(pool *reconcile.Pool, module *policy.Balancer) {
	r.upstream.ConfigurePool(pool.ID, upstream.LoadReporting{
		Columns: pool.Module.LoadReportColumns, StatsPath: len(pool.Module.LoadReportColumns) > 0, InResponses: pool.Module.LoadReportsInResponses,
	}, pool.UpstreamConnQuota)
	r.frontend.ConfigurePool(pool.ID, pool.BodyQuota, pool.ClientConnQuota)
	e := dispatch.ConfigurePool{
		Pool: pool.ID, Name: pool.Name, Module: module, SlowStart: pool.Module.Settings.SlowStart, SlowStartInitial: pool.Module.Settings.SlowStartInitial,
		Classes: traceClasses(&pool.Module), RequestQuota: pool.RequestQuota, TurnWeight: pool.TurnWeight, RetryAfter: pool.RetryAfter,
		MaxAttempts: pool.Module.Settings.Limits.MaxAttempts,
	}
	if pool.MaxAttempts > 0 {
		e.MaxAttempts = min(e.MaxAttempts, pool.MaxAttempts)
	}
	r.loop.Post(e)
}

// attachToFeed subscribes a pool to its selection of the endpoint list of its discovery address, and unsubscribes it from the
// feed that it had before. isNew states that the pool is new in the plan that is being applied.
func (r *Router) attachToFeed(ctx context.Context, pool *reconcile.Pool, isNew bool) {
	r.mu.Lock()
	f, old := r.feeds[pool.DiscoveryAddr], r.poolFeeds[pool.ID]
	isNewFeed := f == nil
	if isNewFeed {
		f = listwatch.NewFeed(listwatch.Client{Addr: pool.DiscoveryAddr, Limits: r.cfg.Limits, DialContext: r.dial}, r.postEndpoints)
		r.feeds[pool.DiscoveryAddr] = f
	}
	r.poolFeeds[pool.ID] = f
	r.mu.Unlock()
	if isNewFeed && isNew && r.plan == nil && pool.DiscoveryAddr == r.cfg.DiscoveryAddr {
		f.SetInitial(r.cfg.InitialEndpoints)
	}
	f.SetPool(pool.ID, listwatch.PoolUse{Selection: pool.Selection, Zones: pool.Module.ZoneNames, IsNew: isNew})
	if isNewFeed {
		f.Run(ctx)
		if !isNew || pool.Name != "" && !f.HasList() {
			f.RequestWatchNow() // no list is cached, and the module would request the first watch only after a delay
		}
	}
	if old != nil && old != f {
		r.detachFromFeed(old, pool.ID)
	}
}

// detachFromFeed removes a pool from a feed and stops a feed that has no pool left.
func (r *Router) detachFromFeed(f *listwatch.Feed, id hoststate.PoolID) {
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

// feed returns the endpoint list feed of a pool, or nil.
func (r *Router) feed(id hoststate.PoolID) *listwatch.Feed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolFeeds[id]
}

// allFeeds returns the feeds of all pools, each once, in no particular order.
func (r *Router) allFeeds() []*listwatch.Feed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.feeds))
}

// removePool performs dispatch.PoolEnded: it releases what the process holds for a pool.
func (r *Router) removePool(id hoststate.PoolID) {
	r.applying.Lock()
	defer r.applying.Unlock()
	if f := r.feed(id); f != nil {
		r.detachFromFeed(f, id)
	}
	r.mu.Lock()
	delete(r.poolFeeds, id)
	r.mu.Unlock()
	r.upstream.RemovePool(id)
	r.frontend.RemovePool(id)
	r.log.Info("pool ended", "id", int(id))
}

// reload loads the configuration and applies what can change while the router runs: the discovery address, services, routes and
// pools. An invalid configuration is logged and changes nothing.
func (r *Router) reload(ctx context.Context, loadPlan func(*reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error)) {
	cfg, next, err := loadPlan(r.plan)
	if err == nil {
		discoveryChanged := cfg.DiscoveryAddr != r.cfg.DiscoveryAddr
		c := next.ChangesFrom(r.plan)
		if err = r.apply(ctx, next); err == nil {
			r.cfg.DiscoveryAddr = cfg.DiscoveryAddr
			args := []any{"discovery", cfg.DiscoveryAddr, "moved", discoveryChanged}
			if len(c.Added)+len(c.Removed)+len(c.Renamed) > 0 || len(next.Pools) > 1 {
				args = append(args, "pools", len(next.Pools), "added", len(c.Added), "ended", len(c.Removed), "renamed", len(c.Renamed),
					"routes", next.Directory.Table.Len())
			}
			r.log.Info("configuration reloaded", args...)
			return
		}
	}
	var fileErrs tomlfile.Errors
	if !errors.As(err, &fileErrs) {
		r.log.Error("configuration not applied", "err", err)
		return
	}
	for _, e := range fileErrs {
		r.log.Error("configuration not applied", "file", e.File, "line", e.Line, "key", e.Key, "err", e.Message)
	}
}
