package gossip

import "net/netip"

// Event is an input of [Node.Reduce].
type Event interface{ event() }

type (
	// PacketReceived is a datagram from another process.
	PacketReceived struct{ Payload []byte }
	// Tick runs the due timers. The caller sends it at the time of [Node.NextTimer].
	Tick struct{}
	// Broadcast disseminates items of this node in the next broadcast round. Items above [MaxItemBytes] and items that are not
	// newer than the stored ones are dropped.
	Broadcast struct{ Items []Item }
	// UrgentBroadcast sends items at once, even if the node has them already. If MinAcks > 0, a [BroadcastCompleted] with the
	// same ID follows. MinStored is the number of replicas, this node included, that must have stored the items on their disks
	// before the broadcast is complete.
	UrgentBroadcast struct {
		ID        BroadcastID
		Items     []Item
		MinAcks   int
		MinStored int
	}
	// ItemsStored ends a [StoreItems] with the same ID. Stored reports whether the items are durable.
	ItemsStored struct {
		ID     StorageID
		Stored bool
	}
	// HeartbeatObserved is a heartbeat that this node received from the endpoint itself.
	HeartbeatObserved struct{ Heartbeat Heartbeat }
	// RelayHeartbeat forwards a heartbeat, reported by the peer From, to the replicas that receive no packets of From.
	RelayHeartbeat struct {
		Heartbeat Heartbeat
		From      PeerID
	}
	// VotersChanged sets the peer ids of the voters.
	VotersChanged struct{ IDs []PeerID }
	// SeedsChanged sets the seed addresses, at which other processes may be reachable.
	SeedsChanged struct{ Addrs []netip.AddrPort }
	// CallCompleted reports whether a peer answered a call outside the gossip protocol.
	CallCompleted struct {
		PeerID   PeerID
		Answered bool
	}
)

func (PacketReceived) event()    {}
func (Tick) event()              {}
func (Broadcast) event()         {}
func (UrgentBroadcast) event()   {}
func (ItemsStored) event()       {}
func (HeartbeatObserved) event() {}
func (RelayHeartbeat) event()    {}
func (VotersChanged) event()     {}
func (SeedsChanged) event()      {}
func (CallCompleted) event()     {}

// Effect is an output of [Node.Reduce].
type Effect interface{ effect() }

type (
	// SendPacket is a datagram for the caller to send.
	SendPacket struct {
		To      netip.AddrPort
		Payload []byte
	}
	// ItemLearned is an item from another node that was stored because it is new or newer than the stored one.
	ItemLearned struct {
		Item Item
		From Peer
	}
	// HeartbeatLearned is a heartbeat that the peer From has reported. It may be a duplicate.
	HeartbeatLearned struct {
		Heartbeat Heartbeat
		From      PeerID
	}
	// StoreItems requests that items are stored on the disk of this replica. An [ItemsStored] with the same ID must follow.
	StoreItems struct {
		ID    StorageID
		Items []Item
	}
	// BroadcastCompleted ends an urgent broadcast that Acks other nodes have acknowledged. Sufficient reports whether they are
	// MinAcks nodes, or all known nodes if there are fewer, and MinStored replicas have stored the items. It is false if attempts or
	// peers were exhausted before.
	BroadcastCompleted struct {
		ID         BroadcastID
		Acks       int
		Sufficient bool
	}
)

func (SendPacket) effect()         {}
func (ItemLearned) effect()        {}
func (HeartbeatLearned) effect()   {}
func (StoreItems) effect()         {}
func (BroadcastCompleted) effect() {}

// BroadcastID correlates an [UrgentBroadcast] with its [BroadcastCompleted]. The caller chooses it.
type BroadcastID uint64

// StorageID correlates a [StoreItems] with its [ItemsStored]. The node chooses it.
type StorageID uint64
