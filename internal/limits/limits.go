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
	ConnectTimeout  time.Duration
	IdleClose       time.Duration
	MaxOpen         int
	MaxAttempts     int
	LongestDeadline time.Duration
}

// Limits are the figures of one running program.
type Limits struct {
	Procs       int   // cores that Go may use
	MemoryBytes int64 // soft limit of the Go heap

	HeadBytes   int   // head of one message
	AnswerHead  int   // head of one answer of an issuer host
	BodyBytes   int   // body of one message
	BodiesBytes int64 // all bodies held at once
	ReadBuffer  int   // of the connection to discovery; what a probe may answer
	EventBytes  int   // one event of a stream

	AcquirerConns int // connections from acquirers at once
	SpareConns    int // further ones while all are busy, kept for as long as it takes to decline one authorisation
	Open          int // authorisations at once
	IssuerConns   int // connections to issuer hosts, idle ones included
	IdlePerHost   int // idle connections kept to one issuer host
	Attempts      int // legs of one authorisation

	MessageWait time.Duration // for a whole message, from its first byte; the first from when it was connected
	IdleWait    time.Duration // an acquirer's connection with nothing open is closed after this
	FreshWait   time.Duration // so long a new connection that says nothing need not make room for others
	WriteWait   time.Duration // for one write to an acquirer that does not read
	ConnectWait time.Duration
	IssuerIdle  time.Duration // an idle connection to an issuer host is closed after this
	Interim     int           // 1xx answers in front of an answer
	AnswerWait  time.Duration // from the first byte of an answer's head to its first event
	StreamWait  time.Duration // between two events of a stream
	ProbeWait   time.Duration
	LeaveSlack  time.Duration // an acquirer that leaves so shortly before its deadline has waited for it
	MaxBudget   time.Duration // no authorisation waits longer, whatever it asks for

	WatchWait   time.Duration // what a watch asks discovery to wait
	WatchPause  time.Duration // before the next call, after an answer that came at once and told nothing
	WatchSlack  time.Duration // and what it is given beyond that
	ListBytes   int64         // one answer of discovery
	Feeds       int           // discoveries at once
	BoxOverlap  time.Duration // a drain told by one pool's discovery stands so long against another's list
	SpareAnswer time.Duration // Retry-After of what is declined for want of room

	BatchConns  int           // connections to the batch API
	FileBytes   int64         // of one uploaded batch file
	LineBytes   int           // of one line in it
	AnswerBytes int           // of one line's collected answer
	JSONBytes   int64         // of one message to the batch API that is not a file
	TeamJobs    int           // batches of one team that are not at their end
	DeclineWait time.Duration // before a declined line is tried again, where no Retry-After says
	APIIdle     time.Duration // of a connection to the batch API
	FeedIdle    time.Duration // between two comments on a feed where nothing happens
	BatchDrain  time.Duration // for answers of the batch API that are under way at the end

	TraceLinger time.Duration // the record of a try that is over waits so long for the last word of its legs

	DrainIdle   time.Duration // after SIGTERM: idle acquirer connections are closed
	DrainListen time.Duration // after SIGTERM: the listener is closed
}

// reserve is kept for what is neither an acquirer's nor an issuer host's: the standard streams, the listener,
// the poller, discovery, probes and connections that are just being closed.
const reserve = 24

