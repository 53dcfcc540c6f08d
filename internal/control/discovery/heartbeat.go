package discovery

import (
	"net/netip"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/limits"
)

// handleHeartbeat handles a heartbeat from an endpoint, and replies at once or after acknowledgements.
func (n *Node) handleHeartbeat(h Heartbeat) {
	if !n.hasQuorumContact() { // neither the heartbeat nor the record would reach a replica in quorum contact
		n.reject(h.Request, ErrNoQuorumContact)
		return
	}
	r := &h.Record
	n.recordHeartbeat(r)
	switch e := n.Endpoints.Find(r.ID); {
	case e == nil:
		n.reject(h.Request, ErrTooManyEndpoints)
	case r.State == endpoints.StateReady && n.lacksResponsiveReplica(): // the record is disseminated, but no replica receives the heartbeat
		n.reject(h.Request, ErrNoQuorumContact)
	case r.State != endpoints.StateReady && e.State != endpoints.StateReady:
		n.replyOnceAcked(h.Request, &e.Record)
	default:
		n.reply(h.Request, r)
	}
}

// recordHeartbeat updates the registry, publishes the changed records, and reports the heartbeat to the replicas.
func (n *Node) recordHeartbeat(r *endpoints.Record) {
	wasSuspect := n.isSuspect(r.ID)
	changed, isNew := n.Endpoints.Heartbeat(n.now, *r, n.wallMS)
	n.idByHash[gossip.Hash(r.ID)] = r.ID
	for i := range changed {
		n.endpointsChanged = true
		if c := &changed[i]; c.ID != r.ID || c.State == endpoints.StateReady { // replyOnceAcked publishes the record of a draining endpoint
			n.publish(endpointItem(c))
		}
	}
	if isNew {
		n.gossipEvents = append(n.gossipEvents, gossip.HeartbeatObserved{Heartbeat: gossip.Heartbeat{Key: gossip.Hash(r.ID), Sequence: r.CallCount}})
	}
	if wasSuspect {
		n.refuteIfRecovered(r.ID)
	}
}

// handleDeregister handles the deregistration of an endpoint, and replies after acknowledgements.
func (n *Node) handleDeregister(d Deregister) {
	if !n.hasQuorumContact() {
		n.reject(d.Request, ErrNoQuorumContact)
		return
	}
	if len(n.Endpoints.Deregister(n.now, d.EndpointID, n.wallMS)) > 0 {
		n.endpointsChanged = true
	}
	e := n.Endpoints.Find(d.EndpointID)
	if e == nil {
		n.reject(d.Request, ErrTooManyEndpoints)
		return
	}
	n.replyOnceAcked(d.Request, &e.Record)
}

func (n *Node) hasQuorumContact() bool {
	_, hasContact := n.Gossip.QuorumContact()
	return hasContact
}

// lacksResponsiveReplica reports whether this process is not a replica and knows no responsive one, as after its start.
func (n *Node) lacksResponsiveReplica() bool {
	return n.self.Flags&gossip.FlagReplica == 0 && len(n.Gossip.ResponsiveReplicas()) == 0
}

func (n *Node) reject(request RequestID, err error) {
	n.effects = append(n.effects, Reply{Request: request, Err: err})
}

func (n *Node) reply(request RequestID, r *endpoints.Record) {
	n.effects = append(n.effects, Reply{Request: request, HomeReplica: n.homeReplica(r)})
}

// pendingReply is a reply that waits for acknowledgements of a record.
type pendingReply struct {
	request RequestID
	record  endpoints.Record
}

// replyOnceAcked replies after enough other processes have acknowledged the record of a draining or gone endpoint to this process, and
// enough replicas have stored it.
// Acknowledgements to another process do not count: that process, and the ones that acknowledged to it, may have failed since.
func (n *Node) replyOnceAcked(request RequestID, r *endpoints.Record) {
	if n.ackedState[r.ID] >= r.State {
		n.reply(request, r)
		return
	}
	n.lastBroadcastID++
	n.pendingReplies[n.lastBroadcastID] = pendingReply{request: request, record: *r}
	n.gossipEvents = append(n.gossipEvents, gossip.UrgentBroadcast{
		ID: n.lastBroadcastID, MinAcks: limits.DrainAckPeers, MinStored: n.minStored, Items: []gossip.Item{endpointItem(r)},
	})
}

// completeReply replies to the request that waited for a broadcast.
func (n *Node) completeReply(completed gossip.BroadcastCompleted) {
	pending, ok := n.pendingReplies[completed.ID]
	if !ok {
		return
	}
	delete(n.pendingReplies, completed.ID)
	if !completed.Sufficient {
		n.reject(pending.request, ErrNotAcknowledged)
		return
	}
	n.ackedState[pending.record.ID] = max(n.ackedState[pending.record.ID], pending.record.State)
	n.reply(pending.request, &pending.record)
}

// homeReplica returns the address of the replica that should receive an endpoint's heartbeats; invalid if there is none. Rendezvous
// hashing picks it from the responsive replicas in the endpoint's zone, which balances their load. Any other process would have to
// forward the heartbeats.
func (n *Node) homeReplica(r *endpoints.Record) (home netip.AddrPort) {
	zone, highest := n.zoneHash(r.Zone), uint64(0)
	var candidates []gossip.Peer
	if n.self.Flags&gossip.FlagReplica != 0 {
		candidates = append(candidates, n.self)
	}
	for _, p := range append(candidates, n.Gossip.ResponsiveReplicas()...) {
		score := gossip.CombineHashes(uint64(p.ID), gossip.Hash(r.ID))
		if p.Zone == zone && (!home.IsValid() || score > highest) {
			home, highest = p.Addr, score
		}
	}
	return home
}
