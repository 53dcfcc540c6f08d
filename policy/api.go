// Package policy decides, for one router in front of a fleet of engines, where each request goes. Every
// decision is in policy.go; this file holds the types of its interface. The package performs no I/O, reads no
// clock and starts no goroutine. Events are method calls of Balancer, and decisions are calls of Actions.
package policy

import (
	"errors"
	"fmt"
	"time"
)

// Time is the caller's monotonic clock: the time since a fixed, arbitrary origin.
type Time = time.Duration

// RequestID identifies one request of a client. It must be less than 2^52.
type RequestID uint64

// ReplicaID identifies a replica, which is one engine. Ids are only compared and hashed.
type ReplicaID uint32

// Effect is the effect of repeating a request.
type Effect uint8

// The effects: a safe request may always be repeated, a keyed one (with an idempotency key) within its
// deduplication group and window, and an unsafe one only if no attempt has run.
const (
	EffectSafe Effect = iota
	EffectKeyed
	EffectUnsafe
)

// DedupGroup is the set of replicas that deduplicate a keyed request.
type DedupGroup uint8

// The deduplication groups: all replicas, those of a zone, or those of a cell.
const (
	GroupAll DedupGroup = iota
	GroupZone
	GroupCell
)

// Class holds the targets and retry rules of one class of requests.
type Class struct {
	Name                    string
	TargetLatency           time.Duration // until the first token
	TargetLatencyPerKTokens time.Duration // added for each 1,000 prompt tokens
	Deadline                time.Duration // over all attempts of a request
	DedupWindow             time.Duration // time during which repetitions of a keyed request are deduplicated
	Value                   float64       // worth of a response within the target
	LateValue               float64       // fraction of Value that a response after the target is worth
	Effect                  Effect
	DedupGroup              DedupGroup
	IsStreaming             bool
	MaxAttempts             int // of one request; 0 = Limits.MaxAttempts
}

// Tenant is a user of the fleet with a guaranteed share of it.
type Tenant struct {
	Name  string
	Share float64 // fraction of the traffic that the tenant may use in an overload
}

// Limits describes what the deployment permits.
type Limits struct {
	CanCancel       bool
	CanProbe        bool
	SendsRetryAfter bool // rejections carry the time after which to retry
	MaxAttempts     int
	MaxRetryAfter   time.Duration
}

// WeightMeaning defines how the weight of a listed replica is interpreted.
type WeightMeaning uint8

// The meanings of a replica's weight: always 1, its size (exact or approximate), or its size divided by its
// load.
const (
	WeightUnused WeightMeaning = iota
	WeightSize
	WeightLive
)

// Settings configures a Balancer. Only Balancer.SetClasses changes it later.
type Settings struct {
	Router        int // index of this router
	Routers       int
	Zone          int
	Zones         int
	Classes       []Class
	Tenants       []Tenant
	Limits        Limits
	WeightMeaning WeightMeaning

	NeedsWatch    bool          // changes of the list are sent only after Actions.Watch
	MaxWatchDelay time.Duration // maximum delay before a call of Actions.Watch

	DrainGrace       time.Duration // how long a draining replica still gets requests of its sessions
	SlowStartInitial float64       // share of its usual traffic that a replica gets right after its start
	SlowStart        time.Duration // time after which it gets its full share

	ReportColumns  []string // names of Report.Values: inflight, queue, util, latency_ms, qps, eps, x0, x1
	CrossZonePrice float64  // cost of an attempt in another zone, relative to the value of a request
}

// validate returns an error that names the invalid setting.
func (s *Settings) validate() error {
	for _, c := range []struct {
		isWrong bool
		err     string
	}{
		{
			min(s.DrainGrace, s.SlowStart, s.MaxWatchDelay, s.Limits.MaxRetryAfter) < 0,
			"DrainGrace, SlowStart, MaxWatchDelay and MaxRetryAfter must not be negative",
		},
		{len(s.Classes) == 0, "Classes must not be empty"},
		{s.Limits.MaxAttempts < 1, "Limits.MaxAttempts must be at least 1"},
		{!(s.SlowStartInitial > 0 && s.SlowStartInitial <= 1), "SlowStartInitial must be above 0 and at most 1"},
		{s.Routers < 1 || s.Router < 0 || s.Router >= s.Routers, "Router must be at least 0 and below Routers"},
		{s.Zone < 0 || s.Zone >= s.Zones, "Zone must be at least 0 and below Zones"},
		{s.NeedsWatch && s.MaxWatchDelay == 0, "MaxWatchDelay must be above 0 if NeedsWatch is set"},
		{len(s.ReportColumns) > len(Report{}.Values), "ReportColumns has more columns than a Report has values"},
	} {
		if c.isWrong {
			return errors.New("policy: " + c.err)
		}
	}
	for _, c := range s.Classes {
		if c.Deadline <= 0 || c.TargetLatency < 0 || c.Effect > EffectUnsafe || c.DedupGroup > GroupCell {
			return fmt.Errorf("policy: Classes: %q: Deadline, TargetLatency, Effect or DedupGroup is invalid", c.Name)
		}
	}
	return nil
}

