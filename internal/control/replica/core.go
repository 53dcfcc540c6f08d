// Package replica owns a keeper's part in the state that the fleet agrees on: it votes, proposes, finds out what others have
// chosen, founds the core at the first start, has members taken in and out, and answers what operators ask of the state. It
// is a reducer: given a clock, a seed and what its effects have come to, the same events have the same effects. Calls to
// others, the disk and the log are its owner's; what it says to others leaves only once the disk has what must be on it.
package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
	"notchhinge/internal/timerqueue"
)

// Event is something that happened.
type Event any

type (
	// CallReceived: another process calls; a Reply comes back with Of. From is where it called from.
	CallReceived struct {
		Kind uint8
		Body []byte
		From netip.Addr
		Of   any
	}
	// CallReturned: a Call has come back, or has not in its time.
	CallReturned struct {
		ID   uint64
		Body []byte
		Err  error
	}
	// WriteDone: a Write is durable, or the disk has refused it.
	WriteDone struct {
		ID      uint64
		Durable bool
	}
	// Tick: something may be due.
	Tick struct{}
	// ReplaceConfig, Get, History and Dismiss are the operator's; Answered comes back with Of, until a time.
	ReplaceConfig struct {
		BaseRevision uint64
		Config       []byte
		Of           any
		Until        time.Duration
	}
	ReadConfig struct {
		Of      any
		Until   time.Duration
		Passive bool // not answered while something is open that only a ballot could decide
	}
	ReadHistory struct {
		Of    any
		Until time.Duration
	}
	RemoveMember struct {
		Name  string
		Of    any
		Until time.Duration
	}
	// Leave: the process will end. Left comes back with Of once this keeper has handed over, at a time at the latest.
	Leave struct {
		Of    any
		Until time.Duration
	}
	// Propose has what Want returns chosen, until it returns nil, having been given the newest state that is known here.
	// Proposed comes back with Of, until a time.
	Propose struct {
		Next  func(*replog.State) []byte
		Of    any
		Until time.Duration
	}
)

// Effect is something to be done.
type Effect any

type (
	// SendCall another process; Returned comes back with ID, within a time.
	SendCall struct {
		ID      uint64
		To      netip.AddrPort
		Kind    uint8
		Body    []byte
		Timeout time.Duration
	}
	// SendReply to one that has Called.
	SendReply struct {
		Of   any
		Body []byte
		Err  error
	}
	// Write to the disk, synced, in the order of effects; Wrote comes back with ID before any other event. With Whole it is the
	// state in place of all before it; else with Value what was chosen, which has led to State; else the vote. After a
	// write that has failed the disk is told all again, for which State and Vote are what stands.
	Write struct {
		ID       uint64
		Snapshot bool
		Value    []byte
		State    *replog.State
		Acceptor paxos.AcceptorState
	}
	// OperatorAnswer answers the operator.
	OperatorAnswer struct {
		Of any
		api.Result
	}
	// Proposed: what was wanted is settled, or could not be.
	Proposed struct {
		Of  any
		Err error
	}
	// Left: nothing depends on this keeper any more, or its time is over.
	Left struct{ Of any }
	// StateChanged: the state is another.
	StateChanged struct{ State replog.State }
	// Log a line.
	Log struct {
		Level   slog.Level
		Message string
		Args    []any
	}
)

// Errors of proposals.
var (
	ErrNotFounded        = errors.New("no core has been founded yet")
	ErrQuorumUnavailable = errors.New("it could not be settled in time")
	errDisk              = errors.New("the disk does not take what is written")
	errBehind            = errors.New("it has not caught up")
	errKind              = errors.New("no call of the state's")
)

// Config is what a keeper is told.
type Config struct {
	Self        replog.Member
	IsFounder   bool // its disk was empty at the system's very first start
	MinVoters   int  // founders at the least
	Incarnation uint64
	Seed        uint64
	State       replog.State // as its disk has it
	Acceptor    paxos.AcceptorState
	// Peers are the keepers that are known, itself not among them.
	Peers func() []netip.AddrPort
	// ChosenValue returns the value of a place that the disk still has.
	ChosenValue func(place uint64) ([]byte, bool)
}

// Replica is a keeper's part. It is not safe for concurrent use.
type Replica struct {
	Config
	state   replog.State
	acc     paxos.Acceptor
	voting  uint64 // the write of the newest vote; 0 = it is on the disk
	round   uint64 // the highest seen
	rnd     *rand.Rand
	now     time.Duration
	timers  *timerqueue.Queue[func()]
	calls   map[uint64]func(body []byte, err error)
	writes  map[uint64]func(ok bool)
	id      uint64
	queue   []*proposal // the first one is being proposed
	tend    tending
	members membership
	reads   reads
	// catching are those who wait for another's state that is on its way.
	catching map[netip.AddrPort][]func()
	teller   netip.Addr // who has told last what was chosen
	toldAt   time.Duration
	log      logger
	out      []Effect
}

