package discovery

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

const (
	heartbeatTimeout  = 5 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	testReplicas      = 3 // the first nodes of a fleet
)

// fleet is a set of nodes on a simulated network that delivers packets at once. Node i has the zone i%3.
type fleet struct {
	nodes       []*Node
	now         time.Duration
	isLost      func(from, to int) bool // whether a packet is lost
	lastRequest RequestID
	replies     map[RequestID]Reply
	idleDrops   []int                         // number of IdleDropReported effects by node
	sentBytes   []int                         // by node, with IPv4 and UDP headers
	disks       []map[string]endpoints.Record // stored records by replica
	fullDisks   map[int]bool                  // replicas whose disk refuses writes
}

func newFleet(size int) *fleet {
	f := &fleet{
		now: time.Hour, replies: map[RequestID]Reply{}, nodes: make([]*Node, size), idleDrops: make([]int, size), sentBytes: make([]int, size),
		fullDisks: map[int]bool{},
	}
	f.heal()
	for range testReplicas {
		f.disks = append(f.disks, map[string]endpoints.Record{})
	}
	f.startAll(0)
	f.advance(10 * time.Second)
	return f
}

// startAll starts all nodes with empty memory and the records on their disks.
func (f *fleet) startAll(seed uint64) {
	var voters []gossip.PeerID
	for i := range f.nodes {
		self := gossip.Peer{ID: gossip.PeerIDOf(fmt.Sprint("n", i)), Addr: testAddr(i), Zone: uint32(i % 3), Flags: gossip.FlagRouter}
		if i < testReplicas {
			self.Flags = gossip.FlagReplica
			voters = append(voters, self.ID)
		}
		f.nodes[i] = New(Options{
			Self: self, Seed: seed + uint64(i), HeartbeatTimeout: heartbeatTimeout, ZoneHash: func(z string) uint32 { return uint32(len(z)) },
			MinStored: testReplicas/2 + 1,
		})
	}
	for i := range f.nodes {
		if i < testReplicas {
			f.reduce(i, RecordsRestored{slices.Collect(maps.Values(f.disks[i]))})
			f.reduce(i, Gossip{gossip.VotersChanged{IDs: voters}})
		}
		f.reduce(i, Gossip{gossip.SeedsChanged{Addrs: testAddrs(0, 1)}})
	}
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

// heal removes all network faults.
func (f *fleet) heal() { f.isLost = func(int, int) bool { return false } }

// reduce passes an event to a node, and delivers all packets that result from it, directly or indirectly.
func (f *fleet) reduce(i int, e Event) {
	type delivery struct {
		to    int
		event Event
	}
	for queue := []delivery{{i, e}}; len(queue) > 0; queue = queue[1:] {
		from := queue[0].to
		for _, x := range f.nodes[from].Reduce(f.now, f.now.Milliseconds(), queue[0].event) {
			switch x := x.(type) {
			case SendPacket:
				f.sentBytes[from] += len(x.Payload) + 28
				a := x.To.Addr().As4()
				if to := int(a[2])<<8 | int(a[3]); to < len(f.nodes) && !f.isLost(from, to) {
					queue = append(queue, delivery{to, Gossip{gossip.PacketReceived{Payload: x.Payload}}})
				}
			case Reply:
				f.replies[x.Request] = x
			case IdleDropReported:
				f.idleDrops[from]++
			case StoreRecords:
				isStored := !f.fullDisks[from]
				for _, r := range x.Records {
					if isStored {
						f.disks[from][r.ID] = r
					}
				}
				queue = append(queue, delivery{from, RecordsStored{Request: x, Stored: isStored}})
			case ForgetRecords:
				for _, id := range x.EndpointIDs {
					delete(f.disks[from], id)
				}
			}
		}
	}
}

// advance advances the clock in steps, and runs the due timers of all nodes after each.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		for i, n := range f.nodes {
			if n.NextTimer() <= f.now {
				f.reduce(i, Gossip{gossip.Tick{}})
			}
		}
	}
}

func endpointID(k int) string { return fmt.Sprint("i-", k) }

// testRecord returns a record of endpoint k. Its zone is that of node k%3.
func testRecord(k int, callCount uint64, s endpoints.State) endpoints.Record {
	return endpoints.Record{
		ID: endpointID(k), Service: "s", Addr: fmt.Sprintf("10.9.0.%d:80", k), Zone: strings.Repeat("z", k%3), CallCount: callCount, State: s,
	}
}

// heartbeat sends a heartbeat of endpoint k to a node, and returns the reply if it is available at once.
func (f *fleet) heartbeat(node, k int, callCount uint64, s endpoints.State) (Reply, bool) {
	f.lastRequest++
	request := f.lastRequest
	f.reduce(node, Heartbeat{Request: request, Record: testRecord(k, callCount, s)})
	reply, ok := f.replies[request]
	return reply, ok
}

// deregister deregisters endpoint k at a node, and returns the reply if it is available at once.
func (f *fleet) deregister(node, k int) (Reply, bool) {
	f.lastRequest++
	request := f.lastRequest
	f.reduce(node, Deregister{Request: request, EndpointID: endpointID(k)})
	reply, ok := f.replies[request]
	return reply, ok
}

// liveAt returns the number of nodes at which endpoint k is live.
func (f *fleet) liveAt(k int) (count int) {
	for _, n := range f.nodes {
		for _, e := range n.Endpoints.Live("s") {
			if e.ID == endpointID(k) {
				count++
			}
		}
	}
	return count
}