// New returns the limits of a program on such a machine at such a site.
func New(m Machine, s Site) Limits {
	l := Limits{
		Procs:       max(1, int(m.Cores+0.999)),
		MemoryBytes: int64(m.MemoryMB) << 20 * 3 / 4,

		HeadBytes:   8 << 10, // also what each connection has for a buffer; a good head has 400 bytes
		AnswerHead:  8 << 10,
		BodyBytes:   256 << 10,
		BodiesBytes: int64(m.MemoryMB) << 20 / 6, // a leg copies its body once more to write it
		ReadBuffer:  4 << 10,
		EventBytes:  64 << 10,

		SpareConns:  8,
		IdlePerHost: 64,
		Attempts:    max(s.MaxAttempts, 1),

		MessageWait: 2500 * time.Millisecond, // bad clients are owed an answer or a close within 3 s
		IdleWait:    4 * time.Second,         // 2 s is the least; some clients never come again
		FreshWait:   100 * time.Millisecond,
		WriteWait:   10 * time.Second,
		ConnectWait: s.ConnectTimeout,
		IssuerIdle:  s.IdleClose - max(s.IdleClose/5, 250*time.Millisecond),
		Interim:     8,
		AnswerWait:  2 * time.Second, // the head comes with the first token, the event a few tokens later
		StreamWait:  4 * time.Second, // an acquirer may be kept waiting for 5 s after an event
		ProbeWait:   time.Second,
		LeaveSlack:  50 * time.Millisecond, // as the platform's own time limits allow
		MaxBudget:   max(4*s.LongestDeadline, time.Minute),

		WatchWait:   20 * time.Second,
		WatchPause:  100 * time.Millisecond,
		WatchSlack:  2 * time.Second,
		ListBytes:   8 << 20,
		Feeds:       1,
		BoxOverlap:  30 * time.Second, // a discovery that has not heard by then, in spite of a watch, is the one to believe
		SpareAnswer: 500 * time.Millisecond,

		BatchConns:  32,
		FileBytes:   64 << 20,
		LineBytes:   256<<10 + 4<<10,
		AnswerBytes: 1 << 20,
		JSONBytes:   64 << 10,
		TeamJobs:    64,
		DeclineWait: 500 * time.Millisecond,
		APIIdle:     time.Minute,
		FeedIdle:    15 * time.Second,
		BatchDrain:  time.Second,

		TraceLinger: 2 * time.Second, // a leg that is called off ends at once; its goroutine may be late
		DrainIdle:   450 * time.Millisecond,
		DrainListen: 600 * time.Millisecond,
	}
	if l.ConnectWait <= 0 {
		l.ConnectWait = time.Second
	}
	usable := max(m.Sockets-reserve-l.SpareConns, 8)
	l.AcquirerConns = usable / 2
	l.IssuerConns = usable - l.AcquirerConns
	l.Open = l.IssuerConns
	if s.MaxOpen > 0 {
		l.Open = min(l.Open, s.MaxOpen)
	}
	return l
}

// WithFeeds makes room for further discoveries and for the control socket. A few more are left for changes while the
// program runs; Feeds is how many there may be in all.
func (l Limits) WithFeeds(n int) Limits {
	const changes = 8
	taken := n - 1 + changes + ControlConns
	l.Feeds = n + changes
	l.AcquirerConns = max(l.AcquirerConns-(taken+1)/2, 1)
	l.IssuerConns = max(l.IssuerConns-taken/2, 1)
	l.Open = min(l.Open, l.IssuerConns)
	return l
}

// The operators' address: calls that wait for their answer, one head, how long a caller may take (some keep a connection
// for 4 s without a word, and are not to be told that they are wrong), and the pause after an accept that failed.
const (
	AdminCallers = 16
	AdminHead    = 4 << 10
	AdminWait    = 5 * time.Second
	AdminPause   = 10 * time.Millisecond
)

// Succession: how often a process looks whether the other has come or gone (a look is a system call and holds nothing
// up), how long an heir waits for the list of boxes and then for what the owner has learnt before it does without, and
// how long from its start on it may leave the owner to come to its end before it says yes, which the deployment wants
// within 6 s.
const (
	HeirLook   = 250 * time.Millisecond
	HeirList   = 300 * time.Millisecond // a list that has not changed is not told again
	HeirLegacy = time.Second
	HeirYes    = 4700 * time.Millisecond
	QueueDry   = 20 * time.Millisecond // what is in a listener's queue is accepted well within this
)

// DrainSweep is how often a drained router closes what has become idle.
const DrainSweep = 100 * time.Millisecond

// WithAdmin makes room for the operators' address: its listener and its callers.
func (l Limits) WithAdmin() Limits {
	l.AcquirerConns = max(l.AcquirerConns-AdminCallers-1, 1)
	return l
}

// Room is what a process may use of what it was granted.
type Room struct {
	Acquirers int   // connections from acquirers
	Lines     int   // connections to issuer hosts
	Memory    int64 // soft limit of the Go heap
}

// Surplus is how much of an answer that nobody asked for is read past, to get to the one that was.
const Surplus = 1 << 20

// Whole is the room of a process that is alone.
func (l *Limits) Whole() Room { return Room{l.AcquirerConns, l.IssuerConns, l.MemoryBytes} }

// Shared is the room of each of two processes that stand for one router: half of what is used. What both keep in
// reserve comes off once more.
func (l *Limits) Shared() Room {
	return Room{max((l.AcquirerConns-reserve-l.SpareConns-AdminCallers-1)/2, 1), max(l.IssuerConns/2, 1), l.MemoryBytes / 2}
}

// ControlConns is how many may use the control socket at once.
const ControlConns = 4

// WithBatch makes room for the batch front: its connections, and the files that its lines keep open.
func (l Limits) WithBatch(files int) Limits {
	taken := l.BatchConns + files
	l.AcquirerConns = max(l.AcquirerConns-(taken+1)/2, 1)
	l.IssuerConns = max(l.IssuerConns-taken/2, 1)
	l.Open = min(l.Open, l.IssuerConns)
	return l
}

