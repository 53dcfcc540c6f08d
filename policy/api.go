// Package policy decides, for one router in front of a fleet of engines, where each request goes. Every
// decision is in policy.go; this file holds the types of its interface. The package is pure: it has no clock,
// socket or goroutine. Events are method calls of Balancer, decisions are calls of Actions.
package policy

import (
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the caller's clock, counted from any fixed origin. It must never go backwards.
type Time = time.Duration

// RequestID identifies one request of a client. It must be below 2^52.
type RequestID uint64

// ReplicaID identifies a replica (an engine). Ids are only compared and hashed.
type ReplicaID uint32

// Effect is what repeating a request of a class does.
type Effect uint8

// The effects. A keyed request may be repeated within its dedup group and window.
const (
	EffectSafe Effect = iota
	EffectKeyed
	EffectUnsafe
)

// DedupGroup is the set of replicas that discard repetitions of a keyed request.
type DedupGroup uint8

// The dedup groups.
const (
	GroupAll DedupGroup = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name                    string
	TargetLatency           time.Duration // until the first token
	TargetLatencyPerKTokens time.Duration // added for each 1,000 prompt tokens
	Deadline                time.Duration // over all attempts of a client
	DedupWindow             time.Duration // how long repetitions of a keyed request are discarded
	Value                   float64
	LateValue               float64 // fraction of the value that is left after the target
	Effect                  Effect
	DedupGroup              DedupGroup
	IsStreaming             bool
	MaxAttempts             int // of one request, if fewer than the settings allow; 0 = as many
}

// Tenant is one of those that share the fleet.
type Tenant struct {
	Name  string
	Share float64
}

// Limits says what the deployment permits.
type Limits struct {
	CanCancel       bool
	CanProbe        bool
	SendsRetryAfter bool // rejections say when to retry
	MaxAttempts     int
	MaxRetryAfter   time.Duration
}

// WeightMeaning says what the weight of a replica in the list means.
type WeightMeaning uint8

// The meanings of a replica's weight: always 1, its size (exactly or roughly), or its size over its load.
const (
	WeightUnused WeightMeaning = iota
	WeightSize
	WeightLive
)

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Router        int // index of this router
	Routers       int
	Zone          int
	Zones         int
	Classes       []Class
	Tenants       []Tenant
	Limits        Limits
	WeightMeaning WeightMeaning

	NeedsWatch  bool          // changes of the list come only after Watch
	WatchWithin time.Duration // a router must have called Watch within this time

	DrainGrace       time.Duration // sends to a draining or gone replica stop within this time
	SlowStartInitial float64       // lowest share of its capacity with which a replica starts
	SlowStart        time.Duration // longest time until it has its full capacity

	ReportColumns  []string // meaning of Report values: inflight, queue, util, latency_ms, qps, eps, x0, x1
	CrossZonePrice float64  // of an attempt that leaves the zone, against the value of a request
}

// validate returns an error that names the setting at fault.
func (s *Settings) validate() error {
	for _, c := range []struct {
		isWrong bool
		err     string
	}{
		{
			min(s.DrainGrace, s.SlowStart, s.WatchWithin, s.Limits.MaxRetryAfter) < 0,
			"DrainGrace, SlowStart, WatchWithin and MaxRetryAfter must not be negative",
		},
		{len(s.Classes) == 0, "Classes must not be empty"},
		{s.Limits.MaxAttempts < 1, "Limits.MaxAttempts must be at least 1"},
		{!(s.SlowStartInitial > 0 && s.SlowStartInitial <= 1), "SlowStartInitial must be above 0 and at most 1"},
		{s.Routers < 1 || s.Router < 0 || s.Router >= s.Routers, "Router must be from 0 to below Routers"},
		{s.Zone < 0 || s.Zone >= s.Zones, "Zone must be from 0 to below Zones"},
		{s.NeedsWatch && s.WatchWithin == 0, "WatchWithin must be above 0 where NeedsWatch is set"},
		{len(s.ReportColumns) > len(Report{}.Values), "ReportColumns holds more columns than a Report has values"},
	} {
		if c.isWrong {
			return errors.New("policy: " + c.err)
		}
	}
	for _, c := range s.Classes {
		if c.Deadline <= 0 || c.TargetLatency < 0 || c.Effect > EffectUnsafe || c.DedupGroup > GroupCell {
			return fmt.Errorf("policy: Classes: %q: Deadline, TargetLatency, Effect or DedupGroup is wrong", c.Name)
		}
	}
	return nil
}

