package plane

import (
	"bytes"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
)

// Parameters of operators.
const (
	maxPendingChanges = 8                      // changes without a final answer
	burstInterval     = time.Second / 14       // interval between two changes of a burst
	inventoryLag      = 3 * time.Second        // age of the operators' list of machines
	readInterval      = 700 * time.Millisecond // interval between two reads of the configuration
	changeTimeout     = time.Minute            // how long a change without a final answer is retried
	callTimeout       = 900 * time.Millisecond // time that a process has for a call of an operator
)

// configChange is a configuration that an operator sends.
type configChange struct {
	revision, base uint64
	encoded        []byte
	firstSent      time.Duration
	answered       bool // its operator has a final answer
	acked          bool // status 200 was sent, possibly in a reply that was lost
	rejected       bool
	chosen         bool
	repliesToLose  int           // replies still to be lost
	lastReplyLost  time.Duration // when the last reply was lost
	tries          int
}

// submitNext submits a configuration with the next revision, based on another revision.
func (w *world) submitNext(base uint64, target int) *configChange {
	w.lastRevision += 1 + w.rand.Uint64N(3)
	return w.submit(w.lastRevision, base, target, 0)
}

// raceChanges has two operators submit changes for the same base revision. The changes have different revisions, or the same one
// if same is set.
func (w *world) raceChanges(same bool) {
	base := w.ackedRevision
	w.submitNext(base, w.randomMachine())
	if same {
		w.submit(w.lastRevision, base, w.randomMachine(), 1)
		return
	}
	w.submitNext(base, w.randomMachine())
}

// changeBurst sends changes until a time, at most maxPendingChanges at once. One in six races another change with the same
// revision, and some replies are lost.
func (w *world) changeBurst(until time.Duration) {
	if w.now >= until || w.faultsEnded {
		return
	}
	w.schedule(burstInterval, func() { w.changeBurst(until) })
	if len(w.pending)+2 > maxPendingChanges {
		return
	}
	if w.rand.IntN(8) == 0 {
		w.replyLosses = append(w.replyLosses, 1+w.rand.IntN(2))
	}
	if w.rand.IntN(6) == 0 {
		w.raceChanges(true)
		return
	}
	w.submitNext(w.ackedRevision, w.randomMachine())
}

// randomMachine returns the index of a random machine from the operators' list, which still contains machines that are gone
// for less than inventoryLag.
func (w *world) randomMachine() int {
	for {
		if i := w.rand.IntN(len(w.machines)); !w.machines[i].gone || w.now-w.machines[i].lastFault < inventoryLag {
			return i
		}
	}
}

// submit sends a configuration to a machine and retries until there is a final answer. variant distinguishes configurations with
// the same revision.
func (w *world) submit(revision, base uint64, target, variant int) *configChange {
	c := &configChange{revision: revision, base: base, firstSent: w.now}
	text, err := cbor.Marshal(fleetconfig.Config{Revision: revision, Routes: []fleetconfig.Route{}, Services: []fleetconfig.Service{}, RequestLimits: fleetconfig.RequestLimits{MaxBodyBytes: variant}})
	if err != nil {
		return nil
	}
	_, digest, err := fleetconfig.DecodeWithDigest(text)
	if err != nil {
		return nil
	}
	if c.encoded = text; len(w.replyLosses) > 0 {
		c.repliesToLose, w.replyLosses = w.replyLosses[0], w.replyLosses[1:]
	}
	w.sent[digest] = c
	w.pending = append(w.pending, c)
	w.report.Changes++
	w.sendChange(c, target)
	w.schedule(w.bounds.ack, func() {
		isSettled := w.faultFreeFor(w.bounds.ack+w.bounds.contact) && (!w.scenario.Overlaps || w.now-w.core.lastUnsettled >= w.bounds.ack)
		if !c.answered && c.lastReplyLost == 0 && isSettled { // changes with lost replies are covered by AVAILABLE
			w.violate("ACKS", "revision %d was sent %v ago without faults since and is not acknowledged", c.revision, w.bounds.ack)
		}
	})
	return c
}

// retry sends a change again after a random delay. Every second retry goes to a replica in contact with the majority, so that
// the invariants do not depend on which machines the operator happens to pick.
func (w *world) retry(c *configChange) {
	w.schedule(time.Duration(100+w.rand.IntN(200)*(1+min(c.tries, 3)))*time.Millisecond, func() {
		target := w.randomMachine()
		if c.tries++; c.tries%2 == 1 {
			if m := w.connectedReplica(); m != nil {
				target = m.index
			}
		}
		w.sendChange(c, target)
	})
}

