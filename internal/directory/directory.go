// Package directory holds the directory by which both fronts find a request's pool: the table of routes, and of each pool
// what a front must know. What the directory is made of is decided by package reconcile.
package directory

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/route"
	"notchhinge/policy"
)

// Directory leads requests to pools. It does not change; with other settings there is another one.
type Directory struct {
	Table *route.Table
	// NormalizesRequests: hosts and paths are brought into their one spelling, routed by that, and sent on in it. Otherwise they are
	// looked at and sent on as they came, and Host does not count.
	NormalizesRequests bool
	pools              map[int]*Pool
}

// New returns a directory. The table's numbers of pools are their IDs.
func New(t *route.Table, strict bool, pools ...*Pool) *Directory {
	d := &Directory{Table: t, NormalizesRequests: strict, pools: map[int]*Pool{}}
	for _, p := range pools {
		p.classIndexes = map[string]int{}
		for i, c := range p.Classes {
			p.classIndexes[c.Name] = i
		}
		d.pools[int(p.ID)] = p
	}
	return d
}

// Pool is a pool as the fronts see it.
type Pool struct {
	ID           hoststate.PoolID
	Name         string
	Classes      []policy.Class
	MaxBudget    time.Duration // no authorisation waits longer, whatever it asks for
	RetryAfter   time.Duration // with what a front turns away for want of room
	classIndexes map[string]int
}

// ClassIndex finds a class of the pool's.
func (p *Pool) ClassIndex(name string) (number int, ok bool) {
	number, ok = p.classIndexes[name]
	return number, ok
}

// PoolFor returns the pool that a target's conversation belongs to.
func (d *Directory) PoolFor(to *route.Target, conversation uint64) *Pool {
	return d.pools[to.PoolFor(conversation)]
}

// Pools returns every pool that a target may lead to.
func (d *Directory) Pools(to *route.Target) (all []*Pool) {
	for _, n := range to.Pools() {
		all = append(all, d.pools[n])
	}
	return all
}

// CompletionsPath is where the platform's clients ask, and BatchHost the host that lines of batches are sent to.
const (
	CompletionsPath = "/v1/chat/completions"
	BatchHost       = "batch.notchhinge"
)

// BatchTarget returns where the lines of a batch go: to the service that their contract names, or by their route. It is nil
// where nothing leads them.
func (d *Directory) BatchTarget(service, class string) *route.Target {
	if service != "" {
		return d.Table.Service(service)
	}
	return d.Table.Lookup(&route.Query{Host: BatchHost, Path: CompletionsPath, Method: "POST", Class: class})
}

// SinglePool is the directory of the platform's case: one pool that takes POST at CallsPath, whatever the host.
func SinglePool(p *Pool) *Directory {
	t, faults := route.New([]route.Service{{Pools: []route.WeightedPool{{Weight: 1}}}}, []route.Route{{Path: CompletionsPath, Method: "POST"}},
		func(string) (int, bool) { return int(p.ID), true })
	if len(faults) > 0 {
		return nil // it has none, as every test of a front sees
	}
	return New(t, false, p)
}