// New returns a keeper's part with what its disk has.
func New(c Config) *Replica {
	n := &Replica{
		Config: c, state: c.State, rnd: rand.New(rand.NewPCG(c.Seed, c.Incarnation)), timers: timerqueue.New[func()](), round: c.Acceptor.Promised.Term,
		calls: map[uint64]func([]byte, error){}, writes: map[uint64]func(bool){},
	}
	n.log.n = n
	n.acc = paxos.Acceptor{State: c.Acceptor, ChosenValue: c.ChosenValue}
	n.members.silent, n.catching = map[netip.AddrPort]silence{}, map[netip.AddrPort][]func(){}
	n.follow()
	n.timers.Add(0, n.startTending)
	return n
}

// State returns the state as it is known here.
func (n *Replica) State() replog.State { return n.state }

// AcceptorState returns the vote as it stands.
func (n *Replica) AcceptorState() paxos.AcceptorState { return n.acc.State }

// NextTimer tells when the node wants a Tick.
func (n *Replica) NextTimer() (at time.Duration, ok bool) { return n.timers.NextDue() }

// Reduce takes an event in. The effects are valid until the next call.
func (n *Replica) Reduce(now time.Duration, e Event) []Effect {
	n.now = max(n.now, now)
	clear(n.out)
	n.out = n.out[:0]
	switch e := e.(type) {
	case CallReceived:
		n.called(e)
	case CallReturned:
		if f := n.calls[e.ID]; f != nil {
			delete(n.calls, e.ID)
			f(e.Body, e.Err)
		}
	case WriteDone:
		if f := n.writes[e.ID]; f != nil {
			delete(n.writes, e.ID)
			f(e.Durable)
		}
	case ReplaceConfig:
		n.put(e)
	case ReadConfig:
		n.get(e)
	case ReadHistory:
		n.history(e)
	case RemoveMember:
		n.dismiss(e)
	case Leave:
		n.leave(e)
	case Propose:
		n.propose(e.Next, e.Until, func(err error) { n.do(Proposed{e.Of, err}) })
	}
	for f, ok := n.timers.PopDue(n.now); ok; f, ok = n.timers.PopDue(n.now) {
		f()
	}
	return n.out
}

func (n *Replica) do(e Effect) { n.out = append(n.out, e) }

// after has something done later.
func (n *Replica) after(d time.Duration, f func()) { n.timers.Add(n.now+d, f) }

// call calls another process.
func (n *Replica) call(to netip.AddrPort, kind uint8, body []byte, within time.Duration, then func(body []byte, err error)) {
	n.id++
	sent := n.now
	n.calls[n.id] = func(body []byte, err error) {
		if n.heard(to, sent, err); then != nil {
			then(body, err)
		}
	}
	n.do(SendCall{n.id, to, kind, body, within})
}

// write has something written, and goes on once it is durable or refused.
func (n *Replica) write(w Write, then func(ok bool)) {
	n.id++
	w.ID, w.Acceptor = n.id, n.acc.State
	state := n.state
	if w.State == nil {
		w.State = &state
	}
	if then != nil {
		n.writes[n.id] = then
	}
	n.do(w)
}

// logger makes lines effects.
type logger struct{ n *Replica }

func (l logger) Info(line string, args ...any) { l.n.do(Log{slog.LevelInfo, line, args}) }
func (l logger) Warn(line string, args ...any) { l.n.do(Log{slog.LevelWarn, line, args}) }

// called does what another process calls for.
func (n *Replica) called(c CallReceived) {
	reply := func(body []byte, err error) { n.do(SendReply{c.Of, body, err}) }
	switch c.Kind {
	case CallPaxos:
		a, err := decodeAsk(c.Body)
		if err != nil {
			reply(nil, err)
			return
		}
		n.vote(a, func(ans paxos.Response, err error) {
			if err != nil {
				reply(nil, err)
				return
			}
			reply(encodeAnswer(&ans), nil)
		})
	case CallLearn:
		place, value, err := DecodeIndexed(c.Body)
		if reply(nil, err); err == nil {
			n.told(c.From, place, value)
		}
	case CallCommit:
		place, number, err := decodeChosen(c.Body)
		if reply(nil, err); err == nil {
			n.chosen(c.From, place, number)
		}
	case CallSnapshot:
		place, reads, err := DecodeIndexed(c.Body)
		if err != nil || n.state.NextIndex <= place {
			reply(nil, err)
			return
		}
		newest := byte(1) // an earlier program says nothing of formats
		if len(reads) > 0 {
			newest = reads[0]
		}
		reply(n.state.EncodeAs(newest), nil)
	case CallReachable:
		n.hears(c.Body, reply)
	case CallIdentity:
		i := identity{n.Self, n.state.NextIndex, n.IsFounder}
		reply(i.encode(), nil)
	case CallJoin:
		i, err := decodeIdentity(c.Body)
		if err != nil {
			reply(nil, err)
			return
		}
		if to, ok := n.proposer(&i, c.From); ok {
			n.call(to, CallJoin, c.Body, settleWithin, reply)
			return
		}
		n.admit(i, func(err error) {
			if errors.Is(err, errFull) { // an answer, so that who asks knows that it is heard
				reply([]byte{joinFull}, nil)
				return
			}
			reply(nil, err)
		})
	default:
		reply(nil, errKind)
	}
}

