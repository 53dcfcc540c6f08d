package node

import (
	"time"

	"notchhinge/internal/broker"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/edge"
	"notchhinge/internal/issuer"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/policy"
)

// applyConfig takes a configuration over, if it is newer than the present one. Requests that have begun keep theirs.
func (d *dataPlane) applyConfig(place uint64, c *fleetconfig.Config) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.routes.Load()
	if old != nil && old.Place >= place {
		return nil
	}
	var before map[string]*edge.Service
	if old != nil {
		before = old.Services()
	}
	next, err := edge.Compile(c, place, before, &d.nextPool, func() { time.Sleep(limits.ConfigYieldPause) })
	if err != nil {
		return err
	}
	for _, s := range next.Services() {
		if err := d.setPool(s); err != nil {
			return err
		}
	}
	l := &c.RequestLimits
	bounds, less := d.limits.ConfiguredBounds(l.MaxHeaderBytes, l.MaxBodyBytes, fleetconfig.Milliseconds(l.HeaderTimeoutMS), fleetconfig.Milliseconds(l.IdleTimeoutMS))
	if less {
		d.log.Warn("request_limits are above what this machine holds", "max_header_bytes", bounds.HeaderBytes, "max_body_bytes",
			bounds.BodyBytes, "header_timeout", bounds.ReadTimeout.String(), "idle_timeout", bounds.IdleTimeout.String())
	}
	d.bounds.Store(&bounds)
	d.routes.Store(next)
	for name, s := range before {
		if next.Services()[name] == nil {
			d.loop.Post(broker.PoolEnd{Pool: s.ID})
		}
	}
	d.publishEndpoints(next)
	d.log.Info("configuration in force", "revision", c.Revision, "place", place, "routes", len(c.Routes), "services", len(c.Services))
	return nil
}

// setPool makes a service's module, or gives it the classes that it lacks.
func (d *dataPlane) setPool(s *edge.Service) error {
	m := d.modules[s.ID]
	if m != nil && d.classCounts[s.ID] == len(s.Classes) {
		return nil
	}
	classes := s.Classes
	if len(classes) == 0 { // no route leads to it yet
		classes = []policy.Class{{Name: "none", Aim: time.Second, Deadline: time.Second, Worth: 1}}
	}
	if m != nil && d.classCounts[s.ID] > 0 {
		d.loop.Post(broker.Classes{Pool: s.ID, Classes: classes})
		d.classCounts[s.ID] = len(s.Classes)
		return nil
	}
	m, err := policy.New(edge.Settings(classes, d.drainGrace, d.limits.MaxAttempts), d.seed^uint64(s.ID))
	if err != nil {
		return err
	}
	d.modules[s.ID], d.classCounts[s.ID] = m, len(s.Classes)
	d.upstream.Set(s.ID, issuer.Reports{}, quota.Claim{})
	d.frontend.Set(s.ID, quota.Claim{}, quota.Claim{})
	e := broker.PoolSet{
		Pool: s.ID, Name: s.Name, Module: m, WarmUp: edge.WarmUp, ColdFrom: edge.ColdFrom, Attempts: d.limits.MaxAttempts, RetryAfter: d.limits.OverloadRetryAfter,
	}
	if d.retryBudget.Window > 0 {
		own := d.retryBudget
		e.Repeats = &own
	}
	d.loop.Post(e)
	return nil
}

// publishEndpoints tells the modules which engines there are. The lock is held.
func (d *dataPlane) publishEndpoints(at *edge.Compiled) {
	now, clock := time.Now().UnixMilli(), d.loop.Now()
	zones := map[string]string{}
	defer func() { d.endpointZones.Store(&zones) }()
	for name, s := range at.Services() {
		l := broker.Listed{Pool: s.ID, Kind: policy.ListFull}
		for _, e := range d.endpoints(name) {
			zones[e.Addr] = e.Zone
			h := broker.Host{Name: e.ID, Dial: e.Addr, Weight: 1}
			if e.State == endpoints.StateDraining {
				h.State = policy.Draining
			}
			if left := time.Duration(e.WarmAtMS-now) * time.Millisecond; left > 0 {
				h.BornAt = clock + min(left, edge.WarmUp) - edge.WarmUp
			}
			l.Hosts = append(l.Hosts, h)
		}
		d.loop.Post(l)
	}
}
