package reconcile

import (
	"fmt"
	"slices"
	"strconv"

	"notchhinge/internal/config/operatorconfig"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/config/tomlfile"
	"notchhinge/internal/directory"
	"notchhinge/internal/hoststate"
)

// Plan is the set of pools and routes that a router process serves. It is immutable.
type Plan struct {
	Directory *directory.Directory // routes, and the pools that they select
	Pools     []Pool               // in the order of the operator's file
	nextID    hoststate.PoolID     // lower ids are used by this plan or were used by an earlier one
}

// NewPlan returns the plan for a configuration and the operator's file, which may be nil. Running is the plan that the router
// serves, nil at the start. The error is tomlfile.Errors with all errors of the file.
func NewPlan(cfg *platformconfig.Config, f *operatorconfig.File, running *Plan) (*Plan, error) {
	p := &Plan{}
	if running != nil {
		p.nextID = running.nextID
	}
	if f == nil || len(f.Services) == 0 {
		p.servePlatform(cfg, running)
		return p, nil
	}
	errs := p.addPools(cfg, f, running)
	if len(errs) == 0 {
		if err := p.addRoutes(f); err != nil {
			return nil, err
		}
		errs = p.checkContracts(f)
	}
	if n := len(p.EndpointSources()); n > cfg.Limits.EndpointSources && running != nil {
		errs = append(errs, f.Errorf([]string{"pool", "0"}, "%d discovery addresses; the maximum is %d until the router is restarted", n,
			cfg.Limits.EndpointSources))
	}
	if len(errs) > 0 {
		return nil, errs.Sorted()
	}
	return p, nil
}

// EndpointSources returns the distinct discovery addresses of the pools.
func (p *Plan) EndpointSources() []string {
	var addrs []string
	for i := range p.Pools {
		if addr := p.Pools[i].DiscoveryAddr; !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// servePlatform sets the plan of a router without services in an operator's file: one pool without a name, with the
// platform's settings. Its module keeps its first settings across reloads, as the platform expects.
func (p *Plan) servePlatform(cfg *platformconfig.Config, running *Plan) {
	pool := Pool{DiscoveryAddr: cfg.DiscoveryAddr, Module: cfg.Module, Seed: cfg.Seed, RetryAfter: cfg.Limits.OverloadRetryAfter}
	if old := running.poolByName(""); old != nil {
		pool.ID, pool.Module, pool.Seed = old.ID, old.Module, old.Seed
	} else {
		pool.ID = p.newID()
	}
	p.Pools = []Pool{pool}
	frontendPool := pool.frontendPool()
	frontendPool.MaxBudget = cfg.Limits.MaxRequestTimeout
	p.Directory = directory.SinglePool(frontendPool)
}

// addPools adds the pools of the operator's file.
func (p *Plan) addPools(cfg *platformconfig.Config, f *operatorconfig.File, running *Plan) (errs tomlfile.Errors) {
	guarantees := guaranteedShares(f.Pools)
	for i := range f.Pools {
		pool, poolErrs := newPool(cfg, f, i)
		if len(poolErrs) > 0 {
			errs = append(errs, poolErrs...)
			continue
		}
		pool.setQuotas(&cfg.Limits, f.Pools[i].Limits, guarantees[i])
		pool.ID = p.poolID(&pool, f.Pools[i].FormerName, running)
		p.Pools = append(p.Pools, pool)
	}
	return errs
}

// poolID returns the id of the running pool that a pool of this plan continues, or a new id. The settings of a module cannot
// change, so that a pool with other settings is a new pool. At most one pool continues a running one.
func (p *Plan) poolID(pool *Pool, formerName string, running *Plan) hoststate.PoolID {
	for _, name := range []string{pool.Name, formerName} {
		old := running.poolByName(name)
		if old == nil || name == "" || old.moduleKey != pool.moduleKey {
			continue
		}
		if !slices.ContainsFunc(p.Pools, func(other Pool) bool { return other.ID == old.ID }) {
			return old.ID
		}
	}
	return p.newID()
}

func (p *Plan) newID() hoststate.PoolID {
	id := p.nextID
	p.nextID++
	return id
}

// poolByName returns the pool with a name, or nil. p may be nil.
func (p *Plan) poolByName(name string) *Pool {
	if p == nil {
		return nil
	}
	if i := slices.IndexFunc(p.Pools, func(pool Pool) bool { return pool.Name == name }); i >= 0 {
		return &p.Pools[i]
	}
	return nil
}

// addRoutes sets the directory from the pools and the file's routes, which were validated when the file was loaded.
func (p *Plan) addRoutes(f *operatorconfig.File) error {
	ids := map[string]int{}
	var pools []*directory.Pool
	for i := range p.Pools {
		pool := &p.Pools[i]
		ids[pool.Name] = int(pool.ID)
		pools = append(pools, pool.frontendPool())
	}
	table, errs := f.Table(func(name string) (int, bool) { id, ok := ids[name]; return id, ok })
	if len(errs) > 0 {
		return fmt.Errorf("routes: %w", errs[0])
	}
	p.Directory = directory.New(table, true, pools...)
	return nil
}

// checkContracts reports classes of batch contracts that match no route, or that a pool they are routed to does not have.
func (p *Plan) checkContracts(f *operatorconfig.File) (errs tomlfile.Errors) {
	for i, contract := range f.Contracts {
		key := []string{"contract", strconv.Itoa(i), "classes"}
		for _, class := range contract.Classes {
			target := p.Directory.BatchTarget(contract.Service, class)
			if target == nil {
				errs = append(errs, f.Errorf(key, "no route matches requests of class %q: POST %s%s (the contract names no service)", class,
					directory.BatchHost, directory.CompletionsPath))
				continue
			}
			for _, pool := range p.Directory.Pools(target) {
				if _, ok := pool.ClassIndex(class); !ok {
					errs = append(errs, f.Errorf(key, "pool %q of service %q has no class %q", pool.Name, target.Service, class))
				}
			}
		}
	}
	return errs
}
