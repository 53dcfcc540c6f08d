package singleton

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// The kinds of calls between processes that concern the duties. Other numbers are other owners'.
const (
	CallUsageReport    uint8 = 8  // a router's counts and loads: Report, answered by Word
	CallUsageTable     uint8 = 9  // what a keeper has heard of these, from a window up to another
	CallRenewLease     uint8 = 11 // the holder asks for more time: its fence, its member, and which members it knows
	CallCheckCandidacy uint8 = 15 // would another holder's lease be in the way: the newest fence and who wants to follow
)

// OwnsCall tells whether a kind of call is of the duties.
func OwnsCall(kind uint8) bool {
	return kind == CallUsageReport || kind == CallUsageTable || kind == CallRenewLease || kind == CallCheckCandidacy
}

// Event is something that happened: core.Tick, core.Called, core.Returned, or one of these.
type Event any

type (
	// ProposalDone: what a Propose wanted is settled, or could not be.
	ProposalDone struct{ Err error }
	// PlatformAnswered: the platform has answered what was last sent to it, or has not in its time.
	PlatformAnswered struct{ Err error }
)

// Effect is something to be done: core.Call, core.Reply, core.Log, or one of these. Of Propose, Usage and Order at most one
// is under way.
type Effect any

type (
	// Propose has what Want returns chosen, until it returns nil; Proposed comes back.
	Propose struct {
		Next    func(*replog.State) []byte
		Timeout time.Duration
	}
	// ReportUsage reports a window to the platform; Took comes back.
	ReportUsage struct {
		FencingToken, Window uint64
		Counts               map[string]uint64
		Timeout              time.Duration
	}
	// ScaleEngines engines from the platform; Took comes back.
	ScaleEngines struct {
		FencingToken  uint64
		Service, Zone string
		Engines       int
		Timeout       time.Duration
		running       int // what it was reckoned from
	}
)

// Service is one whose engines may be ordered.
type Service struct {
	Name   string
	Bounds Bounds
	Ready  map[string]int // by zone; a zone in which it runs but has none ready is there with 0
	Slots  float64        // of an engine that is ready, a mean
}

// Config is what a keeper is told.
type Config struct {
	Self           replog.Member
	NeverGranted   bool // nobody can have been granted a lease before this start
	LeaseDuration  time.Duration
	UsageWindow    time.Duration // of usage
	UsageDelay     time.Duration // after its end a window is due
	RouterWindow   time.Duration // a router that has reported so lately counts as there; who holds the duties for less does not say how many
	ReportsUsage   bool          // usage is owed
	ScalesEngines  bool          // engines are ordered
	Incarnation    uint64        // of the book
	CandidacyDelay time.Duration // so much later than others it stands, so that not all do at once
	Peers          func() []netip.AddrPort
	// MembershipPending tells whether a change of members has been accepted here that may have been chosen already; nil = never.
	MembershipPending func() bool
	// Services are those whose engines may be ordered, as they are now.
	Services func() []Service
}

// Controller is a keeper's part in the duties: it keeps the book of what routers report, grants and asks for leases, stands for
// holder where there is none, and as the holder has usage agreed and sent, and engines ordered. It is a reducer: given
// clocks and what its effects have come to, the same events have the same effects. It is not safe for concurrent use.
type Controller struct {
	Config
	book   Table
	grants Grants
	held   Holder

	now   time.Duration
	wall  time.Time
	state replog.State
	calls map[uint64]func(body []byte, err error)
	id    uint64
	nonce *rand.Rand
	out   []Effect

	fence   uint64          // the newest holder's, as far as it is known here
	fenceAt time.Duration   // when that was heard of
	first   bool            // it is the very first holder
	polls   uint64          // of the members
	then    func(err error) // what follows from what is under way; nil = nothing is
	stopped bool            // nothing more is sent before the next tick
	asked   bool            // other keepers' books were asked for since the last tick
	waits   int             // of these, who has not answered

	sent    map[uint64]bool // windows that this life has reported
	scalers map[string]*Scaler
	before  map[string]Load // of the last look
	looked  time.Duration
	ordered map[string]int // by service and zone, as the platform last took it
	orders  []ScaleEngines // that are to be sent
}

// New returns a keeper's part.
func New(now time.Duration, c Config) *Controller {
	return &Controller{
		Config: c, held: Holder{Duration: c.LeaseDuration, Margin: limits.LeaseMargin}, grants: Grants{Duration: c.LeaseDuration, StartedAt: now, NeverGranted: c.NeverGranted},
		calls: map[uint64]func([]byte, error){}, nonce: rand.New(rand.NewPCG(c.Incarnation, c.Self.ID)), sent: map[uint64]bool{},
		scalers: map[string]*Scaler{}, before: map[string]Load{}, ordered: map[string]int{},
	}
}

