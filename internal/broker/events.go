// Package broker is the core: it owns every authorisation, leg and issuer host, and drives the decision
// module. It knows no wire: what happens comes in as events, and what is to be done goes out as effects.
package broker

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Acquirer is the party that an authorisation came from, and its identity for as long as it is open. Only
// the fronts and the legs look inside; the broker compares and passes it on.
type Acquirer any

// LegID names one leg: the authorisation's own number and the place among its legs, counted from 0.
type LegID struct {
	Auth policy.RequestID
	N    int
}

// Host is an entry of the list of issuer hosts.
type Host struct {
	Name   string // the same at every router
	Dial   string // where this router reaches it
	Zone   int
	Cell   int
	State  policy.State
	Weight float64
	BornAt time.Duration // its latest start on the clock of the events; 0 = long ago
	Left   bool          // with Gone: it left the pool's selection, and may well live on in another pool
}

// Verdict says why an authorisation is not served.
type Verdict uint8

// The verdicts: trying again is harmless; no promise; its id is that of another open one.
const (
	Refused Verdict = iota
	Failed
	Taking
)

// Event is something that happened.
type Event interface{ event() }

type (
	// Taken: an authorisation has come in whole. Its ID is the broker's to give.
	Taken struct {
		From    Acquirer
		Pool    hoststate.PoolID
		Name    string        // under which it is passed on, one open authorisation each; "" = none
		At      time.Duration // of its last byte; its time runs from there
		Request policy.Request
		// Attempts is how many legs it may have at the most; 0 = as many as the pool allows.
		Attempts int
		Origin   *trace.Origin // nil where nothing is traced
	}
	// Answered: a declining answer has been written, or could not be. Fronts tell it where journeys are recorded and
	// their Origin says that they will.
	Answered struct {
		From Acquirer
		At   time.Duration
	}
	// Drain: the program is to end; what is recorded of finished journeys leaves without waiting.
	Drain struct{}
	// Flush: the program ends; what is recorded of journeys leaves.
	Flush struct{}
	// Declined: a front turned a message down by itself; it is only counted.
	Declined struct{}
	// Departed: the acquirer has gone.
	Departed struct{ From Acquirer }
	// LegBegan: the first event of an answer is there, and waits for Bind or DropLeg.
	LegBegan struct{ Leg LegID }
	// LegEnded: a leg is over. Each SendLeg is followed by exactly one.
	LegEnded struct {
		Leg    LegID
		Result policy.Result
		Stale  bool // its line had served before and ended without a word of an answer
		// Arrived: with ConnectFailed, that a host has answered all the same, which is not the one that was meant. It has
		// not run, and counts as sent.
		Arrived bool
		Kept    float64
		Report  policy.Report
		Times   *trace.Times // nil where nothing is traced
	}
	// Probed answers a Probe.
	Probed struct {
		Pool   hoststate.PoolID
		Host   policy.ReplicaID
		Sent   time.Duration
		Result policy.Result
		Report policy.Report
	}
	// Listed is news from discovery.
	Listed struct {
		Pool  hoststate.PoolID
		Kind  policy.ListKind
		Hosts []Host
	}
	// Parked: a line to an issuer host is idle, and is to be hung up before the host closes it.
	Parked struct {
		Line uint64
		Idle time.Duration
	}
	// Remind: a front wants to be told of something at a time.
	Remind struct {
		At time.Duration
		Of any
	}
	// Tick: something may be due.
	Tick struct{}
	// PoolSet adds a pool, or changes one that there is: all but its module and what that was made with.
	PoolSet struct {
		Pool       hoststate.PoolID
		Name       string           // "" = the only one there is
		Module     *policy.Balancer // the pool's from now on
		WarmUp     time.Duration    // of the module's settings, as the next
		ColdFrom   float64
		Classes    []trace.Class       // where journeys are recorded
		Places     quota.Claim         // to open authorisations
		Turns      float64             // weight of its turns against other pools'; 0 = 1
		Attempts   int                 // legs of one authorisation; 0 = as the limits say
		RetryAfter time.Duration       // with what is declined for want of a place; 0 = as the limits say
		Repeats    *retrybudget.Budget // its part of what may be sent again; nil = the module alone says
	}
	// Classes gives a pool's module further classes; those it has stay.
	Classes struct {
		Pool    hoststate.PoolID
		Classes []policy.Class
	}
	// PoolEnd: nothing more is routed to a pool. PoolGone follows once nothing of its is open.
	PoolEnd struct{ Pool hoststate.PoolID }
	// RepeatsExtra is what each pool's part of the common budget for repeats has beyond its share of requests, from now on.
	RepeatsExtra float64
	// Recall asks for what the modules have learnt.
	Recall struct{ Of any }
	// Taught gives a pool's module what another process's had learnt.
	Taught struct {
		Pool    hoststate.PoolID
		Learned *policy.Snapshot
	}
	// Audit asks for the counters.
	Audit struct{ Of any }
	// Note is a line for the staff.
	Note string
)

