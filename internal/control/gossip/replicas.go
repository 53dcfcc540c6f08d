package gossip

import (
	"slices"
	"time"
)

// replicaState is the local state of a replica. The fields on its heartbeat packets are set on replicas only, since other nodes
// receive none.
type replicaState struct {
	peerState
	lastHeartbeatPacket time.Duration    // when its last heartbeat packet arrived; 0 = never
	hearsUsAt           time.Duration    // when its last heartbeat packet arrived, if that packet listed this node as heard; else 0
	heardReplicas       []PeerID         // replicas whose heartbeat packets it receives, as listed in its last packet
	reported            []receivedReport // heartbeats that it has reported within relayWindow
}

// isHeard reports whether heartbeat packets of the replica arrive at this node.
func (r *replicaState) isHeard(now time.Duration) bool {
	return r.lastHeartbeatPacket != 0 && now-r.lastHeartbeatPacket <= quorumTimeout
}

// hearsUs reports whether this node's heartbeat packets arrive at the replica, according to its packets.
func (r *replicaState) hearsUs(now time.Duration) bool {
	return r.hearsUsAt != 0 && now-r.hearsUsAt <= quorumTimeout
}

// isExpired reports whether the peer has not been heard from for longer than replicaExpiry.
func (s *peerState) isExpired(now time.Duration) bool {
	return now-max(s.lastHeard, s.addedAt) > replicaExpiry
}

// isResponsive reports whether a replica is likely to answer: it is not expired, no response is overdue, and the latest call has
// succeeded. Recent packets are not required, because they are rare in a large fleet.
func (n *Node) isResponsive(s *peerState) bool {
	return !s.callFailed && !s.isResponseOverdue(n.now) && !s.isExpired(n.now)
}

// Replicas returns the known replicas, the responsive ones first. Among equally responsive ones, those in this node's zone come
// first.
func (n *Node) Replicas() []Peer {
	rank := func(r *replicaState) (rank int) {
		if r.Zone != n.self.Zone {
			rank++
		}
		if !n.isResponsive(&r.peerState) {
			rank += 2
		}
		return rank
	}
	ids := sortedKeys(n.replicas)
	slices.SortStableFunc(ids, func(x, y PeerID) int { return rank(n.replicas[x]) - rank(n.replicas[y]) })
	var peers []Peer
	for _, id := range ids {
		peers = append(peers, n.replicas[id].Peer)
	}
	return peers
}

// ResponsiveReplicas returns the replicas that are likely to answer, ordered by id.
func (n *Node) ResponsiveReplicas() []Peer {
	var peers []Peer
	for _, id := range sortedKeys(n.replicas) {
		if r := n.replicas[id]; n.isResponsive(&r.peerState) {
			peers = append(peers, r.Peer)
		}
	}
	return peers
}

// updateReplica stores the address and attributes of a replica, and returns its state. It returns nil if the peer is not a replica,
// or if it is unknown and maxPeers replicas are known already.
func (n *Node) updateReplica(p Peer) *replicaState {
	if !p.isReplica() {
		return nil
	}
	r := n.replicas[p.ID]
	switch {
	case r != nil:
		r.Peer = p
	case len(n.replicas) < maxPeers:
		r = &replicaState{peerState: peerState{Peer: p, addedAt: n.now}}
		n.replicas[p.ID] = r
	}
	return r
}

// recordCall records whether a replica has answered a call. Only a successful call clears a failed one, not a packet of the replica:
// packets may arrive from a replica that cannot be called.
func (n *Node) recordCall(c CallCompleted) {
	r := n.replicas[c.PeerID]
	if r == nil {
		return
	}
	r.callFailed = !c.Answered
	if c.Answered {
		r.lastHeard = n.now
	}
}
