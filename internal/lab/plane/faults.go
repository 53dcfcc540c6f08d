package plane

import (
	"slices"
	"time"
)

// Parameters of disk and clock faults.
const (
	slowDiskFactor      = 29 // additional time of a slow write, in multiples of the normal time
	ackFaultTimeout     = time.Second
	maxClockStepSeconds = 6 // largest step of a wall clock, forward or back
)

// inject starts a fault and schedules its end.
func (w *world) inject(f *Fault) {
	if w.faultsEnded { // its time is after the end of the scenario
		return
	}
	on := w.targets(f)
	if fault := machineFaults[f.Kind]; fault != nil {
		for _, m := range on {
			fault(w, m, f)
		}
		return
	}
	switch f.Kind {
	case Kill, WipeDisk, PowerLoss:
		w.kill(f, on)
	case CrashAfterAck:
		w.ackFaults = append(w.ackFaults, f)
		w.schedule(ackFaultTimeout, func() { w.ackFaults = slices.DeleteFunc(w.ackFaults, func(x *Fault) bool { return x == f }) })
	case Isolate, DropOutbound, DropInbound, PartitionReplicas, PartitionPair, PartitionHalves:
		w.startPartition(f, on)
	case StepClock:
		w.stepClock(f, on)
	case DrainEngine, DeregisterEngine, CrashEngine:
		w.injectEngineFault(f)
	default:
		w.injectOperatorFault(f, on)
	}
}

// machineFaults are the faults that apply to each target on its own.
var machineFaults = map[FaultKind]func(w *world, m *machine, t *Fault){
	Terminate:      (*world).restart,
	ReplaceReplica: (*world).replaceReplica,
	FreezeProcess:  (*world).freeze,
	FullDisk:       (*world).fillDisk,
	SlowDisk:       (*world).slowDisk,
	StallDisk:      (*world).stallDisk,
}

// restart sends SIGTERM to a process and starts it again later.
func (w *world) restart(m *machine, f *Fault) {
	w.terminate(m, func() {
		w.schedule(f.For, func() { w.startAgain(m) })
	})
}

// freeze pauses a process.
func (w *world) freeze(m *machine, f *Fault) {
	if !m.up || m.frozen {
		return
	}
	m.frozen = true
	w.noteFault(m)
	incarnation := m.incarnation
	w.schedule(f.For, func() {
		if m.incarnation == incarnation {
			m.thaw()
		}
	})
}

// fillDisk makes the disk of a replica refuse writes.
func (w *world) fillDisk(m *machine, f *Fault) {
	if !m.isReplica {
		return
	}
	m.diskFull = true
	w.noteFault(m)
	w.schedule(f.For, func() {
		m.diskFull = false
		w.noteFault(m)
	})
}

// slowDisk makes the disk of a replica slow.
func (w *world) slowDisk(m *machine, f *Fault) { w.delayDisk(m, f, slowDiskFactor*w.diskLatency) }

// stallDisk makes the disk of a replica complete no write.
func (w *world) stallDisk(m *machine, f *Fault) {
	if m.isReplica {
		m.diskStalledUntil = max(m.diskStalledUntil, w.now+f.For)
	}
	w.delayDisk(m, f, f.For)
}

func (w *world) delayDisk(m *machine, f *Fault, by time.Duration) {
	if !m.isReplica {
		return
	}
	m.diskDelay += by
	w.noteFault(m)
	w.schedule(f.For, func() {
		if !w.faultsEnded {
			m.diskDelay -= by
			w.noteFault(m)
		}
	})
}

// stepClock steps the wall clocks of machines and returns them later.
func (w *world) stepClock(f *Fault, on []*machine) {
	by := time.Duration(w.rand.IntN(2*maxClockStepSeconds)-maxClockStepSeconds) * time.Second
	for _, m := range on {
		m.clockOffset += by
		w.noteFault(m)
		w.schedule(f.For, func() { m.clockOffset -= by; w.noteFault(m) })
	}
}