// Reduce takes an event in, upon the newest state that is known here. The effects are valid until the next call.
func (n *Controller) Reduce(now time.Duration, wall time.Time, s *replog.State, e Event) []Effect {
	n.now, n.wall = max(n.now, now), wall
	if s.NextIndex >= n.state.NextIndex {
		founds, was := n.state.NextIndex == 0, n.state.Member(n.Self.ID) != nil
		if n.state = *s; !was && s.Member(n.Self.ID) != nil && !(founds && n.grants.NeverGranted) {
			n.grants = Grants{Duration: n.LeaseDuration, StartedAt: n.now} // those in whose place it came may have granted a lease
		}
	}
	clear(n.out)
	n.out = n.out[:0]
	switch e := e.(type) {
	case replica.Tick:
		n.tick()
	case replica.CallReceived:
		body, err := n.answer(e.Kind, e.Body)
		n.out = append(n.out, replica.SendReply{Of: e.Of, Body: body, Err: err})
		return n.out // every router calls twice a second: what there is to do is looked for with the ticks
	case replica.CallReturned:
		if then := n.calls[e.ID]; then != nil {
			delete(n.calls, e.ID)
			then(e.Body, e.Err)
		}
	case ProposalDone:
		n.over(e.Err)
	case PlatformAnswered:
		n.over(e.Err)
	}
	n.work()
	return n.out
}

func (n *Controller) over(err error) {
	if then := n.then; then != nil {
		n.then = nil
		then(err)
	}
}

func (n *Controller) log(level slog.Level, line string, args ...any) {
	n.out = append(n.out, replica.Log{Level: level, Message: line, Args: args})
}

func (n *Controller) call(to netip.AddrPort, kind uint8, body []byte, then func(body []byte, err error)) {
	n.id++
	n.calls[n.id] = then
	n.out = append(n.out, replica.SendCall{ID: n.id, To: to, Kind: kind, Body: body, Timeout: limits.ReplicaCallTimeout})
}

var errKind = errors.New("no call of the duties'")

// answer answers another process.
func (n *Controller) answer(kind uint8, body []byte) ([]byte, error) {
	switch kind {
	case CallUsageReport:
		p, err := DecodeReport(body)
		if err != nil {
			return nil, err
		}
		n.book.Take(n.now, p, true)
		word := Ack{TableID: n.Incarnation, Routers: uint64(n.lives())}
		return word.Encode(), nil
	case CallUsageTable:
		r := encoding.Reader{Buf: body}
		from, to := r.Uvarint(), r.Uvarint()
		if err := r.Finish(); err != nil {
			return nil, err
		}
		return n.book.Encode(from, to), nil
	case CallRenewLease, CallCheckCandidacy:
		r := encoding.Reader{Buf: body}
		place, node := r.Uvarint(), r.Fixed64()
		known := voters(n.state.Members)
		if kind == CallRenewLease && len(r.Buf) > 0 { // an earlier program does not say
			known = r.Fixed64()
		}
		if err := r.Finish(); err != nil {
			return nil, err
		}
		if kind == CallRenewLease && n.grant(place, node, known) || kind == CallCheckCandidacy && n.free(place, node) {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	}
	return nil, errKind
}

// lives tells how many lives of routers share what may be sent again, as retrybudget.Share wants it: by one who counts, and only once
// it has heard of all that may have used their parts within a window. At the very first start nobody has. 0 = it does not say.
func (n *Controller) lives() int {
	if _, ok := n.holds(); !ok || n.now-n.fenceAt < n.RouterWindow && !n.first {
		return 0
	}
	return n.book.LiveRouters(n.now, n.RouterWindow)
}

// grant gives the holder more time, if it is that here as well, and counts its majority among the members that are known
// here. A change of members is accepted by a majority of those before it: each of these gives no more grants among them, and
// who is new grants none for a lease. So when a majority of the members that follow can grant a lease, the last one that was
// granted among those before has passed, though the holder and some of them may be cut off and know nothing of the change.
func (n *Controller) grant(place, node, known uint64) bool {
	s := &n.state
	switch {
	case s.FencingToken != place || s.LeaseHolder != node || s.Member(n.Self.ID) == nil || known != voters(s.Members):
		return false
	case n.MembershipPending != nil && n.MembershipPending():
		return false
	}
	return n.grants.Grant(n.now, node)
}

// voters is a hash of who the members are.
func voters(members []replog.Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		h.Write(binary.BigEndian.AppendUint64(nil, m.ID))
	}
	return h.Sum64()
}

// free tells whether no other holder's lease would be in the way of one who wants to follow the newest that is known here.
func (n *Controller) free(place, node uint64) bool {
	return n.state.FencingToken == place && !n.grants.Blocks(n.now, node)
}

