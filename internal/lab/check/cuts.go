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

// replicaCluster runs the program's replicas (replica.Replica, and singleton.Controller in walks of leases) in simulated time.
// Messages are delayed and lost, partitions of one or both directions last up to maxPartition, processes are killed during
// writes and restart from their disks, and disks are lost. Nothing reads a clock, so a seed's walk is reproducible.
type replicaCluster struct {
	draw         func(n int) int
	now          time.Duration
	timers       *timerqueue.Queue[func()]
	hosts        []*host
	blockedLinks map[[2]int]bool // links that lose all messages: from, to
	brokenRule   string          // the rule that this walk breaks on purpose; "" = none
	lastID       uint64
	violation    string // the first one; "" = none
	faultsEnded  bool   // no process is killed and no disk is lost any more

	rejectsJoins  bool // no replica can join by its own request
	hasSingletons bool // each host runs a singleton.Controller
	platform      fencedPlatform
}

// host is a machine that runs a replica.
type host struct {
	cluster     *replicaCluster
	index       int    // in replicaCluster.hosts
	id          uint64 // of the replica; a new disk gets a new one
	isUp        bool
	incarnation int // changes with every start and stop of the process
	replica     *replica.Replica
	state       replog.State        // on the disk
	acceptor    paxos.AcceptorState // on the disk
	chosen      map[uint64][]byte   // values by index, on the disk
	tickAt      time.Duration       // of the scheduled Tick; 0 = none
	singleton   *singletonHost      // nil while the process is stopped, and in clusters without singletons

	// Callbacks of requests to this process that are still pending.
	calls     replica.Pending[func(body []byte, err error)]
	answers   replica.Pending[func(api.Result)]
	proposals replica.Pending[func(error)]
}

var errNoResponse = errors.New("no response in time")

func hostAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
}

