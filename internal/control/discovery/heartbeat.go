package discovery

import (
	"net/netip"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/limits"
)

// handleHeartbeat takes in a heartbeat from an endpoint and replies to it, at once or after acknowledgements.
func (n *Node) handleHeartbeat(h Heartbeat) {
	if !n.hasQuorumContact() { // neither the heartbeat nor the record would reach anybody who acts on it
		n.reject(h.Request, ErrNoQuorumContact)
		return
	}
	r := &h.Record
	n.recordHeartbeat(r)
	switch e := n.Endpoints.Find(r.ID); {
	case e == nil:
		n.reject(h.Request, ErrTooManyEndpoints)
	case r.State == endpoints.StateReady && n.lacksReplicas(): // the record is disseminated, but no replica learns of the heartbeat
		n.reject(h.Request, ErrNoQuorumContact)
	case r.State != endpoints.StateReady && e.State != endpoints.StateReady:
		n.replyOnceAcked(h.Request, &e.Record)
	default:
		n.reply(h.Request, r)
	}
}

// recordHeartbeat updates the registry, publishes changed records and reports the heartbeat to the replicas.
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
		n.queue = append(n.queue, gossip.HeartbeatObserved{Heartbeat: gossip.Heartbeat{Key: gossip.Hash(r.ID), Sequence: r.CallCount}})
	}
	if wasSuspect {
		n.announceRecovery(r.ID)
	}
}

// handleDeregister takes in the deregistration of an endpoint, and replies after acknowledgements.
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

// lacksReplicas reports whether this is a router that knows no responsive replica, as after its start.
func (n *Node) lacksReplicas() bool {
	return n.self.Flags&gossip.FlagReplica == 0 && len(n.Gossip.ResponsiveReplicas()) == 0
}

func (n *Node) reject(request RequestID, err error) {
	n.out = append(n.out, Reply{Request: request, Err: err})
}

func (n *Node) reply(request RequestID, r *endpoints.Record) {
	n.out = append(n.out, Reply{Request: request, HomeReplica: n.homeReplica(r)})
}

// pendingReply is a reply that waits for acknowledgements of a record.
type pendingReply struct {
	request RequestID
	record  endpoints.Record
}

// replyOnceAcked replies once enough other processes have acknowledged the record of an endpoint that drains or is gone. It sends
// the record until they have acknowledged it to this process, even if they have it from another one, which may have failed since,
// and they with it.
func (n *Node) replyOnceAcked(request RequestID, r *endpoints.Record) {
	if n.ackedState[r.ID] >= r.State {
		n.reply(request, r)
		return
	}
	n.lastBroadcastID++
	n.waiting[n.lastBroadcastID] = pendingReply{request: request, record: *r}
	n.queue = append(n.queue, gossip.UrgentBroadcast{ID: n.lastBroadcastID, MinAcks: limits.DrainAckPeers, Items: []gossip.Item{endpointItem(r)}})
}

// completeReply replies to a request whose broadcast has ended.
func (n *Node) completeReply(c gossip.BroadcastCompleted) {
	w, ok := n.waiting[c.ID]
	if !ok {
		return
	}
	delete(n.waiting, c.ID)
	if !c.Sufficient {
		n.reject(w.request, ErrNotAcknowledged)
		return
	}
	n.ackedState[w.record.ID] = max(n.ackedState[w.record.ID], w.record.State)
	n.reply(w.request, &w.record)
}

// homeReplica is the replica that should receive an endpoint's heartbeats: a responsive one in the endpoint's zone, by rendezvous
// hashing, so that replicas share the load. A heartbeat at any other process has to be forwarded. The result is invalid if there is
// none.
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
