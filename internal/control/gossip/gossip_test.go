package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// fleet is nodes with a network between them that loses, and cuts.
type fleet struct {
	nodes   []*Node
	byAddr  map[netip.AddrPort]int
	now     time.Duration
	rnd     *rand.Rand
	loss    float64
	cut     map[int]bool        // nobody hears it
	mute    map[int]bool        // it hears all, and nobody hears it
	deaf    map[int]bool        // the other way round
	apart   func(i, k int) bool // these two do not hear each other; nil = all do
	learnt  []map[string]uint64
	alive   []map[uint64]uint64
	confirm map[any]int
	packets int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{byAddr: map[netip.AddrPort]int{}, rnd: rand.New(rand.NewPCG(seed, 1)), cut: map[int]bool{}, mute: map[int]bool{},
		deaf: map[int]bool{}, confirm: map[any]int{}}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		self := Peer{ID: uint64(i + 1), Addr: addr, Zone: uint32(i % 3)}
		if i < 3 {
			self.Flags = FlagReplica
		}
		f.nodes = append(f.nodes, New(self, seed))
		f.byAddr[addr] = i
		f.learnt, f.alive = append(f.learnt, map[string]uint64{}), append(f.alive, map[uint64]uint64{})
	}
	var seeds []netip.AddrPort
	for i := range min(3, n) {
		seeds = append(seeds, f.nodes[i].self.Addr)
	}
	for i := range n {
		f.do(i, SeedsChanged{seeds})
	}
	return f
}

type delivery struct {
	to int
	b  []byte
}

// do has a node take an event, and all that follows at once.
func (f *fleet) do(i int, e Event) {
	queue := []delivery{}
	f.one(i, e, &queue)
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		f.one(d.to, PacketReceived{d.b}, &queue)
	}
}

func (f *fleet) one(i int, e Event, queue *[]delivery) {
	events := []Event{e}
	for len(events) > 0 {
		e, events = events[0], events[1:]
		for _, x := range f.nodes[i].Reduce(f.now, e) {
			switch x := x.(type) {
			case SendPacket:
				f.packets++
				to, ok := f.byAddr[x.To]
				if len(x.Payload) > MaxPacketBytes+300 {
					panic(fmt.Sprintf("a datagram of %d bytes", len(x.Payload)))
				}
				if ok && !f.cut[i] && !f.cut[to] && !f.mute[i] && !f.deaf[to] && (f.apart == nil || !f.apart(i, to)) && f.rnd.Float64() >= f.loss {
					*queue = append(*queue, delivery{to, x.Payload})
				}
			case ItemLearned:
				f.learnt[i][x.Item.Key] = x.Item.Version
			case HeartbeatLearned:
				if x.Heartbeat.Sequence > f.alive[i][x.Heartbeat.Key] {
					f.alive[i][x.Heartbeat.Key] = x.Heartbeat.Sequence
					events = append(events, RelayHeartbeat{Heartbeat: x.Heartbeat, From: x.From})
				}
			case BroadcastCompleted:
				f.confirm[x.Of] = x.Acks
			}
		}
	}
}

// pass lets time pass.
func (f *fleet) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 50 * time.Millisecond
		for i, n := range f.nodes {
			if n.NextTimer() <= f.now {
				f.do(i, Tick{})
			}
		}
	}
}

func (f *fleet) have(key string, version uint64) (n int) {
	for _, x := range f.nodes {
		if i := x.items[key]; i != nil && i.Version == version {
			n++
		}
	}
	return n
}