// Bounds are what messages of acquirers keep to. Those of the fleet's change with its configuration.
type Bounds struct {
	HeadBytes   int           // of a head, its first line included
	HeaderBytes int           // of a head without its first line; 0 = as HeadBytes says
	BodyBytes   int           // of a body
	HeadWait    time.Duration // for a head from its first byte on, and for the body too unless that has a time of its own
	IdleWait    time.Duration // of a connection with nothing open
}

// Bounds are those of a program for which nothing changes.
func (l *Limits) Bounds() Bounds {
	return Bounds{HeadBytes: l.HeadBytes, BodyBytes: l.BodyBytes, HeadWait: l.MessageWait, IdleWait: l.IdleWait}
}

// What a configuration may ask of a machine at the most, and the first line of a head, which it does not count.
const (
	NodeHeaderBytes = 256 << 10
	NodeLineBytes   = 8 << 10
	NodeHeadWait    = 2 * time.Minute
	NodeIdleWait    = time.Hour
)

// Declared are the bounds that a configuration declares, as far as the machine has room; what it leaves unsaid (0) stays
// as it is. less tells that the machine holds less than was asked for.
func (l *Limits) Declared(headerBytes, bodyBytes int, head, idle time.Duration) (b Bounds, less bool) {
	b = Bounds{HeaderBytes: 16 << 10, BodyBytes: l.BodyBytes, HeadWait: l.MessageWait, IdleWait: l.IdleWait}
	if headerBytes > 0 {
		b.HeaderBytes = min(headerBytes, NodeHeaderBytes)
	}
	if bodyBytes > 0 {
		b.BodyBytes = min(bodyBytes, int(l.BodiesBytes/2)) // one alone must not take the room of all others
	}
	if head > 0 {
		b.HeadWait = min(head, NodeHeadWait)
	}
	if idle > 0 {
		b.IdleWait = min(idle, NodeIdleWait)
	}
	b.HeadBytes = b.HeaderBytes + NodeLineBytes
	return b, headerBytes > b.HeaderBytes || bodyBytes > b.BodyBytes || head > b.HeadWait || idle > b.IdleWait
}

// reserved is what a machine of the fleet keeps of its descriptors for files, other processes' calls and control.
const reserved = 200 + 200

// NewNode returns the limits of a process that carries the fleet's traffic.
func NewNode(m Machine) Limits {
	m.Sockets = max(m.Sockets-reserved, 128)
	l := New(m, Site{
		ConnectTimeout:  500 * time.Millisecond, // an engine that lives takes milliseconds; a second one is to have its chance
		IdleClose:       time.Minute,            // engines say themselves how long they wait
		MaxAttempts:     8,                      // routes say how many of these
		LongestDeadline: 2 * time.Minute,
	})
	// Until a configuration says otherwise. A head has 400 bytes mostly; the buffer of one that has more grows.
	l.HeadBytes, l.AnswerHead, l.BodyBytes = 4<<10, 16<<10, 8<<20
	l.MessageWait, l.IdleWait = 3*time.Second, 15*time.Second
	// Silence of an engine is no reason to end what it has begun: its client says how long it waits.
	l.AnswerWait, l.StreamWait = l.MaxBudget, l.MaxBudget
	l.WriteWait = 10 * time.Second
	return l
}

