package directory

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/route"
	"notchhinge/policy"
)

const (
	// CompletionsPath is the path of completion requests.
	CompletionsPath = "/v1/chat/completions"
	// BatchHost is the host of requests made from the items of a batch job.
	BatchHost = "batch.notchhinge"
)

// Directory maps requests to pools. It is immutable and safe for concurrent use.
type Directory struct {
	Table *route.Table
	// NormalizesRequests says that hosts and paths are normalized before they are routed and forwarded. Otherwise paths are
	// routed and forwarded as received, and hosts are ignored.
	NormalizesRequests bool
	pools              map[int]*Pool // by ID, which is also the pool number in Table
}

// Pool holds the settings of a pool that frontends use.
type Pool struct {
	ID           hoststate.PoolID
	Name         string
	Classes      []policy.Class
	MaxBudget    time.Duration  // upper bound of a request's time budget
	RetryAfter   time.Duration  // sent when a request is rejected for lack of capacity
	classIndexes map[string]int // indexes in Classes by name
}

// New returns a directory of a table and its pools. The pool numbers of the table are the IDs of the pools.
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

// SinglePool returns a directory with one pool, which serves POST requests to CompletionsPath on any host.
func SinglePool(p *Pool) *Directory {
	services := []route.Service{{Pools: []route.WeightedPool{{Weight: 1}}}}
	routes := []route.Route{{Path: CompletionsPath, Method: "POST"}}
	table, errs := route.New(services, routes, func(string) (int, bool) { return int(p.ID), true })
	if len(errs) > 0 {
		return nil // unreachable: the routes and services are constant
	}
	return New(table, false, p)
}

// PoolFor returns the pool of a target for the requests of a session.
func (d *Directory) PoolFor(target *route.Target, session uint64) *Pool {
	return d.pools[target.PoolFor(session)]
}

// Pools returns every pool that PoolFor can return for a target.
func (d *Directory) Pools(target *route.Target) (pools []*Pool) {
	for _, number := range target.Pools() {
		pools = append(pools, d.pools[number])
	}
	return pools
}

// BatchTarget returns the target of the items of a batch job: that of the service, or if service is empty, the one that the
// routes select for BatchHost and the class. It returns nil if there is none.
func (d *Directory) BatchTarget(service, class string) *route.Target {
	if service != "" {
		return d.Table.Service(service)
	}
	return d.Table.Lookup(&route.Query{Host: BatchHost, Path: CompletionsPath, Method: "POST", Class: class})
}

// ClassIndex returns the index in Classes of the class with a name, and whether there is one.
func (p *Pool) ClassIndex(name string) (index int, ok bool) {
	index, ok = p.classIndexes[name]
	return index, ok
}
