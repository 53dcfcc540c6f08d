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
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/timerqueue"
)

// cell is keepers on one clock: calls take a millisecond, writes are durable at once.
type cell struct {
	t      *testing.T
	now    time.Duration
	due    *timerqueue.Queue[func()]
	nodes  map[netip.AddrPort]*Replica
	disks  map[netip.AddrPort]map[uint64][]byte
	last   byte
	left   map[string]time.Duration // who has handed over, and when
	apart  netip.AddrPort           // is cut off from all others
	parted [2]netip.AddrPort        // do not hear each other
}

func newCell(t *testing.T, keepers, least int) *cell {
	c := &cell{t: t, now: time.Second, due: timerqueue.New[func()](), nodes: map[netip.AddrPort]*Replica{}, disks: map[netip.AddrPort]map[uint64][]byte{},
		left: map[string]time.Duration{}}
	for range keepers {
		c.start(least, true)
	}
	c.run(3 * time.Second)
	if got := c.voters(); len(got) != keepers {
		t.Fatalf("founded by %v", got)
	}
	return c
}

// start starts a keeper on an empty disk under a name and address of its own.
func (c *cell) start(least int, founder bool) *Replica {
	c.last++
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, c.last}), 7000)
	places := map[uint64][]byte{}
	n := New(Config{
		Self: replog.Member{ID: uint64(c.last), Name: fmt.Sprint("k-", c.last), Addr: at.String()}, IsFounder: founder, MinVoters: least, Incarnation: uint64(c.last), Seed: 7,
		Peers: func() (all []netip.AddrPort) {
			for a := range c.disks { // who is gone is remembered
				if a != at {
					all = append(all, a)
				}
			}
			slices.SortFunc(all, func(x, y netip.AddrPort) int { return x.Compare(y) })
			return all
		},
		ChosenValue: func(p uint64) ([]byte, bool) { v, ok := places[p]; return v, ok },
	})
	n.now = c.now
	c.nodes[at], c.disks[at] = n, places
	c.tick(n)
	return n
}

func (c *cell) addr(n *Replica) netip.AddrPort { a, _ := addr(&n.Self); return a }

// gone ends a keeper for good.
func (c *cell) gone(n *Replica) { delete(c.nodes, c.addr(n)) }

func (c *cell) tick(n *Replica) {
	if c.nodes[c.addr(n)] == n {
		c.turn(n, Tick{})
		c.due.Add(c.now+10*time.Millisecond, func() { c.tick(n) })
	}
}

func (c *cell) run(d time.Duration) {
	end := c.now + d
	for at, ok := c.due.NextDue(); ok && at <= end; at, ok = c.due.NextDue() {
		c.now = at
		f, _ := c.due.PopDue(at)
		f()
	}
	c.now = end
}

type caller struct {
	n  *Replica
	id uint64
}

func (c *cell) turn(n *Replica, e Event) {
	self := c.addr(n)
	if c.nodes[self] != n {
		return
	}
	effects := append([]Effect(nil), n.Reduce(c.now, e)...)
	for ; len(effects) > 0; effects = effects[1:] {
		switch f := effects[0].(type) {
		case Write:
			if f.Value != nil {
				c.disks[self][f.State.NextIndex-1] = f.Value
			}
			effects = append(effects, n.Reduce(c.now, WriteDone{f.ID, true})...)
		case SendCall:
			to := c.nodes[f.To]
			if to == nil || self == c.apart || f.To == c.apart || slices.Contains(c.parted[:], self) && slices.Contains(c.parted[:], f.To) {
				c.due.Add(c.now+f.Timeout, func() { c.turn(n, CallReturned{ID: f.ID, Err: errors.New("no answer")}) })
				continue
			}
			c.due.Add(c.now+time.Millisecond, func() { c.turn(to, CallReceived{Kind: f.Kind, Body: f.Body, From: self.Addr(), Of: caller{n, f.ID}}) })
		case SendReply:
			who := f.Of.(caller)
			c.due.Add(c.now+time.Millisecond, func() { c.turn(who.n, CallReturned{ID: who.id, Body: f.Body, Err: f.Err}) })
		case Left:
			c.left[n.Self.Name] = c.now
		case OperatorAnswer:
			f.Of.(func(api.Result))(f.Result)
		}
	}
}

// order sends an order to a keeper and returns its answer.
func (c *cell) order(n *Replica, event func(of any, until time.Duration) Event) (got api.Result) {
	c.turn(n, event(func(r api.Result) { got = r }, c.now+900*time.Millisecond))
	c.run(time.Second)
	return got
}

func (c *cell) put(n *Replica, on, revision uint64) api.Result {
	text := append([]byte("\xa3\x68revision\x18"), byte(revision))
	text = append(text, "\x66routes\x80\x68services\x80"...)
	return c.order(n, func(of any, until time.Duration) Event {
		return ReplaceConfig{BaseRevision: on, Config: text, Of: of, Until: until}
	})
}

