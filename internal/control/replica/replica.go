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

// membershipChangeTimeout bounds the membership changes that a replica starts by itself or for a joining learner.
const membershipChangeTimeout = limits.OperatorCallTimeout

// Errors of proposals and reads.
var (
	// ErrNotFounded means that the group has not been founded yet.
	ErrNotFounded = errors.New("replica: the group has not been founded yet")
	// ErrQuorumUnavailable means that no majority of the voters answered before the deadline.
	ErrQuorumUnavailable = errors.New("replica: no majority of the voters has answered in time")
	// ErrInvalidEntry means that replicas would ignore the entry; it is not proposed.
	ErrInvalidEntry = errors.New("replica: invalid entry")

	errDiskWrite = errors.New("replica: the disk has refused a write")
	errLagging   = errors.New("replica: the log of the caller or of this replica lags behind")
	errGroupFull = errors.New("replica: the group is full, and no voter has failed")
)

// Config holds the identity, the settings and the stored state that a replica starts with.
type Config struct {
	Self        replog.Member
	IsFounder   bool   // the disk was empty when the fleet started for the first time
	MinVoters   int    // 2f+1, to tolerate the loss of f voters; also the minimum number of founders
	Incarnation uint64 // random for each start of the process, so that proposal numbers are unique
	Seed        uint64 // seed of the random delays
	State       replog.State
	Acceptor    paxos.AcceptorState // State and Acceptor are read from the disk
	// Peers returns the addresses of the other known replicas, sorted.
	Peers func() []netip.AddrPort
	// ChosenValue returns the value chosen for an index; false if the disk no longer has it.
	ChosenValue func(index uint64) ([]byte, bool)
}

// Replica is one replica of the group. It is not safe for concurrent use.
type Replica struct {
	Config
	state            replog.State
	acceptor         paxos.Acceptor
	pendingVoteWrite WriteID // the write of the latest acceptor state; 0 once the write is durable
	term             uint64  // highest proposal term seen
	random           *rand.Rand
	now              time.Duration
	timers           *timerqueue.Queue[func()]

	lastID uint64 // the last CallID or WriteID assigned
	calls  map[CallID]replyFunc
	writes map[WriteID]func(durable bool)

	proposals  []*proposal // the first one is in progress
	reads      readQueue
	membership membership
	upkeep     upkeep
	founding   founding
	// catchUpWaiters holds the callbacks that wait for the snapshot of each replica.
	catchUpWaiters map[netip.AddrPort][]func()

	lastAnnouncer      netip.Addr // sender of the last rpc.KindLearn or rpc.KindCommit
	lastAnnouncementAt time.Duration

	log     logger
	effects []Effect
}

// New returns a replica that continues from the stored state in c. The first Tick starts it.
func New(c Config) *Replica {
	r := &Replica{
		Config: c, state: c.State, random: rand.New(rand.NewPCG(c.Seed, c.Incarnation)), timers: timerqueue.New[func()](),
		term: c.Acceptor.Promised.Term, calls: map[CallID]replyFunc{}, writes: map[WriteID]func(bool){},
		catchUpWaiters: map[netip.AddrPort][]func(){},
	}
	r.log.replica = r
	r.acceptor = paxos.Acceptor{State: c.Acceptor, ChosenValue: c.ChosenValue}
	r.membership.suspects = map[netip.AddrPort]suspicion{}
	r.alignAcceptor()
	r.timers.Add(0, r.startUpkeep)
	return r
}

// State returns the current state of this replica.
func (r *Replica) State() replog.State { return r.state }

// AcceptorState returns what the acceptor has promised and accepted, including changes that are not durable yet.
func (r *Replica) AcceptorState() paxos.AcceptorState { return r.acceptor.State }

// NextTimer returns the time when the next Tick is due; false if no timer is set.
func (r *Replica) NextTimer() (at time.Duration, ok bool) { return r.timers.NextDue() }

// Reduce handles an event and every timer that is due. The effects are valid until the next call. The package
// documentation describes the order in which the owner performs them.
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

// runAfter schedules a function after a delay.
func (r *Replica) runAfter(d time.Duration, f func()) { r.timers.Add(r.now+d, f) }

// runAt schedules a function at a deadline, or as soon as possible if the deadline has passed.
func (r *Replica) runAt(deadline time.Duration, f func()) timerqueue.Key {
	return r.timers.Add(max(deadline, r.now+1), f)
}

// jitter returns a random duration in [from, to).
func (r *Replica) jitter(from, to time.Duration) time.Duration {
	return from + time.Duration(r.random.Int64N(int64(to-from)))
}

// write emits a Write. done is called with the result of the write; it may be nil.
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

// identity returns the identity of this replica, the answer to an rpc.KindIdentity.
func (r *Replica) identity() identity {
	return identity{Member: r.Self, nextIndex: r.state.NextIndex, isFounder: r.IsFounder}
}

// isVoter reports whether this replica is a voter in its own state. Otherwise it is a learner.
func (r *Replica) isVoter() bool { return r.state.Member(r.Self.ID) != nil }

// peerVoters returns the addresses of the other voters, in membership order.
func (r *Replica) peerVoters() (peers []netip.AddrPort) {
	for i := range r.state.Members {
		m := &r.state.Members[i]
		if to, ok := memberAddr(m); ok && m.ID != r.Self.ID {
			peers = append(peers, to)
		}
	}
	return peers
}

// memberAddr returns the address at which a member takes calls; false if it cannot be parsed.
func memberAddr(m *replog.Member) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(m.Addr)
	return addr, err == nil
}

// formatMemberID formats a member ID for the log.
func formatMemberID(id uint64) string { return fmt.Sprintf("%016x", id) }

// logger emits log records as Log effects.
type logger struct{ replica *Replica }

func (l logger) Info(message string, args ...any) {
	l.replica.emit(Log{slog.LevelInfo, message, args})
}

func (l logger) Warn(message string, args ...any) {
	l.replica.emit(Log{slog.LevelWarn, message, args})
}
