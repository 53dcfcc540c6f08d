package autoscale

import (
	"maps"
	"math"
	"slices"
	"time"

	"notchhinge/internal/limits"
)

// Demand is the traffic that a service needs engines for, over all routers.
type Demand struct {
	Running     float64 // requests at engines
	ArrivalRate float64 // requests a second
}

// Bounds of the number of a service's engines, in each zone.
type Bounds struct {
	Min, Max int
}

// Service is a service whose engines are scaled, as it is now.
type Service struct {
	Name   string
	Bounds Bounds
	Ready  map[string]int // engines that are ready, by zone; a zone in which it runs but has none ready is listed with 0
	Slots  float64        // of an engine that is ready, a mean; 0 = not known
}

// Scaler computes targets for one service.
type Scaler struct {
	limits.AutoscaleTuning
	meanRunning float64
	firstAt     time.Duration // when traffic was first seen; 0 = not yet
	lastAt      time.Duration
	recent      []total // those of the last ScaleDownDelay
}

// total is a number of engines over all zones that was enough at a time.
type total struct {
	at      time.Duration
	engines int
}

// Targets returns the number of engines wanted in each zone of the service, or nil as long as no traffic has been seen: before
// that nobody can say what it needs. For the first MinObservation it returns no less than there is, since engines that are not
// known yet are no reason to have fewer.
func (s *Scaler) Targets(now time.Duration, d Demand, svc *Service) map[string]int {
	if s.firstAt == 0 {
		if d.ArrivalRate <= 0 && d.Running <= 0 {
			return nil
		}
		s.firstAt, s.lastAt, s.meanRunning = now, now, d.Running
	}
	if dt := now - s.lastAt; dt > 0 {
		s.meanRunning += (d.Running - s.meanRunning) * (1 - math.Exp(-float64(dt)/float64(s.SmoothingTime)))
		s.lastAt = now
	}
	if len(svc.Ready) == 0 {
		return nil
	}
	engines := s.peak(now, int(math.Ceil(s.meanRunning/s.perEngine(svc))))
	targets := map[string]int{}
	for i, zone := range svc.zones() {
		n := engines / len(svc.Ready)
		if i < engines%len(svc.Ready) {
			n++
		}
		n = min(max(n, svc.Bounds.Min, 1), max(svc.Bounds.Max, 1))
		if now-s.firstAt < s.MinObservation {
			n = max(n, svc.Ready[zone])
		}
		targets[zone] = n
	}
	return targets
}

// perEngine returns how many requests one engine is meant to run.
func (s *Scaler) perEngine(svc *Service) float64 {
	if svc.Slots > 0 {
		return max(s.TargetUtilization*svc.Slots, 0.5)
	}
	return s.TargetRunningPerEngine
}

// peak notes a total and returns the highest one of the last ScaleDownDelay.
func (s *Scaler) peak(now time.Duration, engines int) int {
	s.recent = append(s.recent, total{now, engines})
	for len(s.recent) > 1 && now-s.recent[0].at > s.ScaleDownDelay {
		s.recent = s.recent[1:]
	}
	for _, t := range s.recent {
		engines = max(engines, t.engines)
	}
	return engines
}

// zones lists the zones in which the service runs, sorted.
func (svc *Service) zones() []string { return slices.Sorted(maps.Keys(svc.Ready)) }