// voters are the members that the keeper which has come furthest knows of.
func (c *cell) voters() (names []string) {
	var best *Replica
	for _, n := range c.nodes {
		if best == nil || n.state.NextIndex > best.state.NextIndex {
			best = n
		}
	}
	for _, m := range best.state.Members {
		names = append(names, m.Name)
	}
	return names
}

// all are the keepers that run, in the order of their names.
func (c *cell) all() (nodes []*Replica) {
	for _, n := range c.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(x, y *Replica) int { return int(x.Self.ID) - int(y.Self.ID) })
	return nodes
}

// calm fails unless as many vote as are wanted, and all of them run and know all.
func (c *cell) calm(least int) {
	c.t.Helper()
	voters, next := c.voters(), uint64(0)
	for i, n := range c.all() {
		if i == 0 {
			next = n.state.NextIndex
		}
		if n.state.NextIndex != next {
			c.t.Errorf("%s has come to %d, another to %d", n.Self.Name, n.state.NextIndex, next)
		}
		voters = slices.DeleteFunc(voters, func(x string) bool { return x == n.Self.Name })
	}
	if got := c.voters(); len(got) != least || len(voters) > 0 {
		c.t.Errorf("%v vote, of whom %v are gone; %d are wanted", got, voters, least)
	}
}

// TestASuccessorTakesAPlace: as many replacements in a row as may come leave as many voters that live, so that the loss of
// any f of them afterwards leaves a majority.
func TestASuccessorTakesAPlace(t *testing.T) {
	for _, least := range []int{3, 5} {
		c, revision := newCell(t, least, least), uint64(0)
		for i := range 5 {
			c.gone(c.all()[i%2])
			if i%2 == 1 { // who comes next dies at once, before or after it was taken in
				c.run(time.Second)
				n := c.start(least, false)
				c.run(time.Duration(i) * 500 * time.Millisecond)
				c.gone(n)
			}
			c.run(time.Second)
			c.start(least, false)
			c.run(6 * time.Second)
			c.calm(least)
			if r := c.put(c.all()[0], revision, revision+24); r.Status != http.StatusOK {
				t.Fatalf("%d members, replacement %d: %+v", least, i, r)
			}
			revision += 24
		}
		for range least / 2 {
			c.gone(c.all()[0])
		}
		if r := c.put(c.all()[0], revision, revision+24); r.Status != http.StatusOK {
			t.Errorf("%d members, after %d losses: %+v", least, least/2, r)
		}
	}
}

// TestWhoLeavesHandsOver: a keeper that ends in order gives its vote to a standby first, and is lost after that without harm.
func TestWhoLeavesHandsOver(t *testing.T) {
	c := newCell(t, 3, 3)
	standby := c.start(3, false)
	c.run(5 * time.Second)
	if got := c.voters(); slices.Contains(got, standby.Self.Name) {
		t.Fatalf("%v: three live, and a fourth votes", got)
	}
	leaves := c.all()[1]
	began := c.now
	c.turn(leaves, Leave{Until: c.now + 2*time.Second})
	c.run(time.Second)
	c.gone(leaves)
	if took := c.left[leaves.Self.Name] - began; took <= 0 || took > 100*time.Millisecond {
		t.Errorf("it has handed over after %v", took)
	}
	c.calm(3)
	c.gone(c.all()[0])
	if r := c.put(standby, 0, 30); r.Status != http.StatusOK {
		t.Errorf("%+v", r)
	}
	// With nobody to follow, and one of two out of reach, it ends when its time is over.
	last := c.all()[0]
	began = c.now
	c.turn(last, Leave{Until: c.now + 2*time.Second})
	c.run(3 * time.Second)
	if took := c.left[last.Self.Name] - began; took < 1900*time.Millisecond || took > 2100*time.Millisecond {
		t.Errorf("it has left after %v", took)
	}
}

// TestWhoWasSilentComesBack: a voter that was only out of reach while another took its place is a standby, and takes the next.
func TestWhoWasSilentComesBack(t *testing.T) {
	c := newCell(t, 5, 5)
	cut, lost := c.all()[1], c.all()[2]
	c.apart = c.addr(cut)
	c.run(500 * time.Millisecond)
	c.gone(lost) // later: who has been silent for longest is the other
	c.run(time.Second)
	c.start(5, false)
	c.run(8 * time.Second)
	if got := c.voters(); slices.Contains(got, cut.Self.Name) || len(got) != 5 {
		t.Fatalf("%v", got)
	}
	c.apart = netip.AddrPort{}
	c.run(8 * time.Second)
	c.calm(5)
	if got := c.voters(); !slices.Contains(got, cut.Self.Name) || slices.Contains(got, lost.Self.Name) {
		t.Errorf("%v", got)
	}
}

