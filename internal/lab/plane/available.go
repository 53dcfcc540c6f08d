package plane

import "time"

// bounds are the time limits that depend on how many replicas may be lost at once.
type bounds struct {
	contact time.Duration // a machine without faults for this long has contact with the others
	ack     time.Duration // a settled core answers a change within this time
	catchUp time.Duration // a replica that restarted or joined counts as lost for this long
}

func boundsOf(tolerate int) bounds {
	if tolerate <= 1 {
		return bounds{4 * time.Second, 5 * time.Second, 4 * time.Second}
	}
	return bounds{5 * time.Second, 6 * time.Second, 6 * time.Second}
}

// availability is the state of the check of rule AVAILABLE. The core is the group of replicas. It is settled if a majority is
// connected, no more replicas are lost than tolerated, and no replica had a fault for bounds.contact.
type availability struct {
	lastFault     time.Duration // when a fault of a replica last began or ended
	lastUnsettled time.Duration // when the core last had no connected majority, or more replicas lost than tolerated
	lastActor     *machine      // replica that last acknowledged a change or called the platform as lease holder

	overTolerance bool          // more replicas than tolerated were lost, and recoveryTime has not passed since all were back
	allBackSince  time.Duration // time since which no replica is lost; notAllBack = a replica is lost
}

const (
	notAllBack   = time.Duration(-1)
	recoveryTime = 15 * time.Second // allowed outage after all replicas lost beyond the tolerance are back
)

const coreCheckInterval = 100 * time.Millisecond

// checkCore checks how long pending changes have waited since the core settled. Faults of as many replicas as tolerated are
// allowed throughout.
func (w *world) checkCore() {
	w.schedule(coreCheckInterval, w.checkCore)
	lost := w.countLost()
	w.checkRecovery(lost)
	if len(w.majority()) == 0 || lost > w.scenario.Tolerate || w.core.overTolerance {
		w.core.lastUnsettled = w.now
	}
	since := w.settledSince()
	for _, c := range w.pending {
		if settled := w.now - max(since, c.firstSent, c.lastReplyLost); settled > w.bounds.ack && w.now-c.firstSent < changeTimeout {
			w.violate("AVAILABLE", "revision %d was sent %v ago, the core has been settled for %v since, and there is no answer", c.revision, w.now-c.firstSent, settled)
		}
	}
}

// checkRecovery tracks losses beyond the tolerance and the recovery from them, in scenarios that allow them.
func (w *world) checkRecovery(lost int) {
	core := &w.core
	switch {
	case lost > 0:
		core.allBackSince = notAllBack
	case core.allBackSince == notAllBack:
		core.allBackSince = w.now
	}
	if w.scenario.Overlaps && lost > w.scenario.Tolerate {
		core.overTolerance = true
	}
	if core.overTolerance && core.allBackSince != notAllBack && w.now-core.allBackSince >= recoveryTime {
		core.overTolerance = false
	}
}

// settledSince returns the time since which the core is settled, or from which it will be.
func (w *world) settledSince() time.Duration {
	return max(w.core.lastUnsettled, w.core.lastFault+w.bounds.contact)
}

// majority returns the largest group of healthy replicas that reach each other in both directions, or nil if it is not a
// majority.
func (w *world) majority() []*machine {
	replicas := w.replicas()
	var best []*machine
	var grow func(from int, group []*machine)
	grow = func(from int, group []*machine) {
		if len(group) > len(best) {
			best = append([]*machine(nil), group...)
		}
		for i := from; i < len(replicas); i++ {
			if replicas[i].isHealthy() && w.connected(replicas[i], group) {
				grow(i+1, append(group, replicas[i]))
			}
		}
	}
	if grow(0, nil); 2*len(best) <= len(replicas) {
		return nil
	}
	return best
}

// isHealthy reports whether a replica runs and its disk works at normal speed.
func (m *machine) isHealthy() bool {
	return m.up && !m.frozen && !m.diskFull && m.diskDelay == 0
}

// connected reports whether a machine has links in both directions to every member of a group.
func (w *world) connected(m *machine, group []*machine) bool {
	for _, x := range group {
		if w.blockedLinks[[2]int{m.index, x.index}] > 0 || w.blockedLinks[[2]int{x.index, m.index}] > 0 {
			return false
		}
	}
	return true
}

// countLost counts the slots whose replica is not in the majority, or restarted or joined recently.
func (w *world) countLost() (n int) {
	majority := w.majority()
	for _, m := range w.slots {
		in := false
		for _, x := range majority {
			in = in || x == m
		}
		if !in || m.startedAt > w.bounds.catchUp && w.now-m.startedAt < w.bounds.catchUp {
			n++
		}
	}
	return n
}

// connectedReplica returns a random replica of the majority that has run for a while and does not leave, or nil.
func (w *world) connectedReplica() *machine {
	var all []*machine
	for _, m := range w.majority() {
		if !m.leaving && (w.now-m.startedAt >= w.bounds.catchUp || m.startedAt < warmUpTime) {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.rand.IntN(len(all))]
}
