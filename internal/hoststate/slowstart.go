package hoststate

import "time"

// slowStartAllowance is the number of requests that all pools together may still send to a host in slow start.
type slowStartAllowance struct {
	startedAt time.Duration      // start of the process that the allowance is for
	credit    float64            // in requests, at most 1
	arrived   map[PoolID]float64 // requests of each pool so far, at the last call
}

// PoolTraffic is the traffic of a pool, and the share of it that a host in slow start may receive.
type PoolTraffic struct {
	Pool    PoolID
	Arrived float64 // requests received so far
	Hosts   float64 // ready hosts among which the requests are divided
	Share   float64 // part of its usual traffic that the host may receive now, from 0 to 1
}

// TryTakeSlowStart reports whether one more request may be sent to a host in slow start, and if so takes it out of the host's
// allowance. The allowance grows by the sum of the host's shares of all pools' traffic, and at most one request is saved up. Each
// pool's module applies the same rule within its own pool. traffic lists every pool that has the host; a host that only one pool
// has is not limited here.
func (t *Tracker) TryTakeSlowStart(host Host, startedAt time.Duration, traffic []PoolTraffic) bool {
	r := t.hosts[host]
	if r == nil || len(r.pools) < 2 {
		return true
	}
	a := &r.slowStart
	if a.arrived == nil || a.startedAt != startedAt {
		*a = slowStartAllowance{startedAt: startedAt, arrived: map[PoolID]float64{}}
		for _, p := range traffic {
			a.arrived[p.Pool] = p.Arrived
		}
	}
	for _, p := range traffic {
		if before, ok := a.arrived[p.Pool]; ok {
			a.credit += min(max(p.Share, 0), 1) * max(p.Arrived-before, 0) / max(p.Hosts, 1)
		}
		a.arrived[p.Pool] = p.Arrived
	}
	a.credit = min(a.credit, 1)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// SlowStartShare returns the share of its usual traffic that a host of the given age may receive: initial at its start, growing
// linearly to 1 at the end of slowStart. The decision module uses the same rule.
func SlowStartShare(age, slowStart time.Duration, initial float64) float64 {
	if slowStart <= 0 || age >= slowStart {
		return 1
	}
	return initial + (1-initial)*max(float64(age)/float64(slowStart), 0)
}
