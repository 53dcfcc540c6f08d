package rank

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 10 * time.Millisecond

// engines that can serve so many a second, the rest being turned away.
type engines struct {
	perSecond float64
	room      float64
}

// play lets requests of ranks come at rates a second, and returns the share of each rank that was served in the last half.
func play(g *Gate, e *engines, rates map[int]float64, from, length time.Duration) map[int]float64 {
	due, came, served := map[int]float64{}, map[int]int{}, map[int]int{}
	for now := from; now < from+length; now += tick {
		e.room = min(e.room+e.perSecond*tick.Seconds(), e.perSecond/10+1)
		for _, rank := range []int{0, 1, 5, 9} { // in this order within a tick, which favours nobody for long
			for due[rank] += rates[rank] * tick.Seconds(); due[rank] >= 1; due[rank]-- {
				late := now >= from+length/2
				if late {
					came[rank]++
				}
				if !g.Admit(now, rank) {
					continue
				}
				if e.room < 1 {
					g.Turned(now)
					continue
				}
				e.room--
				g.Served(now)
				if late {
					served[rank]++
				}
			}
		}
	}
	shares := map[int]float64{}
	for r, n := range came {
		shares[r] = float64(served[r]) / float64(n)
	}
	return shares
}

func TestTheLowestRanksWait(t *testing.T) {
	g := &Gate{}
	e := &engines{perSecond: 100}
	rates := map[int]float64{0: 30, 1: 30, 5: 30, 9: 60}
	got := play(g, e, rates, 0, 20*time.Second)
	if got[0] < 0.95 || got[1] < 0.95 || got[5] < 0.8 || got[9] > 0.5 {
		t.Errorf("150 a second at engines for 100: %v", got)
	}
	// Enough engines again: everybody, after some time.
	e.perSecond = 400
	got = play(g, e, rates, 20*time.Second, 100*time.Second)
	for r, s := range got {
		if s < 1 {
			t.Errorf("enough for all, and rank %d gets %v", r, s)
		}
	}
}

func TestNothingWaitsWithoutNeed(t *testing.T) {
	for name, c := range map[string]struct {
		per   float64
		rates map[int]float64
		want  uint64 // refused by the gate
	}{
		"enough for all":   {1000, map[int]float64{0: 50, 9: 50}, 0},
		"one rank alone":   {10, map[int]float64{5: 100}, 0},
		"no engine at all": {0, map[int]float64{0: 50, 9: 50}, 0}, // an outage says nothing of what can be served
	} {
		g := &Gate{}
		play(g, &engines{perSecond: c.per}, c.rates, 0, 10*time.Second)
		if g.Refused != c.want {
			t.Errorf("%s: %d were refused", name, g.Refused)
		}
	}
}

func TestOrderOfRanks(t *testing.T) {
	for _, c := range [][4]int{{0, 9, 1, 0}, {1, 0, 1, 1}, {0, 1023, 1, 0}, {-5, 3, 0, 4}} {
		if Of(c[0], c[1]) >= Of(c[2], c[3]) {
			t.Errorf("tenant %d, route %d does not go before %d, %d", c[0], c[1], c[2], c[3])
		}
	}
}

func TestTheHighestRankIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{}
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				g.Turned(now)
			case 1:
				g.Served(now)
			default:
				rank := rapid.IntRange(0, 5).Draw(t, "rank")
				if !g.Admit(now, rank) && rank == 0 {
					t.Fatal("the highest rank was refused")
				}
			}
		}
	})
}