// State is the state of a replica in the list.
type State uint8

// The states of a replica: it takes new sessions, only known sessions, or nothing.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// Replica is one entry of the replica list.
type Replica struct {
	ID      ReplicaID
	Zone    int
	Cell    int
	State   State
	Weight  float64
	ReadyAt Time // when its process became ready; 0 = long ago
}

// ListKind defines how a List relates to the previous one.
type ListKind uint8

// The kinds of list: changed entries only, the whole list, a cached copy of it, or none after a failed call.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// List is an update of the replica list from discovery.
type List struct {
	Kind     ListKind
	Replicas []Replica
}

// Request is one request of a client.
type Request struct {
	ID            RequestID
	Class         int
	Tenant        int
	Session       uint64 // 0 = none
	Prefix        uint64 // hash of the prompt's shared prefix; 0 = none
	PromptTokens  float64
	PrefixTokens  float64
	MaxTokens     float64
	Work          time.Duration // estimated by the client; 0 = none
	Timeout       time.Duration // until the client stops waiting
	IsClientRetry bool          // the client marked the request as a retry
	IsResumed     bool          // the client resumes an interrupted stream
}

// Result is the result of an attempt or a probe.
type Result uint8

// The results. After ResultFull, ResultConnectFailed and ResultNotSent the replica has not run the attempt.
const (
	ResultOK Result = iota
	ResultError
	ResultFull
	ResultTimedOut
	ResultConnectFailed
	ResultReset
	ResultCancelled
	ResultNotSent
)

// Report is a load report of a replica. The first N values correspond to Settings.ReportColumns. N is 0 if
// there is no report.
type Report struct {
	N      int
	Values [4]float64
}

// ResponseStarted is the start of the response to an attempt. The request cannot be retried afterwards.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
	Replica ReplicaID
	Elapsed time.Duration // since the attempt was sent
}

// Outcome describes a finished attempt. Each call of Actions.Send leads to exactly one.
type Outcome struct {
	ID              RequestID
	Attempt         int
	Replica         ReplicaID
	Result          Result
	Elapsed         time.Duration
	RequestEnded    bool    // the request has its final response, from this attempt or an earlier one
	CachedTokens    float64 // prompt tokens found in the prefix cache
	Report          Report
	StaleConnection bool // a reused connection was closed without a response
}

// ProbeResult is the result of a call of Actions.Probe.
type ProbeResult struct {
	Replica ReplicaID
	Result  Result
	Elapsed time.Duration
	Report  Report
}

// Reason is the reason of an action, for traces. It does not influence decisions.
type Reason uint8

// The reasons of Send, followed by those of Reject and Fail.
const (
	ReasonNone         Reason = iota
	ReasonAffinity            // the session's replica
	ReasonSelected            // selected for a session without a replica
	ReasonAffinityLost        // the session's replica is unavailable
	ReasonOtherZone           // selected in another zone
	ReasonOverBound           // all usable replicas are over the load bound
	ReasonLastResort          // every usable replica is ejected
	ReasonLoadShed            // an overload: new sessions are rejected
	ReasonNoReplica           // no replica is usable
	ReasonRetryBudget         // the retry budget is exhausted
	ReasonMaxAttempts         // the request has used all its attempts
	ReasonDeadline            // the deadline has passed
	ReasonBadRequest          // the request is invalid
)

// Actions executes the decisions of a Balancer. All calls happen during a method of Balancer.
type Actions interface {
	// Send starts an attempt. The attempts of a request are numbered from 0 in order. With a timeout of 0 the
	// attempt may last until the client stops waiting.
	Send(id RequestID, to ReplicaID, timeout time.Duration)
	// Explain passes the reason of the Send, Reject or Fail that follows immediately.
	Explain(id RequestID, why Reason)
	// Reject ends a request that is safe to retry, after retryAfter if that is not 0.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request that may have run.
	Fail(id RequestID)
	// Cancel cancels an attempt. Its Outcome follows.
	Cancel(id RequestID, attempt int)
	// Probe requests a health check and, if available, a load report from a replica.
	Probe(to ReplicaID)
	// Watch subscribes to changes of the replica list, which arrive at Balancer.ListUpdated.
	Watch()
	// SetTimer schedules a call of Balancer.TimerFired with the token.
	SetTimer(after time.Duration, token uint64)
	// Log writes a line to the log.
	Log(line string)
}
