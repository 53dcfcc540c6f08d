package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

const testReplicas = 3 // the first nodes of a fleet

// fleet is a set of nodes on a simulated network. Node i has the peer id i+1 and the zone i%3.
type fleet struct {
	nodes          []*Node
	byAddr         map[netip.AddrPort]int
	now            time.Duration
	rng            *rand.Rand
	packets        int
	loss           float64             // probability that a packet is lost
	isolated       map[int]bool        // neither sends nor receives
	sendBlocked    map[int]bool        // receives packets, but its own are lost
	receiveBlocked map[int]bool        // sends packets, but receives none
	isPartitioned  func(i, k int) bool // packets between these nodes are lost; nil = no partition
	legacy         map[int]bool        // nodes of the previous release, which see other nodes as such, too
	heartbeats     []map[uint64]uint64 // by node: the latest learned sequence of each key
	acks           map[BroadcastID]int
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		byAddr: map[netip.AddrPort]int{}, rng: rand.New(rand.NewPCG(seed, 1)), acks: map[BroadcastID]int{},
		isolated: map[int]bool{}, sendBlocked: map[int]bool{}, receiveBlocked: map[int]bool{},
	}
	for i := range size {
		self := Peer{ID: PeerID(i + 1), Addr: testAddr(i), Zone: uint32(i % 3)}
		if i < testReplicas {
			self.Flags = FlagReplica
		}
		f.nodes = append(f.nodes, New(self, seed))
		f.byAddr[self.Addr] = i
		f.heartbeats = append(f.heartbeats, map[uint64]uint64{})
	}
	var seeds []int
	for i := range min(testReplicas, size) {
		seeds = append(seeds, i)
	}
	for i := range size {
		f.reduce(i, SeedsChanged{testAddrs(seeds...)})
	}
	f.setVoters()
	return f
}

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func testAddrs(indices ...int) (addrs []netip.AddrPort) {
	for _, i := range indices {
		addrs = append(addrs, testAddr(i))
	}
	return addrs
}

type delivery struct {
	to      int
	payload []byte
}

// reduce passes an event to a node, and delivers all packets that result from it, directly or indirectly.
func (f *fleet) reduce(i int, e Event) {
	queue := f.reduceOne(i, e)
	for len(queue) > 0 {
		d := queue[0]
		queue = append(queue[1:], f.reduceOne(d.to, PacketReceived{d.payload})...)
	}
}

// reduceOne passes an event to a node, and returns the resulting packets that are not lost.
func (f *fleet) reduceOne(i int, e Event) (deliveries []delivery) {
	events := []Event{e}
	for len(events) > 0 {
		e, events = events[0], events[1:]
		for _, x := range f.nodes[i].Reduce(f.now, e) {
			switch x := x.(type) {
			case SendPacket:
				f.packets++
				if len(x.Payload) > MaxPacketBytes {
					panic(fmt.Sprintf("a datagram has %d bytes, more than MaxPacketBytes", len(x.Payload)))
				}
				if to, ok := f.byAddr[x.To]; ok && f.delivers(i, to) {
					deliveries = append(deliveries, delivery{to, f.withoutUnknownFlags(to, x.Payload)})
				}
			case HeartbeatLearned:
				if x.Heartbeat.Sequence > f.heartbeats[i][x.Heartbeat.Key] {
					f.heartbeats[i][x.Heartbeat.Key] = x.Heartbeat.Sequence
					events = append(events, RelayHeartbeat(x))
				}
			case BroadcastCompleted:
				if x.Sufficient {
					f.acks[x.ID] = x.Acks
				}
			}
		}
	}
	return deliveries
}

// withoutUnknownFlags clears FlagComparesContent in a packet to a node of the previous release, which does not know it.
func (f *fleet) withoutUnknownFlags(to int, payload []byte) []byte {
	if !f.legacy[to] {
		return payload
	}
	p, err := decode(payload)
	if err != nil {
		panic(err)
	}
	p.from.Flags &^= FlagComparesContent
	return p.encode()
}

// delivers reports whether a packet arrives. It draws the random loss.
func (f *fleet) delivers(from, to int) bool {
	if f.isolated[from] || f.isolated[to] || f.sendBlocked[from] || f.receiveBlocked[to] {
		return false
	}
	if f.isPartitioned != nil && f.isPartitioned(from, to) {
		return false
	}
	return f.rng.Float64() >= f.loss
}

// advance advances the clock in steps, and runs the due timers of all nodes after each.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 50 * time.Millisecond
		for i, n := range f.nodes {
			if n.NextTimer() <= f.now {
				f.reduce(i, Tick{})
			}
		}
	}
}

// restart replaces a node by a new one with the same identity and the given seeds.
func (f *fleet) restart(i int, seeds ...int) {
	f.nodes[i] = New(f.nodes[i].self, uint64(1000+i)+uint64(f.now))
	f.heartbeats[i] = map[uint64]uint64{}
	f.reduce(i, SeedsChanged{testAddrs(seeds...)})
	f.reduce(i, VotersChanged{testVoters()})
}

// addNode adds a node with the given seeds, and returns its index.
func (f *fleet) addNode(seeds ...int) int {
	i := len(f.nodes)
	f.nodes = append(f.nodes, New(Peer{ID: PeerID(i + 1), Addr: testAddr(i)}, uint64(i)))
	f.byAddr[testAddr(i)] = i
	f.heartbeats = append(f.heartbeats, map[uint64]uint64{})
	f.reduce(i, SeedsChanged{testAddrs(seeds...)})
	return i
}

// testVoters returns the ids of the voters, which are all replicas.
func testVoters() (ids []PeerID) {
	for i := range testReplicas {
		ids = append(ids, PeerID(i+1))
	}
	return ids
}

// setVoters sends the ids of the voters to all nodes.
func (f *fleet) setVoters() {
	for i := range f.nodes {
		f.reduce(i, VotersChanged{testVoters()})
	}
}

func (n *Node) holds(key string) bool {
	_, ok := n.Item(key)
	return ok
}

// holders counts the nodes that hold a version of an item.
func (f *fleet) holders(key string, version uint64) (count int) {
	for _, n := range f.nodes {
		if i, ok := n.Item(key); ok && i.Version == version {
			count++
		}
	}
	return count
}

// testItem returns an item without a body.
func testItem(key string, version uint64) Item { return Item{Kind: 1, Key: key, Version: version} }

// oneWayFaults maps the direction of a link fault to the set of nodes that have it.
var oneWayFaults = map[string]func(f *fleet) map[int]bool{
	"send blocked":    func(f *fleet) map[int]bool { return f.sendBlocked },
	"receive blocked": func(f *fleet) map[int]bool { return f.receiveBlocked },
}
