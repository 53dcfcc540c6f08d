// Package rank decides who waits when not all can be served: of one service at one router, those of the lowest ranks. It is
// pure, given the time. While nothing is turned away for want of engines it lets everybody through; it never holds a request
// back, it only says no at once.
package rank

import (
	"slices"
	"time"
)

// Of makes a rank of the priorities of a tenant and of a route, of which 0 is the highest; the tenant's goes first.
func Of(tenant, route int) int {
	const most = 1 << 10
	return min(max(tenant, 0), most)*most + min(max(route, 0), most-1)
}

// The figures.
const (
	window   = time.Second
	least    = 5    // turned away in a window before anything follows
	share    = 0.10 // of those that came, likewise
	headroom = 1.1  // let through, beyond what was served in the window before
	patience = 16   // windows without need, at the most, before a rank more is let through
)

// Gate belongs to one service at one router. The zero Gate is open. It is not safe for concurrent use.
type Gate struct {
	shut    bool
	cut     int // with shut: ranks above this wait
	began   time.Duration
	came    map[int]int // by rank
	all     int
	served  int
	turned  int // away, for want of engines
	clean   int // windows without need so far
	need    int // of them before a rank more is let through: twice as many each time that it was too early
	Refused uint64
}

// Admit takes a request that comes, and says whether it may go on. One that may not is to be told when to come back.
func (g *Gate) Admit(now time.Duration, rank int) bool {
	g.roll(now)
	g.all++
	g.came[rank]++
	if g.shut && rank > g.cut {
		g.Refused++
		return false
	}
	return true
}

// Served notes that an answer has begun.
func (g *Gate) Served(now time.Duration) { g.roll(now); g.served++ }

// Turned notes that a request was turned away since no engine could take it.
func (g *Gate) Turned(now time.Duration) { g.roll(now); g.turned++ }

// roll ends a window. Where more were turned away than chance has it, as many are let through from now on as were served, the
// highest ranks first, and the highest rank that there is in any case. Windows without that open the gate by one rank.
func (g *Gate) roll(now time.Duration) {
	if g.came == nil {
		g.began, g.came = now, map[int]int{}
	}
	if now-g.began < window {
		return
	}
	ranks := make([]int, 0, len(g.came))
	for r := range g.came {
		ranks = append(ranks, r)
	}
	slices.Sort(ranks)
	switch {
	case now-g.began > 3*window: // nothing came for long
		g.shut = false
	case g.turned >= least && float64(g.turned) > share*float64(g.all) && g.served > 0 && len(ranks) > 1:
		room := headroom * float64(g.served)
		if g.need = min(max(2*g.need, 1), patience); g.clean > 2*g.need {
			g.need = 1
		}
		g.shut, g.cut, g.clean = true, ranks[0], 0
		sum := float64(g.came[ranks[0]])
		for _, r := range ranks[1:] {
			if sum += float64(g.came[r]); sum > room {
				break
			}
			g.cut = r
		}
	case g.turned < least:
		if g.clean++; !g.shut || g.clean < g.need {
			break
		}
		g.clean = 0
		at := slices.IndexFunc(ranks, func(r int) bool { return r > g.cut })
		if at < 0 || at == len(ranks)-1 {
			g.shut = false
		} else {
			g.cut = ranks[at]
		}
	}
	g.began, g.all, g.served, g.turned = now, 0, 0, 0
	clear(g.came)
}
