package replica

import (
	"maps"
	"net/netip"
	"time"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/limits"
)

// The failure detector observes only whether peers answer calls. A peer that does not answer is suspected. A partition
// may affect this replica alone, so before a suspected voter loses its vote, the other voters are asked whether they
// reach it. The suspicion is confirmed if none of them does.

// suspicion records that a peer does not answer calls.
type suspicion struct {
	since       time.Duration // when the first unanswered call was sent
	confirmedAt time.Duration // when the other voters last reported that they cannot reach the peer; 0 = never
}

// observeCall updates the suspicions with the result of a call to a peer that was sent at sentAt.
func (r *Replica) observeCall(peer netip.AddrPort, sentAt time.Duration, err error) {
	suspects := r.membership.suspects
	if err == nil {
		delete(suspects, peer)
		return
	}
	if _, isSuspected := suspects[peer]; !isSuspected {
		suspects[peer] = suspicion{since: sentAt}
	}
	if len(suspects) > limits.MaxUnresponsiveReplicas {
		r.dropNonVoterSuspects()
	}
}

// dropNonVoterSuspects removes suspicions of replicas that are not voters. Most of them were replaced long ago.
func (r *Replica) dropNonVoterSuspects() {
	isVoter := map[netip.AddrPort]bool{}
	for i := range r.state.Members {
		if addr, ok := memberAddr(&r.state.Members[i]); ok {
			isVoter[addr] = true
		}
	}
	maps.DeleteFunc(r.membership.suspects, func(peer netip.AddrPort, _ suspicion) bool { return !isVoter[peer] })
}

// longestSuspected returns the position in s.Members of the voter that has been suspected for the longest time, and for
// at least minAge; -1 if there is none.
func (r *Replica) longestSuspected(s *replog.State, minAge time.Duration) int {
	return r.longestSuspectedWhere(s, minAge, func(suspicion) bool { return true })
}

// longestConfirmed is like longestSuspected, but considers only suspicions that the other voters have recently
// confirmed.
func (r *Replica) longestConfirmed(s *replog.State, minAge time.Duration) int {
	return r.longestSuspectedWhere(s, minAge, func(x suspicion) bool {
		return x.confirmedAt != 0 && r.now-x.confirmedAt <= limits.UnreachableReportTTL
	})
}

func (r *Replica) longestSuspectedWhere(s *replog.State, minAge time.Duration, include func(suspicion) bool) int {
	found, latest := -1, r.now-minAge
	for i := range s.Members {
		m := &s.Members[i]
		addr, ok := memberAddr(m)
		x, isSuspected := r.membership.suspects[addr]
		if ok && isSuspected && include(x) && x.since <= latest && m.ID != r.Self.ID {
			found, latest = i, x.since-1
		}
	}
	return found
}

// probeVoters calls every other voter to update the suspicions, and then asks the voters that answer about the voter
// that has been suspected for the longest time. done is called after the last answer or timeout.
func (r *Replica) probeVoters(done func()) {
	calls := newFanOut(func() { r.confirmSuspicion(done) })
	for _, to := range r.peerVoters() {
		calls.sent()
		r.callIdentity(to, func(identity, bool) { calls.answered() })
	}
	calls.allSent()
}

// confirmSuspicion asks the voters that are not suspected whether they reach the voter that has been suspected for the
// longest time.
func (r *Replica) confirmSuspicion(done func()) {
	i := r.longestSuspected(&r.state, limits.VoterReplaceDelay)
	if i < 0 {
		done()
		return
	}
	suspect, _ := memberAddr(&r.state.Members[i])
	isReachable := false
	calls := newFanOut(func() {
		r.updateSuspicion(suspect, isReachable)
		done()
	})
	for _, to := range r.peerVoters() {
		if _, isSuspected := r.membership.suspects[to]; isSuspected {
			continue
		}
		calls.sent()
		r.call(to, rpc.KindCheckReachable, []byte(suspect.String()), func(body []byte, err error) {
			isReachable = isReachable || err == nil && len(body) == 1 && body[0] == 1
			calls.answered()
		})
	}
	calls.allSent()
}

// updateSuspicion confirms a suspicion if no other voter reached the peer, and removes it otherwise.
func (r *Replica) updateSuspicion(suspect netip.AddrPort, isReachable bool) {
	suspects := r.membership.suspects
	if isReachable {
		delete(suspects, suspect)
		return
	}
	if x, isSuspected := suspects[suspect]; isSuspected {
		suspects[suspect] = suspicion{since: x.since, confirmedAt: r.now}
	}
}

// receiveCheckReachable handles an rpc.KindCheckReachable. It replies whether the replica at an address answers a
// call from this replica.
func (r *Replica) receiveCheckReachable(c CallReceived, reply replyFunc) {
	to, err := netip.ParseAddrPort(string(c.Body))
	if err != nil {
		reply(nil, err)
		return
	}
	r.callIdentity(to, func(_ identity, ok bool) {
		answer := byte(0)
		if ok {
			answer = 1
		}
		reply([]byte{answer}, nil)
	})
}
