package gossip

import "time"

// noContact is the value of Node.contactSince if there is no quorum contact.
const noContact time.Duration = -1

// QuorumContact returns how long this replica has been in contact with a majority of the voters, itself included, in both
// directions. hasContact is false if it is not in contact. While the voters are unknown, as on a replica with a new disk,
// hasContact is false on a replica and true on any other node.
func (n *Node) QuorumContact() (duration time.Duration, hasContact bool) {
	if len(n.voters) == 0 {
		return 0, !n.self.isReplica()
	}
	if n.contactSince == noContact {
		return 0, false
	}
	return n.now - n.contactSince, true
}

// updateContact updates contactSince. A voter counts as reached if packets arrive in both directions.
func (n *Node) updateContact() {
	reached := 0
	for _, id := range n.voters {
		if r := n.replicas[id]; id == n.self.ID || r != nil && r.isHeard(n.now) && r.hearsUs(n.now) {
			reached++
		}
	}
	switch {
	case len(n.voters) > 0 && reached <= len(n.voters)/2:
		n.contactSince = noContact
	case n.contactSince == noContact:
		n.contactSince = n.now
	}
}

// heardReplicas returns the ids of the replicas whose heartbeat packets arrive at this replica, in order; nil if it is not a replica.
func (n *Node) heardReplicas() []PeerID {
	if !n.self.isReplica() {
		return nil
	}
	var ids []PeerID
	for _, id := range sortedKeys(n.replicas) {
		if n.replicas[id].isHeard(n.now) && len(ids) < maxPeers {
			ids = append(ids, id)
		}
	}
	return ids
}
