package gossip

import (
	"slices"
	"time"
)

// replicaState is what a node knows of a replica. The times of heartbeat packets are set on replicas only, apart from
// lastHeartbeats.
type replicaState struct {
	peerState
	lastHeartbeatPacket time.Duration    // when its last heartbeat packet came; 0 = never
	hearsUsAt           time.Duration    // when it last said that it hears this node; 0 = its last packet did not say so
	heardReplicas       []PeerID         // the replicas that it hears, as its last packet said
	reported            []receivedReport // heartbeats that it reported lately
}

// isAudible reports whether heartbeat packets of the replica arrive here.
func (r *replicaState) isHeard(now time.Duration) bool {
	return r.lastHeartbeatPacket != 0 && now-r.lastHeartbeatPacket <= quorumTimeout
}

// hearsUs reports whether the replica has said lately that this node's heartbeat packets arrive there.
func (r *replicaState) hearsUs(now time.Duration) bool {
	return r.hearsUsAt != 0 && now-r.hearsUsAt <= quorumTimeout
}

// isExpired reports whether nothing was heard of the peer for so long that it counts as gone.
func (s *peerState) isExpired(now time.Duration) bool {
	return now-max(s.lastHeard, s.addedAt) > replicaExpiry
}

// isResponsive reports whether a replica is likely to answer: no request to it is overdue, and the latest call was answered.
// In a large fleet its packets are too rare to show it.
func (n *Node) isResponsive(s *peerState) bool {
	return !s.callFailed && !s.isResponseOverdue(n.now) && !s.isExpired(n.now)
}

// Replicas lists the known replicas. Those that are likely to answer come first, of these the ones in this node's zone.
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

// ResponsiveReplicas lists the replicas that are likely to answer, ordered by id.
func (n *Node) ResponsiveReplicas() []Peer {
	var peers []Peer
	for _, id := range sortedKeys(n.replicas) {
		if r := n.replicas[id]; n.isResponsive(&r.peerState) {
			peers = append(peers, r.Peer)
		}
	}
	return peers
}

// updateReplica notes where a replica is, and returns its state; nil if the peer is none or too many are known.
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

// recordCall notes whether a replica has answered a call. A packet from it does not undo a failed call: that it can be heard
// says nothing of whether it answers.
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
