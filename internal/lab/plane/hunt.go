package plane

import (
	"cmp"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Size is how large the fleets of a hunt are.
type Size struct{ Keepers, Routers, Engines, Tolerate int }

// Draw draws a day: a few troubles that overlap as they like, but no more keepers at once than are to be borne.
func Draw(seed uint64, s Size) *Day {
	rnd := rand.New(rand.NewPCG(seed, 13))
	d := &Day{Seed: seed, Keepers: s.Keepers, Routers: s.Routers, Engines: s.Engines, Tolerate: s.Tolerate, Length: 30 * time.Second}
	away := make([]time.Duration, s.Keepers) // until when each is lost to the others, with the time to catch up
	pick := func(n, from, to int) (all []int) {
		for _, i := range rnd.Perm(to - from)[:min(n, to-from)] {
			all = append(all, from+i)
		}
		return all
	}
	for range 3 + rnd.IntN(8) {
		t := Trouble{At: time.Duration(rnd.IntN(28000)) * time.Millisecond, For: time.Duration(200+rnd.IntN(9000)) * time.Millisecond}
		t.Kind = []Kind{Kill, Kill, Wipe, Cut, Mute, Deaf, Split, Split, Leave, Crash, Change, Change, Race, Race, Freeze, Step, Part, Full}[rnd.IntN(18)]
		switch t.Kind {
		case Leave, Crash:
			t.On = pick(1+rnd.IntN(3), 0, s.Engines)
		case Change, Race:
		case Split:
			t.On = pick(1+rnd.IntN(s.Tolerate), 0, s.Keepers)
		case Wipe:
			t.On = pick(1, 0, s.Keepers)
		case Full:
			t.On = pick(1+rnd.IntN(s.Tolerate), 0, s.Keepers)
		case Part:
			t.On = pick(2, 0, s.Keepers)
		default:
			if t.On = pick(1+rnd.IntN(max(s.Routers/2, 1)), s.Keepers, s.Keepers+s.Routers); rnd.IntN(2) == 0 {
				t.On = pick(1+rnd.IntN(s.Tolerate), 0, s.Keepers)
			}
		}
		lost := 0
		for _, until := range away {
			if until > t.At {
				lost++
			}
		}
		keepers := slices.DeleteFunc(slices.Clone(t.On), func(i int) bool { return i >= s.Keepers || t.Kind == Leave || t.Kind == Crash })
		more := 0
		for _, k := range keepers {
			if away[k] <= t.At {
				more++
			}
		}
		if lost+more > s.Tolerate {
			continue
		}
		for _, k := range keepers {
			away[k] = max(away[k], t.At+t.For+6*time.Second)
		}
		d.Troubles = append(d.Troubles, t)
		if (t.Kind == Change || t.Kind == Race) && rnd.IntN(3) == 0 && lost == 0 { // as closing faults strike
			t = Trouble{Kind: []Kind{Dark, Aimed}[rnd.IntN(2)], At: t.At + time.Duration(rnd.IntN(60))*time.Millisecond,
				For: time.Duration(50+rnd.IntN(1200)) * time.Millisecond}
			d.Troubles = append(d.Troubles, t)
			if t.Kind == Aimed {
				for k := range away { // any of them may be the one
					away[k] = max(away[k], t.At+8*time.Second)
				}
			}
		}
	}
	slices.SortFunc(d.Troubles, func(x, y Trouble) int { return int(x.At - y.At) })
	return d
}

// Met is which troubles have met: of one that is still there when another begins, the kinds, and whom they strike.
type Met map[[2]string]int

// add counts what meets in a day, and tells how much of it is new.
func (m Met) add(d *Day, count bool) (fresh int) {
	name := func(t *Trouble) string {
		switch {
		case t.Kind == Leave || t.Kind == Crash || len(t.On) == 0:
			return string(t.Kind)
		case t.On[0] < d.Keepers:
			return string(t.Kind) + " of keepers"
		}
		return string(t.Kind) + " of routers"
	}
	seen := Met{}
	for i := range d.Troubles {
		for k := range d.Troubles[:i] {
			x, y := &d.Troubles[k], &d.Troubles[i] // in the order of their times
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
func Plan(first uint64, days int, s Size) (all []*Day, met Met) {
	met = Met{}
	for i := range uint64(days) {
		var best *Day
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

// Hunt plays days on all cores, and returns those that break a rule, in the order of their seeds. progress is told how many
// are done.
func Hunt(days []*Day, progress func(done int)) (broken []*Day) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan *Day)
	done := 0
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for d := range next {
				r := d.Play("")
				mu.Lock()
				if len(r.Found) > 0 {
					broken = append(broken, d)
				}
				if done++; progress != nil {
					progress(done)
				}
				mu.Unlock()
			}
		})
	}
	for _, d := range days {
		next <- d
	}
	close(next)
	wait.Wait()
	slices.SortFunc(broken, func(x, y *Day) int { return cmp.Compare(x.Seed, y.Seed) })
	return broken
}

// Shrink takes troubles, machines under them and time away from a day for as long as it breaks the same rule.
func (d *Day) Shrink(broken, rule string) *Day {
	breaks := func(x *Day) bool {
		return slices.ContainsFunc(x.Play(broken).Found, func(f Found) bool { return f.Rule == rule })
	}
	best := *d
	for again := true; again; {
		again = false
		for i := range best.Troubles {
			x := best
			x.Troubles = slices.Delete(slices.Clone(best.Troubles), i, i+1)
			if breaks(&x) {
				best, again = x, true
				break
			}
			if t := best.Troubles[i]; len(t.On) > 1 {
				x.Troubles = slices.Clone(best.Troubles)
				x.Troubles[i].On = slices.Clone(t.On[:len(t.On)-1])
				if breaks(&x) {
					best, again = x, true
					break
				}
			}
		}
	}
	if n := len(best.Troubles); n > 0 {
		x := best
		if x.Length = best.Troubles[n-1].At + best.Troubles[n-1].For + 2*time.Second; x.Length < best.Length && breaks(&x) {
			best = x
		}
	}
	return &best
}
