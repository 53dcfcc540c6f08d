package limits

import "time"

// Machine describes the resources that the deployment grants to one router.
type Machine struct {
	Cores    float64 // processor time, in cores
	MemoryMB int     // resident memory, in MiB
	Sockets  int     // file descriptors
}

// Site holds the timeouts and counts from the settings that the limits depend on. Package policy has settings of its own.
type Site struct {
	ConnectTimeout        time.Duration // to an upstream; 0 = one second
	UpstreamIdleClose     time.Duration // after which upstreams close an idle connection
	MaxConcurrentRequests int           // 0 = the number of upstream connections
	MaxAttempts           int           // upstream attempts of one request
	MaxDeadline           time.Duration // longest deadline of all request classes
}

// Limits holds the limits of one process.
type Limits struct {
	Procs     int   // GOMAXPROCS
	HeapBytes int64 // soft limit of the Go heap

	RequestHeadBytes  int   // head of one request
	ResponseHeadBytes int   // head of one upstream response
	BodyBytes         int   // body of one message
	TotalBodyBytes    int64 // all request bodies in memory at once
	ControlReadBytes  int   // read buffer for the endpoint list; also the body of a health check response
	StreamEventBytes  int   // one event of a streamed response

	ClientConns        int // concurrent client connections that are served
	RejectConns        int // client connections above ClientConns, each kept only until one request is rejected
	ConcurrentRequests int // requests in flight
	UpstreamConns      int // connections to upstreams, idle ones included
	IdlePerEndpoint    int // idle connections kept to one endpoint
	MaxAttempts        int // upstream attempts of one request

	RequestReadTimeout  time.Duration // to read a request from its first byte; for the first one, from accept
	ClientIdleTimeout   time.Duration // a client connection without a request in flight is closed after this
	NewConnGrace        time.Duration // a new connection without a byte is not evicted for others before this
	ClientWriteTimeout  time.Duration // one write to a client that does not read
	ConnectTimeout      time.Duration // to connect to an upstream
	UpstreamIdleTimeout time.Duration // an idle upstream connection is closed after this
	MaxInterimResponses int           // 1xx responses before the final one
	FirstEventTimeout   time.Duration // from the first byte of a response head to the first event
	StreamIdleTimeout   time.Duration // between two events of a stream
	HealthCheckTimeout  time.Duration // one health check, connecting included
	DeadlineTolerance   time.Duration // a client that disconnects this close to its deadline counts as timed out
	MaxRequestTimeout   time.Duration // upper bound of the timeout that a request may ask for

	WatchTimeout       time.Duration // long poll of the endpoint list
	WatchRetryDelay    time.Duration // pause after a poll that returned at once without a change
	WatchResponseGrace time.Duration // time beyond WatchTimeout after which a poll fails
	EndpointListBytes  int64         // one response of the endpoint list
	EndpointSources    int           // endpoint lists that are watched at once
	DrainPrecedence    time.Duration // a drain seen in one pool's endpoint list overrides another pool's list for this long
	OverloadRetryAfter time.Duration // Retry-After of a request rejected for lack of capacity

	BatchConns         int           // connections to the batch API
	BatchFileBytes     int64         // one uploaded file
	BatchItemBytes     int           // one line of a file
	BatchResponseBytes int           // the collected response of one item
	BatchMessageBytes  int64         // one message to the batch API that is not a file
	BatchJobsPerTeam   int           // unfinished jobs of one team
	BatchRetryDelay    time.Duration // before a rejected item is retried when no Retry-After is given
	BatchIdleTimeout   time.Duration // of a connection to the batch API
	BatchFeedKeepAlive time.Duration // between two comments on an event feed without events
	BatchDrainTimeout  time.Duration // for responses of the batch API in flight at shutdown

	TraceCompletionGrace time.Duration // how long the record of a finished request waits for the last spans of its attempts

	DrainIdleDelay     time.Duration // from SIGTERM until idle client connections are closed
	DrainListenerDelay time.Duration // from SIGTERM until the listener is closed
}

// New returns the limits of a router on a machine at a site.
func New(m Machine, s Site) Limits {
	l := Limits{
		Procs:     max(1, int(m.Cores+0.999)),
		HeapBytes: int64(m.MemoryMB) << 20 * 3 / 4,

		RequestHeadBytes:  8 << 10, // also the read buffer of a connection; a typical head has 400 bytes
		ResponseHeadBytes: 8 << 10,
		BodyBytes:         256 << 10,
		TotalBodyBytes:    int64(m.MemoryMB) << 20 / 6, // each attempt makes one copy of the body
		ControlReadBytes:  4 << 10,
		StreamEventBytes:  64 << 10,

		RejectConns:     8,
		IdlePerEndpoint: 64,
		MaxAttempts:     max(s.MaxAttempts, 1),

		RequestReadTimeout:  2500 * time.Millisecond, // the platform requires an answer or a close within 3 s
		ClientIdleTimeout:   4 * time.Second,         // the platform requires at least 2 s; some clients never return
		NewConnGrace:        100 * time.Millisecond,
		ClientWriteTimeout:  10 * time.Second,
		ConnectTimeout:      s.ConnectTimeout,
		UpstreamIdleTimeout: s.UpstreamIdleClose - max(s.UpstreamIdleClose/5, 250*time.Millisecond), // close before the upstream does
		MaxInterimResponses: 8,
		FirstEventTimeout:   2 * time.Second, // the head arrives with the first token, the first event a few tokens later
		StreamIdleTimeout:   4 * time.Second, // clients wait up to 5 s for the next event
		HealthCheckTimeout:  time.Second,
		DeadlineTolerance:   50 * time.Millisecond, // the platform's deadlines have the same tolerance
		MaxRequestTimeout:   max(4*s.MaxDeadline, time.Minute),

		WatchTimeout:       20 * time.Second,
		WatchRetryDelay:    100 * time.Millisecond,
		WatchResponseGrace: 2 * time.Second,
		EndpointListBytes:  8 << 20,
		EndpointSources:    1,
		DrainPrecedence:    30 * time.Second, // longer than a full watch, after which the other list is up to date
		OverloadRetryAfter: 500 * time.Millisecond,

		BatchConns:         32,
		BatchFileBytes:     64 << 20,
		BatchItemBytes:     256<<10 + 4<<10, // a body of BodyBytes with its envelope
		BatchResponseBytes: 1 << 20,
		BatchMessageBytes:  64 << 10,
		BatchJobsPerTeam:   64,
		BatchRetryDelay:    500 * time.Millisecond,
		BatchIdleTimeout:   time.Minute,
		BatchFeedKeepAlive: 15 * time.Second,
		BatchDrainTimeout:  time.Second,

		TraceCompletionGrace: 2 * time.Second, // a cancelled attempt ends at once, but its goroutine may be scheduled late
		DrainIdleDelay:       450 * time.Millisecond,
		DrainListenerDelay:   600 * time.Millisecond,
	}
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = time.Second
	}
	usable := max(m.Sockets-reservedDescriptors-l.RejectConns, 8)
	l.ClientConns = usable / 2
	l.UpstreamConns = usable - l.ClientConns
	l.ConcurrentRequests = l.UpstreamConns
	if s.MaxConcurrentRequests > 0 {
		l.ConcurrentRequests = min(l.ConcurrentRequests, s.MaxConcurrentRequests)
	}
	return l
}

// MaxDiscardedBody is the number of bytes of a response to another request that are discarded to reach the response to the current
// one. A connection with a longer body is closed.
const MaxDiscardedBody = 1 << 20
