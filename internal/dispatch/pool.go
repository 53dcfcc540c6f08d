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

// pool has a decision module of its own and the hosts that it may use. It is the module's policy.Actions, so that a module acts
// on its own pool only.
type pool struct {
	dispatcher       *Dispatcher
	id               hoststate.PoolID
	name             string
	module           *policy.Balancer
	slowStart        time.Duration
	slowStartInitial float64
	maxAttempts      int
	retryAfter       time.Duration
	retryBudget      *retrybudget.Budget // nil where only the module bounds retries

	hosts      map[policy.ReplicaID]*Host
	hostIDs    map[string]policy.ReplicaID // by name
	readyHosts int

	counters   Counters
	unfinished int        // requests that are known
	traceSet   *trace.Set // for traces
	ending     bool       // nothing more is routed to it; it ends with its last request
	ended      bool
}

// configurePool adds a pool, or changes what a pool may have.
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
	p.traceSet = &trace.Set{Pool: e.Name, Classes: e.Classes}
	if e.RetryBudget != nil && (p.retryBudget == nil || *e.RetryBudget != *p.retryBudget) {
		p.retryBudget = e.RetryBudget
	}
	d.requestQuota.SetClaim(int(p.id), e.RequestQuota)
}

// addClasses gives a pool's module further classes.
func (d *Dispatcher) addClasses(e AddClasses) {
	p := d.pools[e.Pool]
	if p == nil {
		return
	}
	if err := p.module.SetClasses(e.Classes); err != nil {
		d.emit(Log{p.name, err.Error()})
	}
}

// endPools removes the ending pools that have no request left.
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
