package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
	"notchhinge/internal/timerqueue"
)

// settleTimeout bounds the changes of membership that a replica makes by itself, and a call to join.
const settleTimeout = limits.OperatorCallTimeout

// Errors of proposals and reads.
var (
	// ErrNotFounded: the group has not been founded yet.
	ErrNotFounded = errors.New("replica: the group has not been founded yet")
	// ErrQuorumUnavailable: no majority has answered by the deadline.
	ErrQuorumUnavailable = errors.New("replica: no majority of the voters has answered in time")
	// ErrInvalidEntry: the entry would be ignored by replicas, and is not proposed.
	ErrInvalidEntry = errors.New("replica: invalid entry")

	errDiskWrite = errors.New("replica: the disk has refused a write")
	errLagging   = errors.New("replica: the log of the caller or of this replica lags behind")
	errGroupFull = errors.New("replica: the group is full, and no voter has failed")
)

// Config is what a replica is started with.
type Config struct {
	Self        replog.Member
	IsFounder   bool   // its disk was empty at the very first start of the fleet
	MinVoters   int    // 2f+1, where f voters may be lost at once; as many found the group
	Incarnation uint64 // drawn anew at each start of the process: no two proposals have the same number
	Seed        uint64 // of the random delays
	State       replog.State
	Acceptor    paxos.AcceptorState // this and State as the disk has them
	// Peers returns the addresses of the other replicas that are known, sorted.
	Peers func() []netip.AddrPort
	// ChosenValue returns the value of an index, if the disk still has it.
	ChosenValue func(index uint64) ([]byte, bool)
}

// Replica is one replica. It is not safe for concurrent use.
type Replica struct {
	Config
	state     replog.State
	acceptor  paxos.Acceptor
	voteWrite WriteID // the write of the newest acceptor state; 0 once it is durable
	term      uint64  // the highest seen
	random    *rand.Rand
	now       time.Duration
	timers    *timerqueue.Queue[func()]

	lastID uint64 // of a call or a write
	calls  map[CallID]replyFunc
	writes map[WriteID]func(durable bool)

	proposals  []*proposal // the first one is under way
	reads      readQueue
	membership membership
	upkeep     upkeep
	founding   founding
	// catchUps holds, for each replica whose state has been requested, what follows its arrival.
	catchUps map[netip.AddrPort][]func()

	committer   netip.Addr // who has sent the last rpc.KindLearn or rpc.KindCommit
	committedAt time.Duration

	log     logger
	effects []Effect
}

// New returns a replica with what its disk has. The first Tick starts it.
func New(c Config) *Replica {
	r := &Replica{
		Config: c, state: c.State, random: rand.New(rand.NewPCG(c.Seed, c.Incarnation)), timers: timerqueue.New[func()](),
		term: c.Acceptor.Promised.Term, calls: map[CallID]replyFunc{}, writes: map[WriteID]func(bool){},
		catchUps: map[netip.AddrPort][]func(){},
	}
	r.log.replica = r
	r.acceptor = paxos.Acceptor{State: c.Acceptor, ChosenValue: c.ChosenValue}
	r.membership.suspects = map[netip.AddrPort]suspicion{}
	r.alignAcceptor()
	r.timers.Add(0, r.startUpkeep)
	return r
}

// State returns the state that this replica knows.
func (r *Replica) State() replog.State { return r.state }

// AcceptorState returns what the acceptor has promised and accepted, whether the disk has it or not.
func (r *Replica) AcceptorState() paxos.AcceptorState { return r.acceptor.State }

// NextTimer returns when a Tick is due.
func (r *Replica) NextTimer() (at time.Duration, ok bool) { return r.timers.NextDue() }

// Reduce handles an event, and whatever is due by now. The effects are valid until the next call; see the package's
// documentation for the order in which the owner performs them.
func (r *Replica) Reduce(now time.Duration, event Event) []Effect {
	r.now = max(r.now, now)
	clear(r.effects)
	r.effects = r.effects[:0]
	r.handle(event)
	for timer, ok := r.timers.PopDue(r.now); ok; timer, ok = r.timers.PopDue(r.now) {
		timer()
	}
	return r.effects
}

func (r *Replica) handle(event Event) {
	switch e := event.(type) {
	case Tick:
	case CallReceived:
		r.receiveCall(e)
	case CallReturned:
		if done := r.calls[e.ID]; done != nil {
			delete(r.calls, e.ID)
			done(e.Body, e.Err)
		}
	case WriteDone:
		if done := r.writes[e.ID]; done != nil {
			delete(r.writes, e.ID)
			done(e.Durable)
		}
	case ReplaceConfig:
		r.replaceConfig(e)
	case ReadConfig:
		r.readConfig(e)
	case ReadHistory:
		r.readHistory(e)
	case RemoveMember:
		r.removeMember(e)
	case Leave:
		r.leave(e)
	case Propose:
		r.propose(e.Next, e.Deadline, func(err error) { r.emit(ProposeDone{e.Request, err}) })
	}
}

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

// after runs a function once a time has passed.
func (r *Replica) after(d time.Duration, f func()) { r.timers.Add(r.now+d, f) }

// at runs a function at a deadline, or as soon as possible if that has passed.
func (r *Replica) at(deadline time.Duration, f func()) timerqueue.Key {
	return r.timers.Add(max(deadline, r.now+1), f)
}

// jitter draws a duration in [from, to).
func (r *Replica) jitter(from, to time.Duration) time.Duration {
	return from + time.Duration(r.random.Int64N(int64(to-from)))
}

// write emits a Write; done is called once it is durable or refused, and may be nil.
func (r *Replica) write(w Write, done func(durable bool)) WriteID {
	r.lastID++
	w.ID, w.Acceptor = WriteID(r.lastID), r.acceptor.State
	if w.State == nil {
		state := r.state
		w.State = &state
	}
	if done != nil {
		r.writes[w.ID] = done
	}
	r.emit(w)
	return w.ID
}

// identity returns the answer to an rpc.KindIdentity.
func (r *Replica) identity() identity {
	return identity{Member: r.Self, nextIndex: r.state.NextIndex, isFounder: r.IsFounder}
}

// isVoter tells whether this replica is a voter, as far as it knows; otherwise it is a learner.
func (r *Replica) isVoter() bool { return r.state.Member(r.Self.ID) != nil }

// peerVoters returns the addresses of the other voters, in the order of the membership.
func (r *Replica) peerVoters() (peers []netip.AddrPort) {
	for i := range r.state.Members {
		m := &r.state.Members[i]
		if to, ok := memberAddr(m); ok && m.ID != r.Self.ID {
			peers = append(peers, to)
		}
	}
	return peers
}

// memberAddr returns where a member takes calls; false if its address cannot be parsed.
func memberAddr(m *replog.Member) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(m.Addr)
	return addr, err == nil
}

// memberID formats the id of a member for the log.
func memberID(id uint64) string { return fmt.Sprintf("%016x", id) }

// logger makes log records effects.
type logger struct{ replica *Replica }

func (l logger) Info(message string, args ...any) {
	l.replica.emit(Log{slog.LevelInfo, message, args})
}

func (l logger) Warn(message string, args ...any) {
	l.replica.emit(Log{slog.LevelWarn, message, args})
}
