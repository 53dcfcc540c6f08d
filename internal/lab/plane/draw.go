package plane

import (
	"math/rand/v2"
	"slices"
	"time"
)

// drawing is a day that is being drawn.
type drawing struct {
	*rand.Rand
	Size
	bounds
	day    *Scenario
	wait   []Fault         // by their times
	away   []time.Duration // until when each seat is lost, with the time to catch up
	anyone []time.Duration // and until when one is that is not known yet
	halves time.Duration   // until when the core is cut into halves
	disks  int             // how many are lost, where losses overlap
}

// drawn are the kinds of a draw, those that are drawn more often several times.
var drawn = []FaultKind{
	Kill, Kill, Term, Wipe, Wipe, Isolate, Isolate, DropOutbound, DropInbound, PartitionReplicas, PartitionReplicas, DrainEngine, Crash, RaceChanges, RaceChanges, Freeze, Step, Part, Full, Slow, Stall,
	Replace, Replace, Replace, Replace, Lost, Lost, Halves, Halves, SignOff,
}

const (
	mostReplaced = 5 // of a day
	longest      = 20 * time.Second

	shortestHalves, longestHalves = time.Second, 8 * time.Second

	oneOverlaps = 5 // one of so many days has more keepers lost at once than are to be borne
)

// Draw draws a day: troubles that overlap as they like, but no more keepers lost at once, as the platform counts it, than are to
// be borne: what would lose more waits its turn, or is cut down.
func Draw(seed uint64, s Size) *Scenario {
	rnd := rand.New(rand.NewPCG(seed, 13))
	w := &drawing{Rand: rnd, Size: s, bounds: boundsOf(s.Tolerate), away: make([]time.Duration, s.Replicas)}
	w.day = &Scenario{Seed: seed, Replicas: s.Replicas, Routers: s.Routers, Engines: s.Engines, Tolerate: s.Tolerate, Length: time.Duration(30+15*rnd.IntN(3)) * time.Second}
	w.day.Overlaps = rnd.IntN(oneOverlaps) == 0
	for range int(w.day.Length/(5*time.Second)) + rnd.IntN(8) {
		w.later(w.some(drawn[rnd.IntN(len(drawn))]))
	}
	for range int(w.day.Length / (4 * time.Second)) { // whatever happens there are orders
		w.later(Fault{At: w.time(), Kind: ChangeConfig})
	}
	if rnd.IntN(4) == 0 {
		t := Fault{At: w.time(), For: w.between(4*time.Second, longest), Kind: Storm}
		w.later(t)
	}
	replaced := 0
	for len(w.wait) > 0 {
		t := w.wait[0]
		w.wait = w.wait[1:]
		if t.Kind == Replace {
			if replaced == mostReplaced {
				continue
			}
			replaced++
		}
		w.place(t)
	}
	slices.SortStableFunc(w.day.Faults, func(x, y Fault) int { return int(x.At - y.At) })
	return w.day
}

func (w *drawing) between(from, to time.Duration) time.Duration {
	return (from + time.Duration(w.Int64N(int64(to-from)))).Truncate(time.Millisecond)
}

func (w *drawing) time() time.Duration { return w.between(0, w.day.Length-2*time.Second) }

// pick picks numbers.
func (w *drawing) pick(n, from, to int) (all []int) {
	for _, i := range w.Perm(to - from)[:min(n, to-from)] {
		all = append(all, from+i)
	}
	return all
}

// later puts a trouble among those that wait for their time.
func (w *drawing) later(t Fault) {
	i, _ := slices.BinarySearchFunc(w.wait, t, func(x, y Fault) int { return int(x.At - y.At) })
	w.wait = slices.Insert(w.wait, i, t)
}

// some draws a trouble of a kind.
func (w *drawing) some(kind FaultKind) Fault {
	t := Fault{At: w.time(), For: w.between(200*time.Millisecond, 9*time.Second), Kind: kind}
	if kind != Replace && w.IntN(4) == 0 {
		t.For = w.between(9*time.Second, longest)
	}
	if all := hows[kind]; len(all) > 0 && w.IntN(2) == 0 {
		t.How = all[w.IntN(len(all))]
	}
	if w.strikes(&t); t.How == Leader {
		t.On = nil
	}
	if t.How == Seeds && len(t.On) > 0 && t.On[0] >= w.Replicas { // they are keepers who are cut off
		t.On = w.pick(1+w.IntN(w.Tolerate), 0, w.Replicas)
	}
	if t.How == Both && len(t.On) > 0 && t.On[0] >= w.Replicas {
		t.How = ""
	}
	return t
}

// strikes draws whom it strikes.
func (w *drawing) strikes(t *Fault) {
	switch t.Kind {
	case Halves:
		t.On, t.For = w.pick(w.Replicas/2, 0, w.Replicas), w.between(shortestHalves, longestHalves)
	case DrainEngine, Crash, SignOff:
		t.On = w.pick(1+w.IntN(3), 0, w.Engines)
	case RaceChanges, Lost:
		t.For = 0
	case PartitionReplicas, Full, Slow, Stall:
		t.On = w.pick(1+w.IntN(w.Tolerate), 0, w.Replicas)
	case Wipe, Replace:
		t.On = w.pick(1, 0, w.Replicas)
	case Part:
		t.On = w.pick(2, 0, w.Replicas)
	default:
		if t.On = w.pick(1+w.IntN(max(w.Routers/2, 1)), w.Replicas, w.Replicas+w.Routers); w.IntN(3) > 0 {
			t.On = w.pick(1+w.IntN(w.Tolerate), 0, w.Replicas)
		}
	}
}