// holds tells whether it may call the platform, and for how long: what is on its way must arrive before another may act.
func (n *Controller) holds() (left time.Duration, ok bool) {
	left = n.held.Remaining(n.now) - limits.LeaseCallReserve
	return left, left > 0 && n.state.LeaseHolder == n.Self.ID
}

// tick does what is due twice a second.
func (n *Controller) tick() {
	_, oldest := n.spans()
	n.book.DropBefore(n.now, oldest)
	n.stopped, n.asked = false, n.waits > 0
	s := &n.state
	if s.NextIndex == 0 || s.Member(n.Self.ID) == nil {
		return
	}
	if s.FencingToken != n.fence {
		n.first = n.NeverGranted && n.fence == 0 && s.LeaseHolder == n.Self.ID
		n.fence, n.fenceAt = s.FencingToken, n.now
	}
	if s.LeaseHolder != n.Self.ID {
		n.orders = nil // whoever holds the duties now reckons anew
		n.stand()
		return
	}
	n.extend()
}

// stand has this keeper agreed as the holder, if there is none any more and a majority grants no other a lease. One that was
// agreed lately is given a lease's time to ask for its own: else two who stand in turn would keep each other from it.
//
// The members are asked before the ballot, and not in it: a value that one of them has accepted must be brought to its end
// by whoever comes next, and one that the others must not accept would close the chain for everybody. What keeps two from
// acting is the leases alone.
func (n *Controller) stand() {
	silent := min(n.grants.Idle(n.now), n.now-n.fenceAt)
	if n.then != nil || n.grants.Blocks(n.now, n.Self.ID) || n.state.LeaseHolder != 0 && silent < n.LeaseDuration+n.CandidacyDelay {
		return
	}
	place, self := n.state.FencingToken, n.Self
	value := replog.Entry{Nonce: n.nonce.Uint64(), Payload: replog.LeaseGrant{HolderID: self.ID, HolderName: self.Name}}.Encode()
	n.poll(CallCheckCandidacy, n.free(place, self.ID), func() {
		if n.then != nil || n.state.FencingToken != place {
			return
		}
		n.propose(func(s *replog.State) []byte {
			if s.FencingToken != place || s.LeaseHolder == self.ID {
				return nil
			}
			return value
		}, func(error) {
			if n.state.LeaseHolder == self.ID {
				n.log(slog.LevelInfo, "holds the duties", "fence", n.state.FencingToken)
				n.extend()
			}
		})
	})
}

func (n *Controller) propose(want func(*replog.State) []byte, then func(error)) {
	n.then = then
	n.out = append(n.out, Propose{Next: want, Timeout: limits.OperatorCallTimeout})
}

// extend asks the members for more time, from now on.
func (n *Controller) extend() {
	asked := n.now
	n.poll(CallRenewLease, n.grant(n.state.FencingToken, n.Self.ID, voters(n.state.Members)), func() { n.held.Extend(asked) })
}

// poll asks the members something about this keeper and the newest holder, and does what follows once a majority has said
// yes; own is its own word. What was asked before does not count any more.
func (n *Controller) poll(kind uint8, own bool, then func()) {
	s := &n.state
	w := encoding.Writer{}
	w.Uvarint(s.FencingToken)
	w.Fixed64(n.Self.ID)
	if kind == CallRenewLease {
		w.Fixed64(voters(s.Members))
	}
	n.polls++
	poll, good, need := n.polls, 0, paxos.Majority(len(s.Members))
	yes := func() {
		if good++; good == need && n.polls == poll {
			then()
		}
	}
	for i := range s.Members {
		m := &s.Members[i]
		if m.ID == n.Self.ID {
			if own {
				yes()
			}
			continue
		}
		if to, err := netip.ParseAddrPort(m.Addr); err == nil {
			n.call(to, kind, w.Buf, func(b []byte, err error) {
				if err == nil && len(b) == 1 && b[0] == 1 {
					yes()
				}
			})
		}
	}
}

// work begins the next thing that the holder owes, if nothing is under way.
func (n *Controller) work() {
	if _, ok := n.holds(); !ok || n.then != nil || n.waits > 0 || n.stopped {
		return
	}
	if n.ReportsUsage && n.usage() || !n.ScalesEngines {
		return
	}
	if len(n.orders) == 0 && n.now-n.looked >= limits.AutoscaleInterval {
		n.look()
	}
	n.order()
}

// stop ends what is done until the next tick.
func (n *Controller) stop(line string, args ...any) {
	n.stopped = true
	n.log(slog.LevelWarn, line, args...)
}

