// Package policy decides, for one gateway in front of a fleet of language-model
// servers, where each request goes. Every decision is in policy.go; this file
// holds the types that cross its border.
package policy

import "time"

// Time is a reading of the caller's clock, counted from any fixed origin. It must never go backwards.
type Time = time.Duration

// RequestID names one client try. It must be below 2^52.
type RequestID uint64

// ReplicaID names a replica. Ids are only compared and hashed.
type ReplicaID uint32

// Effect says what repeating a request of a class does.
type Effect uint8

// The kinds of effect. A keyed request may be repeated within its dedup group and window.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Group is the set of replicas that discard repeats of a keyed request.
type Group uint8

// The dedup groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name          string
	Aim           time.Duration // first token wanted within this
	AimPerKTokens time.Duration // added to the aim for each 1,000 prompt tokens
	Deadline      time.Duration // a client's patience over all its tries
	DedupWindow   time.Duration // how long repeats of a keyed request are discarded
	Worth         float64
	LateWorth     float64 // fraction of the worth left after the aim
	Effect        Effect
	Group         Group
	Streaming     bool
	MaxAttempts   int // of one request, if fewer than the settings allow; 0 = as they say
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name  string
	Share float64
}

// Limits says what the deployment permits.
type Limits struct {
	Cancel        bool
	Probes        bool
	RetryAfter    bool // clients are told how long to stay away
	MaxAttempts   int
	MaxRetryAfter time.Duration
}

// Weights says what the weight of a replica in the list means.
type Weights uint8

// The meanings of a replica's weight: always 1, its size (exactly or roughly), or its size over its load.
const (
	NoWeights Weights = iota
	SizeWeights
	LiveWeights
)

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Gateway  int // this gateway's number among Gateways
	Gateways int
	Zone     int
	Zones    int
	Classes  []Class
	Tenants  []Tenant
	Limits   Limits
	Weights  Weights

	AskDiscovery bool          // changes of the list come only after Watch or Fetch
	AskWithin    time.Duration // a gateway must have asked within this

	DrainGrace time.Duration // sends to a draining or gone replica must stop within this
	ColdFrom   float64       // share of its capacity with which a replica starts, at least
	WarmUp     time.Duration // and is fully warm after, at most

	ReportColumns []string // meaning of Report values: inflight, queue, util, latency_ms, qps, eps, x0, x1
	CrossZone     float64  // price of an attempt that leaves the zone, against the worth of a first try
}

// State is what the list says of a replica.
type State uint8

// The states of a replica.
const (
	Ready State = iota
	Draining
	Gone
)

// Replica is one entry of the list.
type Replica struct {
	ID      ReplicaID
	Zone    int
	Cell    int
	State   State
	Weight  float64
	ReadyAt Time // its most recent start; 0 means long ago
}

// ListKind says how a List relates to the one before it.
type ListKind uint8

// The kinds of list: changed entries only, the whole list, the list as last held, or a failed call.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// List is news from discovery.
type List struct {
	Kind     ListKind
	Replicas []Replica
}

// Request is one try of a client.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Session      uint64 // 0 = none
	Prefix       uint64 // names the beginning shared with other sessions; 0 = none
	PromptTokens float64
	PrefixTokens float64
	MaxTokens    float64
	Work         time.Duration // a rough hint; 0 = none
	ExpiresIn    time.Duration // time left until the client gives this try up
	Repeat       bool          // marked by the client as a repeat
	Resumed      bool          // came back after its stream broke
}

// Result says how an attempt or a probe ended.
type Result uint8

// The results. Full, ConnectFailed and Moot prove that the attempt never ran.
const (
	OK Result = iota
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Report is a load report, ordered as Settings.ReportColumns; N is 0 where there was none.
type Report struct {
	N      int
	Values [4]float64
}

// Started tells that the answer to an attempt has begun: it now belongs to the client.
type Started struct {
	ID      RequestID
	Attempt int
	Replica ReplicaID
	Elapsed time.Duration // since it was sent
}

// Outcome tells how an attempt ended. Each Send receives exactly one.
type Outcome struct {
	ID         RequestID
	Attempt    int
	Replica    ReplicaID
	Result     Result
	Elapsed    time.Duration
	Ended      bool    // the request has its final answer, by this outcome or earlier
	KeptTokens float64 // prompt tokens that the replica need not read again
	Report     Report
	Stale      bool // its connection had served before and ended without a word: no sign against the replica
}

// ProbeResult is the answer to a Probe.
type ProbeResult struct {
	Replica ReplicaID
	Result  Result
	Elapsed time.Duration
	Report  Report
}

// Why names the reason of an action, for the staff. Nothing is decided by it.
type Why uint8

// The reasons. To send: the table has it; drawn for a new session; drawn since the table's replica may not
// be used; drawn outside the zone; the usable ones are all over the bound of new sessions; marks ignored.
// To refuse or fail: new sessions are being shed; no replica may be used; no further attempt is saved up, or
// allowed; its time is over; the request is malformed.
const (
	NoReason Why = iota
	Pinned
	Drawn
	Orphaned
	Spilled
	OverBound
	LastResort
	Shedding
	NoReplica
	NoRetries
	NoAttempts
	OutOfTime
	BadRequest
)

// Actions carries out what the balancer decides. All calls happen during a method of Balancer.
type Actions interface {
	// Send starts an attempt; attempts of a request are numbered 0, 1, 2 in order. A timeout of 0 lasts
	// until the client gives up.
	Send(id RequestID, to ReplicaID, timeout time.Duration)
	// Because says why the next Send, Refuse or Fail for a request is made. It comes right before it.
	Because(id RequestID, why Why)
	// Refuse is a final answer: trying again is harmless, after a wait if that is not 0.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt; its Outcome still comes.
	Cancel(id RequestID, attempt int)
	// Probe asks a replica for a sign of life and, where there are any, a load report.
	Probe(to ReplicaID)
	// Watch asks discovery for changes from now on. It is answered by Balancer.Listed.
	Watch()
	// Wake asks for Balancer.Timer with the token after the wait.
	Wake(after time.Duration, token uint64)
	// Log writes a line for the staff.
	Log(line string)
}
