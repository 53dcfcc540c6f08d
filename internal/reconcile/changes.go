package reconcile

import "notchhinge/internal/hoststate"

// Changes are the differences between a running plan and the next one.
type Changes struct {
	Added         []Pool
	Kept          []Pool            // as in the next plan
	SourceChanged []Pool            // the pools of Kept with a new discovery address or selection
	Removed       []Pool            // as in the running plan
	Renamed       map[string]string // new name by old name, of pools of Kept
}

// ChangesFrom returns the changes from the running plan, which is nil at the start, to this one. Pools are in the order of their
// plans.
func (p *Plan) ChangesFrom(running *Plan) Changes {
	if running == nil {
		running = &Plan{}
	}
	c := Changes{Renamed: map[string]string{}}
	unmatched := map[hoststate.PoolID]*Pool{}
	for i := range running.Pools {
		unmatched[running.Pools[i].ID] = &running.Pools[i]
	}
	for _, pool := range p.Pools {
		old := unmatched[pool.ID]
		if old == nil {
			c.Added = append(c.Added, pool)
			continue
		}
		delete(unmatched, pool.ID)
		c.Kept = append(c.Kept, pool)
		if old.Name != pool.Name {
			c.Renamed[old.Name] = pool.Name
		}
		if old.DiscoveryAddr != pool.DiscoveryAddr || !old.Selection.Equal(&pool.Selection) {
			c.SourceChanged = append(c.SourceChanged, pool)
		}
	}
	for _, pool := range running.Pools {
		if unmatched[pool.ID] != nil {
			c.Removed = append(c.Removed, pool)
		}
	}
	return c
}
