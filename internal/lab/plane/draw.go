package plane

import (
	"math/rand/v2"
	"slices"
	"time"
)

// drawing is the state of the generation of a scenario.
type drawing struct {
	*rand.Rand
	Size
	bounds
	scenario        *Scenario
	pending         []Fault         // sorted by time
	lostUntil       []time.Duration // end of the loss of each slot, including the time to catch up
	leaderLostUntil []time.Duration // ends of losses of a replica that is chosen at run time
	halvesUntil     time.Duration   // end of the last PartitionHalves
	lostDisks       int             // disks lost so far, if losses overlap
}

// kindWeights lists the kinds to draw from; repeated kinds are drawn more often.
var kindWeights = []FaultKind{
	Kill, Kill, Terminate, WipeDisk, WipeDisk, Isolate, Isolate, DropOutbound, DropInbound, PartitionReplicas, PartitionReplicas, DrainEngine, CrashEngine, RaceChanges, RaceChanges, FreezeProcess, StepClock, PartitionPair, FullDisk, SlowDisk, StallDisk,
	ReplaceReplica, ReplaceReplica, ReplaceReplica, ReplaceReplica, LoseReply, LoseReply, PartitionHalves, PartitionHalves, DeregisterEngine,
}

const (
	maxReplacements = 5 // per scenario
	maxFaultLength  = 20 * time.Second

	minHalvesLength, maxHalvesLength = time.Second, 8 * time.Second

	overlapOneIn = 5 // one in this number of scenarios loses more replicas at once than tolerated
)

// Draw generates a scenario whose faults overlap freely, with at most as many replicas lost at once as tolerated. A fault that
// would exceed that is postponed or dropped.
func Draw(seed uint64, s Size) *Scenario {
	rnd := rand.New(rand.NewPCG(seed, 13))
	w := &drawing{Rand: rnd, Size: s, bounds: boundsOf(s.Tolerate), lostUntil: make([]time.Duration, s.Replicas)}
	w.scenario = &Scenario{Seed: seed, Replicas: s.Replicas, Routers: s.Routers, Engines: s.Engines, Tolerate: s.Tolerate, Length: time.Duration(30+15*rnd.IntN(3)) * time.Second}
	w.scenario.Overlaps = rnd.IntN(overlapOneIn) == 0
	for range int(w.scenario.Length/(5*time.Second)) + rnd.IntN(8) {
		w.enqueue(w.drawFault(kindWeights[rnd.IntN(len(kindWeights))]))
	}
	for range int(w.scenario.Length / (4 * time.Second)) { // every scenario has configuration changes
		w.enqueue(Fault{At: w.randomTime(), Kind: ChangeConfig})
	}
	if rnd.IntN(4) == 0 {
		f := Fault{At: w.randomTime(), For: w.between(4*time.Second, maxFaultLength), Kind: ChangeBurst}
		w.enqueue(f)
	}
	replaced := 0
	for len(w.pending) > 0 {
		f := w.pending[0]
		w.pending = w.pending[1:]
		if f.Kind == ReplaceReplica {
			if replaced == maxReplacements {
				continue
			}
			replaced++
		}
		w.place(f)
	}
	slices.SortStableFunc(w.scenario.Faults, func(x, y Fault) int { return int(x.At - y.At) })
	return w.scenario
}

// between draws a duration in [from, to).
func (w *drawing) between(from, to time.Duration) time.Duration {
	return (from + time.Duration(w.Int64N(int64(to-from)))).Truncate(time.Millisecond)
}

func (w *drawing) randomTime() time.Duration { return w.between(0, w.scenario.Length-2*time.Second) }

// pick draws up to n distinct numbers in [from, to).
func (w *drawing) pick(n, from, to int) (all []int) {
	for _, i := range w.Perm(to - from)[:min(n, to-from)] {
		all = append(all, from+i)
	}
	return all
}

// enqueue inserts a fault into the pending ones by its time.
func (w *drawing) enqueue(f Fault) {
	i, _ := slices.BinarySearchFunc(w.pending, f, func(x, y Fault) int { return int(x.At - y.At) })
	w.pending = slices.Insert(w.pending, i, f)
}

