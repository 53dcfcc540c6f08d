package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// ackID correlates urgent items and their acknowledgements on the wire. The first number differs at each start of a process, so
// that acknowledgements for the previous process at this address do not count. 0 answers a comparison.
type ackID uint64

// firstAckID returns the number that precedes the first ackID of a process.
func firstAckID(self PeerID, seed uint64) ackID {
	return ackID(uint32(CombineHashes(uint64(self), seed)))
}

// urgentBroadcast is the state of an urgent broadcast that waits for acknowledgements.
type urgentBroadcast struct {
	id       BroadcastID
	items    []Item
	minAcks  int // all known peers if they are fewer
	sentTo   map[PeerID]*peerState
	acked    map[PeerID]bool
	storage  storageProgress
	attempts int
	deadline time.Duration // of the current attempt
}

// startUrgent stores urgent items and starts the first attempt.
func (n *Node) startUrgent(e UrgentBroadcast) {
	items := slices.DeleteFunc(slices.Clone(e.Items), func(item Item) bool { return !item.fits() })
	for _, item := range items {
		n.items.merge(item)
	}
	u := &urgentBroadcast{
		id: e.ID, items: items, minAcks: e.MinAcks,
		sentTo: map[PeerID]*peerState{}, acked: map[PeerID]bool{},
		storage: storageProgress{minStored: e.MinStored, requested: map[PeerID]bool{}},
	}
	n.lastAckID++
	if e.MinAcks > 0 {
		n.urgent[n.lastAckID] = u
	}
	if e.MinStored > 0 && n.self.isReplica() {
		n.requestStorage(storeRequest{ackID: n.lastAckID}, items)
	}
	n.attemptUrgent(n.lastAckID, u)
}

// knownPeerCount counts the peers in the view and the replicas outside it.
func (n *Node) knownPeerCount() int {
	count := len(n.view)
	for id := range n.replicas {
		if n.view[id] == nil {
			count++
		}
	}
	return count
}

// runUrgentTimers starts the next attempt of each broadcast whose deadline has passed.
func (n *Node) runUrgentTimers() {
	for _, ack := range sortedKeys(n.urgent) {
		if u := n.urgent[ack]; n.now >= u.deadline {
			n.attemptUrgent(ack, u)
		}
	}
}

// attemptUrgent sends an urgent broadcast to peers that were not sent it before, and to the replicas that have not stored it yet. It ends
// the broadcast if attempts or peers are exhausted.
func (n *Node) attemptUrgent(ack ackID, u *urgentBroadcast) {
	targets := n.addStorageTargets(u, n.urgentTargets(u.sentTo))
	n.completeIfAcked(ack, u)
	if u.attempts >= urgentAttempts || len(targets) == 0 && u.attempts > 0 {
		if n.urgent[ack] != nil {
			n.completeUrgent(ack, false)
		}
		return
	}
	u.attempts++
	u.deadline = n.now + ackTimeout
	for _, target := range targets {
		u.sentTo[target.ID] = target
		target.recordRequest(n.now)
		n.sendItems(target.Addr, u.items, u.kindFor(target), ack)
	}
}

// handleUrgentItems stores urgent items, acknowledges them, and forwards new ones at once. A replica without quorum contact sends
// no acknowledgement: it may be in a minority partition, from which items do not reach the other nodes.
func (n *Node) handleUrgentItems(p *packet) {
	n.mergeReceivedItems(p)
	n.acknowledge(p.from.Addr, p.ackID)
	n.forwardNow(p.from.ID)
}

// acknowledge sends an acknowledgement, unless this node is a replica without quorum contact.
func (n *Node) acknowledge(to netip.AddrPort, id ackID) {
	if _, hasContact := n.QuorumContact(); hasContact || !n.self.isReplica() {
		n.send(to, &packet{kind: kindAck, ackID: id})
	}
}

// handleAck handles the acknowledgement of an urgent broadcast, or, with number 0, of a comparison that found no difference.
func (n *Node) handleAck(p *packet) {
	if p.ackID == 0 && p.from.ID == n.comparingWith {
		n.comparingWith = 0
	}
	if u := n.urgent[p.ackID]; u != nil && u.sentTo[p.from.ID] != nil {
		u.acked[p.from.ID] = true
		n.completeIfAcked(p.ackID, u)
	}
}

