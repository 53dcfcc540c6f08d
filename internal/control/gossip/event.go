package gossip

import "net/netip"

// Event is an input of [Node.Reduce].
type Event interface{ event() }

type (
	// PacketReceived is a datagram from another process.
	PacketReceived struct{ Payload []byte }
	// Tick says that the time that [Node.NextTimer] named has come.
	Tick struct{}
	// Broadcast disseminates items of this node with the next broadcast round. Items that are not newer than what the node
	// has are dropped, and so are those above [MaxItemBytes].
	Broadcast struct{ Items []Item }
	// UrgentBroadcast sends items at once, also those that the node has already. With MinAcks > 0 it ends with
	// [BroadcastCompleted], which carries ID.
	UrgentBroadcast struct {
		ID      BroadcastID
		Items   []Item
		MinAcks int
	}
	// HeartbeatObserved is a heartbeat that this node received from the endpoint itself.
	HeartbeatObserved struct{ Heartbeat Heartbeat }
	// RelayHeartbeat passes a heartbeat that the peer From has reported to the replicas that do not hear From.
	RelayHeartbeat struct {
		Heartbeat Heartbeat
		From      PeerID
	}
	// VotersChanged names the replicas that vote, by their peer ids.
	VotersChanged struct{ IDs []PeerID }
	// SeedsChanged names addresses where other processes may be found.
	SeedsChanged struct{ Addrs []netip.AddrPort }
	// CallCompleted says whether a call to a peer, outside gossip, was answered.
	CallCompleted struct {
		PeerID   PeerID
		Answered bool
	}
)

func (PacketReceived) event()    {}
func (Tick) event()              {}
func (Broadcast) event()         {}
func (UrgentBroadcast) event()   {}
func (HeartbeatObserved) event() {}
func (RelayHeartbeat) event()    {}
func (VotersChanged) event()     {}
func (SeedsChanged) event()      {}
func (CallCompleted) event()     {}

// Effect is an output of [Node.Reduce].
type Effect interface{ effect() }

type (
	// SendPacket asks for a datagram to be sent.
	SendPacket struct {
		To      netip.AddrPort
		Payload []byte
	}
	// ItemLearned is an item from another node that is new here.
	ItemLearned struct {
		Item Item
		From Peer
	}
	// HeartbeatLearned is a heartbeat that the peer From has reported.
	HeartbeatLearned struct {
		Heartbeat Heartbeat
		From      PeerID
	}
	// BroadcastCompleted ends an urgent broadcast that Acks other nodes have acknowledged. With Sufficient these are as many
	// as were asked for, or all there are; without it too few have answered in time.
	BroadcastCompleted struct {
		ID         BroadcastID
		Acks       int
		Sufficient bool
	}
)

func (SendPacket) effect()         {}
func (ItemLearned) effect()        {}
func (HeartbeatLearned) effect()   {}
func (BroadcastCompleted) effect() {}

// BroadcastID correlates [UrgentBroadcast] and [BroadcastCompleted]. The caller chooses it.
type BroadcastID uint64
