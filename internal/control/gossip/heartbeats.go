package gossip

import (
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/encoding"
)

// Heartbeat says that an endpoint sent the heartbeat Sequence, AgeMS milliseconds ago.
type Heartbeat struct {
	Key      uint64 // [Hash] of the endpoint's key
	Sequence uint64
	AgeMS    uint64
}

// observation is a heartbeat whose age is replaced by the time at which it was sent, in ms of this node's clock.
type timedHeartbeat struct {
	key, sequence uint64
	sentAtMS      uint64
}

// reportedHeartbeat is a heartbeat that a replica has reported.
type receivedReport struct {
	timedHeartbeat
	reportedAt time.Duration
}

// nowMS is the time in ms.
func (n *Node) nowMS() int64 { return int64(n.now / time.Millisecond) }

// observe turns the age of a heartbeat into a time. Ages beyond the start of the clock count as its start.
func (n *Node) toTimed(h Heartbeat) timedHeartbeat {
	return timedHeartbeat{key: h.Key, sequence: h.Sequence, sentAtMS: uint64(max(n.nowMS()-int64(h.AgeMS), 0))}
}

// heartbeat turns the time of an observation into an age.
func (n *Node) toHeartbeat(timed timedHeartbeat) Heartbeat {
	return Heartbeat{Key: timed.key, Sequence: timed.sequence, AgeMS: uint64(max(n.nowMS()-int64(timed.sentAtMS), 0))}
}

// queueHeartbeat queues a heartbeat for all replicas. Of one endpoint only the latest is kept.
func (n *Node) queueHeartbeat(h Heartbeat) {
	if old, ok := n.heartbeatQueue[h.Key]; ok && old.sequence >= h.Sequence {
		return
	}
	if len(n.heartbeatQueue) < maxQueuedHeartbeats {
		n.heartbeatQueue[h.Key] = n.toTimed(h)
	}
}

// relayHeartbeat queues a heartbeat for the replicas that do not hear the one that reported it. Without a relay, of two replicas
// that do not hear each other one would suspect the endpoints that send their heartbeats to the other.
func (n *Node) relayHeartbeat(e RelayHeartbeat) {
	if !n.self.isReplica() {
		return
	}
	timed := n.toTimed(e.Heartbeat)
	for id, r := range n.replicas {
		if id != e.From && r.isHeard(n.now) && !slices.Contains(r.heardReplicas, e.From) {
			n.queueRelay(id, timed)
		}
	}
}

func (n *Node) queueRelay(replica PeerID, timed timedHeartbeat) {
	if len(n.relayQueue[replica]) < maxQueuedHeartbeats {
		n.relayQueue[replica] = append(n.relayQueue[replica], timed)
	}
}

// sendHeartbeats sends the queued heartbeats to every replica. Replicas also get an empty packet, since the packets show who
// is in contact with whom.
func (n *Node) sendHeartbeats() {
	queued := make([]Heartbeat, 0, len(n.heartbeatQueue))
	for _, key := range sortedKeys(n.heartbeatQueue) {
		queued = append(queued, n.toHeartbeat(n.heartbeatQueue[key]))
	}
	clear(n.heartbeatQueue)
	heardReplicas := n.heardReplicas()
	for _, id := range sortedKeys(n.replicas) {
		heartbeats := slices.Clip(queued)
		for _, timed := range n.relayQueue[id] {
			heartbeats = append(heartbeats, n.toHeartbeat(timed))
		}
		n.sendHeartbeatsTo(n.replicas[id].Addr, heartbeats, heardReplicas)
	}
	clear(n.relayQueue)
	n.updateContact()
}

// sendHeartbeatsTo sends heartbeats in as many packets as they need, at least one.
func (n *Node) sendHeartbeatsTo(replica netip.AddrPort, heartbeats []Heartbeat, heardReplicas []PeerID) {
	for {
		count := countFittingHeartbeats(heartbeats, len(heardReplicas))
		n.send(replica, &packet{kind: kindHeartbeats, heardReplicas: heardReplicas, heartbeats: heartbeats[:count]})
		if heartbeats = heartbeats[count:]; len(heartbeats) == 0 {
			return
		}
	}
}

// fittingHeartbeats returns how many heartbeats one packet holds beside the ids of replicas.
func countFittingHeartbeats(heartbeats []Heartbeat, ids int) int {
	size := packetOverhead + 8*ids
	for i, h := range heartbeats {
		size += 8 + encoding.UvarintBytes(h.Sequence) + encoding.UvarintBytes(h.AgeMS)
		if i == heartbeatsPerPacket || size > MaxPacketBytes {
			return i
		}
	}
	return len(heartbeats)
}

// handleHeartbeats takes in the heartbeats that another node reports, and from a replica also whom it hears.
func (n *Node) handleHeartbeats(p *packet) {
	if r := n.replicas[p.from.ID]; r != nil {
		if !r.isHeard(n.now) {
			n.nextBroadcast = n.now // it waits to learn whether it is heard, and others wait for the list of replicas that this one hears
		}
		n.recordReports(r, p)
		n.relayMissed(r, p)
		r.lastHeartbeatPacket, r.heardReplicas = max(n.now, 1), p.heardReplicas
		r.hearsUsAt = 0
		if slices.Contains(p.heardReplicas, n.self.ID) {
			r.hearsUsAt = n.now
		}
		n.updateContact()
	}
	for _, h := range p.heartbeats {
		n.effects = append(n.effects, HeartbeatLearned{Heartbeat: h, From: p.from.ID})
	}
}

// relayWindow covers the time that two replicas need to notice that they have lost contact, and to say so.
const relayWindow = quorumTimeout + 2*BroadcastInterval

// recordReported keeps the heartbeats that a replica reports until the relay window is over.
func (n *Node) recordReports(r *replicaState, p *packet) {
	if !n.self.isReplica() {
		return
	}
	r.reported = slices.DeleteFunc(r.reported, func(h receivedReport) bool { return n.now-h.reportedAt > relayWindow })
	for _, h := range p.heartbeats {
		if len(r.reported) < maxQueuedHeartbeats {
			r.reported = append(r.reported, receivedReport{timedHeartbeat: n.toTimed(h), reportedAt: n.now})
		}
	}
}

// relayMissed queues, for a replica that says that it hears another one no more, what that one has reported within the relay
// window: the loss of contact is known only now, and a heartbeat is reported once.
func (n *Node) relayMissed(r *replicaState, p *packet) {
	if !n.self.isReplica() {
		return
	}
	for _, id := range r.heardReplicas {
		other := n.replicas[id]
		if other == nil || id == n.self.ID || slices.Contains(p.heardReplicas, id) {
			continue
		}
		for _, h := range other.reported {
			if n.now-h.reportedAt <= relayWindow {
				n.queueRelay(r.ID, h.timedHeartbeat)
			}
		}
	}
}
