package node

import (
	"fmt"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/dialect"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// applyConfig puts a configuration in force if its log index is higher than that of the current one. Requests in flight
// continue under the configuration that they began with.
func (d *dataPlane) applyConfig(index uint64, c *fleetconfig.Config) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.routes.Load()
	if old != nil && old.LogIndex >= index {
		return nil
	}
	var before map[string]*dialect.Service
	if old != nil {
		before = old.Services()
	}
	next := dialect.Compile(c, dialect.CompileOptions{
		LogIndex: index, Previous: before, NextPool: &d.nextPool, Yield: func() { time.Sleep(limits.ConfigYieldPause) },
	})
	if err := d.configurePools(next.Services()); err != nil {
		return err
	}
	d.applyRequestLimits(&c.RequestLimits)
	d.routes.Store(next)
	for name, s := range before {
		if next.Services()[name] == nil {
			d.loop.Post(dispatch.EndPool{Pool: s.ID})
		}
	}
	d.publishEndpoints()
	d.log.Info("configuration applied", "revision", c.Revision, "index", index, "routes", len(c.Routes), "services", len(c.Services))
	return nil
}

// applyRequestLimits applies the configured limits of client messages, reduced to the capacity of this machine. It logs a
// reduction only when the limits change, because configurations can arrive many times a second.
func (d *dataPlane) applyRequestLimits(l *fleetconfig.RequestLimits) {
	bounds, isReduced := d.limits.ConfiguredBounds(l.MaxHeaderBytes, l.MaxBodyBytes, fleetconfig.Milliseconds(l.HeaderTimeoutMS), fleetconfig.Milliseconds(l.IdleTimeoutMS))
	previous := d.bounds.Swap(&bounds)
	if isReduced && (previous == nil || *previous != bounds) {
		d.log.Warn("request_limits reduced to what this machine holds", "max_header_bytes", bounds.HeaderBytes, "max_body_bytes",
			bounds.BodyBytes, "header_timeout", bounds.ReadTimeout.String(), "idle_timeout", bounds.IdleTimeout.String())
	}
}

// configurePools creates the pools of services that have got their first route, and adds the request classes that the policy modules
// of existing pools lack. A service without a route has no pool: a module keeps its classes for good, and which requests may be
// retried is known with the first route only. If a module cannot be created, no pool changes. d.mu is held.
func (d *dataPlane) configurePools(services map[string]*dialect.Service) error {
	created := map[hoststate.PoolID]*policy.Balancer{}
	for _, s := range services {
		if d.pools[s.ID] != nil || len(s.Classes) == 0 {
			continue
		}
		m, err := policy.New(dialect.PolicySettings(s.Classes, d.drainGrace, d.limits.MaxAttempts), d.seed^uint64(s.ID))
		if err != nil {
			return fmt.Errorf("service %q: %w", s.Name, err)
		}
		created[s.ID] = m
	}
	for _, s := range services {
		pool := d.pools[s.ID]
		switch m := created[s.ID]; {
		case m != nil:
			d.createPool(s, m)
		case pool != nil && len(s.Classes) > pool.classCount:
			d.loop.Post(dispatch.AddClasses{Pool: s.ID, Classes: s.Classes})
			pool.classCount = len(s.Classes)
		}
	}
	return nil
}

// createPool creates the pool of a service with its policy module. d.mu is held.
func (d *dataPlane) createPool(s *dialect.Service, m *policy.Balancer) {
	d.pools[s.ID] = &poolState{service: s.Name, classCount: len(s.Classes)}
	d.upstream.ConfigurePool(s.ID, upstream.LoadReporting{}, quota.Claim{})
	d.frontend.ConfigurePool(s.ID, quota.Claim{}, quota.Claim{})
	e := dispatch.ConfigurePool{
		Pool: s.ID, Name: s.Name, Module: m, SlowStart: dialect.SlowStart, SlowStartInitial: dialect.SlowStartInitial, MaxAttempts: d.limits.MaxAttempts, RetryAfter: d.limits.OverloadRetryAfter,
	}
	if d.retryBudget.Window > 0 {
		budget := d.retryBudget
		e.RetryBudget = &budget
	}
	d.loop.Post(e)
}

// publishEndpoints sends the endpoints of each pool's service to its policy module. That includes services that the configuration no
// longer contains, until their last requests have ended: these may be retried, but not at an engine past its drain. d.mu is held.
func (d *dataPlane) publishEndpoints() {
	wallMS, now := time.Now().UnixMilli(), d.loop.Now()
	zones := map[string]string{}
	for id, pool := range d.pools {
		list := dispatch.EndpointsListed{Pool: id, Kind: policy.ListFull}
		for _, e := range d.endpoints(pool.service) {
			zones[e.Addr] = e.Zone
			list.Hosts = append(list.Hosts, dispatchHost(&e, wallMS, now))
		}
		d.loop.Post(list)
	}
	d.endpointZones.Store(&zones)
}

// dispatchHost converts an endpoint for its policy module. For an endpoint that is still warming up, StartedAt is set so
// that its slow start ends at WarmAtMS, but at most dialect.SlowStart from now.
func dispatchHost(e *endpoints.Endpoint, wallMS int64, now time.Duration) dispatch.Host {
	h := dispatch.Host{Name: e.ID, Addr: e.Addr, Weight: 1}
	if e.State == endpoints.StateDraining {
		h.State = policy.StateDraining
	}
	if left := time.Duration(e.WarmAtMS-wallMS) * time.Millisecond; left > 0 {
		h.StartedAt = now + min(left, dialect.SlowStart) - dialect.SlowStart
	}
	return h
}
