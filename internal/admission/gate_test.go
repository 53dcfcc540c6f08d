package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 10 * time.Millisecond

// testEngines serves a limited number of requests per second and rejects the rest.
type testEngines struct {
	perSecond float64
	available float64
}

// simulate sends requests at a rate per second for each priority, and returns the share of each that was served in the second
// half.
func simulate(g *Gate, b *testEngines, rates map[int]float64, from, length time.Duration) map[int]float64 {
	due, arrived, served := map[int]float64{}, map[int]int{}, map[int]int{}
	for now := from; now < from+length; now += tick {
		b.available = min(b.available+b.perSecond*tick.Seconds(), b.perSecond/10+1)
		for _, priority := range []int{0, 1, 5, 9} { // a tick is short enough that the order within it does not matter
			for due[priority] += rates[priority] * tick.Seconds(); due[priority] >= 1; due[priority]-- {
				isMeasured := now >= from+length/2
				if isMeasured {
					arrived[priority]++
				}
				if !g.Admit(now, priority) {
					continue
				}
				if b.available < 1 {
					g.RequestRejected(now)
					continue
				}
				b.available--
				g.RequestServed(now)
				if isMeasured {
					served[priority]++
				}
			}
		}
	}
	shares := map[int]float64{}
	for priority, n := range arrived {
		shares[priority] = float64(served[priority]) / float64(n)
	}
	return shares
}

func TestLowestPrioritiesAreShedFirst(t *testing.T) {
	g := &Gate{}
	e := &testEngines{perSecond: 100}
	rates := map[int]float64{0: 30, 1: 30, 5: 30, 9: 60}
	got := simulate(g, e, rates, 0, 20*time.Second)
	if got[0] < 0.95 || got[1] < 0.95 || got[5] < 0.8 || got[9] > 0.5 {
		t.Errorf("150 requests/s at engines with capacity for 100/s: served shares %v", got)
	}
	// With enough capacity all requests are served again after some time.
	e.perSecond = 400
	got = simulate(g, e, rates, 20*time.Second, 100*time.Second)
	for priority, share := range got {
		if share < 1 {
			t.Errorf("with enough capacity, priority %d has a served share of %v", priority, share)
		}
	}
}

func TestNothingIsShedWithoutOverload(t *testing.T) {
	for name, c := range map[string]struct {
		capacity float64 // requests per second
		rates    map[int]float64
		want     uint64 // rejected by the gate
	}{
		"enough for all":     {1000, map[int]float64{0: 50, 9: 50}, 0},
		"one priority alone": {10, map[int]float64{5: 100}, 0},
		"no engine at all":   {0, map[int]float64{0: 50, 9: 50}, 0}, // an outage is not an overload
	} {
		g := &Gate{}
		simulate(g, &testEngines{perSecond: c.capacity}, c.rates, 0, 10*time.Second)
		if g.Rejected != c.want {
			t.Errorf("%s: %d requests were rejected", name, g.Rejected)
		}
	}
}

func TestTenantPriorityGoesBeforeRoutePriority(t *testing.T) {
	for _, c := range [][4]int{{0, 9, 1, 0}, {1, 0, 1, 1}, {0, 1023, 1, 0}, {-5, 3, 0, 4}} {
		if Priority(c[0], c[1]) >= Priority(c[2], c[3]) {
			t.Errorf("tenant %d, route %d has no higher priority than tenant %d, route %d", c[0], c[1], c[2], c[3])
		}
	}
}

func TestHighestPriorityIsNeverShed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{}
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				g.RequestRejected(now)
			case 1:
				g.RequestServed(now)
			default:
				priority := rapid.IntRange(0, 5).Draw(t, "priority")
				if !g.Admit(now, priority) && priority == 0 {
					t.Fatal("a request of the highest priority was rejected")
				}
			}
		}
	})
}