func TestNewsReachesAll(t *testing.T) {
	for _, size := range []int{2, 14, 60, 200} {
		f := newFleet(size, 7)
		f.loss = 0.05
		f.pass(6 * time.Second)
		f.do(size-1, Broadcast{Items: []Item{{Kind: 1, Key: "k", Version: 3, Body: []byte("b")}}, Urgent: true, Of: "k", MinAcks: 2})
		f.pass(1200 * time.Millisecond) // limits.NodeSpread
		if n := f.have("k", 3); n < size*97/100 {
			t.Errorf("%d nodes: after 1.2 s %d have the news", size, n)
		}
		if f.confirm["k"] < min(2, size-1) {
			t.Errorf("%d nodes: %d words back", size, f.confirm["k"])
		}
		f.pass(8 * time.Second)
		if n := f.have("k", 3); n != size {
			t.Errorf("%d nodes: digests have left %d without the news", size, size-n)
		}
	}
}

func TestGapsAreMendedAfterACut(t *testing.T) {
	f := newFleet(14, 3)
	f.pass(5 * time.Second)
	f.cut[9] = true
	for i := range 40 {
		f.do(i%9, Broadcast{Items: []Item{{Kind: 1, Key: fmt.Sprint("k", i), Version: 1, Body: make([]byte, 100)}}})
	}
	f.pass(5 * time.Second)
	f.do(9, Broadcast{Items: []Item{{Kind: 1, Key: "own", Version: 1}}})
	if len(f.nodes[9].items) != 1 {
		t.Fatalf("%d items reach who is cut off", len(f.nodes[9].items))
	}
	f.cut[9] = false
	f.pass(10 * time.Second)
	for i, n := range f.nodes {
		if len(n.items) != 41 {
			t.Errorf("node %d has %d of 41 items", i, len(n.items))
		}
	}
}

func TestCutOneWay(t *testing.T) {
	// A node that is cut one way is no worse than one that is cut off: what it can hear it has, the others are not held up,
	// and once the cut is over everything is everywhere.
	for name, cut := range map[string]func(f *fleet) map[int]bool{
		"it is not heard":  func(f *fleet) map[int]bool { return f.mute },
		"it does not hear": func(f *fleet) map[int]bool { return f.deaf },
	} {
		f := newFleet(14, 3)
		f.pass(5 * time.Second)
		cut(f)[9] = true
		for i := range 20 {
			f.do(i%9, Broadcast{Items: []Item{{Kind: 1, Key: fmt.Sprint("k", i), Version: 1}}, Urgent: true, Of: i, MinAcks: 2})
			f.pass(300 * time.Millisecond)
		}
		f.do(9, Broadcast{Items: []Item{{Kind: 1, Key: "own", Version: 1}}})
		f.pass(2 * time.Second)
		for i := range 20 {
			if n := f.have(fmt.Sprint("k", i), 1); n < 13 {
				t.Errorf("%s: item %d has reached %d of the 13 others", name, i, n)
			}
			if f.confirm[i] < 2 {
				t.Errorf("%s: item %d was confirmed by %d", name, i, f.confirm[i])
			}
		}
		clear(cut(f))
		f.pass(10 * time.Second)
		for i, n := range f.nodes {
			if len(n.items) != 21 {
				t.Errorf("%s: node %d has %d of 21 items afterwards", name, i, len(n.items))
			}
		}
	}
}

// restart has a node's process start anew, under other seeds.
func (f *fleet) restart(i int, seeds ...int) {
	f.nodes[i] = New(f.nodes[i].self, uint64(1000+i)+uint64(f.now))
	f.learnt[i], f.alive[i] = map[string]uint64{}, map[uint64]uint64{}
	f.do(i, SeedsChanged{addrs(seeds)})
}

func addrs(seeds []int) (all []netip.AddrPort) {
	for _, s := range seeds {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(s >> 8), byte(s)}), 7000))
	}
	return all
}

// add has a further node come, and returns its number.
func (f *fleet) add(seeds ...int) int {
	i := len(f.nodes)
	f.nodes = append(f.nodes, New(Peer{ID: uint64(i + 1), Addr: addrs([]int{i})[0]}, uint64(i)))
	f.byAddr[addrs([]int{i})[0]] = i
	f.learnt, f.alive = append(f.learnt, map[string]uint64{}), append(f.alive, map[uint64]uint64{})
	f.do(i, SeedsChanged{addrs(seeds)})
	return i
}

