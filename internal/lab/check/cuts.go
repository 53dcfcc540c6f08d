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

// replicaCluster is replicas as the program has them (replica.Replica, and singleton.Controller in walks of leases) in simulated time, with
// links that delay and are cut one way or both for about 20 s, processes that are killed at any write and start anew with their
// disks, and disks that are lost. Nothing reads a clock: a seed's walk is the same everywhere.
type replicaCluster struct {
	draw       func(n int) int
	now        time.Duration
	timers     *timerqueue.Queue[func()]
	hosts      []*host
	blocked    map[[2]int]bool // who does not hear whom: from, to
	brokenRule string          // a rule that is broken on purpose; "" = none
	lastID     uint64
	violation  string // the first broken rule
	noFaults   bool   // nothing is killed or lost any more

	rejectsJoins  bool // nobody becomes a member by its own request
	hasSingletons bool // each host has a part in the singleton roles
	platform      fencedPlatform
}

// host is a machine with a keeper on it.
type host struct {
	s          *replicaCluster
	i          int
	id         uint64 // of its disk
	isUp       bool
	generation int
	replica    *replica.Replica
	state      replog.State // as the disk has it
	acceptor   paxos.AcceptorState
	chosen     map[uint64][]byte
	wakeAt     time.Duration
	singleton  *singletonHost // nil where it has no part in the singleton roles, or does not run

	// What waits for the effects that answer events of this life.
	calls     replica.Pending[func(body []byte, err error)]
	answers   replica.Pending[func(api.Result)]
	proposals replica.Pending[func(error)]
}

var errNoResponse = errors.New("no answer")

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
}

// newReplicaCluster starts so many keepers that have founded a core, and further ones that may be taken in.
func newReplicaCluster(draw func(n int) int, n, further int, broken string) *replicaCluster {
	s := &replicaCluster{draw: draw, timers: timerqueue.New[func()](), blocked: map[[2]int]bool{}, brokenRule: broken, lastID: 1, now: time.Hour}
	s.rejectsJoins, s.hasSingletons = further > 0, further > 0
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

func (s *replicaCluster) after(d time.Duration, do func()) { s.timers.Add(s.now+d, do) }

// run plays for a time, or until a rule is broken.
func (s *replicaCluster) run(d time.Duration) {
	until := s.now + d
	for at, ok := s.timers.NextDue(); ok && at <= until && s.violation == ""; at, ok = s.timers.NextDue() {
		s.now = at
		do, _ := s.timers.PopDue(at)
		do()
	}
	s.now = until
}

func (s *replicaCluster) violate(says string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(says, args...)
	}
}

// partition has a side of the machines not be heard by the others, or not hear them, or neither, for a time.
func (s *replicaCluster) partition(side int, how int, length time.Duration) {
	var lines [][2]int
	for a := range s.hosts {
		for b := range s.hosts {
			if from, to := side>>a&1, side>>b&1; from != to && (how == 0 || how == 1 && from == 1 || how == 2 && to == 1) {
				lines = append(lines, [2]int{a, b})
				s.blocked[[2]int{a, b}] = true
			}
		}
	}
	s.after(length, func() {
		for _, l := range lines {
			delete(s.blocked, l)
		}
	})
}

// heal ends every cut, starts whatever does not run, and has nothing happen any more.
func (s *replicaCluster) heal() {
	clear(s.blocked)
	s.noFaults = true
	for _, h := range s.hosts {
		if !h.isUp {
			h.start()
		}
	}
}

// newestState is the state that has come furthest on any machine.
func (s *replicaCluster) newestState() *replog.State {
	best := s.hosts[0].latestState()
	for _, h := range s.hosts {
		if x := h.latestState(); x.NextIndex > best.NextIndex {
			best = x
		}
	}
	return best
}

