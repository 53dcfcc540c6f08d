package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/quota"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Client identifies the sender of an open request. The dispatcher only compares it and passes it on; the frontends and the
// upstreams know its type.
type Client any

// AttemptID identifies an attempt: its request, and its index among the attempts of that request.
type AttemptID struct {
	Request policy.RequestID
	Index   int
}

// Host is an entry of an endpoint list.
type Host struct {
	Name       string // the same at every router
	Addr       string // address at which this router reaches the host
	Zone       int
	Cell       int
	State      policy.State
	Weight     float64
	StartedAt  time.Duration // start of the process, on the loop's clock; 0 = long ago
	Deselected bool          // with policy.StateGone: the pool no longer selects the host, which may still run in another pool
}

// Event is an input of Dispatcher.Reduce.
type Event interface{ event() }

// Events of requests.
type (
	// RequestReceived reports a request that was read completely. The dispatcher assigns its ID.
	RequestReceived struct {
		Client          Client
		Pool            hoststate.PoolID
		ClientRequestID string        // unique among the pool's open requests; "" = none
		ReceivedAt      time.Duration // when its last byte was read; its deadline counts from here
		Request         policy.Request
		MaxAttempts     int           // 0 = the pool's maximum
		Origin          *trace.Origin // nil if tracing is off
	}
	// RejectionWritten reports that a Reject was written to the client, or that the write failed. Frontends send it when tracing
	// is on and ReportsRejection of the request's Origin is set.
	RejectionWritten struct {
		Client Client
		At     time.Duration
	}
	// RejectedByFrontend reports a message that a frontend rejected by itself. It is only counted.
	RejectedByFrontend struct{}
	// ClientLeft reports that a client has disconnected or cancelled its request.
	ClientLeft struct{ Client Client }
	// SetReminder requests a ReminderDue at the given time.
	SetReminder struct {
		At    time.Duration
		Token any // returned in ReminderDue
	}
)

// Events of upstreams.
type (
	// AttemptStarted reports the first event of a response. The attempt then waits for BindAttempt or CancelAttempt.
	AttemptStarted struct{ Attempt AttemptID }
	// AttemptEnded reports the end of an attempt. Each StartAttempt is followed by exactly one.
	AttemptEnded struct {
		Attempt         AttemptID
		Result          policy.Result
		StaleConnection bool // a reused connection was closed before the first byte of a response
		// ReachedOtherHost reports, with policy.ResultConnectFailed, that a host other than the intended one answered. The
		// request has not run, but a further attempt counts against the retry budget.
		ReachedOtherHost bool
		CachedTokens     float64
		Report           policy.Report
		Times            *trace.Times // nil if tracing is off
	}
	// ProbeDone reports the result of a SendProbe.
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
	// ConnectionIdle reports an idle connection. CloseIdleConnection follows after Idle, before the host closes the connection.
	ConnectionIdle struct {
		Connection uint64
		Idle       time.Duration
	}
)

// Events of pools.
type (
	// ConfigurePool adds a pool or reconfigures an existing one. Module, SlowStart and SlowStartInitial of an existing pool do not
	// change.
	ConfigurePool struct {
		Pool             hoststate.PoolID
		Name             string              // "" = the pool is the only one
		Module           *policy.Balancer    // used by this pool alone from now on
		SlowStart        time.Duration       // as in the module's settings
		SlowStartInitial float64             // as in the module's settings
		Classes          []trace.Class       // for traces
		RequestQuota     quota.Claim         // limits the pool's open requests
		TurnWeight       float64             // weight of the pool in the fair queue of requests; 0 = 1
		MaxAttempts      int                 // attempts of one request; 0 = default
		RetryAfter       time.Duration       // with a rejection for lack of capacity; 0 = default
		RetryBudget      *retrybudget.Budget // nil = only the module limits retries
	}
	// AddClasses adds request classes to a pool's module. The existing classes stay.
	AddClasses struct {
		Pool    hoststate.PoolID
		Classes []policy.Class
	}
	// EndPool removes a pool that no request is routed to any more. PoolEnded follows once its last request has finished.
	EndPool struct{ Pool hoststate.PoolID }
	// RetryAllowance sets the number of retries that each pool's retry budget allows beyond its ratio.
	RetryAllowance float64
	// GetSnapshots requests a snapshot of each pool's module; Snapshots answers.
	GetSnapshots struct{ ReplyTo any }
	// RestoreSnapshot restores a pool's module from a snapshot that another process took.
	RestoreSnapshot struct {
		Pool     hoststate.PoolID
		Snapshot *policy.Snapshot
	}
)

// Events of the process.
type (
	// Tick is an event without content. Reducing it fires the timers that are due.
	Tick struct{}
	// StartDrain reports that the process is shutting down. Traces of finished requests are exported at once from now on.
	StartDrain struct{}
	// FlushTraces exports all traces, including those of open requests, before the process exits.
	FlushTraces struct{}
	// GetCounters requests the counters; CountersReport answers.
	GetCounters struct{ ReplyTo any }
	// LogLine writes a line to the log.
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
