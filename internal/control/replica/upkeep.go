package replica

import (
	"net/netip"
	"slices"

	"notchhinge/internal/limits"
)

// Upkeep is what a replica does by itself, again and again: a founder looks for the others before the founding; every other
// replica polls a random peer, catches up with it, and asks for a vote if it has none.

// upkeep is the state of that.
type upkeep struct {
	hasPolled bool // a peer has said since the start how far it has come
}

func (r *Replica) startUpkeep() {
	r.founding.startedAt, r.founding.stableFrom = r.now, r.now
	r.recoverMembershipChange()
	r.scheduleUpkeep()
}

// scheduleUpkeep starts the timer of the next step.
func (r *Replica) scheduleUpkeep() {
	switch {
	case r.state.NextIndex == 0 && r.IsFounder:
		r.after(limits.FoundingInterval, r.pollFounders)
	case r.state.NextIndex == 0 || !r.upkeep.hasPolled: // what the disk has may be old
		r.after(limits.FoundingInterval, r.pollPeer)
	case !r.isVoter():
		r.after(limits.JoinRetryInterval, r.pollPeer)
	default:
		r.after(limits.CatchUpInterval, r.pollPeer)
	}
}

// pollPeer asks a random peer how far it has come, and catches up with it.
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

// pickPeer draws one of the peers that are not suspected, but any of them one time in four.
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

// peerPolled continues the upkeep: a learner asks the peer for a vote, if that has answered.
func (r *Replica) peerPolled(peer netip.AddrPort, answered bool) {
	if answered && r.state.NextIndex > 0 && !r.isVoter() && !r.membership.isLeaving {
		r.join(peer)
		return
	}
	r.removeSurplusVoter(r.scheduleUpkeep)
}