// canLoseDisk tells whether one more disk may be lost: as many as the core is to bear, until others have been taken in for them and
// every machine knows that. Who is only behind or away is not lost.
func (s *replicaCluster) canLoseDisk() bool {
	for _, at := range s.hosts {
		gone := 0
		for _, m := range at.latestState().Members {
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

// latestState is the state that a machine has come to.
func (h *host) latestState() *replog.State {
	if h.isUp {
		x := h.replica.State()
		return &x
	}
	return &h.state
}

// format gives a machine an empty disk.
func (h *host) format() {
	h.s.lastID++
	h.id = h.s.lastID
	h.state, h.acceptor, h.chosen = replog.State{}, paxos.AcceptorState{}, map[uint64][]byte{}
}

func (h *host) member() replog.Member {
	return replog.Member{ID: h.id, Name: fmt.Sprint("k-", h.i), Addr: hostAddr(h.i).String()}
}

// start starts the process with what its disk has.
func (h *host) start() {
	s := h.s
	h.isUp, h.wakeAt = true, 0
	h.calls, h.answers = replica.Pending[func([]byte, error)]{}, replica.Pending[func(api.Result)]{}
	h.proposals = replica.Pending[func(error)]{}
	h.generation++
	s.lastID++
	var others []netip.AddrPort
	for _, o := range s.hosts {
		if o != h {
			others = append(others, hostAddr(o.i))
		}
	}
	h.replica = replica.New(replica.Config{
		Self: h.member(), MinVoters: len(s.hosts), Incarnation: s.lastID, Seed: uint64(s.draw(1 << 30)), State: h.state, Acceptor: h.acceptor,
		Peers:       func() []netip.AddrPort { return others },
		ChosenValue: func(place uint64) ([]byte, bool) { v, ok := h.chosen[place]; return v, ok },
	})
	if h.singleton = nil; s.hasSingletons {
		h.startSingleton(others)
	}
	h.scheduleTick()
}

// stop ends the process.
func (h *host) stop() {
	h.isUp, h.replica, h.singleton = false, nil, nil
	h.generation++
}

// kill ends the process for a time.
func (h *host) kill(length time.Duration) {
	if h.s.noFaults {
		return
	}
	h.stop()
	life := h.generation
	h.s.after(length, func() {
		if h.generation == life {
			h.start()
		}
	})
}

// handle has the process handle an event.
func (h *host) handle(e replica.Event) {
	if !h.isUp {
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
	h.perform(h.replica.Reduce(h.s.now, e))
	h.scheduleTick()
}

// scheduleTick has the process woken when it wants to be.
func (h *host) scheduleTick() {
	if !h.isUp {
		return
	}
	next, ok := h.replica.NextTimer()
	if next = max(next, h.s.now+time.Millisecond); !ok || h.wakeAt > h.s.now && h.wakeAt <= next {
		return
	}
	h.wakeAt = next
	life := h.generation
	h.s.after(next-h.s.now, func() {
		if h.generation == life && h.wakeAt == next {
			h.wakeAt = 0
			h.handle(replica.Tick{})
		}
	})
}

// perform does what follows, in order, as a keeper does; the process may be killed as it writes.
func (h *host) perform(effects []replica.Effect) {
	s, life := h.s, h.generation
	for effects = append([]replica.Effect(nil), effects...); len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case replica.Write:
			dies := s.draw(1500)
			if s.noFaults {
				dies = 2
			}
			if dies != 1 {
				h.persist(&f)
			}
			if dies < 2 { // before it is durable, or right after
				h.kill(time.Duration(50+s.draw(3000)) * time.Millisecond)
				return
			}
			effects = append(effects, h.replica.Reduce(s.now, replica.WriteDone{ID: f.ID, Durable: true})...)
		case replica.SendCall:
			s.call(h, f, func(body []byte, err error) {
				if h.generation == life {
					h.handle(replica.CallReturned{ID: f.ID, Body: body, Err: err})
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
				s.after(0, func() { done(f.Err) })
			}
		}
		if h.generation != life {
			return
		}
	}
}

// persist makes a write durable.
func (h *host) persist(f *replica.Write) {
	switch {
	case f.Snapshot:
		h.state = *f.State
		h.chosen = map[uint64][]byte{}
	case f.Value != nil:
		h.state = *f.State
		h.chosen = maps.Clone(h.chosen)
		h.chosen[f.State.NextIndex-1] = f.Value
		delete(h.chosen, f.State.NextIndex-33)
	default:
		h.acceptor = f.Acceptor
	}
}

// call carries a call there, and its answer back.
func (s *replicaCluster) call(from *host, c replica.SendCall, then func(body []byte, err error)) {
	if s.brokenRule == brokenRenewal && c.Kind == rpc.KindRenewLease {
		c.Body = c.Body[:len(c.Body)-8] // as an earlier program asks
	}
	over := false
	back := func(body []byte, err error) {
		if !over {
			over = true
			then(body, err)
		}
	}
	s.after(c.Timeout, func() { back(nil, errNoResponse) })
	to := s.hosts[c.To.Addr().As4()[3]]
	if s.rejectsJoins && c.Kind == rpc.KindJoin {
		return
	}
	way := func(a, b *host, do func()) {
		if !s.blocked[[2]int{a.i, b.i}] && s.draw(60) > 0 {
			s.after(time.Duration(500+s.draw(3000))*time.Microsecond, do)
		}
	}
	way(from, to, func() {
		id := to.calls.Add(func(body []byte, err error) {
			const noVote, known = byte(paxos.VerdictNotVoter), byte(paxos.VerdictReported)
			if s.brokenRule == brokenVoterCount && c.Kind == rpc.KindPaxos && len(body) > 0 && body[0] == noVote && c.Body[0] == byte(paxos.KindQuery) {
				body = append([]byte{known}, body[1:]...)
			}
			way(to, from, func() { back(body, err) })
		})
		to.handle(replica.CallReceived{Kind: c.Kind, Body: c.Body, From: hostAddr(from.i).Addr(), Request: id})
	})
}

// Lengths of the cuts and the stops of a life.
const (
	maxPartition   = 20 * time.Second
	clientTimeout  = time.Second // for an answer to an operator
	requestTimeout = limits.OperatorCallTimeout
)