// completeIfAcked ends an urgent broadcast that has enough acknowledgements, or that has no possible recipient, and that enough replicas
// have stored.
func (n *Node) completeIfAcked(ack ackID, u *urgentBroadcast) {
	if n.urgent[ack] == nil {
		return
	}
	minAcks := min(u.minAcks, max(n.knownPeerCount(), 1)) // counted now, since a new process has few peers when it starts a broadcast
	isAcked := n.isAlone() || len(u.acked) >= minAcks && u.ackedAcrossFailureDomains(n.self.Zone) && n.reachesQuorum(u)
	if isAcked && n.isStored(u) {
		n.completeUrgent(ack, true)
	}
}

func (n *Node) completeUrgent(ack ackID, isSufficient bool) {
	u := n.urgent[ack]
	delete(n.urgent, ack)
	n.effects = append(n.effects, BroadcastCompleted{ID: u.id, Acks: len(u.acked), Sufficient: isSufficient})
}

// reachesQuorum reports whether this node is a replica or a replica has acknowledged the items; replicas do so only in quorum
// contact. Without this condition, routers in a minority partition could acknowledge items to each other that never leave the
// partition. If no replica is known, the result is true.
func (n *Node) reachesQuorum(u *urgentBroadcast) bool {
	if n.self.isReplica() || len(n.replicas) == 0 {
		return true
	}
	for id := range u.acked {
		if n.replicas[id] != nil {
			return true
		}
	}
	return false
}

// isAlone reports whether this node has no peers, no replicas, and no seeds other than itself.
func (n *Node) isAlone() bool {
	for _, addr := range n.seeds {
		if addr != n.self.Addr {
			return false
		}
	}
	return len(n.view) == 0 && len(n.replicas) == 0
}

// ackedAcrossFailureDomains reports whether a router and a node outside ownZone have acknowledged the items. A kind of node to
// which the items were not sent is not required. All replicas, or all processes of a zone, may fail together.
func (u *urgentBroadcast) ackedAcrossFailureDomains(ownZone uint32) bool {
	var sentToRouter, sentToOtherZone, ackedByRouter, ackedByOtherZone bool
	for id, s := range u.sentTo {
		isRouter, isOtherZone := !s.isReplica(), s.Zone != ownZone
		sentToRouter, sentToOtherZone = sentToRouter || isRouter, sentToOtherZone || isOtherZone
		if u.acked[id] {
			ackedByRouter, ackedByOtherZone = ackedByRouter || isRouter, ackedByOtherZone || isOtherZone
		}
	}
	return ackedByRouter == sentToRouter && ackedByOtherZone == sentToOtherZone
}

// urgentTargets draws up to urgentFanout peers that are not in sentTo, in this order: a responsive replica; a router; a second
// replica, since the first may lack quorum contact; two peers of zones without a target; any peers. With targets of different roles
// and zones, some node keeps the items after the loss of all replicas or of a zone.
func (n *Node) urgentTargets(sentTo map[PeerID]*peerState) []*peerState {
	candidates := n.urgentCandidates(sentTo)
	n.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	zones := map[uint32]bool{n.self.Zone: true}
	isReplica := func(s *peerState) bool { return s.isReplica() && n.isResponsive(s) }
	isRouter := func(s *peerState) bool { return !s.isReplica() }
	isNewZone := func(s *peerState) bool { return !zones[s.Zone] }
	isAny := func(*peerState) bool { return true }
	var targets []*peerState
	for _, matches := range []func(*peerState) bool{isReplica, isRouter, isReplica, isNewZone, isNewZone, isAny, isAny, isAny} {
		index := slices.IndexFunc(candidates, matches)
		if index < 0 || len(targets) == urgentFanout {
			continue
		}
		target := candidates[index]
		candidates = slices.Delete(candidates, index, index+1)
		targets, zones[target.Zone] = append(targets, target), true
	}
	return targets
}

// urgentCandidates returns the peers of the view, then the replicas outside it, each ordered by id, without those in sentTo.
func (n *Node) urgentCandidates(sentTo map[PeerID]*peerState) []*peerState {
	var candidates []*peerState
	for _, id := range sortedKeys(n.view) {
		if sentTo[id] == nil {
			candidates = append(candidates, n.view[id])
		}
	}
	for _, id := range sortedKeys(n.replicas) {
		if sentTo[id] == nil && n.view[id] == nil {
			candidates = append(candidates, &n.replicas[id].peerState)
		}
	}
	return candidates
}
