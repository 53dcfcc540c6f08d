package autoscale

import (
	"time"

	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// Target is a number of engines that a service should have in a zone.
type Target struct {
	Service, Zone string
	Engines       int
	Running       int // requests that it was computed from
}

// Planner computes the targets of all services. The zero value knows of no traffic.
type Planner struct {
	services  map[string]*history
	accepted  map[serviceZone]int // targets that the platform has accepted last
	plannedAt time.Duration       // steady clock; 0 = never
}

// history is what a planner keeps of a service.
type history struct {
	scaler  Scaler
	arrived uint64 // at the last plan
}

// serviceZone is a service's part in one zone.
type serviceZone struct{ service, zone string }

// NewPlanner returns a planner that knows of no traffic and no targets.
func NewPlanner() *Planner {
	return &Planner{services: map[string]*history{}, accepted: map[serviceZone]int{}}
}

// IsDue reports whether limits.AutoscaleInterval has passed since the last plan.
func (p *Planner) IsDue(now time.Duration) bool { return now-p.plannedAt >= limits.AutoscaleInterval }

// Plan returns, in the order of the services and then of their zones, the targets that differ from what the platform has accepted
// last or, where it has accepted none, from the engines that are ready. loads are those of all routers, by service.
func (p *Planner) Plan(now time.Duration, services []Service, loads map[string]usage.Load) []Target {
	elapsed := (now - p.plannedAt).Seconds()
	p.plannedAt = now
	var due []Target
	for i := range services {
		svc := &services[i]
		h := p.services[svc.Name]
		if h == nil {
			h = &history{scaler: Scaler{AutoscaleTuning: limits.DefaultAutoscaleTuning()}}
			p.services[svc.Name] = h
		}
		load := loads[svc.Name]
		d := Demand{Running: float64(load.Running) / 100, ArrivalRate: max(float64(load.Arrived)-float64(h.arrived), 0) / elapsed}
		h.arrived = load.Arrived
		targets := h.scaler.Targets(now, d, svc)
		for _, zone := range svc.zones() {
			engines, ok := targets[zone]
			if ok && engines != p.current(svc, zone) {
				due = append(due, Target{Service: svc.Name, Zone: zone, Engines: engines, Running: int(d.Running)})
			}
		}
	}
	return due
}

// current returns the engines that a zone has or will have without a new target.
func (p *Planner) current(svc *Service, zone string) int {
	if accepted, ok := p.accepted[serviceZone{svc.Name, zone}]; ok {
		return accepted
	}
	return svc.Ready[zone]
}

// RecordAccepted notes that the platform has accepted a target.
func (p *Planner) RecordAccepted(t Target) { p.accepted[serviceZone{t.Service, t.Zone}] = t.Engines }
