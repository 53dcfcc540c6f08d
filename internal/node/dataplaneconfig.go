package node

import (
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/dialect"
	"notchhinge/internal/dispatch"
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
	next, err := dialect.Compile(c, dialect.CompileOptions{
		LogIndex: index, Previous: before, NextPool: &d.nextPool, Yield: func() { time.Sleep(limits.ConfigYieldPause) },
	})
	if err != nil {
		return err
	}
	for _, s := range next.Services() {
		if err := d.configurePool(s); err != nil {
			return err
		}
	}
	d.applyRequestLimits(&c.RequestLimits)
	d.routes.Store(next)
	for name, s := range before {
		if next.Services()[name] == nil {
			d.loop.Post(dispatch.EndPool{Pool: s.ID})
		}
	}
	d.publishEndpoints(next)
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

// configurePool creates the policy module of a service, or adds the priority classes that an existing one lacks. d.mu is held.
func (d *dataPlane) configurePool(s *dialect.Service) error {
	_, exists := d.modules[s.ID]
	if exists && d.classCounts[s.ID] == len(s.Classes) {
		return nil
	}
	classes := s.Classes
	if len(classes) == 0 { // no route targets the service yet
		classes = []policy.Class{{Name: "none", TargetLatency: time.Second, Deadline: time.Second, Value: 1}}
	}
	if exists && d.classCounts[s.ID] > 0 {
		d.loop.Post(dispatch.AddClasses{Pool: s.ID, Classes: classes})
		d.classCounts[s.ID] = len(s.Classes)
		return nil
	}
	m, err := policy.New(dialect.PolicySettings(classes, d.drainGrace, d.limits.MaxAttempts), d.seed^uint64(s.ID))
	if err != nil {
		return err
	}
	d.modules[s.ID], d.classCounts[s.ID] = m, len(s.Classes)
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
	return nil
}

// publishEndpoints sends the endpoints of each service to its policy module. d.mu is held.
func (d *dataPlane) publishEndpoints(routes *dialect.CompiledConfig) {
	wallMS, now := time.Now().UnixMilli(), d.loop.Now()
	zones := map[string]string{}
	for name, s := range routes.Services() {
		list := dispatch.EndpointsListed{Pool: s.ID, Kind: policy.ListFull}
		for _, e := range d.endpoints(name) {
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