// spans are the window from which on usage is not due yet, and the oldest that is sent still.
func (n *Controller) spans() (newest, oldest uint64) {
	return WindowAt(n.wall.Add(-n.UsageDelay*3/10), n.UsageWindow), // over for a while: what was counted last has come
		WindowAt(n.wall.Add(-3*n.UsageDelay-n.UsageWindow), n.UsageWindow) // what the platform has not taken by then nobody sends any more
}

// usage has the figures of windows that are over agreed, and sends them until the platform has taken them. It tells whether
// something is under way.
func (n *Controller) usage() bool {
	newest, oldest := n.spans()
	due := newest - min(newest, 3) // what was heard of windows before that is known here
	for number := oldest; number < newest; number++ {
		if n.sent[number] {
			continue
		}
		if w := n.state.AgreedUsage(number); w != nil {
			n.report(w)
			return true
		}
		if number >= due && !n.asked {
			n.gather(number, newest)
			if n.waits > 0 {
				return true
			}
		}
		counts := SortedCounts(n.book.Sum(number))
		if len(counts) == 0 {
			continue // nothing began in it, as far as anybody knows
		}
		self := n.Self.ID
		value := replog.Entry{Nonce: n.nonce.Uint64(), Payload: replog.UsageReport{Window: number, Counts: counts}}.Encode()
		n.propose(func(s *replog.State) []byte {
			if s.AgreedUsage(number) != nil || s.LeaseHolder != self {
				return nil
			}
			return value
		}, func(err error) { n.stopped = err != nil })
		return true
	}
	return false
}

// report sends a window's figures.
func (n *Controller) report(w *replog.UsageWindow) {
	number, counts := w.Number, map[string]uint64{}
	for _, c := range w.Counts {
		counts[c.Tenant] = c.Requests
	}
	left, _ := n.holds()
	n.then = func(err error) {
		if err != nil {
			n.stop("usage not reported yet", "window", number, "err", err)
			return
		}
		n.sent[number] = true
		for k := range n.sent {
			if k+100 < number {
				delete(n.sent, k)
			}
		}
	}
	n.out = append(n.out, ReportUsage{FencingToken: n.state.FencingToken, Window: number, Counts: counts, Timeout: left})
}

// gather takes in what other keepers have heard of the windows from a number up to before another.
func (n *Controller) gather(from, to uint64) {
	n.asked = true
	w := encoding.Writer{}
	w.Uvarint(from)
	w.Uvarint(to)
	for _, at := range n.Peers() {
		n.waits++
		n.call(at, CallUsageTable, w.Buf, func(b []byte, err error) {
			n.waits--
			if err != nil {
				return
			}
			if err := n.book.Merge(n.now, b); err != nil {
				n.log(slog.LevelWarn, "a keeper's book cannot be read", "from", at.String(), "err", err)
			}
		})
	}
}

// look reckons which engines are wanted, and which of that the platform has not been told.
func (n *Controller) look() {
	loads, lapse := n.book.Loads(n.now), (n.now - n.looked).Seconds()
	n.looked = n.now
	for _, svc := range n.Services() {
		load, before := loads[svc.Name], n.before[svc.Name]
		n.before[svc.Name] = load
		sc := n.scalers[svc.Name]
		if sc == nil {
			sc = &Scaler{AutoscaleTuning: limits.DefaultAutoscaleTuning()}
			n.scalers[svc.Name] = sc
		}
		var zones []string
		for z := range svc.Ready {
			zones = append(zones, z)
		}
		slices.Sort(zones)
		d := Demand{Running: float64(load.Running) / 100, Arrived: max(float64(load.Arrived)-float64(before.Arrived), 0) / lapse, Slots: svc.Slots}
		wanted := sc.Targets(n.now, d, svc.Bounds, zones, svc.Ready)
		for _, z := range zones {
			count, ok := wanted[z]
			last, known := n.ordered[svc.Name+"/"+z]
			if !ok || known && count == last || !known && count == svc.Ready[z] {
				continue
			}
			n.orders = append(n.orders, ScaleEngines{Service: svc.Name, Zone: z, Engines: count, running: int(d.Running)})
		}
	}
}

// order sends the next order.
func (n *Controller) order() {
	if len(n.orders) == 0 {
		return
	}
	o := n.orders[0]
	n.orders = n.orders[1:]
	o.FencingToken = n.state.FencingToken
	o.Timeout, _ = n.holds()
	n.then = func(err error) {
		if err != nil {
			n.log(slog.LevelWarn, "engines not ordered yet", "service", o.Service, "zone", o.Zone, "err", err)
			return
		}
		n.ordered[o.Service+"/"+o.Zone] = o.Engines
		n.log(slog.LevelInfo, "engines ordered", "service", o.Service, "zone", o.Zone, "count", o.Engines, "running", o.running)
	}
	n.out = append(n.out, o)
}