// drawFault draws a fault of a kind.
func (w *drawing) drawFault(kind FaultKind) Fault {
	f := Fault{At: w.randomTime(), For: w.between(200*time.Millisecond, 9*time.Second), Kind: kind}
	if kind != ReplaceReplica && w.IntN(4) == 0 {
		f.For = w.between(9*time.Second, maxFaultLength)
	}
	if all := variants[kind]; len(all) > 0 && w.IntN(2) == 0 {
		f.Variant = all[w.IntN(len(all))]
	}
	if w.drawTargets(&f); f.Variant == Leader {
		f.On = nil
	}
	if f.Variant == RestartRouters && len(f.On) > 0 && f.On[0] >= w.Replicas { // this variant isolates replicas
		f.On = w.pick(1+w.IntN(w.Tolerate), 0, w.Replicas)
	}
	if f.Variant == RestartAll && len(f.On) > 0 && f.On[0] >= w.Replicas {
		f.Variant = ""
	}
	return f
}

// drawTargets draws the targets of a fault, and for some kinds its duration.
func (w *drawing) drawTargets(f *Fault) {
	switch f.Kind {
	case PartitionHalves:
		f.On, f.For = w.pick(w.Replicas/2, 0, w.Replicas), w.between(minHalvesLength, maxHalvesLength)
	case DrainEngine, CrashEngine, DeregisterEngine:
		f.On = w.pick(1+w.IntN(3), 0, w.Engines)
	case RaceChanges, LoseReply:
		f.For = 0
	case PartitionReplicas, FullDisk, SlowDisk, StallDisk:
		f.On = w.pick(1+w.IntN(w.Tolerate), 0, w.Replicas)
	case WipeDisk, ReplaceReplica:
		f.On = w.pick(1, 0, w.Replicas)
	case PartitionPair:
		f.On = w.pick(2, 0, w.Replicas)
	default:
		if f.On = w.pick(1+w.IntN(max(w.Routers/2, 1)), w.Replicas, w.Replicas+w.Routers); w.IntN(3) > 0 {
			f.On = w.pick(1+w.IntN(w.Tolerate), 0, w.Replicas)
		}
	}
}

// earliestStart returns the earliest time at which a fault loses no more replicas than tolerated.
func (w *drawing) earliestStart(replicas []int, losses int, from time.Duration) time.Duration {
	for {
		lost, next := 0, time.Duration(1<<62)
		for k, until := range w.lostUntil {
			if until > from {
				if next = min(next, until); !slices.Contains(replicas, k) {
					lost++
				}
			}
		}
		for _, until := range w.leaderLostUntil {
			if until > from {
				lost, next = lost+1, min(next, until)
			}
		}
		if lost+losses <= w.Tolerate {
			return from
		}
		from = next
	}
}

// countsAsLost reports whether replicas that a fault targets count as lost. If losses overlap, only lost disks count.
func (w *drawing) countsAsLost(f *Fault) bool {
	return f.losesDisk() || !w.scenario.Overlaps && !f.Kind.targetsEngines() && f.Kind != RemoveMember && f.Kind != PartitionHalves
}

func (f *Fault) losesDisk() bool { return f.Kind == WipeDisk || f.Kind == ReplaceReplica }

