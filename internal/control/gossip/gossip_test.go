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
	cut     map[int]bool // nobody hears it
	learnt  []map[string]uint64
	alive   []map[uint64]uint64
	confirm map[any]int
	packets int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{byAddr: map[netip.AddrPort]int{}, rnd: rand.New(rand.NewPCG(seed, 1)), cut: map[int]bool{}, confirm: map[any]int{}}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		self := Peer{ID: uint64(i + 1), Addr: addr, Zone: uint32(i % 3)}
		if i < 3 {
			self.Flags = Keeper
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
		f.do(i, Seeds{seeds})
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
		f.one(d.to, Packet{d.b}, &queue)
	}
}

func (f *fleet) one(i int, e Event, queue *[]delivery) {
	events := []Event{e}
	for len(events) > 0 {
		e, events = events[0], events[1:]
		for _, x := range f.nodes[i].Reduce(f.now, e) {
			switch x := x.(type) {
			case Send:
				f.packets++
				to, ok := f.byAddr[x.To]
				if len(x.Bytes) > MostPacket+300 {
					panic(fmt.Sprintf("a datagram of %d bytes", len(x.Bytes)))
				}
				if ok && !f.cut[i] && !f.cut[to] && f.rnd.Float64() >= f.loss {
					*queue = append(*queue, delivery{to, x.Bytes})
				}
			case Learnt:
				f.learnt[i][x.Item.Key] = x.Item.Version
			case Alive:
				if x.Sign.Count > f.alive[i][x.Sign.Key] {
					f.alive[i][x.Sign.Key] = x.Sign.Count
					events = append(events, Heard{x.Sign})
				}
			case Confirmed:
				f.confirm[x.Of] = x.N
			}
		}
	}
}

// pass lets time pass.
func (f *fleet) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 50 * time.Millisecond
		for i, n := range f.nodes {
			if n.Next() <= f.now {
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
		f.do(size-1, Publish{Items: []Item{{Kind: 1, Key: "k", Version: 3, Body: []byte("b")}}, Urgent: true, Of: "k", Need: 2})
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
		f.do(i%9, Publish{Items: []Item{{Kind: 1, Key: fmt.Sprint("k", i), Version: 1, Body: make([]byte, 100)}}})
	}
	f.pass(5 * time.Second)
	f.do(9, Publish{Items: []Item{{Kind: 1, Key: "own", Version: 1}}})
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

func TestOldNewsIsNotTakenBack(t *testing.T) {
	f := newFleet(5, 1)
	f.pass(3 * time.Second)
	f.do(0, Publish{Items: []Item{{Kind: 1, Key: "k", Version: 5, Body: []byte("new")}}})
	f.pass(3 * time.Second)
	f.do(4, Publish{Items: []Item{{Kind: 1, Key: "k", Version: 4, Body: []byte("old")}}})
	f.pass(3 * time.Second)
	if n := f.have("k", 5); n != 5 {
		t.Errorf("%d of 5 have the newest", n)
	}
}

func TestSignsOfLife(t *testing.T) {
	f := newFleet(14, 5)
	f.pass(4 * time.Second)
	f.do(2, Heard{Sign{Key: 77, Count: 9}})
	f.alive[2][77] = 9
	f.pass(2 * time.Second)
	n := 0
	for _, a := range f.alive {
		if a[77] == 9 {
			n++
		}
	}
	if n < 12 { // they are not mended: the next call is as good
		t.Errorf("%d of 14 have heard it", n)
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
		if len(n.Keepers()) != want {
			t.Errorf("node %d knows %d keepers", i, len(n.Keepers()))
		}
	}
}

func FuzzPacket(f *testing.F) {
	n := New(Peer{ID: 1, Addr: netip.MustParseAddrPort("10.0.0.1:7000")}, 1)
	p := packet{kind: kindNews, from: n.self, items: []Item{{Kind: 1, Key: "k", Version: 2, Body: []byte("x")}}, signs: []Sign{{1, 2, 3}}}
	f.Add(p.encode())
	for kind := kindNews; kind <= kindConfirm; kind++ {
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
		n.Reduce(time.Second, Packet{b})
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