// The fleet's times. What adds up to a promise is checked by a test.
const (
	NodeSilence   = 3                      // beats that may be missed, and a half, before an engine is held for crashed
	NodeHeard     = 2                      // others that know that an engine leaves before it is acknowledged: one is left if two end
	NodeSweep     = 500 * time.Millisecond // between two looks for silent engines
	NodeAsk       = 400 * time.Millisecond // one member's answer in a ballot
	NodeSettle    = 900 * time.Millisecond // a call of the operator; a second is what it waits
	NodePass      = 450 * time.Millisecond // before a call that is passed on goes to the next keeper
	NodeSpread    = 1200 * time.Millisecond
	NodeFront     = 2300 * time.Millisecond // the platform's entry asks once a second and needs two misses
	NodeLeast     = 500 * time.Millisecond  // kept of grace_period_s for the end itself
	NodeCatchUp   = 2 * time.Second         // between two looks whether another keeper has come further
	NodeReport    = 500 * time.Millisecond  // between two reports of a router to the keepers
	NodeDuty      = 500 * time.Millisecond
	NodeScale     = time.Second
	NodeUsageKept = 20 * time.Second // a router sends its counts of windows so long ago still
	// The holder stops so long before a member would let another in, for timers that fire late; and begins no call that could
	// arrive after that.
	NodeLeaseMargin = 300 * time.Millisecond
	NodeLeaseCall   = 300 * time.Millisecond
	// What may be sent again beyond a share of all requests is split among the routers, and those that started anew within a
	// window: a router has one of this many parts until it is told how many lives of routers there are, then one of half as
	// many again as there are, so that all may start anew at once.
	NodeRetryParts = 400
	// A word of how many there are holds for so long from when it was asked for. It is looked at with every report.
	NodePart       = 2500 * time.Millisecond
	NodeLately     = NodePart + 2*NodeReport // beyond a window: a router that has reported so lately counts as there
	NodeReopen     = 300 * time.Millisecond  // between two tries to open a disk anew that has refused a write
	NodeJoin       = 300 * time.Millisecond  // between two tries to be taken in as a member
	NodeGone       = 1200 * time.Millisecond // a voter that has been silent for so long may lose its place to a standby: three answers missed
	NodeDoubted    = 2 * time.Second         // so long others' word holds that a voter does not answer them either
	NodeSurplus    = 10 * time.Second        // and its vote, where there are more than are wanted: as long as a machine takes to start again
	NodeWatch      = 200 * time.Millisecond  // between two looks at silent voters while somebody could have the place of one
	NodeHandOver   = 2500 * time.Millisecond // for a keeper that ends to hand over: most of what grace_period_s leaves beside the data plane's own end
	NodeCandidate  = 3 * time.Second         // a keeper that has asked for a vote so long ago may be gone itself
	NodeSilent     = 128                     // keepers that do not answer, of whom it is kept since when
	NodeCandidates = 8                       // of them, at the most
	NodeStandby    = time.Second             // between two tries of a keeper that no voter's place is free for
	NodeJoinLag    = 16                      // places that a keeper may lack to be taken in; it is brought up with the next ballot
	NodePlaces     = 32                      // places that a keeper's disk holds beside its state: what others lack of them is sent by itself
	NodePlaceBytes = 16 << 20                // of them, at the most: a disk of 256 MB holds many times that while it is compacted
	NodeFounding   = 150 * time.Millisecond  // between two tries to found the core
	NodeUnheard    = 1200 * time.Millisecond // what an engine's machine has not even received by then it will hardly receive
	// Once an engine has forgotten a connection that rested, for so long no request that must not run twice uses one that has
	// rested for longer than this: others that may run again go on trying, and cost nothing where they fail. So often it
	// is news.
	NodeForgets     = 10 * time.Second
	NodeRest        = 100 * time.Millisecond
	NodeForgetsNews = 2 * time.Second
	NodeAccount     = 5 * time.Second        // between two accounts in the log, at level debug
	NodeBreath      = 100 * time.Microsecond // a pause in working on a configuration, so that streams are passed on
	NodeTexts       = 4                      // configurations that are kept so that differences to them can be sent
	NodeTextBytes   = 16 << 20               // of them, at the most
	NodeStable      = 500 * time.Millisecond // no further keeper has come for so long
	// A router that has started is not ready before a keeper that reaches a majority has said which configuration is the newest,
	// or for so long: where none does it serves with what another keeper has, and where no keeper answers at all it waits
	// longer for one. No machine is in touch (5 s) by then.
	NodeUnsettled = 3 * time.Second
	NodeUnasked   = 10 * time.Second
	// Configurations that a late repeat of an operator's call may name, beside the newest 64: at the 14 a second that eight
	// orders under way come to these are 4.8 minutes, where an operator repeats for one; at 8,500 a day eleven hours. 17 to 18
	// bytes each, in a keeper's state (70 kB) and where one catches up.
	NodeHistory = 4096
)

// DrainGrace is how long a known session may still go to an engine that drains: what is left of the platform's time is for
// the news to reach every router, and for a request to reach its engine.
func DrainGrace(drain time.Duration) time.Duration { return drain / 4 }

// RetryParts is into how many parts the common extra of repeats is split, where there are so many lives of routers.
func RetryParts(lives int) float64 { return 1.5 * float64(max(lives, 1)) }

// Scale says how engines are counted. docs/design/scaling.md has what each figure costs.
type Scale struct {
	Share     float64       // of an engine's slots that are wanted to be in use
	PerEngine float64       // requests running at an engine that are wanted where slots are not known
	Settle    time.Duration // traffic that must have been seen before anything is ordered
	Calm      time.Duration // a lower number must have been enough for so long
	Smooth    time.Duration // time constant of the mean
}

// Scaling are the fleet's figures.
func Scaling() Scale {
	return Scale{Share: 0.31, PerEngine: 4, Settle: 8 * time.Second, Calm: 5 * time.Second, Smooth: 2 * time.Second}
}
