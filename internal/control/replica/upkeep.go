package replica

import (
	"net/netip"
	"slices"

	"notchhinge/internal/limits"
)

// Upkeep is the periodic work of a replica. Before the founding, a founder polls for other founders. Every other
// replica polls a random peer, catches up with it, and requests a vote if it has none.

// upkeep is the state of the periodic work.
type upkeep struct {
	hasPolled bool // a peer has reported its next index since the start
}

func (r *Replica) startUpkeep() {
	r.founding.startedAt, r.founding.stableSince = r.now, r.now
	r.recoverMembershipChange()
	r.scheduleUpkeep()
}

// scheduleUpkeep schedules the next step.
func (r *Replica) scheduleUpkeep() {
	switch {
	case r.state.NextIndex == 0 && r.IsFounder:
		r.runAfter(limits.FoundingInterval, r.pollFounders)
	case r.state.NextIndex == 0 || !r.upkeep.hasPolled: // the state on the disk may be old
		r.runAfter(limits.FoundingInterval, r.pollPeer)
	case !r.isVoter():
		r.runAfter(limits.JoinRetryInterval, r.pollPeer)
	default:
		r.runAfter(limits.CatchUpInterval, r.pollPeer)
	}
}

// pollPeer requests the next index of a random peer, and catches up with it.
func (r *Replica) pollPeer() {
	peers := r.Peers()
	if len(peers) == 0 {
		r.scheduleUpkeep()
		return
	}
	to := r.pickPeer(peers)
	r.callIdentity(to, func(i identity, ok bool) {
		r.upkeep.hasPolled = r.upkeep.hasPolled || ok
		if ok && i.nextIndex > r.state.NextIndex {
			r.catchUp(to, func() { r.peerPolled(to, ok) })
			return
		}
		r.peerPolled(to, ok)
	})
}

// pickPeer returns a random peer. Three times out of four it excludes suspected peers.
func (r *Replica) pickPeer(peers []netip.AddrPort) netip.AddrPort {
	to := peers[r.random.IntN(len(peers))]
	answering := slices.DeleteFunc(slices.Clone(peers), func(a netip.AddrPort) bool {
		_, isSuspected := r.membership.suspects[a]
		return isSuspected
	})
	if len(answering) > 0 && r.random.IntN(4) > 0 {
		to = answering[r.random.IntN(len(answering))]
	}
	return to
}

// peerPolled continues after a poll: a learner requests a vote from a peer that answered.
func (r *Replica) peerPolled(peer netip.AddrPort, answered bool) {
	if answered && r.state.NextIndex > 0 && !r.isVoter() && !r.membership.isLeaving {
		r.join(peer)
		return
	}
	r.removeSurplusVoter(r.scheduleUpkeep)
}
