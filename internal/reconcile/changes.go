package reconcile

import "notchhinge/internal/hoststate"

// Changes is what leads from one plan to the next.
type Changes struct {
	Added         []Pool
	Kept          []Pool            // as the next plan has them
	SourceChanged []Pool            // those of Kept with another endpoint list or another selection of it
	Removed       []Pool            // as the previous plan had them
	Renamed       map[string]string // of Kept: old name to new name
}

// ChangesFrom returns what leads from the running plan, nil at the start, to this one. Pools are in the order of their plans.
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
