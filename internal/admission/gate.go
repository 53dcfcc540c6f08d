// Package admission sheds load by priority. Each router has a Gate for each service. While engines reject requests for lack of
// capacity, the Gate rejects those of the lowest priorities early, so that the higher ones are served. It never delays a request,
// and without overload it admits all. It does no I/O; times are readings of the caller's monotonic clock.
package admission

import (
	"slices"
	"time"
)

// Priority combines the priorities of a tenant and of a route into one number; 0 is the highest priority. The tenant's priority
// takes precedence over the route's. Values outside 0 to 1024 (tenant) and 0 to 1023 (route) are clamped.
func Priority(tenant, route int) int {
	const maxPriority = 1 << 10
	return min(max(tenant, 0), maxPriority)*maxPriority + min(max(route, 0), maxPriority-1)
}

const (
	windowLength     = time.Second
	minRejected      = 5    // minimum rejections by engines in a window for it to count as overloaded
	minRejectedShare = 0.10 // likewise, as a share of the requests that arrived in the window
	headroom         = 1.1  // requests admitted in the next window, as a multiple of those served in the last one
	maxCalmWindows   = 16   // upper bound of calmWindowsNeeded
	idleWindows      = 3    // the gate stops shedding after this many windows without an event
)

// Gate decides which requests of one service are admitted. The zero Gate admits all. It is not safe for concurrent use.
type Gate struct {
	// Rejected is the number of requests that the gate itself has rejected.
	Rejected uint64

	shedding    bool
	maxPriority int // the lowest priority (highest number) that is admitted while shedding

	windowStart   time.Duration
	arrivals      map[int]int // requests in this window, by priority
	totalArrivals int
	served        int
	rejected      int // by engines, for lack of capacity

	calmWindows       int // consecutive windows without overload
	calmWindowsNeeded int // before the next lower priority is admitted; doubled when overload returns
}

// Admit counts an arriving request and reports whether it is admitted. The caller answers a rejected one with a Retry-After.
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

// RequestServed counts a request whose response has begun.
func (g *Gate) RequestServed(now time.Duration) {
	g.rollWindow(now)
	g.served++
}

// RequestRejected counts a request that engines rejected for lack of capacity.
func (g *Gate) RequestRejected(now time.Duration) {
	g.rollWindow(now)
	g.rejected++
}

// rollWindow starts a new window if the current one is over, and adjusts which priorities are admitted.
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

// isOverloaded reports whether engines rejected a significant share of this window's requests. A window in which no request was
// served is an outage, not an overload.
func (g *Gate) isOverloaded() bool {
	return g.rejected >= minRejected && float64(g.rejected) > minRejectedShare*float64(g.totalArrivals) && g.served > 0
}

// shed sets maxPriority so that about as many requests are admitted as were served in this window, plus headroom. The highest
// priority is always admitted. priorities are the sorted priorities of this window.
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

// relax admits the next lower priority after enough calm windows. It ends load shedding once the lowest one would be admitted.
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