// sendChange sends a change to a machine. A router redirects the operator to a replica.
func (w *world) sendChange(c *configChange, target int) {
	if c.answered || w.now-c.firstSent > changeTimeout {
		return
	}
	m := w.machines[target]
	if m.up && !m.isReplica {
		all := m.discovery.Gossip.ResponsiveReplicas()
		if len(all) == 0 {
			w.retry(c)
			return
		}
		m = w.machineAt(all[w.rand.IntN(len(all))].Addr)
	}
	waiting := true
	settle := func(r api.Result) {
		if !waiting {
			return
		}
		waiting = false
		switch {
		case r.Status == http.StatusOK:
			w.noteFinalAnswer(c)
			w.injectAckFaults(m)
		case r.Status < 500:
			w.noteRejection(c, r)
			w.noteFinalAnswer(c)
		default:
			w.retry(c)
		}
	}
	w.schedule(clientTimeout, func() { settle(api.Result{Status: http.StatusServiceUnavailable}) })
	receive := func(r api.Result) {
		if r.Status == http.StatusOK {
			w.noteAck(c, m)
		}
		if r.Status < 500 && c.repliesToLose > 0 {
			if r.Status != http.StatusOK {
				w.noteRejection(c, r)
			}
			c.repliesToLose--
			c.lastReplyLost = w.now
			return
		}
		settle(r)
	}
	w.schedule(time.Millisecond, func() {
		if !m.up {
			settle(api.Result{Status: http.StatusServiceUnavailable})
			return
		}
		put := replica.ReplaceConfig{BaseRevision: c.base, Config: c.encoded, Deadline: w.now + callTimeout}
		switch s := m.state(); {
		case w.injectedBug == "acknowledges before commit":
			m.deliver(put) // the answer is ignored
			receive(api.Result{Status: http.StatusOK})
			return
		case w.injectedBug == "change retries are not idempotent" && s.Revision > c.base:
			receive(api.Result{Status: http.StatusPreconditionFailed, Revision: s.Revision})
			return
		}
		incarnation := m.incarnation
		put.Request = m.answers.Add(func(r api.Result) {
			if m.incarnation == incarnation {
				receive(r) // synchronously, so that CrashAfterAck takes effect before other messages of the machine arrive
			}
		})
		m.deliver(put)
	})
}

// state returns the replicated state as the machine has it.
func (m *machine) state() replog.State {
	if m.replica == nil {
		return replog.State{}
	}
	return m.replica.State()
}

// faultFreeFor reports whether no replica and no link to one has had a fault for d.
func (w *world) faultFreeFor(d time.Duration) bool { return w.now-w.lastFault >= d }

// noteFinalAnswer records that the operator has a final answer.
func (w *world) noteFinalAnswer(c *configChange) {
	if c.answered {
		return
	}
	c.answered = true
	w.pending = slices.DeleteFunc(w.pending, func(x *configChange) bool { return x == c })
	if c.acked && !c.rejected && w.faultFreeFor(w.now-c.firstSent+w.bounds.contact) {
		w.report.Slowest = max(w.report.Slowest, w.now-c.firstSent)
	}
}

// noteAck records an acknowledgement by a machine, even if the reply is lost.
func (w *world) noteAck(c *configChange, by *machine) {
	w.core.lastActor = by
	if c.acked || c.rejected {
		if c.rejected {
			w.violate("CONFIG", "revision %d was rejected and later acknowledged", c.revision)
		}
		return
	}
	c.acked = true
	w.report.Acked++
	if w.settledSince() <= w.now && w.countLost() == w.scenario.Tolerate {
		w.report.AckedAtMaxLoss++
	}
	w.ackedRevision = max(w.ackedRevision, c.revision)
	if other, known := w.ackedOnBase[c.base]; known && other != c {
		w.violate("CONFIG", "for base revision %d both %d and %d are acknowledged", c.base, other.revision, c.revision)
	}
	w.ackedOnBase[c.base] = c
}

// noteRejection records a rejection, even if the reply is lost.
func (w *world) noteRejection(c *configChange, r api.Result) {
	if c.rejected = true; c.acked || c.chosen {
		w.violate("CONFIG", "revision %d was accepted, and its retry is rejected with status %d", c.revision, r.Status)
	}
}

// checkChosen checks the configuration of a state and records that it was chosen.
func (w *world) checkChosen(s *replog.State) {
	if s.Config == nil {
		return
	}
	switch c := w.sent[s.Digest]; {
	case c == nil:
		w.violate("CONFIG", "revision %d is in the log but was never sent", s.Revision)
	case c.rejected && !c.chosen:
		w.violate("CONFIG", "revision %d is in the log but was rejected", s.Revision)
	default:
		c.chosen = true
	}
}

