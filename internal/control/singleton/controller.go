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

// Config configures a Controller.
type Config struct {
	Self          replog.Member
	Incarnation   uint64 // of this process; also the ID of its usage table
	NeverGranted  bool   // no lease can have been granted before this process started
	LeaseDuration time.Duration
	// CandidacyDelay is added to the time without a holder after which this voter becomes a candidate. It should differ between
	// voters, so that they do not become candidates simultaneously.
	CandidacyDelay time.Duration

	ReportsUsage bool
	UsageWindow  time.Duration // length of a usage window
	UsageDelay   time.Duration // the latest time of a report after the window's end; three tenths of it are spent waiting for routers
	// RouterWindow is how long a router counts as live after a report. A new holder does not report the number of routers until
	// this time has passed.
	RouterWindow time.Duration

	ScalesEngines bool
	// Services returns the current services whose engines are scaled.
	Services func() []autoscale.Service

	// Peers returns the addresses of the other replicas.
	Peers func() []netip.AddrPort
	// MembershipPending reports whether this replica has accepted a change of members that may already be chosen. If it is nil,
	// there is never such a change.
	MembershipPending func() bool
}

// Controller runs one replica's share of the singleton roles. It is not safe for concurrent use.
type Controller struct {
	cfg Config
	rnd *rand.Rand // for the nonces of proposals

	now     time.Duration // steady clock
	wall    time.Time
	state   replog.State // the newest known state
	effects []Effect

	calls    map[CallID]func(body []byte, err error)
	lastCall CallID

	grants          lease.Grants
	holder          lease.Holder
	poll            *poll           // the current poll; responses to earlier polls are ignored
	fencingToken    uint64          // of the newest known holder
	holderSeenAt    time.Duration   // when this voter learned of that holder
	isFirstHolder   bool            // this voter is the first holder of the fleet
	onComplete      func(err error) // continuation of the proposal or platform call in flight; nil if there is none
	pausedUntilTick bool            // a role failed; roles do nothing until the next tick

	table           usage.Table
	finishedWindows map[uint64]bool // windows that this process has reported or abandoned
	tablesRequested bool            // the tables of the peers were requested since the last tick
	tablesPending   int             // peers that have not responded

	planner        *autoscale.Planner
	pendingTargets []autoscale.Target // not yet sent to the platform
}

// New returns a Controller. The argument now is the steady clock at the start of the process.
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

// Reduce handles an event, given the steady clock, the time of day and the newest known state. The returned effects are valid
// until the next call of Reduce.
func (c *Controller) Reduce(now time.Duration, wall time.Time, s *replog.State, e Event) []Effect {
	c.now, c.wall = max(c.now, now), wall
	c.updateState(s)
	clear(c.effects)
	c.effects = c.effects[:0]
	switch e := e.(type) {
	case Tick:
		c.tick()
	case CallReceived:
		body, err := c.handleCall(e.Kind, e.Body)
		c.emit(SendReply{Body: body, Err: err})
		return c.effects // every router calls twice a second; the roles continue with the next tick
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

// updateState replaces the known state with a newer one. A new voter grants no lease for one LeaseDuration, because the voter that
// it replaces may have granted one.
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

// tick performs the periodic work: expiry of usage windows, election and lease renewal.
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
		c.pendingTargets = nil // only the holder sends targets
		c.campaign()
		return
	}
	c.renew()
}

// runRoles starts the next proposal or platform call of the holder, unless one is in flight.
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

// complete passes the result of the proposal or platform call in flight to its continuation.
func (c *Controller) complete(err error) {
	if onComplete := c.onComplete; onComplete != nil {
		c.onComplete = nil
		onComplete(err)
	}
}

// propose emits a Propose for next. onComplete handles its result.
func (c *Controller) propose(next func(*replog.State) []byte, onComplete func(err error)) {
	c.onComplete = onComplete
	c.emit(Propose{Next: next, Timeout: limits.OperatorCallTimeout})
}

// call emits a SendCall. onReturn handles its result.
func (c *Controller) call(to netip.AddrPort, kind rpc.Kind, body []byte, onReturn func(body []byte, err error)) {
	c.lastCall++
	c.calls[c.lastCall] = onReturn
	c.emit(SendCall{ID: c.lastCall, To: to, Kind: kind, Body: body, Timeout: rpc.Lookup(kind).Timeout})
}

func (c *Controller) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Controller) log(level slog.Level, message string, args ...any) {
	c.emit(Log{Level: level, Message: message, Args: args})
}
