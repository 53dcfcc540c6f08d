package dispatch

import (
	"maps"
	"slices"
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// pool holds a decision module and the hosts that the module may use. It implements policy.Actions for that module, so that a
// module can only act on its own pool.
type pool struct {
	dispatcher       *Dispatcher
	id               hoststate.PoolID
	name             string
	module           *policy.Balancer
	slowStart        time.Duration
	slowStartInitial float64
	maxAttempts      int
	retryAfter       time.Duration
	retryBudget      *retrybudget.Budget // nil = only the module limits retries

	hosts      map[policy.ReplicaID]*Host
	hostIDs    map[string]policy.ReplicaID // by name
	readyHosts int

	counters   Counters
	unfinished int         // requests that are open or have a running attempt
	tracePool  *trace.Pool // name and classes for traces
	ending     bool        // EndPool was received; the pool ends with its last request
	ended      bool
}

// configurePool adds a pool or reconfigures an existing one.
func (d *Dispatcher) configurePool(e ConfigurePool) {
	p := d.pools[e.Pool]
	if p == nil {
		if e.Module == nil {
			return
		}
		p = &pool{
			dispatcher: d, id: e.Pool, module: e.Module, slowStart: e.SlowStart, slowStartInitial: e.SlowStartInitial,
			hosts: map[policy.ReplicaID]*Host{}, hostIDs: map[string]policy.ReplicaID{},
			counters: Counters{Outcomes: map[policy.Result]int{}},
		}
		d.pools[p.id] = p
		if d.sharedHosts == nil && len(d.pools) > 1 {
			d.trackSharedHosts()
		}
	}
	p.name, p.maxAttempts, p.retryAfter, p.ending = e.Name, e.MaxAttempts, e.RetryAfter, false
	if p.maxAttempts == 0 {
		p.maxAttempts = d.limits.MaxAttempts
	}
	if p.retryAfter == 0 {
		p.retryAfter = d.limits.OverloadRetryAfter
	}
	p.tracePool = &trace.Pool{Name: e.Name, Classes: e.Classes}
	if e.RetryBudget != nil && (p.retryBudget == nil || *e.RetryBudget != *p.retryBudget) {
		p.retryBudget = e.RetryBudget
	}
	d.requestQuota.SetClaim(int(p.id), e.RequestQuota)
}

// addClasses adds classes to a pool's module, and logs an error of the module.
func (d *Dispatcher) addClasses(e AddClasses) {
	p := d.pools[e.Pool]
	if p == nil {
		return
	}
	if err := p.module.SetClasses(e.Classes); err != nil {
		d.emit(Log{p.name, err.Error()})
	}
}

// endPools removes the ending pools whose requests have all finished.
func (d *Dispatcher) endPools() {
	d.poolsEnding = false
	for _, id := range slices.Sorted(maps.Keys(d.pools)) {
		p := d.pools[id]
		switch {
		case !p.ending:
			continue
		case p.unfinished > 0:
			d.poolsEnding = true
			continue
		}
		p.ended = true
		delete(d.pools, id)
		d.requestQuota.EndClaim(int(id))
		if d.sharedHosts != nil {
			d.sharedHosts.RemovePool(id)
		}
		d.counters.add(&p.counters)
		d.emit(PoolEnded{id})
	}
}
