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

// Node is the protocol state of one process. It is not safe for concurrent use.
type Node struct {
	self    Peer
	rng     *rand.Rand
	now     time.Duration
	effects []Effect

	view         map[PeerID]*peerState
	replicas     map[PeerID]*replicaState // in addition to the view
	seeds        []netip.AddrPort
	lostPeers    []netip.AddrPort // addresses of dropped peers, the most recent last
	shuffleCount int
	nextShuffle  time.Duration

	items              itemStore
	comparingWith      PeerID // the peer that got the root digest and has not confirmed that its items are equal; 0 = none
	compareRetriesLeft int    // of the pending comparison
	nextCompare        time.Duration
	nextCompareRetry   time.Duration // of the pending comparison

	broadcastQueue []Item
	nextBroadcast  time.Duration // of items and heartbeats
	urgent         map[ackID]*urgentBroadcast
	lastAckID      ackID
	storeRequests  map[StorageID]storeRequest
	lastStorageID  StorageID

	heartbeatQueue map[uint64]timedHeartbeat   // by key
	relayQueue     map[PeerID][]timedHeartbeat // by destination replica

	voters       []PeerID      // nil = unknown
	contactSince time.Duration // start of the current contact with a majority of the voters; noContact = no contact

	// IsStale reports whether an item is obsolete. The node ignores obsolete items of other nodes. nil = no item is obsolete.
	IsStale func(*Item) bool
	// SentBytes and SentPackets count the sent datagrams; bytes include UDP and IPv4 headers.
	SentBytes, SentPackets uint64
}

// headerBytes is the size of the headers of IPv4 and UDP.
const headerBytes = 28

// New returns a node with an empty view.
func New(self Peer, seed uint64) *Node {
	self.Flags |= FlagComparesContent
	if self.isReplica() {
		self.Flags |= FlagStoresItems
	}
	return &Node{
		self:           self,
		rng:            rand.New(rand.NewPCG(seed, uint64(self.ID))),
		view:           map[PeerID]*peerState{},
		replicas:       map[PeerID]*replicaState{},
		items:          newItemStore(),
		urgent:         map[ackID]*urgentBroadcast{},
		storeRequests:  map[StorageID]storeRequest{},
		lastAckID:      firstAckID(self.ID, seed),
		heartbeatQueue: map[uint64]timedHeartbeat{},
		relayQueue:     map[PeerID][]timedHeartbeat{},
		contactSince:   noContact,
	}
}

// Reduce handles an event at the time now and returns its effects, which are valid until the next call.
func (n *Node) Reduce(now time.Duration, e Event) []Effect {
	n.now = max(n.now, now)
	clear(n.effects)
	n.effects = n.effects[:0]
	switch e := e.(type) {
	case PacketReceived:
		if p, err := decode(e.Payload); err == nil && p.from.ID != n.self.ID && p.from.Addr.IsValid() {
			n.handlePacket(p)
		}
	case Tick: // every event runs the due timers
	case Broadcast:
		n.broadcast(e)
	case UrgentBroadcast:
		n.startUrgent(e)
	case ItemsStored:
		n.completeStorage(e)
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

// NextTimer returns the time at which the node needs its next [Tick].
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

// hasBroadcast reports whether the next broadcast round has anything to send. Replicas send each other heartbeat packets in every
// round, which show that they are reachable.
func (n *Node) hasBroadcast() bool {
	return len(n.broadcastQueue) > 0 || len(n.heartbeatQueue) > 0 || n.self.isReplica() && len(n.replicas) > 0
}

// jitter draws a duration between 0.5 and 1.5 times mean.
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
	case kindDurableItems:
		n.handleDurableItems(p)
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

// send encodes a packet and emits a [SendPacket] effect. Packets to the node's own address are dropped.
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

// Hash returns the hash of a key, as digests and heartbeats contain it.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// PeerIDOf returns the id of the process with a name: the hash of the name.
func PeerIDOf(name string) PeerID { return PeerID(Hash(name)) }

// CombineHashes hashes two numbers into one. The result is the same on every node, so that nodes can use it to make equal choices.
func CombineHashes(a, b uint64) uint64 {
	var x [16]byte
	binary.BigEndian.PutUint64(x[:8], a)
	binary.BigEndian.PutUint64(x[8:], b)
	return xxhash.Sum64(x[:])
}

// sortedKeys returns the sorted keys of a map, so that effects and random draws do not depend on its iteration order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
