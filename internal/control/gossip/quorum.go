package gossip

import "time"

// noContact is the value of Node.contactSince without quorum contact.
const noContact time.Duration = -1

// QuorumContact returns for how long a replica has been in contact with a majority of the voters, itself included, in both
// directions; false if it is not. A replica that does not know the voters, since its disk is new, has no contact. A node that
// is no replica always has.
func (n *Node) QuorumContact() (duration time.Duration, hasContact bool) {
	if len(n.voters) == 0 {
		return 0, !n.self.isReplica()
	}
	if n.contactSince == noContact {
		return 0, false
	}
	return n.now - n.contactSince, true
}

// updateContact counts the voters that this node hears and that hear it.
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

// audibleReplicas lists the replicas that this replica hears, ordered by id; nil if it is none.
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
