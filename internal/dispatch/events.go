// Package dispatch is the core: it owns every authorisation, leg and issuer host, and drives the decision
// module. It knows no wire: what happens comes in as events, and what is to be done goes out as effects.
package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Client is the party that an authorisation came from, and its identity for as long as it is open. Only
// the fronts and the legs look inside; the broker compares and passes it on.
type Client any

// AttemptID names one leg: the authorisation's own number and the place among its legs, counted from 0.
type AttemptID struct {
	Request policy.RequestID
	Index   int
}

// Host is an entry of the list of issuer hosts.
type Host struct {
	Name    string // the same at every router
	Addr    string // where this router reaches it
	Zone    int
	Cell    int
	State   policy.State
	Weight  float64
	BornAt  time.Duration // its latest start on the clock of the events; 0 = long ago
	Removed bool          // with Gone: it left the pool's selection, and may well live on in another pool
}

// Verdict says why an authorisation is not served.
type Verdict uint8

// The verdicts: trying again is harmless; no promise; its id is that of another open one.
const (
	VerdictRejected Verdict = iota
	VerdictFailed
	VerdictDuplicateID
)

// Event is something that happened.
type Event interface{ event() }

type (
	// RequestReceived tells that an authorisation has come in whole. Its ID is the broker's to give.
	RequestReceived struct {
		Client          Client
		Pool            hoststate.PoolID
		ClientRequestID string        // under which it is passed on, one open authorisation each; "" = none
		ReceivedAt      time.Duration // of its last byte; its time runs from there
		Request         policy.Request
		// MaxAttempts is how many legs it may have at the most; 0 = as many as the pool allows.
		MaxAttempts int
		Origin      *trace.Origin // nil where nothing is traced
	}
	// RejectionWritten tells that a declining answer has been written, or could not be. Fronts tell it where journeys are recorded and
	// their Origin says that they will.
	RejectionWritten struct {
		Client Client
		At     time.Duration
	}
	// StartDrain tells that the program is to end; what is recorded of finished journeys leaves without waiting.
	StartDrain struct{}
	// FlushTraces tells that the program ends; what is recorded of journeys leaves.
	FlushTraces struct{}
	// RejectedByFrontend tells that a front turned a message down by itself; it is only counted.
	RejectedByFrontend struct{}
	// ClientLeft tells that the acquirer has gone.
	ClientLeft struct{ Client Client }
	// AttemptStarted tells that the first event of an answer is there, and waits for Bind or DropLeg.
	AttemptStarted struct{ Attempt AttemptID }
	// AttemptEnded tells that a leg is over. Each SendLeg is followed by exactly one.
	AttemptEnded struct {
		Attempt         AttemptID
		Result          policy.Result
		StaleConnection bool // its line had served before and ended without a word of an answer
		// ReachedOtherHost: with ConnectFailed, that a host has answered all the same, which is not the one that was meant. It has
		// not run, and counts as sent.
		ReachedOtherHost bool
		CachedTokens     float64
		Report           policy.Report
		Times            *trace.Times // nil where nothing is traced
	}
	// ProbeDone answers a Probe.
	ProbeDone struct {
		Pool   hoststate.PoolID
		Host   policy.ReplicaID
		Sent   time.Duration
		Result policy.Result
		Report policy.Report
	}
	// EndpointsListed is news from discovery.
	EndpointsListed struct {
		Pool  hoststate.PoolID
		Kind  policy.ListKind
		Hosts []Host
	}
	// ConnectionIdle tells that a line to an issuer host is idle, and is to be hung up before the host closes it.
	ConnectionIdle struct {
		Connection uint64
		Idle       time.Duration
	}
	// SetReminder tells that a front wants to be told of something at a time.
	SetReminder struct {
		At    time.Duration
		Token any
	}
	// Tick tells that something may be due.
	Tick struct{}
	// ConfigurePool adds a pool, or changes one that there is: all but its module and what that was made with.
	ConfigurePool struct {
		Pool             hoststate.PoolID
		Name             string           // "" = the only one there is
		Module           *policy.Balancer // the pool's from now on
		SlowStart        time.Duration    // of the module's settings, as the next
		SlowStartInitial float64
		Classes          []trace.Class       // where journeys are recorded
		RequestQuota     quota.Claim         // to open authorisations
		TurnWeight       float64             // weight of its turns against other pools'; 0 = 1
		MaxAttempts      int                 // legs of one authorisation; 0 = as the limits say
		RetryAfter       time.Duration       // with what is declined for want of a place; 0 = as the limits say
		RetryBudget      *retrybudget.Budget // its part of what may be sent again; nil = the module alone says
	}
	// AddClasses gives a pool's module further classes; those it has stay.
	AddClasses struct {
		Pool    hoststate.PoolID
		Classes []policy.Class
	}
	// EndPool tells that nothing more is routed to a pool. PoolGone follows once nothing of its is open.
	EndPool struct{ Pool hoststate.PoolID }
	// RetryAllowance is what each pool's part of the common budget for repeats has beyond its share of requests, from now on.
	RetryAllowance float64
	// GetSnapshots asks for what the modules have learnt.
	GetSnapshots struct{ ReplyTo any }
	// RestoreSnapshot gives a pool's module what another process's had learnt.
	RestoreSnapshot struct {
		Pool     hoststate.PoolID
		Snapshot *policy.Snapshot
	}
	// GetCounters asks for the counters.
	GetCounters struct{ ReplyTo any }
	// LogLine is a line for the staff.
	LogLine string
)

