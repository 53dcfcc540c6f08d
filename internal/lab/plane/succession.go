package plane

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

// shutdownGrace is the time from SIGTERM to the forced end of a process.
const shutdownGrace = 6 * time.Second

// terminate sends SIGTERM to a process. A replica leaves the group first; it is killed if that takes longer than
// shutdownGrace.
func (w *world) terminate(m *machine, then func()) {
	if !m.up || m.leaving {
		return
	}
	incarnation := m.incarnation
	end := func() {
		if m.incarnation == incarnation { // it was not killed in the meantime
			m.kill()
			w.noteFault(m)
			then()
		}
	}
	m.leaving = true
	w.noteFault(m)
	if m.replica == nil {
		end()
		return
	}
	m.deliver(replica.Leave{Request: m.leaves.Add(end), Deadline: w.now + limits.ReplicaLeaveTimeout})
	w.schedule(shutdownGrace, end)
}

// replaceReplica removes a replica for good and starts an empty one with another name and address in its slot. A planned
// successor starts before its predecessor stops.
func (w *world) replaceReplica(m *machine, f *Fault) {
	if m.gone || m.leaving {
		return
	}
	if f.Variant == Planned {
		w.addSuccessor(m)
		w.schedule(f.For, func() {
			m.retired = true
			if !m.up {
				m.gone = true
				return
			}
			w.terminate(m, func() { m.gone = true })
		})
		return
	}
	if m.up {
		m.kill()
	}
	m.gone = true
	w.noteFault(m)
	w.schedule(f.For, func() { w.addSuccessor(m) })
}

// addSuccessor starts a new replica in the slot of m, unless the slot is already taken.
func (w *world) addSuccessor(m *machine) {
	k := w.slotOf(m)
	if k < 0 {
		return
	}
	n := &machine{world: w, index: len(w.machines), isReplica: true, zone: m.zone, disk: &disk{}, predecessor: m}
	n.name = fmt.Sprintf("keeper-%d", n.index)
	w.machines = append(w.machines, n)
	w.slots[k] = n
	for _, s := range w.partitions {
		for _, x := range w.machines {
			w.blockLink(s, x, n)
			w.blockLink(s, n, x)
		}
	}
	n.start()
	w.noteFault(n)
}

// slotOf returns the slot of a machine, or -1.
func (w *world) slotOf(m *machine) int { return slices.Index(w.slots, m) }

// seedsFor returns the seed addresses of a process that starts: three machines, with those that are gone replaced by others.
// While a partition restricts the seeds, the isolated replicas come first, and a router that reaches them gets no others.
func (w *world) seedsFor(m *machine) (all []netip.AddrPort) {
	m.soleSeeds = nil
	for _, x := range w.isolatedSeeds {
		if !x.gone {
			all = append(all, addrOf(x.index))
			m.soleSeeds = append(m.soleSeeds, x)
		}
	}
	if len(all) > 0 && !m.isReplica && w.connected(m, m.soleSeeds) {
		return all
	}
	m.soleSeeds = nil
	for _, i := range []int{0, 1, w.scenario.Replicas} {
		for try := 0; w.machines[i].gone || w.machines[i] == m && try > 0; try++ {
			if x := w.connectedReplica(); try == 0 && x != nil { // one seed must be reachable, or the process finds no other machine
				i = x.index
			} else {
				i = w.randomMachine()
			}
		}
		all = append(all, addrOf(i))
	}
	return all
}

// partition is a partition in effect.
type partition struct {
	kind     FaultKind
	machines []*machine
	links    [][2]int // sender, receiver
}

// blocks reports whether the partition blocks the link between two machines.
func (s *partition) blocks(from, to *machine) bool {
	a, b := slices.Contains(s.machines, from), slices.Contains(s.machines, to)
	switch s.kind {
	case Isolate:
		return a != b
	case PartitionReplicas, PartitionHalves:
		return a != b && from.isReplica && to.isReplica
	case DropOutbound:
		return a && !b
	case DropInbound:
		return b && !a
	default:
		return a && b
	}
}

// blockLink blocks the link between two machines if the partition covers it.
func (w *world) blockLink(s *partition, from, to *machine) {
	if from != to && s.blocks(from, to) {
		s.links = append(s.links, [2]int{from.index, to.index})
		w.blockedLinks[[2]int{from.index, to.index}]++
	}
}

// startPartition partitions machines for the duration of a fault.
func (w *world) startPartition(f *Fault, on []*machine) {
	s := &partition{kind: f.Kind, machines: on}
	for _, a := range w.machines {
		for _, b := range w.machines {
			w.blockLink(s, a, b)
		}
	}
	for _, m := range on { // links to the platform
		if f.Kind == Isolate || f.Kind == DropOutbound {
			s.links = append(s.links, [2]int{m.index, platformIndex})
			w.blockedLinks[[2]int{m.index, platformIndex}]++
		}
		if f.Kind == Isolate || f.Kind == DropInbound {
			s.links = append(s.links, [2]int{platformIndex, m.index})
			w.blockedLinks[[2]int{platformIndex, m.index}]++
		}
	}
	w.partitions = append(w.partitions, s)
	w.notePartition(s)
	if f.Variant == RestartRouters || f.Variant == RestartAll {
		w.restartDuringPartition(f, on)
	}
	w.schedule(f.For, func() {
		if w.faultsEnded {
			return
		}
		w.partitions = slices.DeleteFunc(w.partitions, func(x *partition) bool { return x == s })
		for _, l := range s.links {
			w.blockedLinks[l]--
		}
		w.notePartition(s)
		for _, m := range on {
			m.healedAt = w.now
		}
	})
}

// notePartition records a fault of the machines at the links of a partition. Only blocked links between replicas count as a
// fault of the core.
func (w *world) notePartition(s *partition) {
	previous := w.core.lastFault
	affectsCore := false
	for _, l := range s.links {
		if l[0] == platformIndex || l[1] == platformIndex {
			continue
		}
		a, b := w.machines[l[0]], w.machines[l[1]]
		w.noteFault(a, b)
		affectsCore = affectsCore || a.isReplica && b.isReplica
	}
	if !affectsCore {
		w.core.lastFault = previous
	}
}

// restartDuringPartition restarts processes during a partition: half of the routers with only the isolated replicas as seeds,
// or the isolated replicas and then all others at the same moment.
func (w *world) restartDuringPartition(f *Fault, isolated []*machine) {
	kill := func(all []*machine, after, down time.Duration) {
		w.schedule(after, func() {
			for _, m := range all {
				if w.faultsEnded || !m.up || m.gone {
					continue
				}
				m.kill()
				w.noteFault(m)
				w.schedule(down, func() { w.startAgain(m) })
			}
		})
	}
	if f.Variant == RestartRouters {
		seeds := slices.Clone(isolated)
		w.isolatedSeeds = seeds
		w.schedule(f.For, func() {
			if slices.Equal(w.isolatedSeeds, seeds) {
				w.isolatedSeeds = nil
			}
		})
		routers := w.machines[w.scenario.Replicas : w.scenario.Replicas+w.scenario.Routers]
		kill(routers[:(len(routers)+1)/2], time.Second, 300*time.Millisecond)
		return
	}
	others := slices.DeleteFunc(w.replicas(), func(m *machine) bool { return slices.Contains(isolated, m) })
	kill(isolated, time.Second, 300*time.Millisecond)
	kill(others, 2*time.Second, 500*time.Millisecond)
}
