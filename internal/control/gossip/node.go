package gossip

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is one process's part in the protocol. It is not safe for concurrent use.
type Node struct {
	self    Peer
	rng     *rand.Rand
	now     time.Duration
	effects []Effect

	view         map[PeerID]*peerState
	replicas     map[PeerID]*replicaState // known beside the view
	seeds        []netip.AddrPort
	lostPeers    []netip.AddrPort // addresses of dropped peers, the latest last
	shuffleCount int
	nextShuffle  time.Duration

	items              itemStore
	comparingWith      PeerID // the peer that was sent a digest and has not said that it has the same; 0 = none
	compareRetriesLeft int    // of the current comparison
	nextCompare        time.Duration
	nextCompareRetry   time.Duration // of the current comparison

	broadcastQueue []Item
	nextBroadcast  time.Duration // also of heartbeats
	urgent         map[ackID]*urgentBroadcast
	lastAckID      ackID

	heartbeatQueue map[uint64]timedHeartbeat   // by the heartbeat's key
	relayQueue     map[PeerID][]timedHeartbeat // by the replica that they are for

	voters       []PeerID      // nil = unknown
	contactSince time.Duration // in contact with a majority of the voters; noContact = not

	// IsStale reports whether an item is obsolete, so that it is not taken over from other nodes any more. nil = none is.
	IsStale func(*Item) bool
	// SentBytes and SentPackets count the datagrams sent, with the headers of UDP and IPv4.
	SentBytes, SentPackets uint64
}

// headerBytes is the size of the headers of IPv4 and UDP.
const headerBytes = 28

// New returns a node that knows no peers.
func New(self Peer, seed uint64) *Node {
	self.Flags |= FlagComparesContent
	return &Node{
		self:           self,
		rng:            rand.New(rand.NewPCG(seed, uint64(self.ID))),
		view:           map[PeerID]*peerState{},
		replicas:       map[PeerID]*replicaState{},
		items:          newItemStore(),
		urgent:         map[ackID]*urgentBroadcast{},
		lastAckID:      firstAckID(self.ID, seed),
		heartbeatQueue: map[uint64]timedHeartbeat{},
		relayQueue:     map[PeerID][]timedHeartbeat{},
		contactSince:   noContact,
	}
}

// Reduce handles an event at the time now. The effects are valid until the next call.
func (n *Node) Reduce(now time.Duration, e Event) []Effect {
	n.now = max(n.now, now)
	clear(n.effects)
	n.effects = n.effects[:0]
	switch e := e.(type) {
	case PacketReceived:
		if p, err := decode(e.Payload); err == nil && p.from.ID != n.self.ID && p.from.Addr.IsValid() {
			n.handlePacket(p)
		}
	case Tick: // timers run after every event
	case Broadcast:
		n.broadcast(e)
	case UrgentBroadcast:
		n.startUrgent(e)
	case HeartbeatObserved:
		n.queueHeartbeat(e.Heartbeat)
	case RelayHeartbeat:
		n.relayHeartbeat(e)
	case VotersChanged:
		n.voters = e.IDs
	case SeedsChanged:
		n.seeds = e.Addrs
		n.shuffleWithSeeds()
	case CallCompleted:
		n.recordCall(e)
	}
	n.runTimers()
	return n.effects
}

// NextTimer returns when the node expects a Tick.
func (n *Node) NextTimer() time.Duration {
	next := min(n.nextCompare, n.nextShuffle)
	if n.canRetryCompare() {
		next = min(next, n.nextCompareRetry)
	}
	if n.hasBroadcast() {
		next = min(next, n.nextBroadcast)
	}
	for _, u := range n.urgent {
		next = min(next, u.deadline)
	}
	return next
}

func (n *Node) runTimers() {
	n.runUrgentTimers()
	if n.now >= n.nextBroadcast && n.hasBroadcast() {
		n.nextBroadcast = n.now + BroadcastInterval
		n.sendBroadcast()
		n.sendHeartbeats()
	}
	n.runCompareTimer()
	if n.now >= n.nextShuffle {
		n.nextShuffle = n.now + n.jitter(shuffleInterval)
		n.dropUnresponsive()
		n.shuffle()
		n.probeOutsideView()
	}
}

// hasBroadcast reports whether the next broadcast round has something to send. Replicas always send heartbeat packets to each
// other, which show that they are there.
func (n *Node) hasBroadcast() bool {
	return len(n.broadcastQueue) > 0 || len(n.heartbeatQueue) > 0 || n.self.isReplica() && len(n.replicas) > 0
}

// jitter draws a duration between half and one and a half of mean.
func (n *Node) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.rng.Int64N(int64(mean)))
}

func (n *Node) handlePacket(p *packet) {
	n.recordSender(p.from)
	switch p.kind {
	case kindItems:
		n.mergeReceivedItems(p)
	case kindUrgentItems:
		n.handleUrgentItems(p)
	case kindHeartbeats:
		n.handleHeartbeats(p)
	case kindAck:
		n.handleAck(p)
	case kindRootDigest:
		n.handleRootDigest(p)
	case kindBucketDigests:
		n.handleBucketDigests(p)
	case kindVersions:
		n.handleVersions(p)
	case kindRangeDigests:
		n.handleRangeDigests(p)
	case kindRangeVersions:
		n.handleRangeVersions(p)
	case kindItemRequest:
		n.handleItemRequest(p)
	case kindShuffle:
		n.handleShuffle(p)
	case kindShuffleReply:
		n.handleShuffleReply(p)
	}
}

// send encodes a packet and asks for it to be sent; packets to this node itself are dropped.
func (n *Node) send(to netip.AddrPort, p *packet) {
	if to == n.self.Addr {
		return
	}
	p.from = n.self
	b := p.encode()
	n.SentBytes += uint64(len(b)) + headerBytes
	n.SentPackets++
	n.effects = append(n.effects, SendPacket{To: to, Payload: b})
}

// Hash returns the hash of a key that digests and heartbeats carry.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// PeerIDOf returns the id of a process, the hash of its name.
func PeerIDOf(name string) PeerID { return PeerID(Hash(name)) }

// CombineHashes hashes two numbers into one. Nodes that combine the same numbers make the same choice.
func CombineHashes(a, b uint64) uint64 {
	var x [16]byte
	binary.BigEndian.PutUint64(x[:8], a)
	binary.BigEndian.PutUint64(x[8:], b)
	return xxhash.Sum64(x[:])
}

// sortedKeys lists the keys of a map in order, so that effects and random draws do not depend on the order of iteration.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
