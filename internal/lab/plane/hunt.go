package plane

import (
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

// Hunt plays days of seeds from one on, on all cores, and returns those that break a rule, in the order of their seeds.
// progress is told how many are done.
func Hunt(first uint64, days int, s Size, progress func(done int)) (broken []*Day) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan uint64)
	done := 0
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for seed := range next {
				d := Draw(seed, s)
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
	for i := range days {
		next <- first + uint64(i)
	}
	close(next)
	wait.Wait()
	slices.SortFunc(broken, func(x, y *Day) int { return int(int64(x.Seed) - int64(y.Seed)) })
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
