package plane

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Size is the size of the fleets of generated scenarios.
type Size struct{ Replicas, Routers, Engines, Tolerate int }

// PairCounts counts pairs of faults that overlap, by the names of both: kind, variant and sort of target.
type PairCounts map[[2]string]int

// add returns how many pairs of a scenario are new, and counts its pairs if count is set.
func (m PairCounts) add(s *Scenario, count bool) (fresh int) {
	name := func(f *Fault) string {
		kind := string(f.Kind)
		if f.Variant != "" {
			kind += " " + string(f.Variant)
		}
		switch {
		case f.Kind.targetsEngines() || len(f.On) == 0:
			return kind
		case f.On[0] < s.Replicas:
			return kind + " of replicas"
		}
		return kind + " of routers"
	}
	seen := PairCounts{}
	for i := range s.Faults {
		for k := range s.Faults[:i] {
			x, y := &s.Faults[k], &s.Faults[i] // sorted by time
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

// candidatesPerScenario is how many scenarios are drawn for each one that is run: the one with the most new pairs.
const candidatesPerScenario = 3

// Plan draws scenarios with consecutive seeds that cover many pairs of faults.
func Plan(first uint64, count int, s Size) (all []*Scenario, pairs PairCounts) {
	pairs = PairCounts{}
	for i := range uint64(count) {
		var best *Scenario
		mostNew := -1
		for k := range uint64(candidatesPerScenario) {
			scenario := Draw(first+i+k<<32, s)
			if n := pairs.add(scenario, false); n > mostNew {
				best, mostNew = scenario, n
			}
		}
		pairs.add(best, true)
		all = append(all, best)
	}
	return all, pairs
}

// Hunt runs scenarios on all cores until the context ends. It returns how many were run, and those that violate an
// invariant, sorted by seed. progress is called with the number of completed scenarios.
func Hunt(ctx context.Context, scenarios []*Scenario, progress func(done int)) (completed int, violating []*Scenario) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan *Scenario)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for scenario := range next {
				r := scenario.Run("")
				mu.Lock()
				if len(r.Violations) > 0 {
					violating = append(violating, scenario)
				}
				if completed++; progress != nil {
					progress(completed)
				}
				mu.Unlock()
			}
		})
	}
	for _, scenario := range scenarios {
		select {
		case next <- scenario:
		case <-ctx.Done():
		}
	}
	close(next)
	wait.Wait()
	slices.SortFunc(violating, func(x, y *Scenario) int { return cmp.Compare(x.Seed, y.Seed) })
	return completed, violating
}

// Shrink removes faults, targets and time from a scenario while it still violates the same rule.
func (s *Scenario) Shrink(injectedBug, rule string) *Scenario {
	violates := func(x *Scenario) bool {
		return slices.ContainsFunc(x.Run(injectedBug).Violations, func(f Violation) bool { return f.Rule == rule })
	}
	best := *s
	for chunk := len(s.Faults) / 2; chunk > 1; chunk /= 2 { // remove several at once first
		for i := 0; i < len(best.Faults); {
			x := best
			if x.Faults = slices.Delete(slices.Clone(best.Faults), i, min(i+chunk, len(best.Faults))); violates(&x) {
				best = x
			} else {
				i += chunk
			}
		}
	}
	for again := true; again; {
		again = false
		for i := range best.Faults {
			x := best
			x.Faults = slices.Delete(slices.Clone(best.Faults), i, i+1)
			if violates(&x) {
				best, again = x, true
				break
			}
			if f := best.Faults[i]; len(f.On) > 1 {
				x.Faults = slices.Clone(best.Faults)
				x.Faults[i].On = slices.Clone(f.On[:len(f.On)-1])
				if violates(&x) {
					best, again = x, true
					break
				}
			}
		}
	}
	if n := len(best.Faults); n > 0 {
		x := best
		if x.Length = best.Faults[n-1].At + best.Faults[n-1].For + 2*time.Second; x.Length < best.Length && violates(&x) {
			best = x
		}
	}
	return &best
}
