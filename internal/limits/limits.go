// Package limits holds every size, count and time that the program keeps to. One value is filled at start
// from the configuration and handed down; nothing reads a limit from anywhere else.
package limits

import "time"

// Machine is what the deployment grants one router.
type Machine struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Site is what the settings say of times and counts, beside what the decision module reads itself.
type Site struct {
	ConnectTimeout        time.Duration
	UpstreamIdleClose     time.Duration
	MaxConcurrentRequests int
	MaxAttempts           int
	MaxDeadline           time.Duration
}

// Limits are the figures of one running program.
type Limits struct {
	Procs     int   // cores that Go may use
	HeapBytes int64 // soft limit of the Go heap

	RequestHeadBytes  int   // head of one message
	ResponseHeadBytes int   // head of one answer of an issuer host
	BodyBytes         int   // body of one message
	TotalBodyBytes    int64 // all bodies held at once
	ControlReadBytes  int   // of the connection to discovery; what a probe may answer
	StreamEventBytes  int   // one event of a stream

	ClientConns        int // connections from acquirers at once
	RejectConns        int // further ones while all are busy, kept for as long as it takes to decline one authorisation
	ConcurrentRequests int // authorisations at once
	UpstreamConns      int // connections to issuer hosts, idle ones included
	IdlePerEndpoint    int // idle connections kept to one issuer host
	MaxAttempts        int // legs of one authorisation

	RequestReadTimeout  time.Duration // for a whole message, from its first byte; the first from when it was connected
	ClientIdleTimeout   time.Duration // an acquirer's connection with nothing open is closed after this
	NewConnGrace        time.Duration // so long a new connection that says nothing need not make room for others
	ClientWriteTimeout  time.Duration // for one write to an acquirer that does not read
	ConnectTimeout      time.Duration
	UpstreamIdleTimeout time.Duration // an idle connection to an issuer host is closed after this
	MaxInterimResponses int           // 1xx answers in front of an answer
	FirstEventTimeout   time.Duration // from the first byte of an answer's head to its first event
	StreamIdleTimeout   time.Duration // between two events of a stream
	HealthCheckTimeout  time.Duration
	DeadlineTolerance   time.Duration // an acquirer that leaves so shortly before its deadline has waited for it
	MaxRequestTimeout   time.Duration // no authorisation waits longer, whatever it asks for

	WatchTimeout       time.Duration // what a watch asks discovery to wait
	WatchRetryDelay    time.Duration // before the next call, after an answer that came at once and told nothing
	WatchResponseGrace time.Duration // and what it is given beyond that
	EndpointListBytes  int64         // one answer of discovery
	EndpointSources    int           // discoveries at once
	DrainPrecedence    time.Duration // a drain told by one pool's discovery stands so long against another's list
	OverloadRetryAfter time.Duration // Retry-After of what is declined for want of room

	BatchConns         int           // connections to the batch API
	BatchFileBytes     int64         // of one uploaded batch file
	BatchItemBytes     int           // of one line in it
	BatchResponseBytes int           // of one line's collected answer
	BatchMessageBytes  int64         // of one message to the batch API that is not a file
	BatchJobsPerTeam   int           // batches of one team that are not at their end
	BatchRetryDelay    time.Duration // before a declined line is tried again, where no Retry-After says
	BatchIdleTimeout   time.Duration // of a connection to the batch API
	BatchFeedKeepAlive time.Duration // between two comments on a feed where nothing happens
	BatchDrainTimeout  time.Duration // for answers of the batch API that are under way at the end

	TraceCompletionGrace time.Duration // the record of a try that is over waits so long for the last word of its legs

	DrainIdleDelay     time.Duration // after SIGTERM: idle acquirer connections are closed
	DrainListenerDelay time.Duration // after SIGTERM: the listener is closed
}

// reserve is kept for what is neither an acquirer's nor an issuer host's: the standard streams, the listener,
// the poller, discovery, probes and connections that are just being closed.
const reserve = 24

