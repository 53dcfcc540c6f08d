package gossip

import "net/netip"

// Durable broadcasts. An urgent broadcast with MinStored > 0 is complete only once that many replicas have its items on their disks, so
// that the items survive the end of all processes. Replicas of an earlier release do not store items: while one is known, the
// replicas that can store them suffice.

// storageProgress is the part of an urgent broadcast that concerns the disks of replicas.
type storageProgress struct {
	minStored    int             // 0 = the items need not be stored
	requested    map[PeerID]bool // replicas that were asked to store the items; their acknowledgements mean that they have
	isStoredHere bool            // this replica has stored the items
}

// storeRequest is a request to this replica to store items.
type storeRequest struct {
	from  netip.AddrPort // of the node that waits for an acknowledgement; invalid for a broadcast of this node
	ackID ackID
}

// kindFor returns the kind of packet in which a peer is sent the items, and records which peers were asked to store them.
func (u *urgentBroadcast) kindFor(target *peerState) packetKind {
	if u.storage.minStored == 0 || !target.storesItems() {
		return kindUrgentItems
	}
	u.storage.requested[target.ID] = true
	return kindDurableItems
}

// addStorageTargets adds the replicas that can store the items of a broadcast and have not acknowledged them.
func (n *Node) addStorageTargets(u *urgentBroadcast, targets []*peerState) []*peerState {
	if u.storage.minStored == 0 {
		return targets
	}
	isTarget := map[PeerID]bool{}
	for _, target := range targets {
		isTarget[target.ID] = true
	}
	for _, id := range sortedKeys(n.replicas) {
		if r := n.replicas[id]; r.storesItems() && !u.acked[id] && !isTarget[id] {
			targets = append(targets, &r.peerState)
		}
	}
	return targets
}

// handleDurableItems stores items in memory, forwards new ones at once, and acknowledges them after they are on the disk.
func (n *Node) handleDurableItems(p *packet) {
	n.mergeReceivedItems(p)
	n.forwardNow(p.from.ID)
	if n.self.isReplica() {
		n.requestStorage(storeRequest{from: p.from.Addr, ackID: p.ackID}, p.items)
	}
}

func (n *Node) requestStorage(r storeRequest, items []Item) {
	n.lastStorageID++
	n.storeRequests[n.lastStorageID] = r
	n.effects = append(n.effects, StoreItems{ID: n.lastStorageID, Items: items})
}

// completeStorage acknowledges items that are on the disk now.
func (n *Node) completeStorage(e ItemsStored) {
	r, ok := n.storeRequests[e.ID]
	delete(n.storeRequests, e.ID)
	if !ok || !e.Stored {
		return
	}
	if r.from.IsValid() {
		n.acknowledge(r.from, r.ackID)
		return
	}
	if u := n.urgent[r.ackID]; u != nil {
		u.storage.isStoredHere = true
		n.completeIfAcked(r.ackID, u)
	}
}

// isStored reports whether enough replicas have stored the items of a broadcast.
func (n *Node) isStored(u *urgentBroadcast) bool {
	stored, storing, hasEarlierRelease := 0, 0, false
	if n.self.isReplica() {
		storing++
	}
	if u.storage.isStoredHere {
		stored++
	}
	for id, r := range n.replicas {
		switch {
		case !r.storesItems():
			hasEarlierRelease = true
		case u.acked[id] && u.storage.requested[id]:
			storing++
			stored++
		default:
			storing++
		}
	}
	minStored := u.storage.minStored
	if hasEarlierRelease {
		minStored = min(minStored, storing)
	}
	return stored >= minStored
}
