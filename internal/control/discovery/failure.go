package discovery

import (
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// learnHeartbeat takes in a heartbeat that another process has reported, and relays a new one to the replicas that do not hear
// that process.
func (n *Node) learnHeartbeat(l gossip.HeartbeatLearned) {
	id, isKnown := n.idByHash[l.Heartbeat.Key]
	if !isKnown {
		return
	}
	wasSuspect := n.isSuspect(id)
	age := time.Duration(l.Heartbeat.AgeMS) * time.Millisecond
	if n.Endpoints.MergeHeartbeat(n.now, id, l.Heartbeat.Sequence, age) {
		n.queue = append(n.queue, gossip.RelayHeartbeat(l))
	}
	if wasSuspect {
		n.announceRecovery(id)
	}
}

func (n *Node) isSuspect(id string) bool {
	e := n.Endpoints.Find(id)
	return e != nil && e.Suspect
}

// announceRecovery refutes the suspicion of an endpoint, which was suspect before a heartbeat and may be no more.
func (n *Node) announceRecovery(id string) {
	if n.isSuspect(id) {
		return
	}
	n.endpointsChanged = true
	n.refute(n.Endpoints.Find(id))
}

// refute tells others that an endpoint is not suspect.
func (n *Node) refute(e *endpoints.Endpoint) {
	n.publish(suspicionItem(endpoints.Suspicion{ID: e.ID, CallCount: e.LatestCallCount}))
}

// learnSuspicion takes in another process's suspicion or refutation. It refutes a suspicion if this process knows of a later heartbeat.
func (n *Node) learnSuspicion(x endpoints.Suspicion) {
	if n.Endpoints.MergeSuspicion(n.now, x) {
		n.endpointsChanged = true
	}
	e := n.Endpoints.Find(x.ID)
	if x.Suspect && e != nil && e.LatestCallCount > x.CallCount && !e.Suspect && e.State != endpoints.StateGone {
		n.refute(e)
	}
}

// sweep detects suspect and failed endpoints, where this process may, and drops expired records.
func (n *Node) sweep() {
	if n.mayDetect() {
		n.detectFailures()
	}
	for _, id := range n.Endpoints.Expire(n.now) {
		n.Gossip.RemoveItem(endpointPrefix + id)
		n.Gossip.RemoveItem(suspicionPrefix + id)
		delete(n.idByHash, gossip.Hash(id))
		delete(n.ackedState, id)
	}
}

// mayDetect reports whether this process runs the failure detector: it is a replica, and it has been in contact with a majority
// of the voters for long enough to have received what the others have.
func (n *Node) mayDetect() bool {
	duration, hasContact := n.Gossip.QuorumContact()
	return hasContact && n.self.Flags&gossip.FlagReplica != 0 && duration >= n.Endpoints.HeartbeatTimeout()
}

func (n *Node) detectFailures() {
	suspects, failed := n.Endpoints.Detect()
	for _, id := range suspects {
		n.endpointsChanged = true
		n.publish(suspicionItem(endpoints.Suspicion{ID: id, CallCount: n.Endpoints.Find(id).LatestCallCount, Suspect: true}))
	}
	for _, id := range failed {
		for _, r := range n.Endpoints.MarkFailed(n.now, id, n.wallMS) {
			n.endpointsChanged = true
			n.publish(endpointItem(&r))
		}
	}
}
