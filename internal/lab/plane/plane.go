// Package plane plays the fleet's control plane in simulated time: the program's own reducers of news (gossip, roster) and of
// the state (ballots, chain, members), of every machine, on one seeded clock and one queue of events, with links that delay,
// lose and are cut one way or both, disks that take their time, processes that are killed, wiped and replaced, engines that
// call, drain and crash, and operators that race. Oracles after the rules of the platform watch what goes over the wires and
// say what is broken. Nothing reads a clock or opens a socket, so that a day and its seed have the same end everywhere.
package plane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/timerqueue"
)

// Scenario is what is played.
type Scenario struct {
	Seed     uint64
	Replicas int
	Routers  int
	Engines  int
	Tolerate int // keepers that may be lost at once
	Length   time.Duration
	Faults   []Fault
	// Overlaps says that more keepers than Tolerate may be lost at once, as long as no more disks are.
	Overlaps bool
	// Tenants is how many tenants have requests in each usage window, at every router; 0 = up to three, at random.
	Tenants int
	// LinkBytesPerSecond bounds what a link carries; 0 = it carries a call of any size at once.
	LinkBytesPerSecond int
}

// Fault is something that happens at a time.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	How     How
	On      []int // machines, or engines; a number of a keeper is its seat, which its successors take
}

// FaultKind is what happens.
type FaultKind string

// The kinds: processes are killed and come back after a time; all are, at one moment, their disks remain; machines lose their disk with it; machines are cut off from all
// others, or are not heard, or do not hear; the core is cut in two; engines say that they leave, or crash; an operator
// changes the configuration; two do, upon the same version; machines stand still and go on; their time of day steps ahead and back;
// machines do not hear each other, and all others do; disks refuse what is written, take thirty times as long, or answer nothing;
// machines get a SIGTERM and start again; keepers are gone for good and empty ones come in their place, at other addresses;
// answers to the operator's next order are lost; orders come at fourteen a second; an operator takes out who had a seat before;
// the core is cut into two halves, whatever may be lost; engines deregister without having said that they drain, and serve on.
const (
	Kill              FaultKind = "kill"
	Dark              FaultKind = "dark"
	Aimed             FaultKind = "aimed" // at the next acknowledgement: who has acknowledged loses its disk, and all are killed
	Wipe              FaultKind = "wipe"
	Isolate           FaultKind = "cut"
	DropOutbound      FaultKind = "mute"
	DropInbound       FaultKind = "deaf"
	PartitionReplicas FaultKind = "split"
	DrainEngine       FaultKind = "leave"
	Crash             FaultKind = "crash"
	ChangeConfig      FaultKind = "change"
	RaceChanges       FaultKind = "race"
	Freeze            FaultKind = "freeze"
	Step              FaultKind = "step"
	Part              FaultKind = "part"
	Full              FaultKind = "full"
	Slow              FaultKind = "slow"
	Stall             FaultKind = "stall"

	Term    FaultKind = "term"
	Replace FaultKind = "replace"
	Lost    FaultKind = "lost"
	Storm   FaultKind = "storm"
	Dismiss FaultKind = "dismiss"

	Halves  FaultKind = "halves"
	SignOff FaultKind = "sign_off"
)

// How is a variant of a kind; "" is the plain one.
type How string

// The variants: it strikes the keeper that acted last; behind a cut routers are restarted that are told of nobody else but those that are cut off; or those
// that are cut off are restarted, and then all other keepers at one moment; the successor comes before its predecessor is told to leave;
// two answers are lost in place of one; both racing changes have one number; with all killed some keepers lose their disks.
const (
	Leader  How = "leader"
	Seeds   How = "seeds"
	Both    How = "both"
	Planned How = "planned"
	Twice   How = "twice"
	Same    How = "same"
	Disks   How = "disks"
)

// hows are the variants that a kind has.
var hows = map[FaultKind][]How{
	Kill: {Leader}, Freeze: {Leader}, Isolate: {Leader, Seeds, Both}, PartitionReplicas: {Seeds, Both}, Replace: {Planned}, Lost: {Twice}, RaceChanges: {Same}, Dark: {Disks},
}

// Kinds lists them.
var Kinds = []FaultKind{Kill, Dark, Aimed, Wipe, Isolate, DropOutbound, DropInbound, PartitionReplicas, DrainEngine, Crash, ChangeConfig, RaceChanges, Freeze, Step, Part, Full, Slow, Stall, Term, Replace, Lost, Storm, Dismiss, Halves, SignOff}

