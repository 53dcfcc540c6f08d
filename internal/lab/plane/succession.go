package plane

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

// stopGrace is what a process has from its SIGTERM to its end.
const stopGrace = 6 * time.Second

// term stops a process by SIGTERM: it hands over what it must, and ends; if it takes longer than it may it is killed.
func (w *world) term(m *machine, then func()) {
	if !m.up || m.leaving {
		return
	}
	life := m.life
	end := func() {
		if m.life == life { // it has not been killed meanwhile
			m.die()
			w.shake(m)
			then()
		}
	}
	m.leaving = true
	w.shake(m)
	if m.core == nil {
		end()
		return
	}
	m.take(replica.Leave{Request: m.leaves.Add(end), Deadline: w.now + limits.ReplicaLeaveTimeout})
	w.in(stopGrace, end)
}

// replace has a keeper gone for good, and an empty one come in its place, at another address and under another name. If it is
// planned the new one comes first.
func (w *world) replace(m *machine, t *Fault) {
	if m.gone || m.leaving {
		return
	}
	if t.How == Planned {
		w.succeed(m)
		w.in(t.For, func() {
			m.retired = true
			if !m.up {
				m.gone = true
				return
			}
			w.term(m, func() { m.gone = true })
		})
		return
	}
	if m.up {
		m.die()
	}
	m.gone = true
	w.shake(m)
	w.in(t.For, func() { w.succeed(m) })
}

// succeed has a new machine take another's seat, unless one has.
func (w *world) succeed(m *machine) {
	k := w.seatOf(m)
	if k < 0 {
		return
	}
	n := &machine{w: w, i: len(w.machines), keeper: true, zone: m.zone, disk: &disk{}, former: m}
	n.name = fmt.Sprintf("keeper-%d", n.i)
	w.machines = append(w.machines, n)
	w.seats[k] = n
	for _, s := range w.severed {
		for _, x := range w.machines {
			w.cut(s, x, n)
			w.cut(s, n, x)
		}
	}
	n.start()
	w.shake(n)
}

// seatOf tells whose seat a machine has; -1 = none.
func (w *world) seatOf(m *machine) int { return slices.Index(w.seats, m) }

// seedsFor lists who a process that starts is told of: the first three as long as they are there, and others in the place of
// those that are gone. While a cut asks for that it begins with those that are cut off; a router that reaches them is told of nobody else.
func (w *world) seedsFor(m *machine) (all []netip.AddrPort) {
	m.told = nil
	for _, x := range w.seeds {
		if !x.gone {
			all = append(all, addrOf(x.i))
			m.told = append(m.told, x)
		}
	}
	if len(all) > 0 && !m.keeper && w.connected(m, m.told) {
		return all
	}
	m.told = nil
	for _, i := range []int{0, 1, w.day.Replicas} {
		for try := 0; w.machines[i].gone || w.machines[i] == m && try > 0; try++ {
			if x := w.inTouch(); try == 0 && x != nil { // were all three cut off or down, nobody could be found
				i = x.i
			} else {
				i = w.anyone()
			}
		}
		all = append(all, addrOf(i))
	}
	return all
}

// severance is a cut that lasts.
type severance struct {
	kind  FaultKind
	on    []*machine
	lines [][2]int // from, to
}

// severs tells whether a cut of a kind of those machines lies between two.
func (s *severance) severs(from, to *machine) bool {
	a, b := slices.Contains(s.on, from), slices.Contains(s.on, to)
	switch s.kind {
	case Isolate:
		return a != b
	case PartitionReplicas, Halves:
		return a != b && from.keeper && to.keeper
	case DropOutbound:
		return a && !b
	case DropInbound:
		return b && !a
	default:
		return a && b
	}
}

// cut lays a cut from one machine to another, if it lies there.
func (w *world) cut(s *severance, from, to *machine) {
	if from != to && s.severs(from, to) {
		s.lines = append(s.lines, [2]int{from.i, to.i})
		w.cuts[[2]int{from.i, to.i}]++
	}
}

// sever cuts machines off for the time of a trouble.
func (w *world) sever(t *Fault, on []*machine) {
	s := &severance{kind: t.Kind, on: on}
	for _, a := range w.machines {
		for _, b := range w.machines {
			w.cut(s, a, b)
		}
	}
	for _, m := range on { // and the platform
		if t.Kind == Isolate || t.Kind == DropOutbound {
			s.lines = append(s.lines, [2]int{m.i, outside})
			w.cuts[[2]int{m.i, outside}]++
		}
		if t.Kind == Isolate || t.Kind == DropInbound {
			s.lines = append(s.lines, [2]int{outside, m.i})
			w.cuts[[2]int{outside, m.i}]++
		}
	}
	w.severed = append(w.severed, s)
	w.touched(s)
	if t.How == Seeds || t.How == Both {
		w.restarts(t, on)
	}
	w.in(t.For, func() {
		if w.over {
			return
		}
		w.severed = slices.DeleteFunc(w.severed, func(x *severance) bool { return x == s })
		for _, l := range s.lines {
			w.cuts[l]--
		}
		w.touched(s)
		for _, m := range on {
			m.healed = w.now
		}
	})
}

// touched notes that something has happened to the links of a cut. Only one between two keepers happens to the core.
func (w *world) touched(s *severance) {
	struck := w.core.struck
	core := false
	for _, l := range s.lines {
		if l[0] == outside || l[1] == outside {
			continue
		}
		a, b := w.machines[l[0]], w.machines[l[1]]
		w.shake(a, b)
		core = core || a.keeper && b.keeper
	}
	if !core {
		w.core.struck = struck
	}
}

// restarts has processes restarted behind a cut: routers that are told of nobody but those that are cut off; or those that are
// cut off, and then all other keepers at one moment.
func (w *world) restarts(t *Fault, cut []*machine) {
	kill := func(all []*machine, after, down time.Duration) {
		w.in(after, func() {
			for _, m := range all {
				if w.over || !m.up || m.gone {
					continue
				}
				m.die()
				w.shake(m)
				w.in(down, func() { w.revive(m) })
			}
		})
	}
	if t.How == Seeds {
		seeds := slices.Clone(cut)
		w.seeds = seeds
		w.in(t.For, func() {
			if slices.Equal(w.seeds, seeds) {
				w.seeds = nil
			}
		})
		routers := w.machines[w.day.Replicas : w.day.Replicas+w.day.Routers]
		kill(routers[:(len(routers)+1)/2], time.Second, 300*time.Millisecond)
		return
	}
	others := slices.DeleteFunc(w.keepers(), func(m *machine) bool { return slices.Contains(cut, m) })
	kill(cut, time.Second, 300*time.Millisecond)
	kill(others, 2*time.Second, 500*time.Millisecond)
}
