// Package plane is a deterministic simulation of the control plane of a fleet. Every machine runs the reducers of the
// program (gossip, registry, replicated log, membership) on one seeded clock and one event queue. Links delay and lose
// messages and are blocked in one or both directions, disks are slow or fail, processes crash, lose their disks and are
// replaced, engines send heartbeats, drain and crash, and operators change the configuration concurrently. Invariants are
// checked on what passes over the links. Nothing reads a clock or opens a socket, so that a scenario and its seed always
// give the same result.
package plane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/timerqueue"
)

// Scenario describes a simulated fleet and the faults that are injected.
type Scenario struct {
	Seed     uint64
	Replicas int
	Routers  int
	Engines  int
	Tolerate int // replicas that may be lost at once
	Length   time.Duration
	Faults   []Fault
	// Overlaps allows faults on more than Tolerate replicas at once, as long as at most Tolerate disks are lost.
	Overlaps bool
	// Tenants is the number of tenants with requests in each usage window at every router; 0 = up to three, at random.
	Tenants int
	// LinkBytesPerSecond is the bandwidth of a link; 0 = unlimited.
	LinkBytesPerSecond int
}

// Fault is a fault that is injected at a given time.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	Variant Variant
	On      []int // indexes of machines, or of engines; an index below Replicas is a slot, whose machine may be replaced
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults. A fault ends after its duration, if it has one.
const (
	Kill              FaultKind = "kill"   // crash processes and restart them; disks survive
	PowerLoss         FaultKind = "dark"   // crash all processes at the same moment
	CrashAfterAck     FaultKind = "aimed"  // at the next acknowledgement, to an operator or an engine, wipe the disk of the replica that sent it and crash all processes
	WipeDisk          FaultKind = "wipe"   // crash processes; replicas lose their disks
	Isolate           FaultKind = "cut"    // partition machines from all others and from the platform
	DropOutbound      FaultKind = "mute"   // one-way partition: nothing that the machines send arrives
	DropInbound       FaultKind = "deaf"   // one-way partition: nothing arrives at the machines
	PartitionReplicas FaultKind = "split"  // partition replicas from the other replicas
	DrainEngine       FaultKind = "leave"  // engines drain and then stop
	CrashEngine       FaultKind = "crash"  // engines crash
	ChangeConfig      FaultKind = "change" // an operator changes the configuration
	RaceChanges       FaultKind = "race"   // two operators change the configuration at the same base revision
	FreezeProcess     FaultKind = "freeze" // processes pause and resume
	StepClock         FaultKind = "step"   // the wall clocks of machines step forward or back, and return
	PartitionPair     FaultKind = "part"   // partition machines from each other; all other links work
	FullDisk          FaultKind = "full"   // disks of replicas refuse writes
	SlowDisk          FaultKind = "slow"   // disks of replicas take 30 times as long
	StallDisk         FaultKind = "stall"  // disks of replicas complete no write

	Terminate      FaultKind = "term"    // processes receive SIGTERM and are restarted
	ReplaceReplica FaultKind = "replace" // replicas are removed for good; empty ones with other addresses take their slots
	LoseReply      FaultKind = "lost"    // the reply to the next configuration change is lost
	ChangeBurst    FaultKind = "storm"   // operators send 14 configuration changes per second
	RemoveMember   FaultKind = "dismiss" // an operator removes the predecessor in a slot from the membership

	PartitionHalves  FaultKind = "halves"   // partition the replicas into two halves, regardless of Tolerate
	DeregisterEngine FaultKind = "sign_off" // engines deregister without draining first and keep serving for a while
)

// Variant modifies a kind of fault; "" is the unmodified kind.
type Variant string

// The variants of faults.
const (
	Leader         Variant = "leader"  // the target is the replica that last acknowledged a change or called the platform
	RestartRouters Variant = "seeds"   // while the partition lasts, routers restart with only the isolated replicas as seeds
	RestartAll     Variant = "both"    // the isolated replicas restart, and then all other replicas at the same moment
	Planned        Variant = "planned" // the successor starts before its predecessor receives SIGTERM
	Twice          Variant = "twice"   // two replies are lost instead of one
	SameRevision   Variant = "same"    // both changes have the same revision
	LoseDisks      Variant = "disks"   // the targets lose their disks in the power loss
)

// variants lists the variants of each kind.
var variants = map[FaultKind][]Variant{
	Kill: {Leader}, FreezeProcess: {Leader}, Isolate: {Leader, RestartRouters, RestartAll}, PartitionReplicas: {RestartRouters, RestartAll}, ReplaceReplica: {Planned}, LoseReply: {Twice}, RaceChanges: {SameRevision}, PowerLoss: {LoseDisks},
}

// FaultKinds lists all kinds. Draw picks from kindWeights, and adds faults of the other kinds itself.
var FaultKinds = []FaultKind{Kill, PowerLoss, CrashAfterAck, WipeDisk, Isolate, DropOutbound, DropInbound, PartitionReplicas, DrainEngine, CrashEngine, ChangeConfig, RaceChanges, FreezeProcess, StepClock, PartitionPair, FullDisk, SlowDisk, StallDisk, Terminate, ReplaceReplica, LoseReply, ChangeBurst, RemoveMember, PartitionHalves, DeregisterEngine}

// targetsEngines reports whether the indexes of a fault are those of engines.
func (k FaultKind) targetsEngines() bool {
	return k == DrainEngine || k == CrashEngine || k == DeregisterEngine
}