// TestWhoIsHeardByAnotherKeepsItsVote: a voter that one keeper alone does not hear is not replaced by a standby; one that nobody
// hears is.
func TestWhoIsHeardByAnotherKeepsItsVote(t *testing.T) {
	c := newCell(t, 5, 5)
	one, other := c.all()[0], c.all()[1]
	c.parted = [2]netip.AddrPort{c.addr(one), c.addr(other)}
	standby := c.start(5, false)
	c.run(20 * time.Second)
	if got := c.voters(); slices.Contains(got, standby.Self.Name) {
		t.Errorf("%v", got)
	}
	c.gone(other)
	c.run(8 * time.Second)
	if got := c.voters(); !slices.Contains(got, standby.Self.Name) || slices.Contains(got, other.Self.Name) {
		t.Errorf("%v", got)
	}
}

// TestChangesAreFinished: a change of members whose proposer is gone, before or after it was chosen, is decided and finished by
// others, though who was to be taken in is gone as well and nobody asks for anything.
func TestChangesAreFinished(t *testing.T) {
	open := 0
	for after := time.Duration(0); after < 12*time.Millisecond; after += 500 * time.Microsecond {
		c := newCell(t, 5, 5)
		proposer, lost := c.all()[0], c.all()[1]
		n := c.start(5, false)
		c.run(4 * time.Second)
		c.gone(lost)
		c.run(time.Second)
		proposer.members.silent[c.addr(lost)] = silence{c.now - 5*time.Second, c.now}
		body := (&identity{Member: n.Self, next: n.state.NextIndex}).encode()
		c.turn(proposer, CallReceived{Kind: CallJoin, Body: body, Of: caller{n, 0}})
		c.run(after)
		c.gone(proposer)
		c.gone(n)
		for _, x := range c.all() {
			x.members.candidates = nil
		}
		before := slices.ContainsFunc(c.all(), (*Replica).MembershipPending)
		c.run(1500 * time.Millisecond)
		if before {
			open++
		}
		for _, x := range c.all() {
			if x.MembershipPending() {
				t.Errorf("after %v: %s has accepted members that are not decided", after, x.Self.Name)
			}
			if x.state.Member(n.Self.ID) != nil && x.state.NextIndex <= x.members.settled {
				t.Errorf("after %v: %s knows of a change that is not finished", after, x.Self.Name)
			}
		}
		c.run(8 * time.Second)
		if r := c.put(c.all()[0], 0, 30); r.Status != http.StatusOK || len(c.voters()) != 5 {
			t.Errorf("after %v: %+v, %v", after, r, c.voters())
		}
	}
	if open == 0 {
		t.Error("in no life was a change open as its proposer died")
	}
}

// TestTakenOutTwice: the order to take a member out is done however often it comes, wherever; never below the least.
func TestTakenOutTwice(t *testing.T) {
	c := newCell(t, 4, 3)
	gone := c.all()[3]
	c.gone(gone)
	for i := range 3 {
		r := c.order(c.all()[i], func(of any, until time.Duration) Event {
			return RemoveMember{Name: gone.Self.Name, Of: of, Until: until}
		})
		if r.Status != http.StatusOK {
			t.Errorf("order %d: %+v", i, r)
		}
	}
	r := c.order(c.all()[0], func(of any, until time.Duration) Event { return RemoveMember{Name: "k-9", Of: of, Until: until} })
	if r.Status != http.StatusNotFound {
		t.Errorf("nobody is named so: %+v", r)
	}
	r = c.order(c.all()[0], func(of any, until time.Duration) Event { return RemoveMember{Name: "k-2", Of: of, Until: until} })
	if r.Status != http.StatusConflict {
		t.Errorf("two would be left: %+v", r)
	}
	c.calm(3)
}

// TestMoreThanAreWanted: of more voters than are wanted, those that are gone for good lose their votes by themselves.
func TestMoreThanAreWanted(t *testing.T) {
	c := newCell(t, 5, 3)
	for range 3 { // one at a time: each leaves a majority
		c.gone(c.all()[0])
		c.run(20 * time.Second)
		if got := c.voters(); len(got) < 3 {
			t.Fatalf("%v", got)
		}
		if len(c.all()) == 3 {
			break
		}
	}
	c.calm(3)
}

// TestAChangeIsKnownToBeOpen: who has accepted other members says so until the place is decided.
func TestAChangeIsKnownToBeOpen(t *testing.T) {
	n := keeper(true)
	value := replog.Entry{Payload: replog.MembersChange{Members: []replog.Member{n.Self, {ID: 9, Name: "k-9", Addr: "10.0.0.9:7000"}}}}.Encode()
	if n.MembershipPending() {
		t.Error("nothing is accepted yet")
	}
	ask := paxos.Request{Kind: paxos.KindAccept, Index: 1, Number: paxos.ProposalNumber{Term: 3, Proposer: 5}, Value: value}
	replies(n, time.Second, CallReceived{Kind: CallPaxos, Body: encodeAsk(&ask)}, true)
	if !n.MembershipPending() {
		t.Error("other members are accepted")
	}
	replies(n, time.Second, CallReceived{Kind: CallLearn, Body: EncodeIndexed(1, value)}, true)
	if n.MembershipPending() || len(n.state.Members) != 2 {
		t.Error("it is decided")
	}
}
