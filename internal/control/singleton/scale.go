package singleton

import (
	"math"
	"time"

	"notchhinge/internal/limits"
)

// Demand is what a service needs engines for.
type Demand struct {
	Running float64 // requests at engines, all routers
	Arrived float64 // a second
	Slots   float64 // of an engine, a mean over those that are ready; 0 = not known
}

// Bounds of a service's engines in each zone.
type Bounds struct {
	Min, Max int
	Boot     time.Duration
}

// Scaler wants numbers of engines for one service. It goes up at once, and down once less has been enough for a while: an
// engine too few costs worth for as long as another takes to boot.
type Scaler struct {
	limits.AutoscaleTuning
	mean  float64
	seen  time.Duration // since traffic was first seen
	last  time.Duration
	peaks []peak
}

type peak struct {
	at    time.Duration
	total int
}

// Targets takes what there is and returns the wanted numbers by zone, or nil as long as too little is known: before there is
// traffic nobody can say what it needs. In its first moments it may only want more than there is, since engines that are not
// known yet are no reason to have fewer. zones lists the zones in which the service runs, in their order; have is how many
// engines are ready in each.
func (s *Scaler) Targets(now time.Duration, d Demand, b Bounds, zones []string, have map[string]int) map[string]int {
	if s.seen == 0 {
		if d.Arrived <= 0 && d.Running <= 0 {
			return nil
		}
		s.seen, s.last, s.mean = now, now, d.Running
	}
	if dt := now - s.last; dt > 0 {
		s.mean += (d.Running - s.mean) * (1 - math.Exp(-float64(dt)/float64(s.SmoothingTime)))
		s.last = now
	}
	if len(zones) == 0 {
		return nil
	}
	per := s.TargetRunningPerEngine
	if d.Slots > 0 {
		per = max(s.TargetUtilization*d.Slots, 0.5)
	}
	total := int(math.Ceil(s.mean / per))
	s.peaks = append(s.peaks, peak{now, total})
	for len(s.peaks) > 1 && now-s.peaks[0].at > s.ScaleDownDelay {
		s.peaks = s.peaks[1:]
	}
	for _, p := range s.peaks {
		total = max(total, p.total)
	}
	wanted := map[string]int{}
	for i, z := range zones {
		n := total / len(zones)
		if i < total%len(zones) {
			n++
		}
		n = min(max(n, b.Min, 1), max(b.Max, 1))
		if now-s.seen < s.MinObservation {
			n = max(n, have[z])
		}
		wanted[z] = n
	}
	return wanted
}