// newReplicaCluster starts n replicas that are members of one cluster, and spare ones that can replace them. A cluster with
// spares runs singletons, and its replicas join only by a membership change.
func newReplicaCluster(draw func(n int) int, n, spares int, brokenRule string) *replicaCluster {
	s := &replicaCluster{draw: draw, timers: timerqueue.New[func()](), blockedLinks: map[[2]int]bool{}, brokenRule: brokenRule, lastID: 1, now: time.Hour}
	s.rejectsJoins, s.hasSingletons = spares > 0, spares > 0
	var all []replog.Member
	for i := range n + spares {
		h := &host{cluster: s, index: i}
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

// after calls do once d has passed.
func (s *replicaCluster) after(d time.Duration, do func()) { s.timers.Add(s.now+d, do) }

// run advances the simulated time by d, or until a violation is found.
func (s *replicaCluster) run(d time.Duration) {
	until := s.now + d
	for at, ok := s.timers.NextDue(); ok && at <= until && s.violation == ""; at, ok = s.timers.NextDue() {
		s.now = at
		do, _ := s.timers.PopDue(at)
		do()
	}
	s.now = until
}

// violate records a violation, if it is the first one.
func (s *replicaCluster) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// partition separates the hosts in the bit set side from the others for a time. direction is 0 = both directions, 1 = messages
// from side are lost, 2 = messages to side are lost.
func (s *replicaCluster) partition(side int, direction int, duration time.Duration) {
	var links [][2]int
	for a := range s.hosts {
		for b := range s.hosts {
			if from, to := side>>a&1, side>>b&1; from != to && (direction == 0 || direction == 1 && from == 1 || direction == 2 && to == 1) {
				links = append(links, [2]int{a, b})
				s.blockedLinks[[2]int{a, b}] = true
			}
		}
	}
	s.after(duration, func() {
		for _, l := range links {
			delete(s.blockedLinks, l)
		}
	})
}

// heal ends every partition, starts every stopped process, and prevents further kills and disk losses.
func (s *replicaCluster) heal() {
	clear(s.blockedLinks)
	s.faultsEnded = true
	for _, h := range s.hosts {
		if !h.isUp {
			h.start()
		}
	}
}

// newestState returns the state with the highest log index on any host.
func (s *replicaCluster) newestState() *replog.State {
	best := s.hosts[0].latestState()
	for _, h := range s.hosts {
		if x := h.latestState(); x.NextIndex > best.NextIndex {
			best = x
		}
	}
	return best
}

// canLoseDisk reports whether the cluster tolerates one more lost disk. A lost disk counts until every host has learned that the
// member was replaced; a member that only lags or is stopped does not count.
func (s *replicaCluster) canLoseDisk() bool {
	for _, observer := range s.hosts {
		lost := 0
		for _, m := range observer.latestState().Members {
			if !slices.ContainsFunc(s.hosts, func(h *host) bool { return h.id == m.ID }) {
				lost++
			}
		}
		if lost >= (len(s.hosts)-1)/2 {
			return false
		}
	}
	return true
}

// latestState returns the state of the running replica, or that on the disk of a stopped one.
func (h *host) latestState() *replog.State {
	if h.isUp {
		x := h.replica.State()
		return &x
	}
	return &h.state
}

// format replaces the host's disk by an empty one with a new member ID.
func (h *host) format() {
	h.cluster.lastID++
	h.id = h.cluster.lastID
	h.state, h.acceptor, h.chosen = replog.State{}, paxos.AcceptorState{}, map[uint64][]byte{}
}

func (h *host) member() replog.Member {
	return replog.Member{ID: h.id, Name: fmt.Sprint("k-", h.index), Addr: hostAddr(h.index).String()}
}

// start starts the process from its disk.
func (h *host) start() {
	s := h.cluster
	h.isUp, h.tickAt = true, 0
	h.calls, h.answers = replica.Pending[func([]byte, error)]{}, replica.Pending[func(api.Result)]{}
	h.proposals = replica.Pending[func(error)]{}
	h.incarnation++
	s.lastID++
	var others []netip.AddrPort
	for _, o := range s.hosts {
		if o != h {
			others = append(others, hostAddr(o.index))
		}
	}
	h.replica = replica.New(replica.Config{
		Self: h.member(), MinVoters: len(s.hosts), Incarnation: s.lastID, Seed: uint64(s.draw(1 << 30)), State: h.state, Acceptor: h.acceptor,
		Peers:       func() []netip.AddrPort { return others },
		ChosenValue: func(index uint64) ([]byte, bool) { v, ok := h.chosen[index]; return v, ok },
	})
	if h.singleton = nil; s.hasSingletons {
		h.startSingleton(others)
	}
	h.scheduleTick()
}

// stop ends the process; what was pending in it is lost.
func (h *host) stop() {
	h.isUp, h.replica, h.singleton = false, nil, nil
	h.incarnation++
}

// kill stops the process, and starts it again after downtime.
func (h *host) kill(downtime time.Duration) {
	if h.cluster.faultsEnded {
		return
	}
	h.stop()
	incarnation := h.incarnation
	h.cluster.after(downtime, func() {
		if h.incarnation == incarnation {
			h.start()
		}
	})
}

// handle passes an event to the replica, or to the singleton.Controller that owns the call. A stopped process ignores it.
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
	h.perform(h.replica.Reduce(h.cluster.now, e))
	h.scheduleTick()
}

// scheduleTick schedules a Tick for the replica's next timer, unless one is due no later.
func (h *host) scheduleTick() {
	if !h.isUp {
		return
	}
	next, ok := h.replica.NextTimer()
	if next = max(next, h.cluster.now+time.Millisecond); !ok || h.tickAt > h.cluster.now && h.tickAt <= next {
		return
	}
	h.tickAt = next
	incarnation := h.incarnation
	h.cluster.after(next-h.cluster.now, func() {
		if h.incarnation == incarnation && h.tickAt == next {
			h.tickAt = 0
			h.handle(replica.Tick{})
		}
	})
}

// perform carries out the effects in order, as a process does. The process may be killed during a write.
func (h *host) perform(effects []replica.Effect) {
	s, incarnation := h.cluster, h.incarnation
	for effects = append([]replica.Effect(nil), effects...); len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case replica.Write:
			crash := s.draw(1500) // 0 = after the write is durable, 1 = before, otherwise none
			if s.faultsEnded {
				crash = 2
			}
			if crash != 1 {
				h.persist(&f)
			}
			if crash < 2 {
				h.kill(time.Duration(50+s.draw(3000)) * time.Millisecond)
				return
			}
			effects = append(effects, h.replica.Reduce(s.now, replica.WriteDone{ID: f.ID, Durable: true})...)
		case replica.SendCall:
			s.call(h, f, func(body []byte, err error) {
				if h.incarnation == incarnation {
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
		if h.incarnation != incarnation {
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

// call sends a call to a replica and its response back. It calls then once, with errNoResponse after the call's timeout.
func (s *replicaCluster) call(from *host, c replica.SendCall, then func(body []byte, err error)) {
	if s.brokenRule == brokenRenewal && c.Kind == rpc.KindRenewLease {
		c.Body = c.Body[:len(c.Body)-8] // the encoding of an earlier release
	}
	isDone := false
	finish := func(body []byte, err error) {
		if !isDone {
			isDone = true
			then(body, err)
		}
	}
	s.after(c.Timeout, func() { finish(nil, errNoResponse) })
	to := s.hosts[c.To.Addr().As4()[3]]
	if s.rejectsJoins && c.Kind == rpc.KindJoin {
		return
	}
	transmit := func(a, b *host, do func()) {
		if !s.blockedLinks[[2]int{a.index, b.index}] && s.draw(60) > 0 {
			s.after(time.Duration(500+s.draw(3000))*time.Microsecond, do)
		}
	}
	transmit(from, to, func() {
		id := to.calls.Add(func(body []byte, err error) {
			const notVoter, reported = byte(paxos.VerdictNotVoter), byte(paxos.VerdictReported)
			if s.brokenRule == brokenVoterCount && c.Kind == rpc.KindPaxos && len(body) > 0 && body[0] == notVoter && c.Body[0] == byte(paxos.KindQuery) {
				body = append([]byte{reported}, body[1:]...)
			}
			transmit(to, from, func() { finish(body, err) })
		})
		to.handle(replica.CallReceived{Kind: c.Kind, Body: c.Body, From: hostAddr(from.index).Addr(), Request: id})
	})
}

// Bounds of faults and timeouts in a walk.
const (
	maxPartition   = 20 * time.Second
	clientTimeout  = time.Second                // of an operator that waits for a response
	requestTimeout = limits.OperatorCallTimeout // of a request inside a replica
)