func TestSeedsThatAreDownOrStale(t *testing.T) {
	// Of the seeds one is cut off, one is an address where nobody is any more, and only one is there; and where none is at
	// first, a node finds the others as soon as one is.
	f := newFleet(14, 8)
	f.pass(5 * time.Second)
	f.do(4, Broadcast{Items: []Item{{Kind: 1, Key: "k", Version: 1}}})
	f.cut[0] = true
	f.restart(9, 0, 500, 2)
	newcomer := f.add(0, 500, 501)
	f.pass(6 * time.Second)
	if n := f.nodes[9]; n.items["k"] == nil || len(n.view) < 4 {
		t.Errorf("one seed of three is there: %d items, %d others known", len(n.items), len(n.view))
	}
	if n := f.nodes[newcomer]; len(n.view) > 0 {
		t.Errorf("no seed is there, and %d others are known", len(n.view))
	}
	delete(f.cut, 0)
	f.pass(6 * time.Second)
	if n := f.nodes[newcomer]; n.items["k"] == nil || len(n.view) < 4 {
		t.Errorf("once a seed is back: %d items, %d others known", len(n.items), len(n.view))
	}
}

func TestAZoneStartsAnew(t *testing.T) {
	// All processes of a zone start anew at once, a keeper and seed among them. They find the others, take in what they have
	// missed, and the others find them again.
	f := newFleet(42, 4)
	f.pass(6 * time.Second)
	for i := range 30 {
		f.do(i, Broadcast{Items: []Item{{Kind: 1, Key: fmt.Sprint("k", i), Version: 2}}})
	}
	f.pass(3 * time.Second)
	for i := 1; i < 42; i += 3 {
		f.restart(i, 0, 1, 2)
	}
	f.pass(10 * time.Second)
	for i, n := range f.nodes {
		if len(n.items) != 30 || len(n.view) < 4 || len(n.Replicas()) < 2 {
			t.Errorf("node %d has %d of 30 items, knows %d others and %d keepers", i, len(n.items), len(n.view), len(n.Replicas()))
		}
	}
	f.do(7, Broadcast{Items: []Item{{Kind: 1, Key: "k7", Version: 3}}}) // one of those that started anew
	f.pass(1200 * time.Millisecond)
	if n := f.have("k7", 3); n < 40 {
		t.Errorf("news of one of them has reached %d of 42", n)
	}
}

func TestOldNewsIsNotTakenBack(t *testing.T) {
	f := newFleet(5, 1)
	f.pass(3 * time.Second)
	f.do(0, Broadcast{Items: []Item{{Kind: 1, Key: "k", Version: 5, Body: []byte("new")}}})
	f.pass(3 * time.Second)
	f.do(4, Broadcast{Items: []Item{{Kind: 1, Key: "k", Version: 4, Body: []byte("old")}}})
	f.pass(3 * time.Second)
	if n := f.have("k", 5); n != 5 {
		t.Errorf("%d of 5 have the newest", n)
	}
}

// TestSignsOfLife: they reach the keepers, from wherever they are heard, and burden nobody else.
func TestSignsOfLife(t *testing.T) {
	f := newFleet(60, 5)
	f.pass(4 * time.Second)
	for _, i := range []int{0, 2, 40} {
		f.do(i, HeartbeatObserved{Heartbeat{Key: uint64(77 + i), Sequence: 9}})
	}
	f.pass(time.Second)
	for i, a := range f.alive {
		for _, from := range []int{0, 2, 40} {
			if heard := a[uint64(77+from)] == 9; heard != (i < 3 && i != from) {
				t.Errorf("node %d of 60, signs heard at %d: %v", i, from, heard)
			}
		}
	}
}

