package hoststate

import "time"

// slowStartAllowance is how many requests a host in slow start may still be sent by all pools together.
type slowStartAllowance struct {
	startedAt time.Duration // the process that it is for
	credit    float64       // requests, 1 at most
	arrived   map[PoolID]float64
}

// PoolTraffic is what a pool has seen, and what of it a host in slow start may have.
type PoolTraffic struct {
	Pool    PoolID
	Arrived float64 // requests so far
	Hosts   float64 // that share them
	Share   float64 // of the host's usual traffic that it may have now, from 0 to 1
}

// TryTakeSlowStart takes one request out of the allowance of a host in slow start that several pools share, and reports whether it may
// be sent. Each pool's module keeps to the host's share of that pool's traffic; the allowance grows by the sum of these shares, and
// at most one request is saved up for all pools together, as it is within one pool. traffic is of every pool that has the host.
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

// SlowStartShare returns the share of its usual traffic that a host may have at an age: initial at its start, growing evenly to 1
// at the end of slowStart. It is the decision module's rule.
func SlowStartShare(age, slowStart time.Duration, initial float64) float64 {
	if slowStart <= 0 || age >= slowStart {
		return 1
	}
	return initial + (1-initial)*max(float64(age)/float64(slowStart), 0)
}