// strikesEngines tells whether the numbers of a trouble are those of engines.
func (k FaultKind) strikesEngines() bool { return k == DrainEngine || k == Crash || k == SignOff }

// Found is a broken rule.
type Found struct {
	Rule    string
	At      time.Duration
	Message string
}

// Report is what came of a day.
type Report struct {
	Violations     []Found // at most one of each rule, in the order of their names
	Changes        int     // configurations that were sent
	Acked          int     // of these, acknowledged
	AckedAtMaxLoss int     // of these, while the core was settled and as many keepers as are to be borne were lost
	Drained        int     // engines that were acknowledged as leaving
	Windows        int     // of usage that were due
	Unreported     int     // of these, not reported
	Late           int     // of these, reported later than the platform's delay
	Orders         int     // of engines
	Events         int
	Slowest        time.Duration // from a configuration's first sending to its acknowledgement, in calm
	Revision       uint64        // read back at the end
}

type world struct {
	day      *Scenario
	broken   string // a rule that is broken on purpose; "" = none
	rnd      *rand.Rand
	now      time.Duration
	due      *timerqueue.Queue[func()]
	machines []*machine
	cuts     map[[2]int]int // from, to: how many cuts lie there
	silence  time.Duration
	sync     time.Duration
	loss     float64
	least    int
	shaken   time.Duration // the last trouble of the core, or of a link to it
	aimed    []*Fault
	seats    []*machine // the keepers; who has come in another's place has its seat
	severed  []*severance
	seeds    []*machine // of whom alone those are told that start, while it is so
	over     bool       // the day's troubles are over
	core     availability
	bounds   bounds

	engines []*engine
	sent    map[fleetconfig.Digest]*change
	open    []*change          // without an answer yet, in the order in which they were sent
	upon    map[uint64]*change // what was acknowledged upon a version
	lose    []int              // how many answers each of the next orders loses
	newest  uint64             // acknowledged
	last    uint64             // number of the last change
	found   map[string]Found
	report  Report

	platform platform
	meter    meter
	began    map[uint64]int // requests, by window

	onUsageStep func(*machine, usageStep) // called at each step of a holder towards the report of a window; nil = no call
}

// in has something done after a time.
func (w *world) in(d time.Duration, do func()) {
	w.due.Add(w.now+d, do)
}

// break notes a broken rule, the first of its kind.
func (w *world) breaks(rule, says string, args ...any) {
	if _, known := w.found[rule]; !known {
		w.found[rule] = Found{rule, w.now, fmt.Sprintf(says, args...)}
	}
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	for at, ok := w.due.NextDue(); ok && at <= until; at, ok = w.due.NextDue() {
		w.now = at
		w.report.Events++
		do, _ := w.due.PopDue(at)
		do()
	}
	w.now = until
}

// lead is how long the fleet has before anything is asked of it, and rest how long it has after the last trouble.
const (
	lead = 5 * time.Second
	rest = 20 * time.Second
)

// Run plays a day. broken names a rule that is broken on purpose, which must be found out; "" = none.
func (d *Scenario) Run(broken string) Report { return newWorld(d, broken).play() }

// play plays the world's day.
func (w *world) play() Report {
	w.begin()
	w.run(lead + w.day.Length)
	w.heal()
	w.run(w.now + rest)
	w.checkUsage()
	w.readBack()
	for _, rule := range slices.Sorted(keys(w.found)) {
		w.report.Violations = append(w.report.Violations, w.found[rule])
	}
	return w.report
}

// begin starts everything, and plans what will happen.
func (w *world) begin() {
	for _, m := range w.machines {
		m.start()
	}
	for _, m := range w.machines {
		if !m.keeper {
			w.reportUsage(m)
		}
	}
	w.watchCore()
	w.reads()
	for k := range w.day.Engines {
		w.engine(k)
	}
	w.in(lead/2, func() { w.change(0, 0) })
	for i := range w.day.Faults {
		t := &w.day.Faults[i]
		w.in(lead+t.At, func() { w.strike(t) })
	}
}

func keys(m map[string]Found) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// shake notes that something has happened to machines.
func (w *world) shake(all ...*machine) {
	for _, m := range all {
		m.calm = w.now
		if m.keeper {
			w.shaken, w.core.struck = w.now, w.now
		}
	}
}
