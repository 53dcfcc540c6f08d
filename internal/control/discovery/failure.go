package discovery

import (
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// mergeHeartbeat merges a heartbeat that another process has reported. A new one is relayed to the replicas that receive no packets of
// that process.
func (n *Node) mergeHeartbeat(learned gossip.HeartbeatLearned) {
	id, isKnown := n.idByHash[learned.Heartbeat.Key]
	if !isKnown {
		return
	}
	wasSuspect := n.isSuspect(id)
	age := time.Duration(learned.Heartbeat.AgeMS) * time.Millisecond
	if n.Endpoints.MergeHeartbeat(n.now, id, learned.Heartbeat.Sequence, age) {
		n.gossipEvents = append(n.gossipEvents, gossip.RelayHeartbeat(learned))
	}
	if wasSuspect {
		n.refuteIfRecovered(id)
	}
}

func (n *Node) isSuspect(id string) bool {
	e := n.Endpoints.Find(id)
	return e != nil && e.Suspect
}

// refuteIfRecovered publishes a refutation if an endpoint that was suspect is not suspect any more.
func (n *Node) refuteIfRecovered(id string) {
	if n.isSuspect(id) {
		return
	}
	n.endpointsChanged = true
	n.refute(n.Endpoints.Find(id))
}

// refute publishes that an endpoint is not suspect.
func (n *Node) refute(e *endpoints.Endpoint) {
	n.publish(suspicionItem(endpoints.Suspicion{ID: e.ID, CallCount: e.LatestCallCount}))
}

// mergeSuspicion merges a suspicion or refutation of another process. It refutes a suspicion if this process has a later heartbeat.
func (n *Node) mergeSuspicion(suspicion endpoints.Suspicion) {
	if n.Endpoints.MergeSuspicion(n.now, suspicion) {
		n.endpointsChanged = true
	}
	e := n.Endpoints.Find(suspicion.ID)
	if suspicion.Suspect && e != nil && e.LatestCallCount > suspicion.CallCount && !e.Suspect && e.State != endpoints.StateGone {
		n.refute(e)
	}
}

// sweep detects suspect and failed endpoints, if this process runs the failure detector, and drops expired records.
func (n *Node) sweep() {
	if n.canDetectFailures() {
		n.detectFailures()
	}
	n.retryRefused()
	expired := n.Endpoints.Expire(n.now)
	n.forgetRecords(expired)
	for _, id := range expired {
		n.Gossip.RemoveItem(endpointPrefix + id)
		n.Gossip.RemoveItem(suspicionPrefix + id)
		delete(n.idByHash, gossip.Hash(id))
		delete(n.ackedState, id)
	}
}

// canDetectFailures reports whether this process runs the failure detector: it is a replica, and its quorum contact has lasted long
// enough to receive the heartbeats that the other replicas have received.
func (n *Node) canDetectFailures() bool {
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