// injectEngineFault drains, deregisters or crashes engines.
func (w *world) injectEngineFault(f *Fault) {
	for _, k := range f.On {
		e := w.engines[k%len(w.engines)]
		switch f.Kind {
		case DrainEngine:
			e.drain()
		case DeregisterEngine:
			e.startDeregister()
		case CrashEngine:
			e.crash()
		}
	}
}

// injectOperatorFault has operators change the configuration or the membership, or lose replies.
func (w *world) injectOperatorFault(f *Fault, on []*machine) {
	switch f.Kind {
	case ChangeConfig:
		w.submitNext(w.ackedRevision, w.randomMachine())
	case RaceChanges:
		w.raceChanges(f.Variant == SameRevision)
	case LoseReply:
		n := 1
		if f.Variant == Twice {
			n = 2
		}
		w.replyLosses = append(w.replyLosses, n)
	case RemoveMember:
		for _, m := range on {
			if m.predecessor != nil && m.predecessor.gone {
				w.removeMember(&memberRemoval{name: m.predecessor.name, firstSent: w.now}, w.randomMachine())
			}
		}
	case ChangeBurst:
		w.changeBurst(w.now + f.For)
	}
}

// injectAckFaults injects the faults that wait for an acknowledgement, which a machine has just sent.
func (w *world) injectAckFaults(m *machine) {
	for _, f := range w.ackFaults {
		if m.isReplica && !m.gone {
			w.inject(&Fault{Kind: WipeDisk, For: f.For, On: []int{w.slotOf(m)}})
		}
		w.inject(&Fault{Kind: PowerLoss, For: f.For})
	}
	w.ackFaults = nil
}

// kill crashes the named processes, or all of them on PowerLoss, and starts them again later. Named replicas may lose their
// disks.
func (w *world) kill(f *Fault, named []*machine) {
	losesDisk := func(m *machine) bool {
		return m.isReplica && (f.Kind == WipeDisk || f.Variant == LoseDisks) && slices.Contains(named, m)
	}
	victims := named
	if f.Kind == PowerLoss {
		victims = slices.Clone(w.machines)
	}
	for _, m := range victims {
		if !m.up {
			continue
		}
		if m.kill(); losesDisk(m) {
			m.disk = &disk{}
		}
		w.noteFault(m)
		w.schedule(f.For, func() { w.startAgain(m) })
	}
}

// heal ends every fault.
func (w *world) heal() {
	w.faultsEnded = true
	clear(w.blockedLinks)
	w.partitions, w.isolatedSeeds = nil, nil
	for _, m := range w.slots {
		if m.gone {
			w.addSuccessor(m)
		}
	}
	for _, m := range w.machines {
		m.diskFull, m.diskDelay, m.diskStalledUntil = false, 0, w.now
		w.startAgain(m)
		m.thaw()
		w.noteFault(m)
	}
}

// startAgain starts a process, unless it runs or its machine is gone for good.
func (w *world) startAgain(m *machine) {
	m.gone = m.gone || m.retired && !m.up
	if !m.up && !m.gone {
		m.start()
		w.noteFault(m)
	}
}

// replicas returns the replicas that are not gone for good.
func (w *world) replicas() (all []*machine) {
	for _, m := range w.machines {
		if m.isReplica && !m.gone {
			all = append(all, m)
		}
	}
	return all
}

// targets returns the machines that a fault applies to.
func (w *world) targets(f *Fault) (on []*machine) {
	if f.Variant == Leader {
		if m := w.core.lastActor; m != nil && !m.gone {
			on = append(on, m)
		}
		return on
	}
	for _, i := range f.On {
		switch {
		case i < w.scenario.Replicas:
			if m := w.slots[i]; !m.gone {
				on = append(on, m)
			}
		case i < w.scenario.Replicas+w.scenario.Routers:
			on = append(on, w.machines[i])
		}
	}
	return on
}
