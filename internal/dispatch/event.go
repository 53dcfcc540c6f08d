package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Client identifies the party that a request came from for as long as the request is open. The dispatcher compares it and passes
// it on; only the frontends and the attempts use what is behind it.
type Client any

// AttemptID identifies an attempt: its request, and its index among the attempts of that request.
type AttemptID struct {
	Request policy.RequestID
	Index   int
}

// Host is an entry of the endpoint list.
type Host struct {
	Name       string // the same at every router
	Addr       string // where this router reaches it
	Zone       int
	Cell       int
	State      policy.State
	Weight     float64
	StartedAt  time.Duration // its latest start, on the clock of the events; 0 = long ago
	Deselected bool          // with policy.StateGone: the pool's selection changed, and the host may be in another pool
}

// Event is something that happened.
type Event interface{ event() }

// Events of requests.
type (
	// RequestReceived reports a complete request. The dispatcher gives it its ID.
	RequestReceived struct {
		Client          Client
		Pool            hoststate.PoolID
		ClientRequestID string        // one open request each; "" = none
		ReceivedAt      time.Duration // its last byte; its deadline counts from there
		Request         policy.Request
		MaxAttempts     int           // 0 = as many as the pool allows
		Origin          *trace.Origin // nil where nothing is traced
	}
	// RejectionWritten reports that a Reject was written to the client, or could not be. Frontends report it where requests
	// are traced and their Origin says so.
	RejectionWritten struct {
		Client Client
		At     time.Duration
	}
	// RejectedByFrontend reports that a frontend rejected a message by itself; it is only counted.
	RejectedByFrontend struct{}
	// ClientLeft reports that a client has closed its connection or cancelled its request.
	ClientLeft struct{ Client Client }
	// SetReminder has ReminderDue follow at a time.
	SetReminder struct {
		At    time.Duration
		Token any // given back
	}
)

// Events of upstreams.
type (
	// AttemptStarted reports that the first event of an answer is there. The attempt waits for BindAttempt or CancelAttempt.
	AttemptStarted struct{ Attempt AttemptID }
	// AttemptEnded reports the end of an attempt. Each StartAttempt is followed by exactly one.
	AttemptEnded struct {
		Attempt         AttemptID
		Result          policy.Result
		StaleConnection bool // a reused connection was closed without a byte of an answer
		// ReachedOtherHost says, with policy.ResultConnectFailed, that a host has answered which is not the one that was meant.
		// The request has not run, and counts as sent.
		ReachedOtherHost bool
		CachedTokens     float64
		Report           policy.Report
		Times            *trace.Times // nil where nothing is traced
	}
	// ProbeDone answers SendProbe.
	ProbeDone struct {
		Pool   hoststate.PoolID
		Host   policy.ReplicaID
		Sent   time.Duration
		Result policy.Result
		Report policy.Report
	}
	// EndpointsListed is an update of a pool's endpoint list.
	EndpointsListed struct {
		Pool  hoststate.PoolID
		Kind  policy.ListKind
		Hosts []Host
	}
	// ConnectionIdle reports a connection that is to be closed after a time, before its host closes it.
	ConnectionIdle struct {
		Connection uint64
		Idle       time.Duration
	}
)

// Events of pools.
type (
	// ConfigurePool adds a pool, or changes an existing one: all but its module and the settings of that.
	ConfigurePool struct {
		Pool             hoststate.PoolID
		Name             string              // "" = the only pool
		Module           *policy.Balancer    // belongs to the pool from now on
		SlowStart        time.Duration       // of the module's settings
		SlowStartInitial float64             // of the module's settings
		Classes          []trace.Class       // where requests are traced
		RequestQuota     quota.Claim         // to open requests
		TurnWeight       float64             // of its turns against other pools'; 0 = 1
		MaxAttempts      int                 // of one request; 0 = as the limits say
		RetryAfter       time.Duration       // with a rejection for want of capacity; 0 = as the limits say
		RetryBudget      *retrybudget.Budget // nil = only the module bounds retries
	}
	// AddClasses gives a pool's module further classes; those that it has stay.
	AddClasses struct {
		Pool    hoststate.PoolID
		Classes []policy.Class
	}
	// EndPool says that nothing more is routed to a pool. PoolEnded follows once it has no request left.
	EndPool struct{ Pool hoststate.PoolID }
	// RetryAllowance is, from now on, what each pool's retry budget allows beyond its ratio.
	RetryAllowance float64
	// GetSnapshots asks for what the modules have learned; Snapshots answers.
	GetSnapshots struct{ ReplyTo any }
	// RestoreSnapshot gives a pool's module what another process's module had learned.
	RestoreSnapshot struct {
		Pool     hoststate.PoolID
		Snapshot *policy.Snapshot
	}
)

// Events of the process.
type (
	// Tick says that something may be due.
	Tick struct{}
	// StartDrain says that the program will end: traces of finished requests leave at once from now on.
	StartDrain struct{}
	// FlushTraces says that the program ends: all traces leave.
	FlushTraces struct{}
	// GetCounters asks for the counters; CountersReport answers.
	GetCounters struct{ ReplyTo any }
	// LogLine is a line for the log.
	LogLine string
)

func (RequestReceived) event()    {}
func (RejectionWritten) event()   {}
func (RejectedByFrontend) event() {}
func (ClientLeft) event()         {}
func (SetReminder) event()        {}
func (AttemptStarted) event()     {}
func (AttemptEnded) event()       {}
func (ProbeDone) event()          {}
func (EndpointsListed) event()    {}
func (ConnectionIdle) event()     {}
func (ConfigurePool) event()      {}
func (AddClasses) event()         {}
func (EndPool) event()            {}
func (RetryAllowance) event()     {}
func (GetSnapshots) event()       {}
func (RestoreSnapshot) event()    {}
func (Tick) event()               {}
func (StartDrain) event()         {}
func (FlushTraces) event()        {}
func (GetCounters) event()        {}
func (LogLine) event()            {}