// New returns the limits of a program on such a machine at such a site.
func New(m Machine, s Site) Limits {
	l := Limits{
		Procs:     max(1, int(m.Cores+0.999)),
		HeapBytes: int64(m.MemoryMB) << 20 * 3 / 4,

		RequestHeadBytes:  8 << 10, // also what each connection has for a buffer; a good head has 400 bytes
		ResponseHeadBytes: 8 << 10,
		BodyBytes:         256 << 10,
		TotalBodyBytes:    int64(m.MemoryMB) << 20 / 6, // a leg copies its body once more to write it
		ControlReadBytes:  4 << 10,
		StreamEventBytes:  64 << 10,

		RejectConns:     8,
		IdlePerEndpoint: 64,
		MaxAttempts:     max(s.MaxAttempts, 1),

		RequestReadTimeout:  2500 * time.Millisecond, // bad clients are owed an answer or a close within 3 s
		ClientIdleTimeout:   4 * time.Second,         // 2 s is the least; some clients never come again
		NewConnGrace:        100 * time.Millisecond,
		ClientWriteTimeout:  10 * time.Second,
		ConnectTimeout:      s.ConnectTimeout,
		UpstreamIdleTimeout: s.UpstreamIdleClose - max(s.UpstreamIdleClose/5, 250*time.Millisecond),
		MaxInterimResponses: 8,
		FirstEventTimeout:   2 * time.Second, // the head comes with the first token, the event a few tokens later
		StreamIdleTimeout:   4 * time.Second, // an acquirer may be kept waiting for 5 s after an event
		HealthCheckTimeout:  time.Second,
		DeadlineTolerance:   50 * time.Millisecond, // as the platform's own time limits allow
		MaxRequestTimeout:   max(4*s.MaxDeadline, time.Minute),

		WatchTimeout:       20 * time.Second,
		WatchRetryDelay:    100 * time.Millisecond,
		WatchResponseGrace: 2 * time.Second,
		EndpointListBytes:  8 << 20,
		EndpointSources:    1,
		DrainPrecedence:    30 * time.Second, // a discovery that has not heard by then, in spite of a watch, is the one to believe
		OverloadRetryAfter: 500 * time.Millisecond,

		BatchConns:         32,
		BatchFileBytes:     64 << 20,
		BatchItemBytes:     256<<10 + 4<<10,
		BatchResponseBytes: 1 << 20,
		BatchMessageBytes:  64 << 10,
		BatchJobsPerTeam:   64,
		BatchRetryDelay:    500 * time.Millisecond,
		BatchIdleTimeout:   time.Minute,
		BatchFeedKeepAlive: 15 * time.Second,
		BatchDrainTimeout:  time.Second,

		TraceCompletionGrace: 2 * time.Second, // a leg that is called off ends at once; its goroutine may be late
		DrainIdleDelay:       450 * time.Millisecond,
		DrainListenerDelay:   600 * time.Millisecond,
	}
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = time.Second
	}
	usable := max(m.Sockets-reserve-l.RejectConns, 8)
	l.ClientConns = usable / 2
	l.UpstreamConns = usable - l.ClientConns
	l.ConcurrentRequests = l.UpstreamConns
	if s.MaxConcurrentRequests > 0 {
		l.ConcurrentRequests = min(l.ConcurrentRequests, s.MaxConcurrentRequests)
	}
	return l
}

// WithEndpointSources makes room for further discoveries and for the control socket. A few more are left for changes while the
// program runs; Feeds is how many there may be in all.
func (l Limits) WithEndpointSources(n int) Limits {
	const changes = 8
	taken := n - 1 + changes + ControlSocketConns
	l.EndpointSources = n + changes
	l.ClientConns = max(l.ClientConns-(taken+1)/2, 1)
	l.UpstreamConns = max(l.UpstreamConns-taken/2, 1)
	l.ConcurrentRequests = min(l.ConcurrentRequests, l.UpstreamConns)
	return l
}

// The operators' address: calls that wait for their answer, one head, how long a caller may take (some keep a connection
// for 4 s without a word, and are not to be told that they are wrong), and the pause after an accept that failed.
const (
	AdminConns         = 16
	AdminHeadBytes     = 4 << 10
	AdminTimeout       = 5 * time.Second
	AdminAcceptBackoff = 10 * time.Millisecond
)

