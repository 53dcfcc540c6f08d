package dispatch

import (
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Verdict is the reason for a Reject.
type Verdict uint8

// The verdicts.
const (
	VerdictRejected    Verdict = iota // a retry is harmless
	VerdictFailed                     // whether a retry is safe is unknown
	VerdictDuplicateID                // another open request has the same client request ID
)

// Effect is an action for the caller of Reduce. Carrying it out must not block.
type Effect interface{ effect() }

type (
	// StartAttempt sends a request to a host. Timeout bounds the time until the first event of the response.
	StartAttempt struct {
		Pool     hoststate.PoolID
		Attempt  AttemptID
		Client   Client
		Host     policy.ReplicaID
		HostName string
		Addr     string
		Timeout  time.Duration
	}
	// StartTracedAttempt replaces StartAttempt when tracing is on. The attempt carries Span to the host.
	StartTracedAttempt struct {
		StartAttempt
		Span *trace.AttemptSpan
	}
	// BindAttempt makes an attempt the one whose response is passed on to the client.
	BindAttempt struct{ Attempt AttemptID }
	// CancelAttempt cancels an attempt; its AttemptEnded still follows.
	CancelAttempt struct{ Attempt AttemptID }
	// Reject ends a request that no attempt has answered.
	Reject struct {
		Client     Client
		Verdict    Verdict
		RetryAfter time.Duration // 0 = no advice
		MayHaveRun bool          // at least one attempt may have run at a host
	}
	// SendProbe sends a health check to a host; ProbeDone follows.
	SendProbe struct {
		Pool hoststate.PoolID
		Host policy.ReplicaID
		Addr string
		Sent time.Duration
	}
	// CloseIdleConnection closes the connection with this number if it is still idle.
	CloseIdleConnection struct{ Connection uint64 }
	// ReminderDue follows SetReminder, at the requested time or a little later.
	ReminderDue struct{ Token any }
	// WatchEndpoints starts the watch of a pool's endpoint list; EndpointsListed follows with each change.
	WatchEndpoints struct{ Pool hoststate.PoolID }
	// PoolEnded reports that an EndPool is complete: the pool's connections and its watch may be closed.
	PoolEnded struct{ Pool hoststate.PoolID }
	// Log writes a line to the log. Pool is empty if the line concerns no pool.
	Log struct{ Pool, Message string }
	// Snapshots answers GetSnapshots. Pools is keyed by pool name.
	Snapshots struct {
		ReplyTo any
		Pools   map[string]*policy.Snapshot
	}
	// ExportTrace exports a finished trace.
	ExportTrace struct{ Trace *trace.Record }
	// CountersReport answers GetCounters.
	CountersReport struct {
		ReplyTo  any
		Counters Counters // of all pools, including those that have ended
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