func (Taken) event()        {}
func (Declined) event()     {}
func (Departed) event()     {}
func (LegBegan) event()     {}
func (LegEnded) event()     {}
func (Probed) event()       {}
func (Listed) event()       {}
func (Parked) event()       {}
func (Remind) event()       {}
func (Answered) event()     {}
func (Drain) event()        {}
func (Flush) event()        {}
func (Tick) event()         {}
func (PoolSet) event()      {}
func (PoolEnd) event()      {}
func (RepeatsExtra) event() {}
func (Classes) event()      {}
func (Recall) event()       {}
func (Taught) event()       {}
func (Audit) event()        {}
func (Note) event()         {}

// Effect is something to be done. Doing it must not wait.
type Effect interface{ effect() }

type (
	// SendLeg starts a leg at an issuer host, which may take Wait for its first event.
	SendLeg struct {
		Pool hoststate.PoolID
		Leg  LegID
		From Acquirer
		Host policy.ReplicaID
		Name string // the host's
		Dial string
		Wait time.Duration
	}
	// SendTraced is SendLeg where journeys are recorded: the leg carries a span of its own to its host.
	SendTraced struct {
		SendLeg
		Span *trace.Carried
	}
	// Keep hands over the record of a journey that is to leave.
	Keep struct{ Try *trace.Try }
	// Bind gives the acquirer to the leg: it passes its answer on.
	Bind struct{ Leg LegID }
	// DropLeg abandons a leg.
	DropLeg struct{ Leg LegID }
	// Decline is a final answer that serves nothing.
	Decline struct {
		To         Acquirer
		Why        Verdict
		RetryAfter time.Duration // 0 = no advice
		MayHaveRun bool          // a leg of it has not been shown never to have run
	}
	// Probe asks an issuer host for a sign of life.
	Probe struct {
		Pool hoststate.PoolID
		Host policy.ReplicaID
		Dial string
		Sent time.Duration
	}
	// HangUp closes a line if it is still parked under that number.
	HangUp struct{ Line uint64 }
	// Reminded answers Remind, at its time or a little later.
	Reminded struct{ Of any }
	// Watch asks a pool's discovery for changes from now on.
	Watch struct{ Pool hoststate.PoolID }
	// PoolGone: a pool that was ended owes nothing more; its lines and its watch may go.
	PoolGone struct{ Pool hoststate.PoolID }
	// Log is a line for the staff, of a pool or of none.
	Log struct{ Pool, Line string }
	// Recalled answers Recall, by the names of the pools.
	Recalled struct {
		Of    any
		Pools map[string]*policy.Snapshot
	}
	// Counted answers Audit.
	Counted struct {
		Of       any
		Counters Counters // of all pools, those that have gone included
		Pools    []PoolCounters
	}
)

func (SendLeg) effect()  {}
func (Keep) effect()     {}
func (Bind) effect()     {}
func (DropLeg) effect()  {}
func (Decline) effect()  {}
func (Probe) effect()    {}
func (HangUp) effect()   {}
func (Reminded) effect() {}
func (Watch) effect()    {}
func (PoolGone) effect() {}
func (Log) effect()      {}
func (Recalled) effect() {}
func (Counted) effect()  {}

// Counters tell what a router took in, sent and answered since its start.
type Counters struct {
	Taken    int
	Declined int                   // by a front, before the module saw them
	Legs     int                   // sent
	Outcomes map[policy.Result]int // of legs
	Served   int
	Broken   int // streams that broke after their first event
	Refused  int
	Failed   int
	Gone     int // acquirers that left before their answer
	Probes   int
	Lists    int // answers of discovery
	Lines    int // entries in them
	Open     int // authorisations now
	Traces   *trace.Counters
}

// PoolCounters tell of one pool.
type PoolCounters struct {
	Counters
	Pool    hoststate.PoolID
	Name    string
	Hosts   int
	Ready   int // of the hosts
	Held    int // authorisations with anything out, those included that have their answer
	Leaving bool
	Places  quota.Claim
}
