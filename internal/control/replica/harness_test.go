package replica

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/timerqueue"
)

// newSingle returns a replica that is the only voter of its group, or a learner of a group with one other voter.
func newSingle(isVoter bool) *Replica {
	self := replog.Member{ID: 1, Name: "k-1", Addr: "10.0.0.1:7000"}
	c := Config{Self: self, MinVoters: 1, Incarnation: 9, Peers: noPeers, ChosenValue: noValue}
	c.State = replog.State{NextIndex: 1, Members: []replog.Member{self}}
	if !isVoter {
		c.State.Members = []replog.Member{{ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}}
	}
	return New(c)
}

func noPeers() []netip.AddrPort     { return nil }
func noValue(uint64) ([]byte, bool) { return nil, false }
func membersOf(ids ...uint64) (all []replog.Member) {
	for _, id := range ids {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 7000)
		all = append(all, replog.Member{ID: id, Name: fmt.Sprint("k-", id), Addr: addr.String()})
	}
	return all
}

// reduce passes an event to a replica and completes all writes that follow. It returns the answers and the number of
// writes.
func reduce(r *Replica, now time.Duration, e Event, durable bool) (answers []Effect, writes int) {
	effects := slices.Clone(r.Reduce(now, e))
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case Write:
			writes++
			effects = append(effects, r.Reduce(now, WriteDone{f.ID, durable})...)
		case SendReply, OperatorAnswer, ProposeDone:
			answers = append(answers, f)
		}
	}
	return answers, writes
}

// cluster runs replicas on one simulated clock. A call takes one millisecond each way, and writes are durable
// immediately.
type cluster struct {
	t        *testing.T
	now      time.Duration
	timers   *timerqueue.Queue[func()]
	replicas map[netip.AddrPort]*Replica
	disks    map[netip.AddrPort]map[uint64][]byte
	lastID   byte
	leftAt   map[string]time.Duration // time at which a replica had handed over, by name

	isolated    netip.AddrPort    // partitioned from all others
	partitioned [2]netip.AddrPort // partitioned from each other

	calls   Pending[caller]
	answers Pending[func(api.Result)]
}

// caller identifies the caller that waits for a reply.
type caller struct {
	replica *Replica
	id      CallID
}

// newCluster starts the voters and lets them found a group.
func newCluster(t *testing.T, voters, minVoters int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, now: time.Second, timers: timerqueue.New[func()](), replicas: map[netip.AddrPort]*Replica{},
		disks: map[netip.AddrPort]map[uint64][]byte{}, leftAt: map[string]time.Duration{},
	}
	for range voters {
		c.start(minVoters, true)
	}
	c.run(3 * time.Second)
	if got := c.voters(); len(got) != voters {
		t.Fatalf("founded by %v", got)
	}
	return c
}

// start starts a replica with an empty disk and a new name and address.
func (c *cluster) start(minVoters int, isFounder bool) *Replica {
	c.lastID++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, c.lastID}), 7000)
	values := map[uint64][]byte{}
	r := New(Config{
		Self:      replog.Member{ID: uint64(c.lastID), Name: fmt.Sprint("k-", c.lastID), Addr: addr.String()},
		IsFounder: isFounder, MinVoters: minVoters, Incarnation: uint64(c.lastID), Seed: 7,
		Peers: func() (peers []netip.AddrPort) {
			for a := range c.disks { // including killed replicas
				if a != addr {
					peers = append(peers, a)
				}
			}
			slices.SortFunc(peers, func(x, y netip.AddrPort) int { return x.Compare(y) })
			return peers
		},
		ChosenValue: func(index uint64) ([]byte, bool) { v, ok := values[index]; return v, ok },
	})
	r.now = c.now
	c.replicas[addr], c.disks[addr] = r, values
	c.tick(r)
	return r
}

func (c *cluster) addr(r *Replica) netip.AddrPort {
	addr, _ := memberAddr(&r.Self)
	return addr
}

// kill stops a replica permanently.
func (c *cluster) kill(r *Replica) { delete(c.replicas, c.addr(r)) }

func (c *cluster) tick(r *Replica) {
	if c.replicas[c.addr(r)] == r {
		c.handle(r, Tick{})
		c.timers.Add(c.now+10*time.Millisecond, func() { c.tick(r) })
	}
}

