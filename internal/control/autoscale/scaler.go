package autoscale

import (
	"maps"
	"math"
	"slices"
	"time"

	"notchhinge/internal/limits"
)

// Demand is the traffic of a service, summed over all routers.
type Demand struct {
	Running     float64 // number of requests in flight
	ArrivalRate float64 // requests per second
}

// Bounds limits the number of engines of a service in each zone.
type Bounds struct {
	Min, Max int
}

// Service is the current state of a service whose engines are scaled.
type Service struct {
	Name   string
	Bounds Bounds
	Ready  map[string]int // number of ready engines by zone; includes zones of the service with 0 ready engines
	Slots  float64        // mean number of slots of the ready engines; 0 = unknown
}

// Scaler computes targets for one service.
type Scaler struct {
	limits.AutoscaleTuning
	meanRunning float64
	firstAt     time.Duration // when traffic was first observed; 0 = not yet
	lastAt      time.Duration // when meanRunning was last updated
	recent      []sample      // samples of the last ScaleDownDelay
}

// sample is the number of engines that were sufficient at a time, over all zones.
type sample struct {
	at      time.Duration
	engines int
}

// Targets returns the target number of engines in each zone of the service. It returns nil until traffic is observed, because the
// demand is unknown before that. During the first MinObservation it does not scale down, because some engines may not be known yet.
func (s *Scaler) Targets(now time.Duration, demand Demand, svc *Service) map[string]int {
	if s.firstAt == 0 {
		if demand.ArrivalRate <= 0 && demand.Running <= 0 {
			return nil
		}
		s.firstAt, s.lastAt, s.meanRunning = now, now, demand.Running
	}
	if dt := now - s.lastAt; dt > 0 {
		s.meanRunning += (demand.Running - s.meanRunning) * (1 - math.Exp(-float64(dt)/float64(s.SmoothingTime)))
		s.lastAt = now
	}
	if len(svc.Ready) == 0 {
		return nil
	}
	engines := s.recentPeak(now, int(math.Ceil(s.meanRunning/s.runningPerEngine(svc))))
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

// runningPerEngine returns the target number of running requests per engine.
func (s *Scaler) runningPerEngine(svc *Service) float64 {
	if svc.Slots > 0 {
		return max(s.TargetUtilization*svc.Slots, 0.5)
	}
	return s.TargetRunningPerEngine
}

// recentPeak adds a sample and returns the maximum of the samples within the last ScaleDownDelay.
func (s *Scaler) recentPeak(now time.Duration, engines int) int {
	s.recent = append(s.recent, sample{now, engines})
	for len(s.recent) > 1 && now-s.recent[0].at > s.ScaleDownDelay {
		s.recent = s.recent[1:]
	}
	for _, t := range s.recent {
		engines = max(engines, t.engines)
	}
	return engines
}

// zones returns the zones of the service, sorted.
func (svc *Service) zones() []string { return slices.Sorted(maps.Keys(svc.Ready)) }
