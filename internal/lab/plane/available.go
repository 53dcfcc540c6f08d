package plane

import "time"

// bounds are those of the platform that depend on how many keepers may be lost at once.
type bounds struct {
	contact time.Duration // a machine is in touch that nothing has happened to for so long
	ack     time.Duration // an order is acknowledged within so long of a settled core
	catchUp time.Duration // who is back, or new, counts as lost for so long
}

func boundsOf(tolerate int) bounds {
	if tolerate <= 1 {
		return bounds{4 * time.Second, 5 * time.Second, 4 * time.Second}
	}
	return bounds{5 * time.Second, 6 * time.Second, 6 * time.Second}
}

// availability is what the oracle AVAILABLE knows of the core.
type availability struct {
	struck    time.Duration // when a keeper was last killed, stopped, started, frozen, thawed, removed, stepped, cut or joined
	unsettled time.Duration // when it was last seen without a majority that runs and is connected, or with more lost than are to be borne
	acted     *machine      // who acted or acknowledged last

	beyond  bool          // more were lost at once than are to be borne, and not all have been back for long enough since
	allBack time.Duration // since when none is lost; notBack = one is
}

const (
	notBack  = time.Duration(-1)
	recovery = 15 * time.Second // service may rest for so long after all are back that were lost beyond what is to be borne
)

const coreEvery = 100 * time.Millisecond

// watchCore holds orders that are open against for how long the core has been settled. It asks for no calm: as many keepers as
// are to be borne may be dark, cut off or gone throughout.
func (w *world) watchCore() {
	w.in(coreEvery, w.watchCore)
	lost := w.lost()
	w.watchRecovery(lost)
	if len(w.majority()) == 0 || lost > w.day.Tolerate || w.core.beyond {
		w.core.unsettled = w.now
	}
	since := w.settledSince()
	for _, c := range w.open {
		if settled := w.now - max(since, c.first, c.lost); settled > w.bounds.ack && w.now-c.first < givenUp {
			w.breaks("AVAILABLE", "version %d was sent %v ago, the core is settled for %v since, and it has no answer", c.revision, w.now-c.first, settled)
		}
	}
}

// watchRecovery notes whether the core recovers from losses beyond those that are to be borne, on a day that has such.
func (w *world) watchRecovery(lost int) {
	core := &w.core
	switch {
	case lost > 0:
		core.allBack = notBack
	case core.allBack == notBack:
		core.allBack = w.now
	}
	if w.day.Overlaps && lost > w.day.Tolerate {
		core.beyond = true
	}
	if core.beyond && core.allBack != notBack && w.now-core.allBack >= recovery {
		core.beyond = false
	}
}

// settledSince tells since when the core is settled, or when it will be.
func (w *world) settledSince() time.Duration {
	return max(w.core.unsettled, w.core.struck+w.bounds.contact)
}

// majority returns the most keepers that run and reach each other both ways, if they are more than half of the core.
func (w *world) majority() []*machine {
	core := w.keepers()
	var best []*machine
	var grow func(from int, group []*machine)
	grow = func(from int, group []*machine) {
		if len(group) > len(best) {
			best = append([]*machine(nil), group...)
		}
		for i := from; i < len(core); i++ {
			if core[i].works() && w.connected(core[i], group) {
				grow(i+1, append(group, core[i]))
			}
		}
	}
	if grow(0, nil); 2*len(best) <= len(core) {
		return nil
	}
	return best
}

// works tells whether a keeper runs, and its disk too.
func (m *machine) works() bool {
	return m.up && !m.frozen && !m.full && m.drag == 0
}

func (w *world) connected(m *machine, group []*machine) bool {
	for _, x := range group {
		if w.cuts[[2]int{m.i, x.i}] > 0 || w.cuts[[2]int{x.i, m.i}] > 0 {
			return false
		}
	}
	return true
}

// lost counts the seats of the core that are lost: those whose keeper does not work, or is cut off, and those whose keeper is
// new.
func (w *world) lost() (n int) {
	core := w.majority()
	for _, m := range w.seats {
		in := false
		for _, x := range core {
			in = in || x == m
		}
		if !in || m.since > w.bounds.catchUp && w.now-m.since < w.bounds.catchUp {
			n++
		}
	}
	return n
}

// inTouch returns a keeper of the majority that has run for a while and was not told to leave, or nil.
func (w *world) inTouch() *machine {
	var all []*machine
	for _, m := range w.majority() {
		if !m.leaving && (w.now-m.since >= w.bounds.catchUp || m.since < lead) {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.rnd.IntN(len(all))]
}
