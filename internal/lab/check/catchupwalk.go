package check

import (
	"fmt"
	"syscall"
	"time"

	"notchhinge/internal/limits"
)

// maxCatchUp is the time that the platform gives a member that is back (catch_up_s of the control sites).
const maxCatchUp = 4 * time.Second

// newBusySim returns a simulation in which a few changes were made.
func newBusySim(of catchUpConfig, seed uint64) *catchUpSim {
	w := newCatchUpSim(of, seed)
	w.startChange()
	w.makeChanges(3)
	return w
}

// bringBack starts a member that was away, while changes go on, and has it asked for the configuration at once. Within
// maxCatchUp it must have all that was chosen before, be a member, and have answered.
func (w *catchUpSim) bringBack(m *simReplica) {
	before, hasRead := w.maxIndex, false
	w.makeChanges(0)
	if m.start(); !m.isUp {
		return
	}
	w.readConfig(m, func() { hasRead = true })
	took, ok := w.runUntil(maxCatchUp, func() bool {
		s := m.node.State()
		return !m.isUp || hasRead && s.NextIndex >= before && s.Member(m.id) != nil
	})
	if w.longestCatchUp = max(w.longestCatchUp, took); !ok {
		s := m.node.State()
		w.violate("member %d has not caught up in %v: index %d of %d, read %v, member %v", m.position, took, s.NextIndex, w.maxIndex, hasRead, s.Member(m.id) != nil)
	}
}

// catchUpAfterAbsence has a member away for n changes, three times: it comes back with its disk, without it, and then another
// machine with another name and address comes in its place.
func catchUpAfterAbsence(of catchUpConfig, n uint64, seed uint64) *catchUpSim {
	of.spares = 1
	w := newBusySim(of, seed)
	m := w.replicas[of.members-1]
	for _, how := range []string{"back", "wiped", "replaced"} {
		m.stop(true)
		if w.makeChanges(n); how == "wiped" {
			m.disk = m.disk.emptied()
		}
		if how == "replaced" { // a voter is replaced only after it has not answered for a while
			m = w.replicas[of.members]
			w.makeChanges(0)
			w.runFor(limits.VoterReplaceDelay + limits.VoterCheckInterval)
		}
		w.runFor(time.Duration(w.rnd.Int64N(int64(of.changeInterval))))
		w.bringBack(m)
	}
	w.makeChanges(3)
	return w
}

// losePowerDuringCatchUp has a member lose power at every stride-th step of its disk from its start on, each time after more
// changes than a log keeps entries. Every third time its disk is gone afterwards. It returns the number of losses.
func losePowerDuringCatchUp(of catchUpConfig, stride int, seed uint64) (w *catchUpSim, losses int) {
	w = newBusySim(of, seed)
	m := w.replicas[of.members-1]
	for at := 1; w.violation == ""; at += stride {
		m.stop(true)
		w.makeChanges(40)
		m.disk.failFrom(at, 0, errPowerLost)
		w.bringBack(m)
		if m.isUp && !m.disk.hasLostPower() { // it had caught up before
			return w, losses
		}
		if losses++; m.isUp {
			m.stop(true)
		}
		if at%3 == 0 {
			m.disk = m.disk.emptied()
		}
		w.bringBack(m)
	}
	return w, losses
}

// fillDiskDuringCatchUp has the disk of a member full for some steps, from every stride-th one after its start on. It returns the
// number of starts.
func fillDiskDuringCatchUp(of catchUpConfig, stride int, seed uint64) (w *catchUpSim, starts int) {
	w = newBusySim(of, seed)
	m := w.replicas[of.members-1]
	for at := 1; w.violation == ""; at += stride {
		m.stop(true)
		w.makeChanges(40)
		m.disk.failFrom(at, 1+at%5, syscall.ENOSPC)
		w.bringBack(m)
		if !m.isUp { // it could not be started at once
			if _, ok := w.runUntil(maxCatchUp, func() bool { return m.isUp && m.node.State().NextIndex+limits.MaxJoinLag > w.maxIndex }); !ok {
				w.violate("member %d is not back after its disk was full", m.position)
			}
		}
		if m.disk.isFailurePending() {
			return w, starts
		}
		starts++
	}
	return w, starts
}