// TestKeepersThatDoNotHearEachOther: of three, two hear the third and not each other. What one has heard reaches the other,
// a tick later, and nothing is passed on once they hear each other again.
func TestKeepersThatDoNotHearEachOther(t *testing.T) {
	f := newFleet(6, 5)
	f.apart = func(i, k int) bool { return min(i, k) == 0 && max(i, k) == 1 }
	f.pass(6 * time.Second)
	f.do(0, HeartbeatObserved{Heartbeat{Key: 77, Sequence: 9}})
	f.pass(3 * BroadcastInterval)
	if f.alive[1][77] != 9 || f.alive[2][77] != 9 || f.alive[4][77] != 0 {
		t.Errorf("a sign of life that keeper 0 has heard: %v", f.alive)
	}
	f.apart = nil
	f.pass(4 * BroadcastInterval)
	for i, n := range f.nodes {
		if n.relay(RelayHeartbeat{Heartbeat: Heartbeat{Key: 78, Sequence: 1}, From: 1}); len(n.relays) > 0 {
			t.Errorf("node %d passes on what all have heard: %v", i, n.relays)
		}
	}
}

// TestKeepersAreFoundSoon: a keeper and two routers start anew behind a cut, and know one another when it is over for the keeper. It
// finds those that stayed within two seconds, though its view has others in it, who know of none.
func TestKeepersAreFoundSoon(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(5, seed)
		f.apart = func(i, k int) bool { return (i < 2) != (k < 2) }
		for i := range f.nodes { // all start anew, so that nobody remembers it
			f.nodes[i] = New(f.nodes[i].self, seed)
		}
		for i := range f.nodes {
			last := f.nodes[3].self.Addr
			if i < 2 {
				last = f.nodes[0].self.Addr
			}
			f.do(i, SeedsChanged{[]netip.AddrPort{f.nodes[0].self.Addr, f.nodes[1].self.Addr, last}})
		}
		f.pass(3 * time.Second)
		n := f.nodes[2]
		if len(n.Replicas()) != 0 || len(n.Peers()) < 2 {
			t.Fatalf("it knows %d keepers and %d others", len(n.Replicas()), len(n.Peers()))
		}
		f.apart = func(i, k int) bool { return min(i, k) < 2 && max(i, k) > 2 }
		f.pass(2 * time.Second)
		if len(n.Replicas()) != 2 {
			t.Errorf("seed %d: two seconds after the cut it knows %d keepers", seed, len(n.Replicas()))
		}
	}
}

// TestWhoIsHeardNeedNotAnswer: a keeper that does not answer a router's calls counts as not answering though it is heard, until it
// answers one.
func TestWhoIsHeardNeedNotAnswer(t *testing.T) {
	f := newFleet(6, 5)
	f.pass(4 * time.Second)
	n := f.nodes[5]
	keepers := len(n.ResponsiveReplicas())
	for _, ok := range []bool{false, true} {
		for _, k := range n.Replicas() {
			f.do(5, CallCompleted{k.ID, ok})
		}
		f.pass(2 * time.Second)
		if got := len(n.ResponsiveReplicas()); keepers != 3 || ok && got != keepers || !ok && got != 0 {
			t.Errorf("answered %v: %d of %d keepers are said to answer", ok, got, keepers)
		}
	}
}

// TestSignsOfTheGap: two keepers stop hearing each other, and until they have noticed nobody passes on what one tells the other: what
// was told meanwhile is passed on then.
func TestSignsOfTheGap(t *testing.T) {
	for wait := time.Duration(0); wait < touch; wait += 200 * time.Millisecond {
		f := newFleet(6, 5)
		f.pass(6 * time.Second)
		f.apart = func(i, k int) bool { return min(i, k) == 0 && max(i, k) == 1 }
		f.pass(wait)
		f.do(0, HeartbeatObserved{Heartbeat{Key: 77, Sequence: 9}})
		f.pass(touch + 4*BroadcastInterval)
		if f.alive[1][77] != 9 {
			t.Errorf("what was heard %v after they were parted has not come: %v", wait, f.alive)
		}
	}
}