// Violation is a violated invariant. The invariants are:
//
//	ACKS: without faults, each change is answered within bounds.ack
//	AVAILABLE: a settled core (see availability) answers each change within bounds.ack
//	CONFIG: one change per base revision is acknowledged, a rejected change is never accepted, and retries are idempotent
//	CURRENT: a read returns no revision older than one that was acknowledged before the read began
//	DRAIN: no router sends new work to an engine after the deadline of its acknowledged drain
//	DUTY: the last usage window, which ends without faults, is reported
//	LOST: at the end, the configuration is no older than any acknowledged change
//	ONE: no two lease holders act at the same time, and all reports of a usage window have the same counts
//	SILENT: no router suspects an engine whose heartbeat was acknowledged lately
type Violation struct {
	Rule    string // name of the invariant
	At      time.Duration
	Message string
}

// Report is the result of a scenario.
type Report struct {
	Violations     []Violation   // the first of each rule, sorted by rule
	Changes        int           // configuration changes that were sent
	Acked          int           // of Changes, those that were acknowledged
	AckedAtMaxLoss int           // of Acked, those acknowledged while the core was settled and as many replicas as tolerated were lost
	Drained        int           // engines whose drain was acknowledged
	Windows        int           // usage windows that were due
	Unreported     int           // of Windows, those not reported
	Late           int           // of Windows, those reported later than the usage delay
	Orders         int           // scaling orders for engines
	Events         int           // events of the simulation
	Slowest        time.Duration // longest time from the first sending of a configuration to its final answer, without faults
	Revision       uint64        // revision of the configuration read back at the end
}

// world is the state of a simulation.
type world struct {
	scenario       *Scenario
	injectedBug    string // name of the injected bug; "" = none
	rand           *rand.Rand
	now            time.Duration
	events         *timerqueue.Queue[func()]
	machines       []*machine
	blockedLinks   map[[2]int]int // number of partitions that block a link, by the indexes of its sender and receiver
	silenceTimeout time.Duration
	diskLatency    time.Duration
	lossRate       float64
	minVoters      int
	lastFault      time.Duration // time of the last fault of a replica or of a link to one
	ackFaults      []*Fault      // CrashAfterAck faults that wait for an acknowledgement
	slots          []*machine    // the replicas by slot; a successor takes the slot of its predecessor
	partitions     []*partition  // partitions in effect
	isolatedSeeds  []*machine    // the only seeds of processes that start now; nil = no restriction
	faultsEnded    bool          // all faults have ended
	core           availability
	bounds         bounds

	engines       []*engine
	sent          map[fleetconfig.Digest]*configChange
	pending       []*configChange          // configuration changes without a final answer, in the order of sending
	ackedOnBase   map[uint64]*configChange // the acknowledged change, by base revision
	replyLosses   []int                    // how many replies each of the next changes loses
	ackedRevision uint64                   // highest acknowledged revision
	lastRevision  uint64                   // revision of the last change that was sent
	violations    map[string]Violation
	report        Report

	platform         platform
	meter            meter
	requestsByWindow map[uint64]int // requests that routers counted, by usage window

	onUsageStep func(*machine, usageStep) // called at each usageStep; nil = no call
}

// schedule calls do after a delay.
func (w *world) schedule(d time.Duration, do func()) {
	w.events.Add(w.now+d, do)
}

// violate records the violation of a rule. Only the first of each rule is kept.
func (w *world) violate(rule, format string, args ...any) {
	if _, known := w.violations[rule]; !known {
		w.violations[rule] = Violation{rule, w.now, fmt.Sprintf(format, args...)}
	}
}

// advance runs the events that are due until a time.
func (w *world) advance(until time.Duration) {
	for at, ok := w.events.NextDue(); ok && at <= until; at, ok = w.events.NextDue() {
		w.now = at
		w.report.Events++
		do, _ := w.events.PopDue(at)
		do()
	}
	w.now = until
}

// Time without faults before the first fault and after the last one.
const (
	warmUpTime = 5 * time.Second
	settleTime = 20 * time.Second
)

// Run simulates the scenario. injectedBug names a bug that the invariants must detect; "" = none.
func (s *Scenario) Run(injectedBug string) Report { return newWorld(s, injectedBug).simulate() }

// simulate runs the scenario and returns its report.
func (w *world) simulate() Report {
	w.start()
	w.advance(warmUpTime + w.scenario.Length)
	w.heal()
	w.advance(w.now + settleTime)
	w.checkUsage()
	w.readBack()
	for _, rule := range slices.Sorted(keys(w.violations)) {
		w.report.Violations = append(w.report.Violations, w.violations[rule])
	}
	return w.report
}

// start starts all processes and schedules the faults.
func (w *world) start() {
	for _, m := range w.machines {
		m.start()
	}
	for _, m := range w.machines {
		if !m.isReplica {
			w.reportUsage(m)
		}
	}
	w.checkCore()
	w.scheduleReads()
	for k := range w.scenario.Engines {
		w.startEngine(k)
	}
	w.schedule(warmUpTime/2, func() { w.submitNext(0, 0) })
	for i := range w.scenario.Faults {
		f := &w.scenario.Faults[i]
		w.schedule(warmUpTime+f.At, func() { w.inject(f) })
	}
}

func keys(m map[string]Violation) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// noteFault records that a fault of the machines began or ended.
func (w *world) noteFault(all ...*machine) {
	for _, m := range all {
		m.lastFault = w.now
		if m.isReplica {
			w.lastFault, w.core.lastFault = w.now, w.now
		}
	}
}
