package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Verdict is why a request gets no result.
type Verdict uint8

// The verdicts.
const (
	VerdictRejected    Verdict = iota // a retry is harmless
	VerdictFailed                     // nothing is promised
	VerdictDuplicateID                // its id is that of another open request
)

// Effect is something to be done. Doing it must not wait.
type Effect interface{ effect() }

type (
	// StartAttempt sends a request to a host, which may take Timeout for the first event of its answer.
	StartAttempt struct {
		Pool     hoststate.PoolID
		Attempt  AttemptID
		Client   Client
		Host     policy.ReplicaID
		HostName string
		Addr     string
		Timeout  time.Duration
	}
	// StartTracedAttempt is StartAttempt where requests are traced: the attempt carries a span to its host.
	StartTracedAttempt struct {
		StartAttempt
		Span *trace.Carried
	}
	// BindAttempt gives the client to the attempt: it passes its answer on.
	BindAttempt struct{ Attempt AttemptID }
	// CancelAttempt abandons an attempt.
	CancelAttempt struct{ Attempt AttemptID }
	// Reject is a final answer without a result.
	Reject struct {
		Client     Client
		Verdict    Verdict
		RetryAfter time.Duration // 0 = no advice
		MayHaveRun bool          // an attempt is not known not to have run
	}
	// SendProbe asks a host for an answer; ProbeDone follows.
	SendProbe struct {
		Pool hoststate.PoolID
		Host policy.ReplicaID
		Addr string
		Sent time.Duration
	}
	// CloseIdleConnection closes a connection, if it is still idle under that number.
	CloseIdleConnection struct{ Connection uint64 }
	// ReminderDue answers SetReminder, at its time or a little later.
	ReminderDue struct{ Token any }
	// WatchEndpoints asks a pool's discovery for changes from now on; EndpointsListed follows with each.
	WatchEndpoints struct{ Pool hoststate.PoolID }
	// PoolEnded says that an EndPool is complete: the pool's connections and its watch may be closed.
	PoolEnded struct{ Pool hoststate.PoolID }
	// Log writes a line to the log, of a pool or of none.
	Log struct{ Pool, Message string }
	// Snapshots answers GetSnapshots, by the names of the pools.
	Snapshots struct {
		ReplyTo any
		Pools   map[string]*policy.Snapshot
	}
	// ExportTrace hands over a trace that is to be exported.
	ExportTrace struct{ Trace *trace.Try }
	// CountersReport answers GetCounters.
	CountersReport struct {
		ReplyTo  any
		Counters Counters // of all pools, those included that have ended
		Pools    []PoolCounters
	}
)

func (StartAttempt) effect()        {}
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
func (ExportTrace) effect()         {}
func (CountersReport) effect()      {}
