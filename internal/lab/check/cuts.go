package check

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/limits"
	"notchhinge/internal/timerqueue"
)

// site is replicas as the program has them (replica.Replica, and singleton.Controller in walks of leases) in simulated time, with
// links that delay and are cut one way or both for about 20 s, processes that are killed at any write and start anew with their
// disks, and disks that are lost. Nothing reads a clock: a seed's walk is the same everywhere.
type site struct {
	draw   func(n int) int
	now    time.Duration
	due    *timerqueue.Queue[func()]
	hosts  []*host
	blind  map[[2]int]bool // who does not hear whom: from, to
	broken string          // a rule that is broken on purpose; "" = none
	ids    uint64
	found  string // the first broken rule
	calm   bool   // nothing is killed or lost any more

	closed        bool // nobody becomes a member by its own request
	hasSingletons bool // each host has a part in the singleton roles
	platform      platform
}

// host is a machine with a keeper on it.
type host struct {
	s         *site
	i         int
	id        uint64 // of its disk
	up        bool
	life      int
	core      *replica.Replica
	state     replog.State // as the disk has it
	vote      paxos.AcceptorState
	places    map[uint64][]byte
	wake      time.Duration
	singleton *singletonHost // nil where it has no part in the singleton roles, or does not run

	// What waits for the effects that answer events of this life.
	calls     replica.Pending[func(body []byte, err error)]
	answers   replica.Pending[func(api.Result)]
	proposals replica.Pending[func(error)]
}

var errAway = errors.New("no answer")

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
}

// newSite starts so many keepers that have founded a core, and further ones that may be taken in.
func newSite(draw func(n int) int, n, further int, broken string) *site {
	s := &site{draw: draw, due: timerqueue.New[func()](), blind: map[[2]int]bool{}, broken: broken, ids: 1, now: time.Hour}
	s.closed, s.hasSingletons = further > 0, further > 0
	var all []replog.Member
	for i := range n + further {
		h := &host{s: s, i: i}
		h.format()
		s.hosts = append(s.hosts, h)
		all = append(all, h.member())
	}
	for _, h := range s.hosts {
		h.state.Apply(replog.Entry{Payload: replog.MembersChange{Members: all[:n]}}.Encode())
		h.start()
	}
	return s
}

func (s *site) in(d time.Duration, do func()) { s.due.Add(s.now+d, do) }

// run plays for a time, or until a rule is broken.
func (s *site) run(d time.Duration) {
	until := s.now + d
	for at, ok := s.due.NextDue(); ok && at <= until && s.found == ""; at, ok = s.due.NextDue() {
		s.now = at
		do, _ := s.due.PopDue(at)
		do()
	}
	s.now = until
}

func (s *site) breaks(says string, args ...any) {
	if s.found == "" {
		s.found = fmt.Sprintf(says, args...)
	}
}

// cut has a side of the machines not be heard by the others, or not hear them, or neither, for a time.
func (s *site) cut(side int, how int, length time.Duration) {
	var lines [][2]int
	for a := range s.hosts {
		for b := range s.hosts {
			if from, to := side>>a&1, side>>b&1; from != to && (how == 0 || how == 1 && from == 1 || how == 2 && to == 1) {
				lines = append(lines, [2]int{a, b})
				s.blind[[2]int{a, b}] = true
			}
		}
	}
	s.in(length, func() {
		for _, l := range lines {
			delete(s.blind, l)
		}
	})
}

// heal ends every cut, starts whatever does not run, and has nothing happen any more.
func (s *site) heal() {
	clear(s.blind)
	s.calm = true
	for _, h := range s.hosts {
		if !h.up {
			h.start()
		}
	}
}

// newest is the state that has come furthest on any machine.
func (s *site) newest() *replog.State {
	best := s.hosts[0].known()
	for _, h := range s.hosts {
		if x := h.known(); x.NextIndex > best.NextIndex {
			best = x
		}
	}
	return best
}

// spare tells whether one more disk may be lost: as many as the core is to bear, until others have been taken in for them and
// every machine knows that. Who is only behind or away is not lost.
func (s *site) spare() bool {
	for _, at := range s.hosts {
		gone := 0
		for _, m := range at.known().Members {
			if !slices.ContainsFunc(s.hosts, func(h *host) bool { return h.id == m.ID }) {
				gone++
			}
		}
		if gone >= (len(s.hosts)-1)/2 {
			return false
		}
	}
	return true
}

// known is the state that a machine has come to.
func (h *host) known() *replog.State {
	if h.up {
		x := h.core.State()
		return &x
	}
	return &h.state
}

// format gives a machine an empty disk.
func (h *host) format() {
	h.s.ids++
	h.id = h.s.ids
	h.state, h.vote, h.places = replog.State{}, paxos.AcceptorState{}, map[uint64][]byte{}
}

func (h *host) member() replog.Member {
	return replog.Member{ID: h.id, Name: fmt.Sprint("k-", h.i), Addr: hostAddr(h.i).String()}
}