func (RequestReceived) event()    {}
func (RejectedByFrontend) event() {}
func (ClientLeft) event()         {}
func (AttemptStarted) event()     {}
func (AttemptEnded) event()       {}
func (ProbeDone) event()          {}
func (EndpointsListed) event()    {}
func (ConnectionIdle) event()     {}
func (SetReminder) event()        {}
func (RejectionWritten) event()   {}
func (StartDrain) event()         {}
func (FlushTraces) event()        {}
func (Tick) event()               {}
func (ConfigurePool) event()      {}
func (EndPool) event()            {}
func (RetryAllowance) event()     {}
func (AddClasses) event()         {}
func (GetSnapshots) event()       {}
func (RestoreSnapshot) event()    {}
func (GetCounters) event()        {}
func (LogLine) event()            {}

// Effect is something to be done. Doing it must not wait.
type Effect interface{ effect() }

type (
	// StartAttempt starts a leg at an issuer host, which may take Wait for its first event.
	StartAttempt struct {
		Pool     hoststate.PoolID
		Attempt  AttemptID
		Client   Client
		Host     policy.ReplicaID
		HostName string // the host's
		Addr     string
		Timeout  time.Duration
	}
	// StartTracedAttempt is SendLeg where journeys are recorded: the leg carries a span of its own to its host.
	StartTracedAttempt struct {
		StartAttempt
		Span *trace.Carried
	}
	// ExportTrace hands over the record of a journey that is to leave.
	ExportTrace struct{ Trace *trace.Try }
	// BindAttempt gives the acquirer to the leg: it passes its answer on.
	BindAttempt struct{ Attempt AttemptID }
	// CancelAttempt abandons a leg.
	CancelAttempt struct{ Attempt AttemptID }
	// Reject is a final answer that serves nothing.
	Reject struct {
		Client     Client
		Verdict    Verdict
		RetryAfter time.Duration // 0 = no advice
		MayHaveRun bool          // a leg of it has not been shown never to have run
	}
	// SendProbe asks an issuer host for a sign of life.
	SendProbe struct {
		Pool hoststate.PoolID
		Host policy.ReplicaID
		Addr string
		Sent time.Duration
	}
	// CloseIdleConnection closes a line if it is still parked under that number.
	CloseIdleConnection struct{ Connection uint64 }
	// ReminderDue answers Remind, at its time or a little later.
	ReminderDue struct{ Token any }
	// WatchEndpoints asks a pool's discovery for changes from now on.
	WatchEndpoints struct{ Pool hoststate.PoolID }
	// PoolEnded tells that a pool that was ended owes nothing more; its lines and its watch may go.
	PoolEnded struct{ Pool hoststate.PoolID }
	// Log is a line for the staff, of a pool or of none.
	Log struct{ Pool, Message string }
	// Snapshots answers Recall, by the names of the pools.
	Snapshots struct {
		ReplyTo any
		Pools   map[string]*policy.Snapshot
	}
	// CountersReport answers Audit.
	CountersReport struct {
		ReplyTo  any
		Counters Counters // of all pools, those that have gone included
		Pools    []PoolCounters
	}
)

func (StartAttempt) effect()        {}
func (ExportTrace) effect()         {}
func (BindAttempt) effect()         {}
func (CancelAttempt) effect()       {}
func (Reject) effect()              {}
func (SendProbe) effect()           {}
func (CloseIdleConnection) effect() {}
func (ReminderDue) effect()         {}
func (WatchEndpoints) effect()      {}
func (PoolEnded) effect()           {}
func (Log) effect()                 {}
func (Snapshots) effect()           {}
func (CountersReport) effect()      {}

// Counters tell what a router took in, sent and answered since its start.
type Counters struct {
	Received           int
	RejectedByFrontend int                   // by a front, before the module saw them
	Attempts           int                   // sent
	Outcomes           map[policy.Result]int // of legs
	Served             int
	Broken             int // streams that broke after their first event
	Rejected           int
	Failed             int
	ClientsLeft        int // acquirers that left before their answer
	Probes             int
	Lists              int // answers of discovery
	ListEntries        int // entries in them
	Open               int // authorisations now
	Traces             *trace.Counters
}

// PoolCounters tell of one pool.
type PoolCounters struct {
	Counters
	Pool         hoststate.PoolID
	Name         string
	Hosts        int
	Ready        int // of the hosts
	Unfinished   int // authorisations with anything out, those included that have their answer
	IsEnding     bool
	RequestQuota quota.Claim
}
