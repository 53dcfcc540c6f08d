// Package service holds the directory by which both fronts find a request's pool: the table of routes, and of each pool
// what a front must know. What the directory is made of is decided by package reconcile.
package service

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/route"
	"notchhinge/policy"
)

// Directory leads requests to pools. It does not change; with other settings there is another one.
type Directory struct {
	Table *route.Table
	// Strict: hosts and paths are brought into their one spelling, routed by that, and sent on in it. Otherwise they are
	// looked at and sent on as they came, and Host does not count.
	Strict bool
	pools  map[int]*Pool
}

// New returns a directory. The table's numbers of pools are their IDs.
func New(t *route.Table, strict bool, pools ...*Pool) *Directory {
	d := &Directory{Table: t, Strict: strict, pools: map[int]*Pool{}}
	for _, p := range pools {
		p.numbers = map[string]int{}
		for i, c := range p.Classes {
			p.numbers[c.Name] = i
		}
		d.pools[int(p.ID)] = p
	}
	return d
}

// Pool is a pool as the fronts see it.
type Pool struct {
	ID         hoststate.PoolID
	Name       string
	Classes    []policy.Class
	MaxBudget  time.Duration // no authorisation waits longer, whatever it asks for
	RetryAfter time.Duration // with what a front turns away for want of room
	numbers    map[string]int
}

// Class finds a class of the pool's.
func (p *Pool) Class(name string) (number int, ok bool) {
	number, ok = p.numbers[name]
	return number, ok
}

// Find returns the pool that a target's conversation belongs to.
func (d *Directory) Find(to *route.Target, conversation uint64) *Pool {
	return d.pools[to.Pool(conversation)]
}

// Pools returns every pool that a target may lead to.
func (d *Directory) Pools(to *route.Target) (all []*Pool) {
	for _, n := range to.Pools() {
		all = append(all, d.pools[n])
	}
	return all
}

// CallsPath is where the platform's clients ask, and BatchHost the host that lines of batches are sent to.
const (
	CallsPath = "/v1/chat/completions"
	BatchHost = "batch.notchhinge"
)

// Line returns where the lines of a batch go: to the service that their contract names, or by their route. It is nil
// where nothing leads them.
func (d *Directory) Line(service, class string) *route.Target {
	if service != "" {
		return d.Table.Service(service)
	}
	return d.Table.Lookup(&route.Query{Host: BatchHost, Path: CallsPath, Method: "POST", Class: class})
}

// Plain is the directory of the platform's case: one pool that takes POST at CallsPath, whatever the host.
func Plain(p *Pool) *Directory {
	t, faults := route.New([]route.Service{{Shares: []route.Share{{Weight: 1}}}}, []route.Route{{Path: CallsPath, Method: "POST"}},
		func(string) (int, bool) { return int(p.ID), true })
	if len(faults) > 0 {
		return nil // it has none, as every test of a front sees
	}
	return New(t, false, p)
}
