package check

import (
	"fmt"
	"syscall"
	"time"

	"notchhinge/internal/limits"
)

// maxCatchUp is how long a restarted member may take to catch up (catch_up_s of the control sites).
const maxCatchUp = 4 * time.Second

// newSimWithChanges returns a simulation in which a few changes are acknowledged.
func newSimWithChanges(config catchUpConfig, seed uint64) *catchUpSim {
	sim := newCatchUpSim(config, seed)
	sim.startChange()
	sim.makeChanges(3)
	return sim
}

// restartAndCatchUp starts a stopped member while changes continue, and reads the configuration from it at once. Within
// maxCatchUp it must have every entry chosen before its start, be a member, and have served the read.
func (sim *catchUpSim) restartAndCatchUp(m *simReplica) {
	target, hasRead := sim.maxIndex, false
	sim.makeChanges(0)
	if m.start(); !m.isUp {
		return
	}
	sim.readConfig(m, func() { hasRead = true })
	elapsed, ok := sim.runUntil(maxCatchUp, func() bool {
		s := m.replica.State()
		return !m.isUp || hasRead && s.NextIndex >= target && s.Member(m.id) != nil
	})
	if sim.longestCatchUp = max(sim.longestCatchUp, elapsed); !ok {
		s := m.replica.State()
		sim.violate("member %d has not caught up in %v: index %d of %d, read %v, member %v", m.index, elapsed, s.NextIndex, sim.maxIndex, hasRead, s.Member(m.id) != nil)
	}
}

// catchUpAfterAbsence stops a member for n changes, three times. It restarts with its disk, then with an empty disk; then a
// spare with another name and address replaces it.
func catchUpAfterAbsence(config catchUpConfig, n uint64, seed uint64) *catchUpSim {
	config.spares = 1
	sim := newSimWithChanges(config, seed)
	m := sim.replicas[config.members-1]
	for _, scenario := range []string{"back", "wiped", "replaced"} {
		m.stop(true)
		if sim.makeChanges(n); scenario == "wiped" {
			m.disk = m.disk.emptied()
		}
		if scenario == "replaced" { // a voter is replaced only after it has been unresponsive for VoterReplaceDelay
			m = sim.replicas[config.members]
			sim.makeChanges(0)
			sim.runFor(limits.VoterReplaceDelay + limits.VoterCheckInterval)
		}
		sim.runFor(time.Duration(sim.rnd.Int64N(int64(config.changeInterval))))
		sim.restartAndCatchUp(m)
	}
	sim.makeChanges(3)
	return sim
}

// losePowerDuringCatchUp cuts a member's power at every stride-th disk step after its start, each time after more changes than
// the log retains, so that the member needs a snapshot. After every third loss its disk is empty. It returns the number of
// power losses.
func losePowerDuringCatchUp(config catchUpConfig, stride int, seed uint64) (sim *catchUpSim, losses int) {
	sim = newSimWithChanges(config, seed)
	m := sim.replicas[config.members-1]
	for failAt := 1; sim.violation == ""; failAt += stride {
		m.stop(true)
		sim.makeChanges(40)
		m.disk.failFrom(failAt, 0, errPowerLost)
		sim.restartAndCatchUp(m)
		if m.isUp && !m.disk.hasLostPower() { // it caught up before the step was reached
			return sim, losses
		}
		if losses++; m.isUp {
			m.stop(true)
		}
		if failAt%3 == 0 {
			m.disk = m.disk.emptied()
		}
		sim.restartAndCatchUp(m)
	}
	return sim, losses
}

// fillDiskDuringCatchUp makes a member's disk full for a few steps, beginning at every stride-th step after its start. It
// returns the number of starts that met a full disk.
func fillDiskDuringCatchUp(config catchUpConfig, stride int, seed uint64) (sim *catchUpSim, starts int) {
	sim = newSimWithChanges(config, seed)
	m := sim.replicas[config.members-1]
	for failAt := 1; sim.violation == ""; failAt += stride {
		m.stop(true)
		sim.makeChanges(40)
		m.disk.failFrom(failAt, 1+failAt%5, syscall.ENOSPC)
		sim.restartAndCatchUp(m)
		if !m.isUp { // the first start failed
			if _, ok := sim.runUntil(maxCatchUp, func() bool { return m.isUp && m.replica.State().NextIndex+limits.MaxJoinLag > sim.maxIndex }); !ok {
				sim.violate("member %d has not recovered after its disk was full", m.index)
			}
		}
		if m.disk.isFailurePending() {
			return sim, starts
		}
		starts++
	}
	return sim, starts
}

