package autoscale

import (
	"time"

	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// Target is the number of engines that a service should have in a zone.
type Target struct {
	Service, Zone string
	Engines       int
	Running       int // running requests of the service when the target was computed
}

// Planner computes the targets of all services. Use NewPlanner to create one.
type Planner struct {
	services  map[string]*serviceState
	accepted  map[serviceZone]int // last targets that the platform accepted
	plannedAt time.Duration       // steady clock; 0 = never
}

// serviceState is the state of one service between plans.
type serviceState struct {
	scaler  Scaler
	arrived uint64 // usage.Load.Arrived at the last plan
}

// serviceZone identifies a service in one zone.
type serviceZone struct{ service, zone string }

// NewPlanner returns a Planner without observed traffic or accepted targets.
func NewPlanner() *Planner {
	return &Planner{services: map[string]*serviceState{}, accepted: map[serviceZone]int{}}
}

// IsDue reports whether limits.AutoscaleInterval has passed since the last plan.
func (p *Planner) IsDue(now time.Duration) bool { return now-p.plannedAt >= limits.AutoscaleInterval }

// Plan returns the targets to send to the platform, ordered by service as in services and then by zone. A target is included if it
// differs from the last accepted one or, without an accepted one, from the number of ready engines. loads are summed over all
// routers, by service.
func (p *Planner) Plan(now time.Duration, services []Service, loads map[string]usage.Load) []Target {
	elapsed := (now - p.plannedAt).Seconds()
	p.plannedAt = now
	var due []Target
	for i := range services {
		svc := &services[i]
		state := p.services[svc.Name]
		if state == nil {
			state = &serviceState{scaler: Scaler{AutoscaleTuning: limits.DefaultAutoscaleTuning()}}
			p.services[svc.Name] = state
		}
		load := loads[svc.Name]
		demand := Demand{Running: float64(load.Running) / 100, ArrivalRate: max(float64(load.Arrived)-float64(state.arrived), 0) / elapsed}
		state.arrived = load.Arrived
		targets := state.scaler.Targets(now, demand, svc)
		for _, zone := range svc.zones() {
			engines, ok := targets[zone]
			if ok && engines != p.current(svc, zone) {
				due = append(due, Target{Service: svc.Name, Zone: zone, Engines: engines, Running: int(demand.Running)})
			}
		}
	}
	return due
}

// current returns the last accepted target of a zone, or its number of ready engines if there is none.
func (p *Planner) current(svc *Service, zone string) int {
	if accepted, ok := p.accepted[serviceZone{svc.Name, zone}]; ok {
		return accepted
	}
	return svc.Ready[zone]
}

// RecordAccepted records that the platform accepted a target.
func (p *Planner) RecordAccepted(t Target) { p.accepted[serviceZone{t.Service, t.Zone}] = t.Engines }
