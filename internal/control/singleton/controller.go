package singleton

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"notchhinge/internal/control/autoscale"
	"notchhinge/internal/control/lease"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// Config is what a Controller is made with.
type Config struct {
	Self          replog.Member
	Incarnation   uint64 // of this process; it also identifies the usage table
	NeverGranted  bool   // nobody can have been granted a lease before this start
	LeaseDuration time.Duration
	// CandidacyDelay is added to the time without a holder after which this voter stands, so that not all stand at once.
	CandidacyDelay time.Duration

	ReportsUsage bool
	UsageWindow  time.Duration // length of a window
	UsageDelay   time.Duration // a window is due so long after its end
	// RouterWindow is for how long a router counts as live after a report. A holder of less than that does not say how many
	// routers there are.
	RouterWindow time.Duration

	ScalesEngines bool
	// Services returns the services whose engines are scaled, as they are now.
	Services func() []autoscale.Service

	// Peers returns the addresses of the other replicas.
	Peers func() []netip.AddrPort
	// MembershipPending reports whether a change of members has been accepted here that may have been chosen already. nil = never.
	MembershipPending func() bool
}

// Controller is a voter's part in the singleton roles. It is not safe for concurrent use.
type Controller struct {
	cfg Config
	rnd *rand.Rand // nonces of proposals

	now     time.Duration // steady clock
	wall    time.Time
	state   replog.State // the newest that is known
	effects []Effect

	calls    map[CallID]func(body []byte, err error)
	lastCall CallID

	grants          lease.Grants
	holder          lease.Holder
	poll            *poll           // the newest one
	fencingToken    uint64          // of the newest holder that is known
	holderSeenAt    time.Duration   // when that holder became known
	isFirstHolder   bool            // this voter is the first holder that the fleet ever had
	onComplete      func(err error) // continues what is in flight: a proposal or a platform call; nil = nothing is
	pausedUntilTick bool            // a role has failed; nothing is begun before the next tick

	table           usage.Table
	finishedWindows map[uint64]bool // reported by this process, or given up
	tablesRequested bool            // from the peers, since the last tick
	tablesPending   int             // peers that have not answered

	planner        *autoscale.Planner
	pendingTargets []autoscale.Target // to be ordered
}

// New returns the Controller of a process that starts now.
func New(now time.Duration, cfg Config) *Controller {
	return &Controller{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Incarnation, cfg.Self.ID)),
		calls:           map[CallID]func([]byte, error){},
		grants:          lease.Grants{Duration: cfg.LeaseDuration, StartedAt: now, NeverGranted: cfg.NeverGranted},
		holder:          lease.Holder{Duration: cfg.LeaseDuration, Margin: limits.LeaseMargin},
		finishedWindows: map[uint64]bool{},
		planner:         autoscale.NewPlanner(),
	}
}

// Reduce takes in an event, given the steady clock, the time of day and the newest state that is known here. The effects are
// valid until the next call.
func (c *Controller) Reduce(now time.Duration, wall time.Time, s *replog.State, e Event) []Effect {
	c.now, c.wall = max(c.now, now), wall
	c.updateState(s)
	clear(c.effects)
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case Tick:
		c.tick()
	case CallReceived:
		body, err := c.answer(e.Kind, e.Body)
		c.emit(SendReply{Body: body, Err: err})
		return c.effects // every router calls twice a second: the roles go on with the ticks
	case CallReturned:
		if onReturn := c.calls[e.ID]; onReturn != nil {
			delete(c.calls, e.ID)
			onReturn(e.Body, e.Err)
		}
	case ProposalDone:
		c.complete(e.Err)
	case PlatformAnswered:
		c.complete(e.Err)
	}
	c.runRoles()
	return c.effects
}

// updateState takes in the newest state. A voter that has just become one grants nothing for the length of a lease: the members
// that it came in place of may have granted one.
func (c *Controller) updateState(s *replog.State) {
	if s.NextIndex < c.state.NextIndex {
		return
	}
	isFounding, wasVoter := c.state.NextIndex == 0, c.isVoter()
	c.state = *s
	if !wasVoter && c.isVoter() && !(isFounding && c.grants.NeverGranted) {
		c.grants = lease.Grants{Duration: c.cfg.LeaseDuration, StartedAt: c.now}
	}
}

func (c *Controller) isVoter() bool { return c.state.Member(c.cfg.Self.ID) != nil }

// tick does what is due twice a second.
func (c *Controller) tick() {
	c.table.DropBefore(c.now, c.oldestWindow())
	c.pausedUntilTick, c.tablesRequested = false, c.tablesPending > 0
	s := &c.state
	if s.NextIndex == 0 || !c.isVoter() {
		return
	}
	if s.FencingToken != c.fencingToken {
		c.isFirstHolder = c.cfg.NeverGranted && c.fencingToken == 0 && s.LeaseHolder == c.cfg.Self.ID
		c.fencingToken, c.holderSeenAt = s.FencingToken, c.now
	}
	if s.LeaseHolder != c.cfg.Self.ID {
		c.pendingTargets = nil // the holder computes its own
		c.stand()
		return
	}
	c.renew()
}

// runRoles begins the next thing that the holder has to do, if nothing is in flight.
func (c *Controller) runRoles() {
	if _, ok := c.callTimeout(); !ok || c.onComplete != nil || c.tablesPending > 0 || c.pausedUntilTick {
		return
	}
	if c.cfg.ReportsUsage && c.reportUsage() {
		return
	}
	if c.cfg.ScalesEngines {
		c.scaleEngines()
	}
}

// complete continues what was in flight.
func (c *Controller) complete(err error) {
	if onComplete := c.onComplete; onComplete != nil {
		c.onComplete = nil
		onComplete(err)
	}
}

// propose has what next returns chosen.
func (c *Controller) propose(next func(*replog.State) []byte, onComplete func(err error)) {
	c.onComplete = onComplete
	c.emit(Propose{Next: next, Timeout: limits.OperatorCallTimeout})
}

// call calls another process.
func (c *Controller) call(to netip.AddrPort, kind rpc.Kind, body []byte, onReturn func(body []byte, err error)) {
	c.lastCall++
	c.calls[c.lastCall] = onReturn
	c.emit(SendCall{ID: c.lastCall, To: to, Kind: kind, Body: body, Timeout: rpc.Lookup(kind).Timeout})
}

func (c *Controller) emit(f Effect) { c.effects = append(c.effects, f) }

func (c *Controller) log(level slog.Level, message string, args ...any) {
	c.emit(Log{Level: level, Message: message, Args: args})
}