// follow brings the acceptor up to the state.
func (n *Replica) follow() {
	n.acc.NextIndex = n.state.NextIndex
	if n.state.NextIndex == 0 {
		n.acc.IsVoter = n.IsFounder
	} else {
		n.acc.IsVoter = n.state.Member(n.Self.ID) != nil
	}
}

// vote answers an Ask, once what it says is on the disk. An error is no answer: the disk did not take it.
func (n *Replica) vote(a paxos.Request, then func(paxos.Response, error)) {
	n.round = max(n.round, a.Number.Term)
	ans, write := n.acc.Handle(a)
	if !write && (n.voting == 0 || ans.Verdict != paxos.VerdictGranted) {
		then(ans, nil)
		return
	}
	n.write(Write{}, nil)
	id := n.id
	n.voting = id
	n.writes[id] = func(ok bool) {
		if !ok {
			then(paxos.Response{}, errDisk)
			return
		}
		if n.voting == id {
			n.voting = 0
		}
		if a.Kind == paxos.KindAccept {
			n.accepted(a.Index)
		}
		then(ans, nil)
	}
}

// learn takes the value that was chosen for a place, if that is the next.
func (n *Replica) learn(place uint64, value []byte) bool {
	if place != n.state.NextIndex {
		return place < n.state.NextIndex
	}
	before := n.state.Members
	n.state.Apply(value)
	n.follow()
	if !slices.Equal(before, n.state.Members) {
		n.votersChanged()
	}
	// Should this fail, it is chosen all the same, and is written with the next write that does not.
	n.write(Write{Value: value}, nil)
	n.do(StateChanged{n.state})
	return true
}

// replace takes another's state, if it has come further, once it is on the disk.
func (n *Replica) replace(s *replog.State, then func()) {
	if s.NextIndex <= n.state.NextIndex {
		then()
		return
	}
	n.write(Write{Snapshot: true, State: s}, func(ok bool) {
		if ok && s.NextIndex > n.state.NextIndex {
			before := n.state.Members
			n.state = *s
			n.follow()
			if !slices.Equal(before, s.Members) {
				n.votersChanged()
			}
			n.do(StateChanged{n.state})
		}
		then()
	})
}

// catchUp takes the state of another, if it has come further. One is asked once at a time, whoever wants it: a state may be large.
func (n *Replica) catchUp(from netip.AddrPort, then func()) {
	waiting, asked := n.catching[from]
	if n.catching[from] = append(waiting, then); asked {
		return
	}
	then = func() {
		all := n.catching[from]
		delete(n.catching, from)
		for _, f := range all {
			f()
		}
	}
	n.call(from, CallSnapshot, EncodeIndexed(n.state.NextIndex, []byte{replog.StateVersion}), 2*limits.ReplicaCallTimeout, func(body []byte, err error) {
		if err != nil || len(body) == 0 {
			then()
			return
		}
		s, err := replog.DecodeState(body)
		if err != nil {
			then()
			return
		}
		before := n.state.NextIndex
		n.replace(s, func() {
			if n.state.NextIndex > before {
				n.log.Info("caught up", "from", from.String(), "next_place", n.state.NextIndex, "revision", n.state.Revision)
			}
			then()
		})
	})
}

// told takes in a value for the next place, or only word that there is more.
func (n *Replica) told(from netip.Addr, place uint64, value []byte) {
	n.teller, n.toldAt = from, n.now
	if len(value) > 0 && n.learn(place, value) {
		return
	}
	for _, to := range n.Peers() {
		if to.Addr() == from {
			n.catchUp(to, func() {})
			return
		}
	}
}

// chosen takes in that what was accepted here for a place, under a number, was chosen.
func (n *Replica) chosen(from netip.Addr, place uint64, number paxos.ProposalNumber) {
	if place < n.state.NextIndex {
		return
	}
	var value []byte
	if v := &n.acc.State; v.Index == place && v.Accepted == number {
		value = v.Value
	}
	n.told(from, place, value)
}

// addr is where a member takes calls; false = it says nothing that can be read.
func addr(m *replog.Member) (netip.AddrPort, bool) {
	to, err := netip.ParseAddrPort(m.Addr)
	return to, err == nil
}

// member names a member in the log.
func member(id uint64) string { return fmt.Sprintf("%016x", id) }
