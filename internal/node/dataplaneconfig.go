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

// apply takes a configuration over, if it is newer than the present one. Requests that have begun keep theirs.
func (d *data) apply(place uint64, c *fleetconfig.Config) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.at.Load()
	if old != nil && old.Place >= place {
		return nil
	}
	var before map[string]*edge.Service
	if old != nil {
		before = old.Services()
	}
	next, err := edge.Compile(c, place, before, &d.next, func() { time.Sleep(limits.ConfigYieldPause) })
	if err != nil {
		return err
	}
	for _, s := range next.Services() {
		if err := d.set(s); err != nil {
			return err
		}
	}
	l := &c.RequestLimits
	bounds, less := d.lim.ConfiguredBounds(l.MaxHeaderBytes, l.MaxBodyBytes, fleetconfig.Milliseconds(l.HeaderTimeoutMS), fleetconfig.Milliseconds(l.IdleTimeoutMS))
	if less {
		d.log.Warn("request_limits are above what this machine holds", "max_header_bytes", bounds.HeaderBytes, "max_body_bytes",
			bounds.BodyBytes, "header_timeout", bounds.ReadTimeout.String(), "idle_timeout", bounds.IdleTimeout.String())
	}
	d.bounds.Store(&bounds)
	d.at.Store(next)
	for name, s := range before {
		if next.Services()[name] == nil {
			d.loop.Post(broker.PoolEnd{Pool: s.ID})
		}
	}
	d.feed(next)
	d.log.Info("configuration in force", "revision", c.Revision, "place", place, "routes", len(c.Routes), "services", len(c.Services))
	return nil
}

// set makes a service's module, or gives it the classes that it lacks.
func (d *data) set(s *edge.Service) error {
	m := d.modules[s.ID]
	if m != nil && d.classes[s.ID] == len(s.Classes) {
		return nil
	}
	classes := s.Classes
	if len(classes) == 0 { // no route leads to it yet
		classes = []policy.Class{{Name: "none", Aim: time.Second, Deadline: time.Second, Worth: 1}}
	}
	if m != nil && d.classes[s.ID] > 0 {
		d.loop.Post(broker.Classes{Pool: s.ID, Classes: classes})
		d.classes[s.ID] = len(s.Classes)
		return nil
	}
	m, err := policy.New(edge.Settings(classes, d.grace, d.lim.MaxAttempts), d.seed^uint64(s.ID))
	if err != nil {
		return err
	}
	d.modules[s.ID], d.classes[s.ID] = m, len(s.Classes)
	d.issuer.Set(s.ID, issuer.Reports{}, quota.Claim{})
	d.front.Set(s.ID, quota.Claim{}, quota.Claim{})
	e := broker.PoolSet{
		Pool: s.ID, Name: s.Name, Module: m, WarmUp: edge.WarmUp, ColdFrom: edge.ColdFrom, Attempts: d.lim.MaxAttempts, RetryAfter: d.lim.OverloadRetryAfter,
	}
	if d.repeats.Window > 0 {
		own := d.repeats
		e.Repeats = &own
	}
	d.loop.Post(e)
	return nil
}

// feed tells the modules which engines there are. The lock is held.
func (d *data) feed(at *edge.Compiled) {
	now, clock := time.Now().UnixMilli(), d.loop.Now()
	zones := map[string]string{}
	defer func() { d.zones.Store(&zones) }()
	for name, s := range at.Services() {
		l := broker.Listed{Pool: s.ID, Kind: policy.ListFull}
		for _, e := range d.list(name) {
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
