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
	for _, q := range p.Pools {
		old := unmatched[q.ID]
		if old == nil {
			c.Added = append(c.Added, q)
			continue
		}
		delete(unmatched, q.ID)
		c.Kept = append(c.Kept, q)
		if old.Name != q.Name {
			c.Renamed[old.Name] = q.Name
		}
		if old.DiscoveryAddr != q.DiscoveryAddr || !old.Selection.Equal(&q.Selection) {
			c.SourceChanged = append(c.SourceChanged, q)
		}
	}
	for _, q := range running.Pools {
		if unmatched[q.ID] != nil {
			c.Removed = append(c.Removed, q)
		}
	}
	return c
}