// TestPartsFindEachOther: two halves, a keeper and a seed at least in each, do not hear each other for longer than anybody is
// remembered, with views that are full of those of one's own half. They are one fleet again within a minute.
func TestPartsFindEachOther(t *testing.T) {
	f := newFleet(90, 9)
	f.pass(5 * time.Second)
	f.apart = func(i, k int) bool { return i%2 != k%2 }
	f.pass(keeperGone + 20*time.Second)
	f.do(1, Broadcast{Items: []Item{{Kind: 1, Key: "k", Version: 1}}})
	f.pass(5 * time.Second)
	if n := f.have("k", 1); n != 45 || len(f.nodes[0].Replicas()) != 1 {
		t.Fatalf("%d have it, and keeper 0 knows %d others", n, len(f.nodes[0].Replicas()))
	}
	f.apart = nil
	f.pass(time.Minute)
	if n := f.have("k", 1); n != 90 {
		t.Errorf("a minute after the cut %d of 90 have the news", n)
	}
}

// TestKeepersFeelACut: a keeper that is cut off from the others, one way or both, knows within three seconds that it is
// out of touch, and the others stay in touch; as it does again once the cut is over.
func TestKeepersFeelACut(t *testing.T) {
	for name, cut := range map[string]func(f *fleet) map[int]bool{
		"both ways":        func(f *fleet) map[int]bool { return f.cut },
		"it is not heard":  func(f *fleet) map[int]bool { return f.mute },
		"it does not hear": func(f *fleet) map[int]bool { return f.deaf },
	} {
		f := newFleet(20, 6)
		for i := range f.nodes {
			f.do(i, VotersChanged{[]uint64{1, 2, 3}})
		}
		feels := func(want ...bool) {
			t.Helper()
			for i, w := range want {
				if _, ok := f.nodes[i].QuorumContact(); ok != w {
					t.Errorf("%s: keeper %d in touch: %v at %v", name, i, ok, f.now)
				}
			}
		}
		f.pass(4 * time.Second)
		feels(true, true, true)
		cut(f)[1] = true
		f.pass(touch + 3*BroadcastInterval)
		feels(true, false, true)
		clear(cut(f))
		f.pass(2 * BroadcastInterval)
		feels(true, true, true)
		if d, _ := f.nodes[1].QuorumContact(); d > 2*BroadcastInterval {
			t.Errorf("%s: in touch for %v again", name, d)
		}
	}
}

func TestIdleCostDoesNotGrowWithTheFleet(t *testing.T) {
	cost := func(size int) float64 {
		f := newFleet(size, 2)
		f.pass(10 * time.Second)
		var before uint64
		for _, n := range f.nodes {
			before += n.SentBytes
		}
		f.pass(20 * time.Second)
		var after uint64
		for _, n := range f.nodes {
			after += n.SentBytes
		}
		return float64(after-before) / 20 / float64(size)
	}
	small, large := cost(14), cost(200)
	t.Logf("bytes a second and node: %.0f with 14, %.0f with 200", small, large)
	if large > 1.6*small || small > 2000 {
		t.Errorf("bytes a second and node: %.0f with 14, %.0f with 200", small, large)
	}
}

func TestAllMeet(t *testing.T) {
	f := newFleet(40, 11)
	f.pass(20 * time.Second)
	for i, n := range f.nodes {
		if len(n.view) < 4 || len(n.view) > viewSize {
			t.Errorf("node %d knows %d others", i, len(n.view))
		}
		want := 3
		if i < 3 {
			want = 2
		}
		if len(n.Replicas()) != want {
			t.Errorf("node %d knows %d keepers", i, len(n.Replicas()))
		}
	}
}

