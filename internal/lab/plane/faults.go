package plane

import (
	"slices"
	"time"
)

// How the faults of disks and clocks are measured.
const (
	slowdown   = 29 // a slow disk takes so many times as long in addition
	aimedLasts = time.Second
	maxStep    = 6 // seconds by which the time of day steps, ahead or back
)

// strike has a trouble happen, and end.
func (w *world) strike(t *Fault) {
	if w.over { // it was to come after the day's end
		return
	}
	on := w.on(t)
	if fault := machineFaults[t.Kind]; fault != nil {
		for _, m := range on {
			fault(w, m, t)
		}
		return
	}
	switch t.Kind {
	case Kill, Wipe, Dark:
		w.kill(t, on)
	case Aimed:
		w.aimed = append(w.aimed, t)
		w.in(aimedLasts, func() { w.aimed = slices.DeleteFunc(w.aimed, func(x *Fault) bool { return x == t }) })
	case Isolate, DropOutbound, DropInbound, PartitionReplicas, Part, Halves:
		w.sever(t, on)
	case Step:
		w.step(t, on)
	case DrainEngine, SignOff, Crash:
		w.strikeEngines(t)
	default:
		w.strikeOperators(t, on)
	}
}

// machineFaults are the faults that strike each machine by itself.
var machineFaults = map[FaultKind]func(w *world, m *machine, t *Fault){
	Term:    (*world).restart,
	Replace: (*world).replace,
	Freeze:  (*world).freeze,
	Full:    (*world).fillDisk,
	Slow:    (*world).slowDisk,
	Stall:   (*world).stallDisk,
}

// restart stops a process by SIGTERM and starts it again later.
func (w *world) restart(m *machine, t *Fault) {
	w.term(m, func() {
		w.in(t.For, func() { w.revive(m) })
	})
}

// freeze has a process stand still.
func (w *world) freeze(m *machine, t *Fault) {
	if !m.up || m.frozen {
		return
	}
	m.frozen = true
	w.shake(m)
	life := m.life
	w.in(t.For, func() {
		if m.life == life {
			m.thaw()
		}
	})
}

// fillDisk has a keeper's disk refuse what is written.
func (w *world) fillDisk(m *machine, t *Fault) {
	if !m.keeper {
		return
	}
	m.full = true
	w.shake(m)
	w.in(t.For, func() {
		m.full = false
		w.shake(m)
	})
}

// slowDisk has a keeper's disk take longer.
func (w *world) slowDisk(m *machine, t *Fault) { w.delayDisk(m, t, slowdown*w.sync) }

// stallDisk has a keeper's disk answer nothing.
func (w *world) stallDisk(m *machine, t *Fault) {
	if m.keeper {
		m.stalled = max(m.stalled, w.now+t.For)
	}
	w.delayDisk(m, t, t.For)
}

func (w *world) delayDisk(m *machine, t *Fault, by time.Duration) {
	if !m.keeper {
		return
	}
	m.drag += by
	w.shake(m)
	w.in(t.For, func() {
		if !w.over {
			m.drag -= by
			w.shake(m)
		}
	})
}

// step has the time of day of machines step, and back.
func (w *world) step(t *Fault, on []*machine) {
	by := time.Duration(w.rnd.IntN(2*maxStep)-maxStep) * time.Second
	for _, m := range on {
		m.step += by
		w.shake(m)
		w.in(t.For, func() { m.step -= by; w.shake(m) })
	}
}

// strikeEngines has engines leave or crash.
func (w *world) strikeEngines(t *Fault) {
	for _, k := range t.On {
		e := w.engines[k%len(w.engines)]
		switch t.Kind {
		case DrainEngine:
			e.leave()
		case SignOff:
			e.signOff()
		case Crash:
			e.crash()
		}
	}
}

// strikeOperators has operators send orders, or lose answers to them.
func (w *world) strikeOperators(t *Fault, on []*machine) {
	switch t.Kind {
	case ChangeConfig:
		w.change(w.newest, w.anyone())
	case RaceChanges:
		w.race(t.How == Same)
	case Lost:
		n := 1
		if t.How == Twice {
			n = 2
		}
		w.lose = append(w.lose, n)
	case Dismiss:
		for _, m := range on {
			if m.former != nil && m.former.gone {
				w.dismiss(&dismissal{name: m.former.name, first: w.now}, w.anyone())
			}
		}
	case Storm:
		w.storm(w.now + t.For)
	}
}

// kill ends processes, all of them if the fault is Dark, and starts them again later. Keepers among those that are named may
// lose their disks with it.
func (w *world) kill(t *Fault, named []*machine) {
	losesDisk := func(m *machine) bool {
		return m.keeper && (t.Kind == Wipe || t.How == Disks) && slices.Contains(named, m)
	}
	victims := named
	if t.Kind == Dark {
		victims = slices.Clone(w.machines)
	}
	for _, m := range victims {
		if !m.up {
			continue
		}
		if m.die(); losesDisk(m) {
			m.disk = &disk{}
		}
		w.shake(m)
		w.in(t.For, func() { w.revive(m) })
	}
}

// heal ends every trouble.
func (w *world) heal() {
	w.over = true
	clear(w.cuts)
	w.severed, w.seeds = nil, nil
	for _, m := range w.seats {
		if m.gone {
			w.succeed(m)
		}
	}
	for _, m := range w.machines {
		m.full, m.drag, m.stalled = false, 0, w.now
		w.revive(m)
		m.thaw()
		w.shake(m)
	}
}

// revive starts a process again, unless it runs or its machine is gone.
func (w *world) revive(m *machine) {
	m.gone = m.gone || m.retired && !m.up
	if !m.up && !m.gone {
		m.start()
		w.shake(m)
	}
}

// keepers are the machines of the core: those that are not gone for good.
func (w *world) keepers() (all []*machine) {
	for _, m := range w.machines {
		if m.keeper && !m.gone {
			all = append(all, m)
		}
	}
	return all
}

// on resolves whom a trouble strikes.
func (w *world) on(t *Fault) (on []*machine) {
	if t.How == Leader {
		if m := w.core.acted; m != nil && !m.gone {
			on = append(on, m)
		}
		return on
	}
	for _, i := range t.On {
		switch {
		case i < w.day.Replicas:
			if m := w.seats[i]; !m.gone {
				on = append(on, m)
			}
		case i < w.day.Replicas+w.day.Routers:
			on = append(on, w.machines[i])
		}
	}
	return on
}