// place adds a fault to the scenario, or postpones it until enough replicas are back.
func (w *drawing) place(f Fault) {
	var replicas []int
	for _, k := range f.On {
		if w.countsAsLost(&f) && k < w.Replicas {
			replicas = append(replicas, k)
		}
	}
	losses := len(replicas)
	if !w.scenario.Overlaps && (f.Kind == PartitionPair || f.Variant == Leader) {
		losses = 1 // either one of the pair counts, or the leader, which may be any replica
	}
	if f.At > w.scenario.Length-2*time.Second {
		return
	}
	if w.scenario.Overlaps && losses > 0 { // a successor may find no majority to learn from
		if w.lostDisks+losses > w.Tolerate {
			return
		}
		w.lostDisks += losses
	}
	if losses > 0 {
		requested := f.At
		if f.At = w.earliestStart(replicas, losses, f.At); f.At > requested { // other faults may come first now
			w.enqueue(f)
			return
		}
		until := f.At + f.For + w.catchUp
		if f.Variant == Planned {
			until = f.At + max(f.For, w.catchUp)
		}
		if w.countsAsLost(&f) && f.losesDisk() { // a successor needs a majority to learn from
			until = max(until, w.halvesUntil+w.catchUp)
		}
		for _, k := range replicas {
			w.lostUntil[k] = max(w.lostUntil[k], until)
		}
		if f.Variant == Leader && !w.scenario.Overlaps {
			w.leaderLostUntil = append(w.leaderLostUntil, until)
		}
	}
	w.scenario.Faults = append(w.scenario.Faults, f)
	switch {
	case f.Kind == PartitionHalves:
		w.halvesUntil = max(w.halvesUntil, f.At+f.For)
		for k, until := range w.lostUntil {
			if until > f.At {
				w.lostUntil[k] = max(until, w.halvesUntil+w.catchUp)
			}
		}
	case f.Kind == ReplaceReplica:
		if w.IntN(2) == 0 {
			w.enqueue(Fault{At: f.At + f.For + w.between(0, 2*w.catchUp), Kind: RemoveMember, On: f.On})
		}
		w.addFollowUp(f)
	case f.Kind == LoseReply:
		w.enqueue(Fault{At: f.At, Kind: ChangeConfig})
	case (f.Kind == ChangeConfig || f.Kind == RaceChanges) && w.IntN(6) == 0:
		w.addCrashAfterChange(f)
	}
}

// addFollowUp adds the loss of other replicas as soon as the successor of a replaced one has caught up, and a change during
// that loss.
func (w *drawing) addFollowUp(f Fault) {
	if w.IntN(3) == 0 {
		return
	}
	at := w.lostUntil[f.On[0]]
	x := w.drawFault([]FaultKind{Kill, WipeDisk, Isolate, PartitionReplicas, FreezeProcess, ReplaceReplica, Terminate}[w.IntN(7)])
	x.At, x.For, x.Variant = at+w.between(0, 500*time.Millisecond), w.between(6*time.Second, maxFaultLength), ""
	if x.Kind == ReplaceReplica && w.IntN(2) == 0 {
		x.Variant = Planned
	}
	x.On = nil
	for _, k := range w.pick(w.Replicas, 0, w.Replicas) {
		if k != f.On[0] && len(x.On) < w.Tolerate && (x.Kind != WipeDisk && x.Kind != ReplaceReplica || len(x.On) == 0) {
			x.On = append(x.On, k)
		}
	}
	w.enqueue(x)
	w.enqueue(Fault{At: x.At + w.between(0, w.contact+time.Second), Kind: ChangeConfig})
}

// addCrashAfterChange adds a crash of all processes right after a change, if no replica is lost.
func (w *drawing) addCrashAfterChange(f Fault) {
	for _, until := range append(slices.Clone(w.lostUntil), w.leaderLostUntil...) {
		if until > f.At {
			return
		}
	}
	if w.scenario.Overlaps && w.lostDisks > 0 {
		return
	}
	w.lostDisks = w.Tolerate
	x := Fault{Kind: []FaultKind{PowerLoss, CrashAfterAck}[w.IntN(2)], At: f.At + w.between(0, 60*time.Millisecond), For: w.between(50*time.Millisecond, 1250*time.Millisecond)}
	if x.Kind == PowerLoss && w.IntN(2) == 0 { // also lose as many disks as tolerated
		x.Variant, x.On = LoseDisks, w.pick(w.Tolerate, 0, w.Replicas)
	}
	w.scenario.Faults = append(w.scenario.Faults, x)
	for k := range w.lostUntil { // all replicas are lost until they have caught up, and any may lose its disk
		w.lostUntil[k] = max(w.lostUntil[k], max(x.At+time.Second+x.For, w.halvesUntil)+w.catchUp)
	}
}