// free tells from when on a trouble loses no more keepers than are to be borne.
func (w *drawing) free(keepers []int, cost int, from time.Duration) time.Duration {
	for {
		lost, next := 0, time.Duration(1<<62)
		for k, until := range w.away {
			if until > from {
				if next = min(next, until); !slices.Contains(keepers, k) {
					lost++
				}
			}
		}
		for _, until := range w.anyone {
			if until > from {
				lost, next = lost+1, min(next, until)
			}
		}
		if lost+cost <= w.Tolerate {
			return from
		}
		from = next
	}
}

// counts tells whether keepers that a trouble strikes count as lost. Where losses overlap only those without their disks do.
func (w *drawing) counts(t *Fault) bool {
	return t.losesDisk() || !w.day.Overlaps && !t.Kind.strikesEngines() && t.Kind != Dismiss && t.Kind != Halves
}

func (t *Fault) losesDisk() bool { return t.Kind == Wipe || t.Kind == Replace }

// place has a trouble happen at its time, or when its turn comes.
func (w *drawing) place(t Fault) {
	var keepers []int
	for _, k := range t.On {
		if w.counts(&t) && k < w.Replicas {
			keepers = append(keepers, k)
		}
	}
	cost := len(keepers)
	if !w.day.Overlaps && (t.Kind == Part || t.How == Leader) {
		cost = 1 // of the two any other can be spared no more; and it may be anyone
	}
	if t.At > w.day.Length-2*time.Second {
		return
	}
	if w.day.Overlaps && cost > 0 { // nobody may be there for so long from whom a successor learns
		if w.disks+cost > w.Tolerate {
			return
		}
		w.disks += cost
	}
	if cost > 0 {
		asked := t.At
		if t.At = w.free(keepers, cost, t.At); t.At > asked { // others may come first now
			w.later(t)
			return
		}
		until := t.At + t.For + w.catchUp
		if t.How == Planned {
			until = t.At + max(t.For, w.catchUp)
		}
		if w.counts(&t) && t.losesDisk() { // a successor needs a majority, from whom it learns
			until = max(until, w.halves+w.catchUp)
		}
		for _, k := range keepers {
			w.away[k] = max(w.away[k], until)
		}
		if t.How == Leader && !w.day.Overlaps {
			w.anyone = append(w.anyone, until)
		}
	}
	w.day.Faults = append(w.day.Faults, t)
	switch {
	case t.Kind == Halves:
		w.halves = max(w.halves, t.At+t.For)
		for k, until := range w.away {
			if until > t.At {
				w.away[k] = max(until, w.halves+w.catchUp)
			}
		}
	case t.Kind == Replace:
		if w.IntN(2) == 0 {
			w.later(Fault{At: t.At + t.For + w.between(0, 2*w.catchUp), Kind: Dismiss, On: t.On})
		}
		w.after(t)
	case t.Kind == Lost:
		w.later(Fault{At: t.At, Kind: ChangeConfig})
	case (t.Kind == ChangeConfig || t.Kind == RaceChanges) && w.IntN(6) == 0:
		w.closing(t)
	}
}

// after has another keeper lost as soon as the successor of one has had its time, and changes while it is.
func (w *drawing) after(t Fault) {
	if w.IntN(3) == 0 {
		return
	}
	at := w.away[t.On[0]]
	x := w.some([]FaultKind{Kill, Wipe, Isolate, PartitionReplicas, Freeze, Replace, Term}[w.IntN(7)])
	x.At, x.For, x.How = at+w.between(0, 500*time.Millisecond), w.between(6*time.Second, longest), ""
	if x.Kind == Replace && w.IntN(2) == 0 {
		x.How = Planned
	}
	x.On = nil
	for _, k := range w.pick(w.Replicas, 0, w.Replicas) {
		if k != t.On[0] && len(x.On) < w.Tolerate && (x.Kind != Wipe && x.Kind != Replace || len(x.On) == 0) {
			x.On = append(x.On, k)
		}
	}
	w.later(x)
	w.later(Fault{At: x.At + w.between(0, w.contact+time.Second), Kind: ChangeConfig})
}

// closing has a fault strike as those at a day's end do, right after a change.
func (w *drawing) closing(t Fault) {
	for _, until := range append(slices.Clone(w.away), w.anyone...) {
		if until > t.At {
			return
		}
	}
	if w.day.Overlaps && w.disks > 0 {
		return
	}
	w.disks = w.Tolerate
	x := Fault{Kind: []FaultKind{Dark, Aimed}[w.IntN(2)], At: t.At + w.between(0, 60*time.Millisecond), For: w.between(50*time.Millisecond, 1250*time.Millisecond)}
	if x.Kind == Dark && w.IntN(2) == 0 { // and as many disks as may be
		x.How, x.On = Disks, w.pick(w.Tolerate, 0, w.Replicas)
	}
	w.day.Faults = append(w.day.Faults, x)
	for k := range w.away { // all are lost until they have had their time, and any may be the one whose disk is
		w.away[k] = max(w.away[k], max(x.At+time.Second+x.For, w.halves)+w.catchUp)
	}
}