// State is the state of a replica by the list.
type State uint8

// The states of a replica.
const (
	StateReady State = iota
	StateDraining
	StateGone
)

// Replica is one entry of the list.
type Replica struct {
	ID      ReplicaID
	Zone    int
	Cell    int
	State   State
	Weight  float64
	ReadyAt Time // its most recent start; 0 = long ago
}

// ListKind is how a List relates to the one before it.
type ListKind uint8

// The kinds of list: changed entries only, the whole list, the list as last held, or a failed call.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// List is an update from discovery.
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
	Prefix        uint64 // of the prompt, shared with other sessions; 0 = none
	PromptTokens  float64
	PrefixTokens  float64
	MaxTokens     float64
	Work          time.Duration // a rough hint; 0 = none
	Timeout       time.Duration // until the client gives up
	IsClientRetry bool          // the client says that it retries
	IsResumed     bool          // the client resumes a broken stream
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results. Full, ConnectFailed and Moot prove that the attempt never ran.
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

// Report is a load report, ordered as Settings.ReportColumns; N is 0 where there was none.
type Report struct {
	N      int
	Values [4]float64
}

// ResponseStarted is the begin of the answer to an attempt: the request is bound to it.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
	Replica ReplicaID
	Elapsed time.Duration // since it was sent
}

// Outcome is the end of an attempt. Each Send gets exactly one.
type Outcome struct {
	ID              RequestID
	Attempt         int
	Replica         ReplicaID
	Result          Result
	Elapsed         time.Duration
	RequestEnded    bool    // the request has its final answer, by this attempt or before
	CachedTokens    float64 // prompt tokens that were in the prefix cache
	Report          Report
	StaleConnection bool // a reused connection was closed without an answer
}

// ProbeResult is the answer to a Probe.
type ProbeResult struct {
	Replica ReplicaID
	Result  Result
	Elapsed time.Duration
	Report  Report
}

// Reason is the reason of an action, for traces. Nothing is decided by it.
type Reason uint8

// The reasons of Send, then those of Reject and Fail.
const (
	ReasonNone         Reason = iota
	ReasonAffinity            // the session's replica
	ReasonSelected            // a new session
	ReasonAffinityLost        // the session's replica may not be used
	ReasonOtherZone           // drawn outside of the zone
	ReasonOverBound           // all usable replicas are over the load bound
	ReasonLastResort          // ejections are ignored
	ReasonLoadShed            // new sessions are rejected
	ReasonNoReplica           // no replica may be used
	ReasonRetryBudget         // no retry is left
	ReasonMaxAttempts         // no further attempt is allowed
	ReasonDeadline            // its time is over
	ReasonBadRequest          // it is malformed
)

// Actions carries out what the balancer decides. All calls happen during a method of Balancer.
type Actions interface {
	// Send starts an attempt; the attempts of a request are numbered 0, 1, 2 in order. A timeout of 0 lasts
	// until the client gives up.
	Send(id RequestID, to ReplicaID, timeout time.Duration)
	// Explain gives the reason of the next Send, Reject or Fail for a request. It is called right before it.
	Explain(id RequestID, why Reason)
	// Reject is a final answer: a retry is harmless, after a wait if that is not 0.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// Probe asks a replica for an answer and, where there are any, a load report.
	Probe(to ReplicaID)
	// Watch asks discovery for changes from now on. Balancer.Listed takes in the answers.
	Watch()
	// SetTimer has Balancer.Timer called with the token after a wait.
	SetTimer(after time.Duration, token uint64)
	// Log writes a line to the log.
	Log(line string)
}