func FuzzPacket(f *testing.F) {
	n := New(Peer{ID: 1, Addr: netip.MustParseAddrPort("10.0.0.1:7000")}, 1)
	p := packet{kind: kindNews, from: n.self, items: []Item{{Kind: 1, Key: "k", Version: 2, Body: []byte("x")}}}
	f.Add(p.encode())
	p = packet{kind: kindSigns, from: n.self, hears: []uint64{4}, signs: []Heartbeat{{1, 2, 3}}}
	f.Add(p.encode())
	for kind := kindNews; kind <= kindRoot; kind++ {
		p := packet{kind: kind, from: Peer{ID: 2, Addr: netip.MustParseAddrPort("10.0.0.2:7000")}, buckets: make([]uint64, buckets),
			wants: []want{{3, []have{{1, 2}}}}, peers: []Peer{n.self}}
		f.Add(p.encode())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := decode(b)
		if err != nil {
			return
		}
		if _, err := decode(p.encode()); err != nil {
			t.Errorf("what was read cannot be read again: %v", err)
		}
		n := New(Peer{ID: 1, Addr: netip.MustParseAddrPort("10.0.0.1:7000")}, 1)
		n.Reduce(time.Second, PacketReceived{b})
		n.Reduce(time.Minute, Tick{})
	})
}

// BenchmarkIdle plays a second of a fleet in which nothing happens, and tells what a node sends and takes for it.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{14, 200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFleet(size, 2)
			f.pass(10 * time.Second)
			packets := f.packets
			var before, after uint64
			for _, n := range f.nodes {
				before += n.SentBytes
			}
			seconds := 0
			for b.Loop() {
				f.pass(time.Second)
				seconds++
			}
			for _, n := range f.nodes {
				after += n.SentBytes
			}
			per := float64(seconds * size)
			b.ReportMetric(float64(after-before)/per, "bytes/node-s")
			b.ReportMetric(float64(f.packets-packets)/per, "packets/node-s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/per, "ns/node-s")
		})
	}
}

// TestKeepersThatAnswerComeFirst: in a large fleet a keeper's own packets come seldom; what its calls show counts, too.
func TestKeepersThatAnswerComeFirst(t *testing.T) {
	f := newFleet(60, 5)
	f.pass(4 * time.Second)
	n := f.nodes[30]
	if len(n.Replicas()) != 3 {
		t.Fatalf("%d keepers are known", len(n.Replicas()))
	}
	first := n.Replicas()[0].ID
	f.do(30, CallCompleted{PeerID: first, Answered: false})
	if all := n.ResponsiveReplicas(); len(all) != 2 || n.Replicas()[2].ID != first {
		t.Errorf("one that has not answered a call: %v, the last is %v", all, n.Replicas()[2].ID)
	}
	f.do(30, CallCompleted{PeerID: first, Answered: true})
	if n.Replicas()[0].ID != first {
		t.Error("one that answers again does not come first")
	}
	for _, k := range n.Replicas() {
		f.do(30, CallCompleted{PeerID: k.ID, Answered: false})
	}
	if len(n.ResponsiveReplicas()) != 0 || len(n.Replicas()) != 3 {
		t.Error("where none answers nobody is sent there, and this node still tries all")
	}
}

// TestKeepersAreInTouchAtOnce: keepers that all start anew at one moment say whom they hear as soon as they hear somebody, and
// do not wait for their ticks.
func TestKeepersAreInTouchAtOnce(t *testing.T) {
	f := newFleet(12, 3)
	for i := range f.nodes {
		f.do(i, VotersChanged{[]uint64{1, 2, 3}})
	}
	f.pass(BroadcastInterval + 50*time.Millisecond)
	for i, n := range f.nodes[:3] {
		if _, ok := n.QuorumContact(); !ok {
			t.Errorf("keeper %d is not in touch after %v", i, f.now)
		}
	}
}
