package gossip

import (
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/encoding"
)

// Heartbeat reports that an endpoint sent its heartbeat number Sequence AgeMS milliseconds ago.
type Heartbeat struct {
	Key      uint64 // [Hash] of the endpoint's id
	Sequence uint64
	AgeMS    uint64
}

// timedHeartbeat is a heartbeat with its send time, in ms on this node's clock, in place of its age.
type timedHeartbeat struct {
	key, sequence uint64
	sentAtMS      uint64
}

// receivedReport is a heartbeat that a replica has reported, with the time of the report.
type receivedReport struct {
	timedHeartbeat
	reportedAt time.Duration
}

// nowMS returns the current time in ms.
func (n *Node) nowMS() int64 { return int64(n.now / time.Millisecond) }

// toTimed converts the age of a heartbeat to a send time. A heartbeat from before the start of the clock gets the time 0.
func (n *Node) toTimed(h Heartbeat) timedHeartbeat {
	return timedHeartbeat{key: h.Key, sequence: h.Sequence, sentAtMS: uint64(max(n.nowMS()-int64(h.AgeMS), 0))}
}

// toHeartbeat converts a send time to an age.
func (n *Node) toHeartbeat(timed timedHeartbeat) Heartbeat {
	return Heartbeat{Key: timed.key, Sequence: timed.sequence, AgeMS: uint64(max(n.nowMS()-int64(timed.sentAtMS), 0))}
}

// queueHeartbeat queues a heartbeat for all replicas. The queue holds only the latest heartbeat of each endpoint.
func (n *Node) queueHeartbeat(h Heartbeat) {
	if old, ok := n.heartbeatQueue[h.Key]; ok && old.sequence >= h.Sequence {
		return
	}
	if len(n.heartbeatQueue) < maxQueuedHeartbeats {
		n.heartbeatQueue[h.Key] = n.toTimed(h)
	}
}

// relayHeartbeat queues a heartbeat for the replicas that receive no packets of the node that reported it. Without a relay, a
// replica that is partitioned from another one would suspect the endpoints that send their heartbeats to the other one.
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

// sendHeartbeats sends the queued heartbeats to every replica. It sends a packet even if there are none, because the packets show
// which replicas are in contact.
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

// sendHeartbeatsTo sends heartbeats to a replica, in at least one packet.
func (n *Node) sendHeartbeatsTo(replica netip.AddrPort, heartbeats []Heartbeat, heardReplicas []PeerID) {
	for {
		count := countFittingHeartbeats(heartbeats, len(heardReplicas))
		n.send(replica, &packet{kind: kindHeartbeats, heardReplicas: heardReplicas, heartbeats: heartbeats[:count]})
		if heartbeats = heartbeats[count:]; len(heartbeats) == 0 {
			return
		}
	}
}

// countFittingHeartbeats returns how many of the heartbeats fit into a packet that also holds a number of replica ids.
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

// handleHeartbeats handles the heartbeats that another node reports. The packet of a replica also lists the replicas whose
// heartbeat packets it receives.
func (n *Node) handleHeartbeats(p *packet) {
	if r := n.replicas[p.from.ID]; r != nil {
		if !r.isHeard(n.now) {
			n.nextBroadcast = n.now // send the changed list of heard replicas at once: others derive quorum contact from it
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

// relayWindow covers the time until two replicas detect that they have lost contact and announce it.
const relayWindow = quorumTimeout + 2*BroadcastInterval

// recordReports keeps the heartbeats that a replica reports for relayWindow.
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

// relayMissed compares the list of heard replicas in a packet of r with the previous list. For each replica that is no longer listed,
// it queues for r the heartbeats that this replica reported within relayWindow: they may not have reached r, and each is reported
// only once.
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
