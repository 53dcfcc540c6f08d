package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

const (
	silence = 5 * time.Second
	keepers = 3
)

// fleet is nodes with a network that delivers at once. Which words are lost is the test's.
type fleet struct {
	nodes   []*Node
	now     time.Duration
	lost    func(from, to int) bool
	answers map[any]Reply
	forgets []int // of each node
	sent    []int // bytes
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Hour, answers: map[any]Reply{}, forgets: make([]int, n), sent: make([]int, n), lost: func(int, int) bool { return false }}
	var voters []uint64
	for i := range n {
		self := gossip.Peer{ID: gossip.Hash(fmt.Sprint("n", i)), Addr: addr(i), Zone: uint32(i % 3), Flags: gossip.FlagRouter}
		if i < keepers {
			self.Flags = gossip.FlagReplica
			voters = append(voters, self.ID)
		}
		f.nodes = append(f.nodes, New(self, uint64(i), silence, func(z string) uint32 { return uint32(len(z)) }))
	}
	for i := range n {
		if i < keepers {
			f.do(i, gossip.VotersChanged{IDs: voters})
		}
		f.do(i, gossip.SeedsChanged{Addrs: []netip.AddrPort{addr(0), addr(1)}})
	}
	f.pass(10 * time.Second)
	return f
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func (f *fleet) do(i int, e Event) {
	type word struct {
		to int
		e  Event
	}
	for queue := []word{{i, e}}; len(queue) > 0; queue = queue[1:] {
		from := queue[0].to
		for _, x := range f.nodes[from].Reduce(f.now, f.now.Milliseconds(), queue[0].e) {
			switch x := x.(type) {
			case gossip.SendPacket:
				f.sent[from] += len(x.Payload) + 28
				a := x.To.Addr().As4()
				if to := int(a[2])<<8 | int(a[3]); to < len(f.nodes) && !f.lost(from, to) {
					queue = append(queue, word{to, gossip.PacketReceived{Payload: x.Payload}})
				}
			case Reply:
				f.answers[x.Of] = x
			case IdleDropReported:
				f.forgets[from]++
			}
		}
	}
}

func (f *fleet) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		for i, n := range f.nodes {
			if n.NextTimer() <= f.now {
				f.do(i, gossip.Tick{})
			}
		}
	}
}

func record(k int, calls uint64, s endpoints.State) endpoints.Record {
	return endpoints.Record{ID: fmt.Sprint("i-", k), Service: "s", Addr: fmt.Sprintf("10.9.0.%d:80", k), Zone: strings.Repeat("z", k%3), CallCount: calls, State: s}
}

// beat has an engine call a node, and returns the answer if there is one yet.
func (f *fleet) beat(node, k int, calls uint64, s endpoints.State) (Reply, bool) {
	of := new(int)
	f.do(node, Heartbeat{Record: record(k, calls, s), Of: of})
	a, ok := f.answers[of]
	return a, ok
}

// used counts the nodes that use an engine.
func (f *fleet) used(k int) (n int) {
	for _, x := range f.nodes {
		for _, e := range x.Endpoints.Live("s") {
			if e.ID == fmt.Sprint("i-", k) {
				n++
			}
		}
	}
	return n
}

// TestSilenceIsJudgedByKeepers: engines call their homes, of which all hear who has fallen silent, and who calls again.
func TestSilenceIsJudgedByKeepers(t *testing.T) {
	f := newFleet(30)
	home := map[int]int{}
	for k := range 4 {
		a, ok := f.beat(20+k, k, 1, endpoints.StateReady)
		if !ok || a.Err != nil || a.HomeReplica != addr(k%3) {
			t.Fatalf("engine %d: %+v, its home is to be keeper %d, of its zone", k, a, k%3)
		}
		home[k] = k % 3
	}
	for calls := uint64(2); calls < 8; calls++ { // engine 3 says nothing more
		f.pass(1500 * time.Millisecond)
		for k := range 3 {
			f.beat(home[k], k, calls, endpoints.StateReady)
		}
	}
	f.pass(time.Second)
	if f.used(0) != 30 || f.used(3) != 0 {
		t.Errorf("used by %d and by %d of 30", f.used(0), f.used(3))
	}
	f.beat(25, 3, 2, endpoints.StateReady)
	f.pass(time.Second)
	if f.used(3) != 30 {
		t.Errorf("one that calls again is used by %d of 30", f.used(3))
	}
}

