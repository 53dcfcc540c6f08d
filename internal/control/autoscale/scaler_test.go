package autoscale

import (
	"testing"
	"time"

	"notchhinge/internal/limits"
)

const sec = time.Second

// scaling is a Scaler and its service, with 8 ready engines in each of the zones a, b and c.
type scaling struct {
	Scaler
	svc Service
	now time.Duration
}

func newScaling() *scaling {
	return &scaling{
		Scaler: Scaler{AutoscaleTuning: limits.AutoscaleTuning{
			TargetUtilization: 0.5, TargetRunningPerEngine: 4, MinObservation: 3 * sec, ScaleDownDelay: 5 * sec, SmoothingTime: sec,
		}},
		svc: Service{Name: "s", Bounds: Bounds{Min: 2, Max: 10}, Ready: map[string]int{"a": 8, "b": 8, "c": 8}},
		now: 10 * sec,
	}
}

// run simulates a number of running requests for a duration and returns the final targets, summed over all zones.
func (s *scaling) run(d time.Duration, running float64) (engines int) {
	for end := s.now + d; s.now < end; s.now += 500 * time.Millisecond {
		engines = s.engines(Demand{Running: running, ArrivalRate: running})
	}
	return engines
}

// engines returns the current targets, summed over all zones.
func (s *scaling) engines(d Demand) int {
	sum := 0
	for _, n := range s.Targets(s.now, d, &s.svc) {
		sum += n
	}
	return sum
}

func TestScaler(t *testing.T) {
	s := newScaling()
	if w := s.Targets(sec, Demand{}, &s.svc); w != nil {
		t.Errorf("before any traffic: targets %v, want none", w)
	}
	if n := s.run(2*sec, 60); n != 24 {
		t.Errorf("60 running for 2 s: %v engines, want the 24 that are ready", n)
	}
	if n := s.run(8*sec, 60); n != 15 {
		t.Errorf("60 running: %v engines, want 15", n)
	}
	if n := s.run(3*sec, 100); n < 24 {
		t.Errorf("100 running for 3 s: %v engines, want at least 24", n)
	}
	if n := s.run(4*sec, 20); n < 24 {
		t.Errorf("20 running for 4 s: %v engines, want at least 24 until ScaleDownDelay has passed", n)
	}
	if n := s.run(12*sec, 1); n != 6 {
		t.Errorf("1 running: %v engines, want the minimum of 6", n)
	}
	if n := s.run(12*sec, 1000); n != 30 {
		t.Errorf("1000 running: %v engines, want the maximum of 30", n)
	}
}

// TestScalerAtFirstTraffic checks that the first demand of a service can scale it up immediately but not down.
func TestScalerAtFirstTraffic(t *testing.T) {
	for _, c := range []struct {
		name           string
		running, slots float64
		ready          int // in each zone
		want           int
	}{
		{"more than there are", 120, 0, 8, 30},
		{"48 running at engines of 4 slots, half of which are wanted in use", 48, 4, 8, 24},
		{"120 running at engines of 16 slots, half of which are wanted in use", 120, 16, 0, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScaling()
			s.svc.Slots = c.slots
			for zone := range s.svc.Ready {
				s.svc.Ready[zone] = c.ready
			}
			if n := s.engines(Demand{Running: c.running}); n != c.want {
				t.Errorf("%d engines, want %d", n, c.want)
			}
		})
	}
}