// alterSnapshots serves outdated and truncated snapshots to a restarted member, and then correct ones.
func alterSnapshots(config catchUpConfig, times int, seed uint64) *catchUpSim {
	sim := newSimWithChanges(config, seed)
	m := sim.replicas[config.members-1]
	var earlier [][]byte
	for range times {
		m.stop(true)
		sim.makeChanges(40)
		sim.makeChanges(0)
		sim.alterSnapshot = func(b []byte) []byte {
			earlier = append(earlier, b)
			if sim.rnd.IntN(2) == 0 {
				return earlier[sim.rnd.IntN(len(earlier))]
			}
			return b[:sim.rnd.IntN(len(b))]
		}
		if m.start(); !m.isUp {
			return sim
		}
		sim.runFor(500 * time.Millisecond)
		sim.alterSnapshot = func(b []byte) []byte { return b }
		m.stop(false)
		sim.restartAndCatchUp(m)
	}
	return sim
}

// slowDownReplica restarts a member whose writes take 25 times as long for some seconds, and then makes the quorum depend on
// it. Its queue must stay short, and changes must be acknowledged in the time that the control sites allow.
func slowDownReplica(config catchUpConfig, seed uint64) *catchUpSim {
	const (
		maxQueue  = 64
		maxChange = 5 * time.Second // ack_ms of the control sites
		maxBehind = 500 * time.Millisecond
	)
	sim := newSimWithChanges(config, seed)
	m := sim.replicas[config.members-1]
	m.stop(true)
	sim.makeChanges(3)
	m.slowdown = 24
	sim.restartAndCatchUp(m)
	for range 12 {
		sim.runFor(500 * time.Millisecond)
		if s := m.replica.State(); s.NextIndex+limits.MaxJoinLag < sim.maxIndex || len(m.queue) > maxQueue {
			sim.violate("slow member %d lacks %d entries, with %d events queued", m.index, sim.maxIndex-s.NextIndex, len(m.queue))
		}
	}
	m.slowdown = 0
	head := sim.maxIndex
	if elapsed, ok := sim.runUntil(maxBehind, func() bool { return m.replica.State().NextIndex >= head }); !ok {
		sim.violate("member %d has not caught up %v after its disk was slow", m.index, elapsed)
	}
	m.slowdown = 24
	sim.runFor(time.Second)
	sim.replicas[0].stop(true)
	acked := sim.ackedRevision
	if elapsed, ok := sim.runUntil(maxChange, func() bool { return sim.ackedRevision > acked }); !ok {
		sim.violate("no change in %v after member 0 lost power", elapsed)
	}
	return sim
}

// walkCatchUp checks members that restart and slow members, with the largest configurations from 20000 seeds on.
func walkCatchUp(seeds int) (violation string, changes int) {
	config, n := largeConfigs(), uint64(40)
	if config.paddingBytes = 262_000; seeds >= 20_000 {
		config.paddingBytes, config.routes, n = 0, 1280, 1000 // 261 kB that consist of routes only
	}
	sim := catchUpAfterAbsence(config, n, 1)
	for seed := uint64(1); sim.violation == "" && seed <= max(n/100, 1); seed++ {
		sim = slowDownReplica(scaledConfigs(), seed)
	}
	return sim.violation, int(n)
}

// walkCatchUpFaults checks power losses, altered snapshots and full disks during catch-up.
func walkCatchUpFaults(seeds int) (violation string, faults int) {
	for seed := range uint64(max(seeds/1000, 1)) {
		config := smallConfigs()
		if seed%8 == 7 {
			config = largeConfigs()
		}
		sim, steps := losePowerDuringCatchUp(config, 1, seed)
		if faults += steps; sim.violation == "" {
			sim = alterSnapshots(smallConfigs(), 5, seed)
		}
		if sim.violation == "" {
			sim, steps = fillDiskDuringCatchUp(smallConfigs(), 1, seed)
			faults += steps
		}
		if sim.violation != "" {
			return fmt.Sprintf("seed %d: %s", seed, sim.violation), faults
		}
	}
	return "", faults
}

// walkBrokenCatchUp runs the walk that detects a broken rule, and must return a violation.
func walkBrokenCatchUp(rule string, seeds int) (violation string, faults int) {
	config := smallConfigs()
	if config.brokenRule = rule; rule == brokenTimeout {
		config = scaledConfigs()
		config.brokenRule = rule
		return slowDownReplica(config, 1).violation, 1
	}
	for seed := range uint64(seeds) {
		sim, losses := losePowerDuringCatchUp(config, 1, seed)
		if faults += losses; sim.violation != "" {
			return sim.violation, faults
		}
	}
	return "", faults
}