// TestCutKeeperNeitherJudgesNorAnswers: it would hold engines for silent that call others, and its word reaches nobody.
func TestCutKeeperNeitherJudgesNorAnswers(t *testing.T) {
	f := newFleet(12)
	for k := range 3 {
		f.beat(k, k, 1, endpoints.StateReady)
	}
	for name, lost := range map[string]func(from, to int) bool{
		"both ways": func(from, to int) bool { return (from == 0) != (to == 0) && from < keepers && to < keepers },
		"one way":   func(from, to int) bool { return from == 0 && to < keepers },
	} {
		f.lost = lost
		calls := f.nodes[1].Endpoints.Find("i-1").LatestCall
		refused := 0
		for range 8 {
			f.pass(1500 * time.Millisecond)
			calls++
			for k := range 3 {
				at := k
				if a, ok := f.beat(k, k, calls, endpoints.StateReady); !ok || errors.Is(a.Err, ErrNoQuorumContact) { // it calls another
					refused++
					at = 5 + k
					f.beat(at, k, calls, endpoints.StateReady)
				}
			}
		}
		if refused < 5 || refused > 8 {
			t.Errorf("%s: %d calls were refused", name, refused)
		}
		for k := range 3 {
			if n := f.used(k); n != 12 {
				t.Errorf("%s: engine %d is used by %d of 12", name, k, n)
			}
		}
		f.lost = func(int, int) bool { return false }
		f.pass(6 * time.Second)
		for k := range 3 {
			f.beat(k, k, calls+1, endpoints.StateReady)
		}
	}
}

// TestWhoIsGoneIsForgotten: of engines that have signed off, or are lost, nothing is left anywhere after a while, and no node
// brings them back to others; and what a node sends does not grow with the engines that are well.
func TestWhoIsGoneIsForgotten(t *testing.T) {
	f := newFleet(12)
	for k := range 40 {
		f.beat(k%12, k, 1, endpoints.StateReady)
	}
	f.beat(1, 40, 1, endpoints.StateReady)
	for k := range 40 {
		of := new(int)
		f.do((k+3)%12, Deregister{EndpointID: fmt.Sprint("i-", k), Of: of})
		if a, ok := f.answers[of]; !ok || a.Err != nil {
			t.Fatalf("%+v %v", a, ok)
		}
	}
	f.pass(time.Second)
	for k := range 40 {
		if n := f.used(k); n > 0 {
			t.Errorf("engine %d has signed off, and %d of 12 use it", k, n)
		}
	}
	for range 50 {
		f.pass(1500 * time.Millisecond)
		f.beat(1, 40, uint64(f.now.Milliseconds()), endpoints.StateReady)
	}
	for i, n := range f.nodes {
		if n.Endpoints.Len() != 1 || n.Gossip.ItemCount() > 2 {
			t.Errorf("node %d knows %d engines, %d items", i, n.Endpoints.Len(), n.Gossip.ItemCount())
		}
	}
}

func TestAllHearOfForgottenConnections(t *testing.T) {
	f := newFleet(30)
	f.do(9, IdleDropObserved{})
	f.do(9, IdleDropObserved{}) // not news so soon
	f.pass(time.Second)
	for i, n := range f.forgets {
		if n != 1 && i != 9 {
			t.Errorf("node %d was told %d times", i, n)
		}
	}
}

// BenchmarkRouter plays fleets of sizes with four engines a router, which call their homes, and tells what a router and a
// keeper send a second for it.
func BenchmarkRouter(b *testing.B) {
	for _, size := range []int{59, 86, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(keepers + size)
			engines := 4 * size
			for k := range engines {
				f.beat(keepers+k%size, k, 1, endpoints.StateReady)
			}
			f.pass(5 * time.Second)
			clear(f.sent)
			calls, seconds := uint64(1), 0.0
			for b.Loop() {
				calls++
				for k := range engines {
					f.beat(k%keepers, k, calls, endpoints.StateReady)
				}
				f.pass(1500 * time.Millisecond)
				seconds += 1.5
			}
			router, keeper := 0, 0
			for i, n := range f.sent {
				if i < keepers {
					keeper += n
				} else {
					router += n
				}
			}
			b.ReportMetric(float64(router)/seconds/float64(size), "bytes/router-s")
			b.ReportMetric(float64(keeper)/seconds/keepers, "bytes/keeper-s")
		})
	}
}