// start starts the process with what its disk has.
func (h *host) start() {
	s := h.s
	h.up, h.wake = true, 0
	h.calls, h.answers = replica.Pending[func([]byte, error)]{}, replica.Pending[func(api.Result)]{}
	h.proposals = replica.Pending[func(error)]{}
	h.life++
	s.ids++
	var others []netip.AddrPort
	for _, o := range s.hosts {
		if o != h {
			others = append(others, hostAddr(o.i))
		}
	}
	h.core = replica.New(replica.Config{
		Self: h.member(), MinVoters: len(s.hosts), Incarnation: s.ids, Seed: uint64(s.draw(1 << 30)), State: h.state, Acceptor: h.vote,
		Peers:       func() []netip.AddrPort { return others },
		ChosenValue: func(place uint64) ([]byte, bool) { v, ok := h.places[place]; return v, ok },
	})
	if h.singleton = nil; s.hasSingletons {
		h.startSingleton(others)
	}
	h.plan()
}

// die ends the process.
func (h *host) die() {
	h.up, h.core, h.singleton = false, nil, nil
	h.life++
}

// kill ends the process for a time.
func (h *host) kill(length time.Duration) {
	if h.s.calm {
		return
	}
	h.die()
	life := h.life
	h.s.in(length, func() {
		if h.life == life {
			h.start()
		}
	})
}

// take has the process take an event.
func (h *host) take(e replica.Event) {
	if !h.up {
		return
	}
	if c, ok := e.(replica.CallReceived); ok && rpc.Lookup(c.Kind).Owner == rpc.OwnerSingleton {
		if h.singleton == nil {
			return
		}
		reply := h.singleton.reduce(singleton.CallReceived{Kind: c.Kind, Body: c.Body})
		if done, ok := h.calls.Take(c.Request); ok {
			done(reply.Body, reply.Err)
		}
		return
	}
	h.perform(h.core.Reduce(h.s.now, e))
	h.plan()
}

// plan has the process woken when it wants to be.
func (h *host) plan() {
	if !h.up {
		return
	}
	next, ok := h.core.NextTimer()
	if next = max(next, h.s.now+time.Millisecond); !ok || h.wake > h.s.now && h.wake <= next {
		return
	}
	h.wake = next
	life := h.life
	h.s.in(next-h.s.now, func() {
		if h.life == life && h.wake == next {
			h.wake = 0
			h.take(replica.Tick{})
		}
	})
}

// perform does what follows, in order, as a keeper does; the process may be killed as it writes.
func (h *host) perform(effects []replica.Effect) {
	s, life := h.s, h.life
	for effects = append([]replica.Effect(nil), effects...); len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case replica.Write:
			dies := s.draw(1500)
			if s.calm {
				dies = 2
			}
			if dies != 1 {
				h.keep(&f)
			}
			if dies < 2 { // before it is durable, or right after
				h.kill(time.Duration(50+s.draw(3000)) * time.Millisecond)
				return
			}
			effects = append(effects, h.core.Reduce(s.now, replica.WriteDone{ID: f.ID, Durable: true})...)
		case replica.SendCall:
			s.call(h, f, func(body []byte, err error) {
				if h.life == life {
					h.take(replica.CallReturned{ID: f.ID, Body: body, Err: err})
				}
			})
		case replica.SendReply:
			if reply, ok := h.calls.Take(f.Request); ok {
				reply(f.Body, f.Err)
			}
		case replica.OperatorAnswer:
			if answer, ok := h.answers.Take(f.Request); ok {
				answer(f.Result)
			}
		case replica.ProposeDone:
			if done, ok := h.proposals.Take(f.Request); ok {
				s.in(0, func() { done(f.Err) })
			}
		}
		if h.life != life {
			return
		}
	}
}

// keep makes a write durable.
func (h *host) keep(f *replica.Write) {
	switch {
	case f.Snapshot:
		h.state = *f.State
		h.places = map[uint64][]byte{}
	case f.Value != nil:
		h.state = *f.State
		h.places = maps.Clone(h.places)
		h.places[f.State.NextIndex-1] = f.Value
		delete(h.places, f.State.NextIndex-33)
	default:
		h.vote = f.Acceptor
	}
}

// call carries a call there, and its answer back.
func (s *site) call(from *host, c replica.SendCall, then func(body []byte, err error)) {
	if s.broken == brokenRenewal && c.Kind == rpc.KindRenewLease {
		c.Body = c.Body[:len(c.Body)-8] // as an earlier program asks
	}
	over := false
	back := func(body []byte, err error) {
		if !over {
			over = true
			then(body, err)
		}
	}
	s.in(c.Timeout, func() { back(nil, errAway) })
	to := s.hosts[c.To.Addr().As4()[3]]
	if s.closed && c.Kind == rpc.KindJoin {
		return
	}
	way := func(a, b *host, do func()) {
		if !s.blind[[2]int{a.i, b.i}] && s.draw(60) > 0 {
			s.in(time.Duration(500+s.draw(3000))*time.Microsecond, do)
		}
	}
	way(from, to, func() {
		id := to.calls.Add(func(body []byte, err error) {
			const noVote, known = byte(paxos.VerdictNotVoter), byte(paxos.VerdictReported)
			if s.broken == brokenVoterCount && c.Kind == rpc.KindPaxos && len(body) > 0 && body[0] == noVote && c.Body[0] == byte(paxos.KindQuery) {
				body = append([]byte{known}, body[1:]...)
			}
			way(to, from, func() { back(body, err) })
		})
		to.take(replica.CallReceived{Kind: c.Kind, Body: c.Body, From: hostAddr(from.i).Addr(), Request: id})
	})
}

// Lengths of the cuts and the stops of a life.
const (
	maxCut          = 20 * time.Second
	operatorTimeout = time.Second // for an answer to an operator
	within          = limits.OperatorCallTimeout
)
