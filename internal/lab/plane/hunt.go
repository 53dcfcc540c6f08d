package plane

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Size is how large the fleets of a hunt are.
type Size struct{ Replicas, Routers, Engines, Tolerate int }

// Met is which troubles have met: of one that is still there when another begins, the kinds, and whom they strike.
type Met map[[2]string]int

// add counts what meets in a day, and tells how much of it is new.
func (m Met) add(d *Scenario, count bool) (fresh int) {
	name := func(t *Fault) string {
		kind := string(t.Kind)
		if t.How != "" {
			kind += " " + string(t.How)
		}
		switch {
		case t.Kind.strikesEngines() || len(t.On) == 0:
			return kind
		case t.On[0] < d.Replicas:
			return kind + " of keepers"
		}
		return kind + " of routers"
	}
	seen := Met{}
	for i := range d.Faults {
		for k := range d.Faults[:i] {
			x, y := &d.Faults[k], &d.Faults[i] // in the order of their times
			if y.At > x.At+x.For+time.Second {
				continue
			}
			pair := [2]string{name(x), name(y)}
			if seen[pair]++; seen[pair] == 1 && m[pair] == 0 {
				fresh++
			}
			if count {
				m[pair]++
			}
		}
	}
	return fresh
}

// candidates are drawn for each day of a hunt; the one in which most meets that has not met yet is played.
const candidates = 3

// Plan draws the days of a hunt, from a seed on.
func Plan(first uint64, days int, s Size) (all []*Scenario, met Met) {
	met = Met{}
	for i := range uint64(days) {
		var best *Scenario
		most := -1
		for k := range uint64(candidates) {
			d := Draw(first+i+k<<32, s)
			if n := met.add(d, false); n > most {
				best, most = d, n
			}
		}
		met.add(best, true)
		all = append(all, best)
	}
	return all, met
}

// Hunt plays days on all cores, until a context is over at the latest, and returns how many it has played and those that break a
// rule, in the order of their seeds. progress is told how many are done.
func Hunt(ctx context.Context, days []*Scenario, progress func(done int)) (played int, broken []*Scenario) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan *Scenario)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for d := range next {
				r := d.Run("")
				mu.Lock()
				if len(r.Violations) > 0 {
					broken = append(broken, d)
				}
				if played++; progress != nil {
					progress(played)
				}
				mu.Unlock()
			}
		})
	}
	for _, d := range days {
		select {
		case next <- d:
		case <-ctx.Done():
		}
	}
	close(next)
	wait.Wait()
	slices.SortFunc(broken, func(x, y *Scenario) int { return cmp.Compare(x.Seed, y.Seed) })
	return played, broken
}

// Shrink takes troubles, machines under them and time away from a day for as long as it breaks the same rule.
func (d *Scenario) Shrink(broken, rule string) *Scenario {
	breaks := func(x *Scenario) bool {
		return slices.ContainsFunc(x.Run(broken).Violations, func(f Found) bool { return f.Rule == rule })
	}
	best := *d
	for some := len(d.Faults) / 2; some > 1; some /= 2 { // many at a time, as long as that does
		for i := 0; i < len(best.Faults); {
			x := best
			if x.Faults = slices.Delete(slices.Clone(best.Faults), i, min(i+some, len(best.Faults))); breaks(&x) {
				best = x
			} else {
				i += some
			}
		}
	}
	for again := true; again; {
		again = false
		for i := range best.Faults {
			x := best
			x.Faults = slices.Delete(slices.Clone(best.Faults), i, i+1)
			if breaks(&x) {
				best, again = x, true
				break
			}
			if t := best.Faults[i]; len(t.On) > 1 {
				x.Faults = slices.Clone(best.Faults)
				x.Faults[i].On = slices.Clone(t.On[:len(t.On)-1])
				if breaks(&x) {
					best, again = x, true
					break
				}
			}
		}
	}
	if n := len(best.Faults); n > 0 {
		x := best
		if x.Length = best.Faults[n-1].At + best.Faults[n-1].For + 2*time.Second; x.Length < best.Length && breaks(&x) {
			best = x
		}
	}
	return &best
}