// alterSnapshots gives a member that comes back old and truncated snapshots, and then good ones.
func alterSnapshots(of catchUpConfig, times int, seed uint64) *catchUpSim {
	w := newBusySim(of, seed)
	m := w.replicas[of.members-1]
	var old [][]byte
	for range times {
		m.stop(true)
		w.makeChanges(40)
		w.makeChanges(0)
		w.alterSnapshot = func(b []byte) []byte {
			old = append(old, b)
			if w.rnd.IntN(2) == 0 {
				return old[w.rnd.IntN(len(old))]
			}
			return b[:w.rnd.IntN(len(b))]
		}
		if m.start(); !m.isUp {
			return w
		}
		w.runFor(500 * time.Millisecond)
		w.alterSnapshot = func(b []byte) []byte { return b }
		m.stop(false)
		w.bringBack(m)
	}
	return w
}

// slowDownReplica has a member come back whose writes take 25 times as long, for some seconds, and which is then needed for a
// quorum. Its queue must stay short, and changes must be made in the time that the platform gives them.
func slowDownReplica(of catchUpConfig, seed uint64) *catchUpSim {
	const (
		maxQueue  = 64
		maxChange = 5 * time.Second // ack_ms of the control sites
		maxBehind = 500 * time.Millisecond
	)
	w := newBusySim(of, seed)
	m := w.replicas[of.members-1]
	m.stop(true)
	w.makeChanges(3)
	m.slowdown = 24
	w.bringBack(m)
	for range 12 {
		w.runFor(500 * time.Millisecond)
		if s := m.node.State(); s.NextIndex+limits.MaxJoinLag < w.maxIndex || len(m.queue) > maxQueue {
			w.violate("slow member %d lacks %d entries, and %d events wait there", m.position, w.maxIndex-s.NextIndex, len(m.queue))
		}
	}
	m.slowdown = 0
	head := w.maxIndex
	if took, ok := w.runUntil(maxBehind, func() bool { return m.node.State().NextIndex >= head }); !ok {
		w.violate("member %d is not back %v after its disk was slow", m.position, took)
	}
	m.slowdown = 24
	w.runFor(time.Second)
	w.replicas[0].stop(true)
	acked := w.ackedRevision
	if took, ok := w.runUntil(maxChange, func() bool { return w.ackedRevision > acked }); !ok {
		w.violate("no change in %v after member 0 is lost", took)
	}
	return w
}

// walkCatchUp walks through members that come back and slow ones, at full size from 20000 seeds on.
func walkCatchUp(seeds int) (violation string, met int) {
	of, n := largeConfigs(), uint64(40)
	if of.paddingBytes = 262_000; seeds >= 20_000 {
		of.paddingBytes, of.routes, n = 0, 1280, 1000 // 261 kB that are read route by route
	}
	w := catchUpAfterAbsence(of, n, 1)
	for seed := uint64(1); w.violation == "" && seed <= max(n/100, 1); seed++ {
		w = slowDownReplica(scaledConfigs(), seed)
	}
	return w.violation, int(n)
}

// walkCatchUpFaults walks through losses of power, altered snapshots and full disks during catch-up.
func walkCatchUpFaults(seeds int) (violation string, met int) {
	for seed := range uint64(max(seeds/1000, 1)) {
		of := smallConfigs()
		if seed%8 == 7 {
			of = largeConfigs()
		}
		w, steps := losePowerDuringCatchUp(of, 1, seed)
		if met += steps; w.violation == "" {
			w = alterSnapshots(smallConfigs(), 5, seed)
		}
		if w.violation == "" {
			w, steps = fillDiskDuringCatchUp(smallConfigs(), 1, seed)
			met += steps
		}
		if w.violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, w.violation), met
		}
	}
	return "", met
}

// walkBrokenCatchUp walks with a rule broken. It must find a violation.
func walkBrokenCatchUp(rule string, seeds int) (violation string, met int) {
	of := smallConfigs()
	if of.brokenRule = rule; rule == brokenTimeout {
		of = scaledConfigs()
		of.brokenRule = rule
		return slowDownReplica(of, 1).violation, 1
	}
	for seed := range uint64(seeds) {
		w, losses := losePowerDuringCatchUp(of, 1, seed)
		if met += losses; w.violation != "" {
			return w.violation, met
		}
	}
	return "", met
}