// Succession: how often a process looks whether the other has come or gone (a look is a system call and holds nothing
// up), how long an heir waits for the list of boxes and then for what the owner has learnt before it does without, and
// how long from its start on it may leave the owner to come to its end before it says yes, which the deployment wants
// within 6 s.
const (
	TakeoverPollInterval = 250 * time.Millisecond
	TakeoverListTimeout  = 300 * time.Millisecond // a list that has not changed is not told again
	TakeoverStateTimeout = time.Second
	TakeoverReadyTimeout = 4700 * time.Millisecond
	AcceptQueueDrainTime = 20 * time.Millisecond // what is in a listener's queue is accepted well within this
)

// DrainSweepInterval is how often a drained router closes what has become idle.
const DrainSweepInterval = 100 * time.Millisecond

// WithAdmin makes room for the operators' address: its listener and its callers.
func (l Limits) WithAdmin() Limits {
	l.ClientConns = max(l.ClientConns-AdminConns-1, 1)
	return l
}

// Capacity is what a process may use of what it was granted.
type Capacity struct {
	ClientConns   int   // connections from acquirers
	UpstreamConns int   // connections to issuer hosts
	HeapBytes     int64 // soft limit of the Go heap
}

// MaxDiscardedBody is how much of an answer that nobody asked for is read past, to get to the one that was.
const MaxDiscardedBody = 1 << 20

// FullCapacity is the room of a process that is alone.
func (l *Limits) FullCapacity() Capacity {
	return Capacity{l.ClientConns, l.UpstreamConns, l.HeapBytes}
}

// TakeoverCapacity is the room of each of two processes that stand for one router: half of what is used. What both keep in
// reserve comes off once more.
func (l *Limits) TakeoverCapacity() Capacity {
	return Capacity{max((l.ClientConns-reserve-l.RejectConns-AdminConns-1)/2, 1), max(l.UpstreamConns/2, 1), l.HeapBytes / 2}
}

// ControlSocketConns is how many may use the control socket at once.
const ControlSocketConns = 4

// WithBatch makes room for the batch front: its connections, and the files that its lines keep open.
func (l Limits) WithBatch(files int) Limits {
	taken := l.BatchConns + files
	l.ClientConns = max(l.ClientConns-(taken+1)/2, 1)
	l.UpstreamConns = max(l.UpstreamConns-taken/2, 1)
	l.ConcurrentRequests = min(l.ConcurrentRequests, l.UpstreamConns)
	return l
}

// RequestBounds are what messages of acquirers keep to. Those of the fleet's change with its configuration.
type RequestBounds struct {
	HeadBytes   int           // of a head, its first line included
	HeaderBytes int           // of a head without its first line; 0 = as HeadBytes says
	BodyBytes   int           // of a body
	ReadTimeout time.Duration // for a head from its first byte on, and for the body too unless that has a time of its own
	IdleTimeout time.Duration // of a connection with nothing open
}

// DefaultBounds are those of a program for which nothing changes.
func (l *Limits) DefaultBounds() RequestBounds {
	return RequestBounds{HeadBytes: l.RequestHeadBytes, BodyBytes: l.BodyBytes, ReadTimeout: l.RequestReadTimeout, IdleTimeout: l.ClientIdleTimeout}
}

// What a configuration may ask of a machine at the most, and the first line of a head, which it does not count.
const (
	MaxHeaderBytes   = 256 << 10
	RequestLineBytes = 8 << 10
	MaxHeaderTimeout = 2 * time.Minute
	MaxIdleTimeout   = time.Hour
)

// ConfiguredBounds are the bounds that a configuration declares, as far as the machine has room; what it leaves unsaid (0) stays
// as it is. less tells that the machine holds less than was asked for.
func (l *Limits) ConfiguredBounds(headerBytes, bodyBytes int, head, idle time.Duration) (b RequestBounds, less bool) {
	b = RequestBounds{HeaderBytes: 16 << 10, BodyBytes: l.BodyBytes, ReadTimeout: l.RequestReadTimeout, IdleTimeout: l.ClientIdleTimeout}
	if headerBytes > 0 {
		b.HeaderBytes = min(headerBytes, MaxHeaderBytes)
	}
	if bodyBytes > 0 {
		b.BodyBytes = min(bodyBytes, int(l.TotalBodyBytes/2)) // one alone must not take the room of all others
	}
	if head > 0 {
		b.ReadTimeout = min(head, MaxHeaderTimeout)
	}
	if idle > 0 {
		b.IdleTimeout = min(idle, MaxIdleTimeout)
	}
	b.HeadBytes = b.HeaderBytes + RequestLineBytes
	return b, headerBytes > b.HeaderBytes || bodyBytes > b.BodyBytes || head > b.ReadTimeout || idle > b.IdleTimeout
}