func (c *cluster) run(d time.Duration) {
	end := c.now + d
	for at, ok := c.timers.NextDue(); ok && at <= end; at, ok = c.timers.NextDue() {
		c.now = at
		f, _ := c.timers.PopDue(at)
		f()
	}
	c.now = end
}

// handle passes an event to a replica and performs the effects.
func (c *cluster) handle(r *Replica, e Event) {
	self := c.addr(r)
	if c.replicas[self] != r {
		return
	}
	effects := slices.Clone(r.Reduce(c.now, e))
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case Write:
			if f.Value != nil {
				c.disks[self][f.State.NextIndex-1] = f.Value
			}
			effects = append(effects, r.Reduce(c.now, WriteDone{f.ID, true})...)
		case SendCall:
			c.send(r, f)
		case SendReply:
			if to, ok := c.calls.Take(f.Request); ok {
				c.timers.Add(c.now+time.Millisecond, func() { c.handle(to.replica, CallReturned{ID: to.id, Body: f.Body, Err: f.Err}) })
			}
		case LeaveDone:
			c.leftAt[r.Self.Name] = c.now
		case OperatorAnswer:
			if answer, ok := c.answers.Take(f.Request); ok {
				answer(f.Result)
			}
		}
	}
}

func (c *cluster) send(r *Replica, f SendCall) {
	self, to := c.addr(r), c.replicas[f.To]
	isPartitioned := slices.Contains(c.partitioned[:], self) && slices.Contains(c.partitioned[:], f.To)
	if to == nil || isPartitioned || self == c.isolated || f.To == c.isolated {
		c.timers.Add(c.now+f.Timeout, func() { c.handle(r, CallReturned{ID: f.ID, Err: errors.New("no answer")}) })
		return
	}
	c.timers.Add(c.now+time.Millisecond, func() {
		c.handle(to, CallReceived{Kind: f.Kind, Body: f.Body, From: self.Addr(), Request: c.calls.Add(caller{r, f.ID})})
	})
}

// operate sends an operator's request to a replica and returns the answer.
func (c *cluster) operate(r *Replica, event func(id RequestID, deadline time.Duration) Event) (got api.Result) {
	c.handle(r, event(c.answers.Add(func(res api.Result) { got = res }), c.now+900*time.Millisecond))
	c.run(time.Second)
	return got
}

// replaceConfig sends an empty configuration with a revision of at most 255.
func (c *cluster) replaceConfig(r *Replica, base, revision uint64) api.Result {
	config := append([]byte("\xa3\x68revision\x18"), byte(revision))
	config = append(config, "\x66routes\x80\x68services\x80"...)
	return c.operate(r, func(id RequestID, deadline time.Duration) Event {
		return ReplaceConfig{Request: id, BaseRevision: base, Config: config, Deadline: deadline}
	})
}

// voters returns the names of the voters according to the replica with the highest next index.
func (c *cluster) voters() (names []string) {
	var best *Replica
	for _, r := range c.replicas {
		if best == nil || r.state.NextIndex > best.state.NextIndex {
			best = r
		}
	}
	for _, m := range best.state.Members {
		names = append(names, m.Name)
	}
	return names
}

// running returns the running replicas, sorted by ID.
func (c *cluster) running() (all []*Replica) {
	for _, r := range c.replicas {
		all = append(all, r)
	}
	slices.SortFunc(all, func(x, y *Replica) int { return int(x.Self.ID) - int(y.Self.ID) })
	return all
}

// requireVoters checks the number of voters, that all of them run, and that all running replicas have the same next
// index.
func (c *cluster) requireVoters(want int) {
	c.t.Helper()
	failed, next := c.voters(), uint64(0)
	for i, r := range c.running() {
		if i == 0 {
			next = r.state.NextIndex
		}
		if r.state.NextIndex != next {
			c.t.Errorf("%s has next index %d, another replica %d", r.Self.Name, r.state.NextIndex, next)
		}
		failed = slices.DeleteFunc(failed, func(name string) bool { return name == r.Self.Name })
	}
	if got := c.voters(); len(got) != want || len(failed) > 0 {
		c.t.Errorf("voters %v, not running %v; want %d running voters", got, failed, want)
	}
}

// requireOK fails the test unless the request succeeded.
func requireOK(t *testing.T, what string, res api.Result) {
	t.Helper()
	if res.Status != http.StatusOK {
		t.Errorf("%s: %+v", what, res)
	}
}
