package discovery

import (
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/limits"
)

// Node is one process's part. It is not safe for concurrent use.
type Node struct {
	Gossip    *gossip.Node
	Endpoints *endpoints.Registry

	self     gossip.Peer
	zoneHash func(string) uint32
	now      time.Duration
	wallMS   int64
	queue    []gossip.Event // for the gossip node
	out      []Effect

	idByHash         map[uint64]string          // ids of endpoints by their hashes, which heartbeats carry
	ackedState       map[string]endpoints.State // by endpoint: the state that others have acknowledged to this process
	waiting          map[gossip.BroadcastID]pendingReply
	lastBroadcastID  gossip.BroadcastID
	endpointsChanged bool          // since the last EndpointsChanged
	nextSweep        time.Duration // of expired records and failed endpoints
	lastIdleDrop     time.Duration // when one was last announced, here or elsewhere; 0 = never
}

// New returns a node that knows no peers. heartbeatTimeout is the time without a heartbeat after which an endpoint becomes
// suspect; zoneHash hashes the name of a zone as peers do for their Zone.
func New(self gossip.Peer, seed uint64, heartbeatTimeout time.Duration, zoneHash func(string) uint32) *Node {
	n := &Node{
		Gossip: gossip.New(self, seed), Endpoints: endpoints.New(heartbeatTimeout), self: self, zoneHash: zoneHash,
		idByHash: map[uint64]string{}, ackedState: map[string]endpoints.State{}, waiting: map[gossip.BroadcastID]pendingReply{},
	}
	n.Gossip.IsStale = n.isStale
	return n
}

// NextTimer returns when the node expects a [gossip.Tick].
func (n *Node) NextTimer() time.Duration { return min(n.Gossip.NextTimer(), n.nextSweep) }

// Reduce handles an event at the time now; wallMS is the wall time. The effects are valid until the next call.
func (n *Node) Reduce(now time.Duration, wallMS int64, e Event) []Effect {
	n.now, n.wallMS = max(n.now, now), wallMS
	clear(n.out)
	n.out = n.out[:0]
	switch e := e.(type) {
	case Gossip:
		n.queue = append(n.queue, e.Event)
	case Heartbeat:
		n.handleHeartbeat(e)
	case Deregister:
		n.handleDeregister(e)
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
	if n.endpointsChanged {
		n.endpointsChanged = false
		n.out = append(n.out, EndpointsChanged{})
	}
	return n.out
}

// runGossip gives the gossip node the queued events, and handles its effects, which may queue further events.
func (n *Node) runGossip() {
	for len(n.queue) > 0 {
		e := n.queue[0]
		n.queue = n.queue[1:]
		for _, f := range n.Gossip.Reduce(n.now, e) {
			switch f := f.(type) {
			case gossip.SendPacket:
				n.out = append(n.out, SendPacket(f))
			case gossip.ItemLearned:
				n.learnItem(f)
			case gossip.HeartbeatLearned:
				n.learnHeartbeat(f)
			case gossip.BroadcastCompleted:
				n.completeReply(f)
			}
		}
	}
	n.queue = nil
}

// publish queues an item that goes out at once.
func (n *Node) publish(i gossip.Item) {
	n.queue = append(n.queue, gossip.UrgentBroadcast{Items: []gossip.Item{i}})
}

// announceIdleDrop reports an idle drop to this process, and to others unless that was announced lately.
func (n *Node) announceIdleDrop() {
	n.out = append(n.out, IdleDropReported{})
	if n.lastIdleDrop != 0 && n.now-n.lastIdleDrop <= limits.StaleConnGossipInterval {
		return
	}
	n.lastIdleDrop = n.now
	last, _ := n.Gossip.Item(idleDropKey)
	n.publish(idleDropItem(max(last.Version+1, uint64(max(n.wallMS, 0)))))
}
