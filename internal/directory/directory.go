package directory

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/route"
	"notchhinge/policy"
)

const (
	// CompletionsPath is the path of the platform's requests.
	CompletionsPath = "/v1/chat/completions"
	// BatchHost is the host of requests that are items of a batch job.
	BatchHost = "batch.notchhinge"
)

// Directory finds the pools of requests. It is immutable and safe for concurrent use.
type Directory struct {
	Table *route.Table
	// NormalizesRequests is whether hosts and paths are normalized before they are routed and forwarded. Otherwise they
	// are routed and forwarded as received, and the host is ignored.
	NormalizesRequests bool
	pools              map[int]*Pool // by ID, which is the number of the pool in Table
}

// Pool is what a frontend knows of a pool.
type Pool struct {
	ID           hoststate.PoolID
	Name         string
	Classes      []policy.Class
	MaxBudget    time.Duration  // upper bound of a request's time budget
	RetryAfter   time.Duration  // sent with a rejection for lack of capacity
	classIndexes map[string]int // in Classes, by name
}

// New returns a directory. The numbers of pools in the table are the IDs of the pools.
func New(table *route.Table, normalizesRequests bool, pools ...*Pool) *Directory {
	d := &Directory{Table: table, NormalizesRequests: normalizesRequests, pools: map[int]*Pool{}}
	for _, p := range pools {
		p.classIndexes = map[string]int{}
		for i, c := range p.Classes {
			p.classIndexes[c.Name] = i
		}
		d.pools[int(p.ID)] = p
	}
	return d
}

// SinglePool returns the directory of the platform's protocol: one pool that serves POST at CompletionsPath on any host.
func SinglePool(p *Pool) *Directory {
	services := []route.Service{{Pools: []route.WeightedPool{{Weight: 1}}}}
	routes := []route.Route{{Path: CompletionsPath, Method: "POST"}}
	table, errs := route.New(services, routes, func(string) (int, bool) { return int(p.ID), true })
	if len(errs) > 0 {
		return nil // unreachable: the table is constant, and every test of a frontend makes it
	}
	return New(table, false, p)
}

// PoolFor returns the pool of a target for a conversation.
func (d *Directory) PoolFor(target *route.Target, conversation uint64) *Pool {
	return d.pools[target.PoolFor(conversation)]
}

// Pools returns every pool that PoolFor can return for a target.
func (d *Directory) Pools(target *route.Target) (pools []*Pool) {
	for _, number := range target.Pools() {
		pools = append(pools, d.pools[number])
	}
	return pools
}

// BatchTarget returns the target of the items of a batch job: the service, or with an empty service the one that the
// routes give for BatchHost and the class. It is nil if there is none.
func (d *Directory) BatchTarget(service, class string) *route.Target {
	if service != "" {
		return d.Table.Service(service)
	}
	return d.Table.Lookup(&route.Query{Host: BatchHost, Path: CompletionsPath, Method: "POST", Class: class})
}

// ClassIndex returns the index of a class in Classes by its name.
func (p *Pool) ClassIndex(name string) (index int, ok bool) {
	index, ok = p.classIndexes[name]
	return index, ok
}