// memberRemoval is an operator's request to remove a replica that is gone.
type memberRemoval struct {
	name      string
	firstSent time.Duration
	accepted  bool // status 200 was sent
	done      bool
}

// removeMember sends a removal to a machine, and retries with others until there is a final answer. The first acknowledgement
// is lost. The retry of an accepted removal must not be rejected.
func (w *world) removeMember(removal *memberRemoval, target int) {
	m := w.machines[target]
	if removal.done || w.faultsEnded || w.now-removal.firstSent > changeTimeout {
		return
	}
	waiting := true
	retry := func() {
		if waiting {
			waiting = false
			w.schedule(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.removeMember(removal, w.randomMachine()) })
		}
	}
	w.schedule(clientTimeout, retry)
	if !m.up || m.replica == nil {
		return
	}
	settle := func(r api.Result) {
		switch {
		case r.Status >= 500:
			retry()
		case r.Status == http.StatusOK:
			removal.accepted, removal.done = true, removal.accepted // the first acknowledgement is lost
		default:
			if removal.done = true; removal.accepted {
				w.violate("CONFIG", "the removal of %s was accepted, and its retry is rejected with status %d", removal.name, r.Status)
			}
		}
	}
	if w.injectedBug == "removal retries are not idempotent" && removal.accepted && m.state().NextIndex > 0 {
		settle(api.Result{Status: http.StatusNotFound})
		return
	}
	m.deliver(replica.RemoveMember{Name: removal.name, Deadline: w.now + callTimeout, Request: m.answers.Add(settle)})
}

// scheduleReads reads the configuration at regular intervals from any replica, including isolated ones. The result must be at
// least as new as every change that was acknowledged before the read began.
func (w *world) scheduleReads() {
	w.schedule(readInterval, func() {
		if w.faultsEnded {
			return
		}
		w.scheduleReads()
		all := w.replicas()
		m, newest, incarnation := all[int(w.now/readInterval)*7%len(all)], w.ackedRevision, 0
		if !m.up {
			return
		}
		incarnation = m.incarnation
		read := func(r api.Result) {
			if m.incarnation == incarnation && r.Status == http.StatusOK && r.Revision < newest {
				w.violate("CURRENT", "%s returns revision %d, but %d was acknowledged before the read began", m.name, r.Revision, newest)
			}
		}
		if w.injectedBug == "reads local state" {
			if s := m.state(); s.Config != nil {
				read(api.Result{Status: http.StatusOK, Revision: s.Revision})
			}
			return
		}
		m.deliver(replica.ReadConfig{Deadline: w.now + callTimeout, Request: m.answers.Add(read)})
	})
}

// readBack reads the configuration at the end of the scenario and compares it with what was acknowledged.
func (w *world) readBack() {
	got := false
	for try := 0; try < 20 && !got; try++ {
		m := w.slots[w.rand.IntN(len(w.slots))]
		m.deliver(replica.ReadConfig{Deadline: w.now + callTimeout, Request: m.answers.Add(func(r api.Result) {
			if got || r.Status != http.StatusOK {
				return
			}
			got = true
			w.report.Revision = r.Revision
			c := w.findSent(r.Body)
			switch {
			case c == nil || c.revision != r.Revision:
				w.violate("CONFIG", "revision %d is read back and differs from what was sent", r.Revision)
			case c.rejected:
				w.violate("CONFIG", "revision %d is read back but was rejected", r.Revision)
			case r.Revision < w.ackedRevision:
				w.violate("LOST", "revision %d is read back, but %d was acknowledged", r.Revision, w.ackedRevision)
			}
		})})
		w.advance(w.now + time.Second)
	}
	if !got {
		w.violate("CONFIG", "the configuration cannot be read back")
		return
	}
	for _, m := range w.replicas() {
		s := m.state()
		for _, h := range s.History {
			if c := w.sent[h.Digest]; c == nil || c.rejected {
				w.violate("CONFIG", "revision %d is in the log but was rejected or never sent", h.Revision)
			}
		}
	}
}

// findSent returns the change with the encoded configuration, or nil.
func (w *world) findSent(text []byte) *configChange {
	_, digest, err := fleetconfig.DecodeWithDigest(text)
	if c := w.sent[digest]; err == nil && c != nil && bytes.Equal(c.encoded, text) {
		return c
	}
	return nil
}