// reserved is what a machine of the fleet keeps of its descriptors for files, other processes' calls and control.
const reserved = 200 + 200

// NewFleetRouter returns the limits of a process that carries the fleet's traffic.
func NewFleetRouter(m Machine) Limits {
	m.Sockets = max(m.Sockets-reserved, 128)
	l := New(m, Site{
		ConnectTimeout:    500 * time.Millisecond, // an engine that lives takes milliseconds; a second one is to have its chance
		UpstreamIdleClose: time.Minute,            // engines say themselves how long they wait
		MaxAttempts:       8,                      // routes say how many of these
		MaxDeadline:       2 * time.Minute,
	})
	// Until a configuration says otherwise. A head has 400 bytes mostly; the buffer of one that has more grows.
	l.RequestHeadBytes, l.ResponseHeadBytes, l.BodyBytes = 4<<10, 16<<10, 8<<20
	l.RequestReadTimeout, l.ClientIdleTimeout = 3*time.Second, 15*time.Second
	// Silence of an engine is no reason to end what it has begun: its client says how long it waits.
	l.FirstEventTimeout, l.StreamIdleTimeout = l.MaxRequestTimeout, l.MaxRequestTimeout
	l.ClientWriteTimeout = 10 * time.Second
	return l
}

// The fleet's times. What adds up to a promise is checked by a test.
const (
	MissedHeartbeats       = 3                      // beats that may be missed, and a half, before an engine is held for crashed
	DrainAckPeers          = 2                      // others that know that an engine leaves before it is acknowledged: one is left if two end
	FailureSweepInterval   = 500 * time.Millisecond // between two looks for silent engines
	ReplicaCallTimeout     = 400 * time.Millisecond // one member's answer in a ballot
	OperatorCallTimeout    = 900 * time.Millisecond // a call of the operator; a second is what it waits
	ReplicaFailoverTimeout = 450 * time.Millisecond // before a call that is passed on goes to the next keeper
	GossipSpreadTime       = 1200 * time.Millisecond
	ReadinessDrainDelay    = 2300 * time.Millisecond // the platform's entry asks once a second and needs two misses
	ShutdownReserve        = 500 * time.Millisecond  // kept of grace_period_s for the end itself
	CatchUpInterval        = 2 * time.Second         // between two looks whether another keeper has come further
	RouterReportInterval   = 500 * time.Millisecond  // between two reports of a router to the keepers
	SingletonTickInterval  = 500 * time.Millisecond
	AutoscaleInterval      = time.Second
	UsageRetention         = 20 * time.Second // a router sends its counts of windows so long ago still
	// The holder stops so long before a member would let another in, for timers that fire late; and begins no call that could
	// arrive after that.
	LeaseMargin      = 300 * time.Millisecond
	LeaseCallReserve = 300 * time.Millisecond
	// What may be sent again beyond a share of all requests is split among the routers, and those that started anew within a
	// window: a router has one of this many parts until it is told how many lives of routers there are, then one of half as
	// many again as there are, so that all may start anew at once.
	InitialRetryShares = 400
	// A word of how many there are holds for so long from when it was asked for. It is looked at with every report.
	RetryShareTTL            = 2500 * time.Millisecond
	RouterReportRetention    = RetryShareTTL + 2*RouterReportInterval // beyond a window: a router that has reported so lately counts as there
	DiskReopenInterval       = 300 * time.Millisecond                 // between two tries to open a disk anew that has refused a write
	JoinRetryInterval        = 300 * time.Millisecond                 // between two tries to be taken in as a member
	VoterReplaceDelay        = 1200 * time.Millisecond                // a voter that has been silent for so long may lose its place to a standby: three answers missed
	UnreachableReportTTL     = 2 * time.Second                        // so long others' word holds that a voter does not answer them either
	SurplusVoterRemovalDelay = 10 * time.Second                       // and its vote, where there are more than are wanted: as long as a machine takes to start again
	VoterCheckInterval       = 200 * time.Millisecond                 // between two looks at silent voters while somebody could have the place of one
	ReplicaLeaveTimeout      = 2500 * time.Millisecond                // for a keeper that ends to hand over: most of what grace_period_s leaves beside the data plane's own end
	JoinRequestTTL           = 3 * time.Second                        // a keeper that has asked for a vote so long ago may be gone itself
	MaxUnresponsiveReplicas  = 128                                    // keepers that do not answer, of whom it is kept since when
	MaxJoinRequests          = 8                                      // of them, at the most
	LearnerRetryInterval     = time.Second                            // between two tries of a keeper that no voter's place is free for
	MaxJoinLag               = 16                                     // places that a keeper may lack to be taken in; it is brought up with the next ballot
	LogTailEntries           = 32                                     // places that a keeper's disk holds beside its state: what others lack of them is sent by itself
	LogTailBytes             = 16 << 20                               // of them, at the most: a disk of 256 MB holds many times that while it is compacted
	FoundingInterval         = 150 * time.Millisecond                 // between two tries to found the core
	UpstreamUserTimeout      = 1200 * time.Millisecond                // what an engine's machine has not even received by then it will hardly receive
	// Once an engine has forgotten a connection that rested, for so long no request that must not run twice uses one that has
	// rested for longer than this: others that may run again go on trying, and cost nothing where they fail. So often it
	// is news.
	StaleConnCaution        = 10 * time.Second
	StaleConnMaxIdle        = 100 * time.Millisecond
	StaleConnGossipInterval = 2 * time.Second
	MetricsLogInterval      = 5 * time.Second        // between two accounts in the log, at level debug
	ConfigYieldPause        = 100 * time.Microsecond // a pause in working on a configuration, so that streams are passed on
	CachedConfigs           = 4                      // configurations that are kept so that differences to them can be sent
	CachedConfigBytes       = 16 << 20               // of them, at the most
	FoundingQuietPeriod     = 500 * time.Millisecond // no further keeper has come for so long
	// A router that has started is not ready before a keeper that reaches a majority has said which configuration is the newest,
	// or for so long: where none does it serves with what another keeper has, and where no keeper answers at all it waits
	// longer for one. No machine is in touch (5 s) by then.
	ReadyWithoutQuorumAfter  = 3 * time.Second
	ReadyWithoutReplicaAfter = 10 * time.Second
	// Configurations that a late repeat of an operator's call may name, beside the newest 64: at the 14 a second that eight
	// orders under way come to these are 4.8 minutes, where an operator repeats for one; at 8,500 a day eleven hours. 17 to 18
	// bytes each, in a keeper's state (70 kB) and where one catches up.
	ConfigHistoryEntries = 4096
)

// DrainGrace is how long a known session may still go to an engine that drains: what is left of the platform's time is for
// the news to reach every router, and for a request to reach its engine.
func DrainGrace(drain time.Duration) time.Duration { return drain / 4 }

// RetryShares is into how many parts the common extra of repeats is split, where there are so many lives of routers.
func RetryShares(lives int) float64 { return 1.5 * float64(max(lives, 1)) }

// AutoscaleTuning says how engines are counted. docs/design/scaling.md has what each figure costs.
type AutoscaleTuning struct {
	TargetUtilization      float64       // of an engine's slots that are wanted to be in use
	TargetRunningPerEngine float64       // requests running at an engine that are wanted where slots are not known
	MinObservation         time.Duration // traffic that must have been seen before anything is ordered
	ScaleDownDelay         time.Duration // a lower number must have been enough for so long
	SmoothingTime          time.Duration // time constant of the mean
}

// DefaultAutoscaleTuning are the fleet's figures.
func DefaultAutoscaleTuning() AutoscaleTuning {
	return AutoscaleTuning{TargetUtilization: 0.31, TargetRunningPerEngine: 4, MinObservation: 8 * time.Second, ScaleDownDelay: 5 * time.Second, SmoothingTime: 2 * time.Second}
}
