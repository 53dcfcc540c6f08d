// Package admission sheds load by priority. A Gate belongs to one service at one router: while engines reject requests for want
// of capacity, it rejects requests of the lowest priorities at once, so that the higher ones are served. It never delays a
// request, and without overload it admits everything. It is pure: the time is given, on the caller's monotonic clock.
package admission

import (
	"slices"
	"time"
)

// Priority combines the priorities of a tenant and of a route into one; 0 is the highest. The tenant's priority is compared
// first. Values outside of 0 to 1024 (tenant) and 0 to 1023 (route) are clamped.
func Priority(tenant, route int) int {
	const maxPriority = 1 << 10
	return min(max(tenant, 0), maxPriority)*maxPriority + min(max(route, 0), maxPriority-1)
}

const (
	windowLength     = time.Second
	minRejected      = 5    // rejections of engines in a window below which nothing is shed
	minRejectedShare = 0.10 // likewise, as a share of the window's arrivals
	headroom         = 1.1  // arrivals admitted in the next window, as a multiple of those served in the last one
	maxCalmWindows   = 16   // upper bound of the calm windows that are waited for before the next priority is admitted again
	idleWindows      = 3    // after so many windows without an arrival the gate opens
)

// Gate decides which requests of one service are admitted. The zero Gate admits all. It is not safe for concurrent use.
type Gate struct {
	// Rejected counts the requests that the gate has rejected.
	Rejected uint64

	shedding    bool
	maxPriority int // while shedding: the lowest priority (highest number) that is admitted

	windowStart   time.Duration
	arrivals      map[int]int // in this window, by priority
	totalArrivals int
	served        int
	rejected      int // by engines, for want of capacity

	calmWindows       int // windows in a row without overload
	calmWindowsNeeded int // before the next priority is admitted; doubled each time that this was too early
}

// Admit counts an arriving request and reports whether it may go on. One that may not is to be answered with a time to retry.
func (g *Gate) Admit(now time.Duration, priority int) bool {
	g.rollWindow(now)
	g.totalArrivals++
	g.arrivals[priority]++
	if g.shedding && priority > g.maxPriority {
		g.Rejected++
		return false
	}
	return true
}

// RequestServed counts a request whose answer has begun.
func (g *Gate) RequestServed(now time.Duration) {
	g.rollWindow(now)
	g.served++
}

// RequestRejected counts a request that no engine had the capacity to take.
func (g *Gate) RequestRejected(now time.Duration) {
	g.rollWindow(now)
	g.rejected++
}

// rollWindow ends the present window once it is over, and adjusts what is admitted in the next one.
func (g *Gate) rollWindow(now time.Duration) {
	if g.arrivals == nil {
		g.windowStart, g.arrivals = now, map[int]int{}
	}
	if now-g.windowStart < windowLength {
		return
	}
	priorities := make([]int, 0, len(g.arrivals))
	for p := range g.arrivals {
		priorities = append(priorities, p)
	}
	slices.Sort(priorities)
	switch {
	case now-g.windowStart > idleWindows*windowLength:
		g.shedding = false
	case g.isOverloaded() && len(priorities) > 1:
		g.shed(priorities)
	case g.rejected < minRejected:
		g.relax(priorities)
	}
	g.windowStart, g.totalArrivals, g.served, g.rejected = now, 0, 0, 0
	clear(g.arrivals)
}

// isOverloaded reports whether engines rejected more requests in this window than chance explains. Where none was served, it is
// an outage, which says nothing of the engines' capacity.
func (g *Gate) isOverloaded() bool {
	return g.rejected >= minRejected && float64(g.rejected) > minRejectedShare*float64(g.totalArrivals) && g.served > 0
}

// shed admits as many requests as were served in this window, plus headroom: the highest priorities first, and the highest one in
// any case. priorities are those of this window, sorted.
func (g *Gate) shed(priorities []int) {
	g.calmWindowsNeeded = min(max(2*g.calmWindowsNeeded, 1), maxCalmWindows)
	if g.calmWindows > 2*g.calmWindowsNeeded {
		g.calmWindowsNeeded = 1
	}
	g.shedding, g.maxPriority, g.calmWindows = true, priorities[0], 0
	capacity := headroom * float64(g.served)
	admitted := float64(g.arrivals[priorities[0]])
	for _, p := range priorities[1:] {
		admitted += float64(g.arrivals[p])
		if admitted > capacity {
			break
		}
		g.maxPriority = p
	}
}

// relax admits one priority more after enough calm windows, and opens the gate at the lowest one.
func (g *Gate) relax(priorities []int) {
	g.calmWindows++
	if !g.shedding || g.calmWindows < g.calmWindowsNeeded {
		return
	}
	g.calmWindows = 0
	next := slices.IndexFunc(priorities, func(p int) bool { return p > g.maxPriority })
	if next < 0 || next == len(priorities)-1 {
		g.shedding = false
		return
	}
	g.maxPriority = priorities[next]
}
