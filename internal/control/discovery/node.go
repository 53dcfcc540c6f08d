package discovery

import (
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/limits"
)

// Node is the discovery state of one process. It is not safe for concurrent use.
type Node struct {
	Gossip    *gossip.Node
	Endpoints *endpoints.Registry

	self         gossip.Peer
	zoneHash     func(string) uint32
	minStored    int
	now          time.Duration
	wallMS       int64
	gossipEvents []gossip.Event // queued for the gossip node
	effects      []Effect

	idByHash         map[uint64]string          // endpoint ids by the key hash in heartbeats
	ackedState       map[string]endpoints.State // by endpoint id: the latest state that other processes have acknowledged to this one
	storedStates     map[string]endpoints.State // by endpoint id: the state that this replica has stored, or is storing
	unstored         map[string]bool            // ids of endpoints whose record this replica has to store
	refused          map[string]bool            // ids of endpoints whose record the disk has refused
	pendingReplies   map[gossip.BroadcastID]pendingReply
	lastBroadcastID  gossip.BroadcastID
	endpointsChanged bool          // since the last EndpointsChanged effect
	nextSweep        time.Duration // next run of the failure detector and of the removal of expired records
	lastIdleDrop     time.Duration // when an idle drop was last announced by any process; 0 = never
}

// Options are the parameters of [New].
type Options struct {
	Self             gossip.Peer
	Seed             uint64
	HeartbeatTimeout time.Duration       // an endpoint without a heartbeat for this time becomes suspect
	ZoneHash         func(string) uint32 // hashes the name of a zone as for [gossip.Peer].Zone
	// MinStored is the number of replicas that must have stored the record of a draining or deregistered endpoint before it is
	// acknowledged. One more than the disks that may be lost at once.
	MinStored int
}

// New returns a node without peers or endpoints.
func New(o Options) *Node {
	n := &Node{
		Gossip: gossip.New(o.Self, o.Seed), Endpoints: endpoints.New(o.HeartbeatTimeout), self: o.Self, zoneHash: o.ZoneHash, minStored: o.MinStored,
		idByHash: map[uint64]string{}, ackedState: map[string]endpoints.State{}, storedStates: map[string]endpoints.State{}, unstored: map[string]bool{}, refused: map[string]bool{},
		pendingReplies: map[gossip.BroadcastID]pendingReply{},
	}
	n.Gossip.IsStale = n.isStale
	return n
}

// NextTimer returns the time at which the node needs its next [gossip.Tick].
func (n *Node) NextTimer() time.Duration { return min(n.Gossip.NextTimer(), n.nextSweep) }

// Reduce handles an event at the time now, and returns its effects, which are valid until the next call. wallMS is the wall time.
func (n *Node) Reduce(now time.Duration, wallMS int64, e Event) []Effect {
	n.now, n.wallMS = max(n.now, now), wallMS
	clear(n.effects)
	n.effects = n.effects[:0]
	switch e := e.(type) {
	case Gossip:
		n.gossipEvents = append(n.gossipEvents, e.Event)
	case Heartbeat:
		n.handleHeartbeat(e)
	case Deregister:
		n.handleDeregister(e)
	case RecordsRestored:
		n.restoreRecords(e.Records)
	case RecordsStored:
		n.recordStored(e)
	case ConfigStored:
		n.publish(configItem(e.Index))
	case IdleDropObserved:
		n.announceIdleDrop()
	}
	n.runGossip()
	if n.now >= n.nextSweep {
		n.nextSweep = n.now + limits.FailureSweepInterval
		n.sweep()
		n.runGossip()
	}
	n.storeLearned()
	if n.endpointsChanged {
		n.endpointsChanged = false
		n.effects = append(n.effects, EndpointsChanged{})
	}
	return n.effects
}

// runGossip passes the queued events to the gossip node and handles its effects, which may queue further events.
func (n *Node) runGossip() {
	for len(n.gossipEvents) > 0 {
		e := n.gossipEvents[0]
		n.gossipEvents = n.gossipEvents[1:]
		for _, effect := range n.Gossip.Reduce(n.now, e) {
			switch effect := effect.(type) {
			case gossip.SendPacket:
				n.effects = append(n.effects, SendPacket(effect))
			case gossip.ItemLearned:
				n.handleItem(effect)
			case gossip.HeartbeatLearned:
				n.mergeHeartbeat(effect)
			case gossip.StoreItems:
				n.storeItems(effect)
			case gossip.BroadcastCompleted:
				n.completeReply(effect)
			}
		}
	}
	n.gossipEvents = nil
}

// publish queues an urgent broadcast of an item.
func (n *Node) publish(item gossip.Item) {
	n.gossipEvents = append(n.gossipEvents, gossip.UrgentBroadcast{Items: []gossip.Item{item}})
}

// announceIdleDrop emits [IdleDropReported], and publishes the idle drop to other processes, at most once per
// [limits.StaleConnGossipInterval].
func (n *Node) announceIdleDrop() {
	n.effects = append(n.effects, IdleDropReported{})
	if n.lastIdleDrop != 0 && n.now-n.lastIdleDrop <= limits.StaleConnGossipInterval {
		return
	}
	n.lastIdleDrop = n.now
	last, _ := n.Gossip.Item(idleDropKey)
	n.publish(idleDropItem(max(last.Version+1, uint64(max(n.wallMS, 0)))))
}
