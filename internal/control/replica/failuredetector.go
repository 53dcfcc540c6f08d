package replica

import (
	"maps"
	"net/netip"
	"time"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/limits"
)

// The failure detector knows a peer only by the calls that it answers or misses. A voter that has missed them for a while is
// suspected. Before it loses its vote the other voters are asked: the suspicion is confirmed if it answers none of them, since
// two replicas may be partitioned from each other alone.

// suspicion is of a peer that has not answered since a time.
type suspicion struct {
	since       time.Duration // when the first call that it has missed was sent
	confirmedAt time.Duration // when the other voters last confirmed that it does not answer them; 0 = never
}

// observeCall notes what a call of a peer has come to. It was sent at sentAt.
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
		r.forgetFormerPeers()
	}
}

// forgetFormerPeers drops the suspects that are not voters, most of which were replaced long ago.
func (r *Replica) forgetFormerPeers() {
	isVoter := map[netip.AddrPort]bool{}
	for i := range r.state.Members {
		if addr, ok := memberAddr(&r.state.Members[i]); ok {
			isVoter[addr] = true
		}
	}
	maps.DeleteFunc(r.membership.suspects, func(peer netip.AddrPort, _ suspicion) bool { return !isVoter[peer] })
}

// longestSuspected returns the index of the voter that has been suspected for longest, and at least for minAge; -1 if there is
// none.
func (r *Replica) longestSuspected(s *replog.State, minAge time.Duration) int {
	return r.longestSuspectedOf(s, minAge, func(suspicion) bool { return true })
}

// longestConfirmed is longestSuspected among the voters whose suspicion the other voters have lately confirmed.
func (r *Replica) longestConfirmed(s *replog.State, minAge time.Duration) int {
	return r.longestSuspectedOf(s, minAge, func(x suspicion) bool {
		return x.confirmedAt != 0 && r.now-x.confirmedAt <= limits.UnreachableReportTTL
	})
}

func (r *Replica) longestSuspectedOf(s *replog.State, minAge time.Duration, counts func(suspicion) bool) int {
	found, latest := -1, r.now-minAge
	for i := range s.Members {
		m := &s.Members[i]
		addr, ok := memberAddr(m)
		x, isSuspected := r.membership.suspects[addr]
		if ok && isSuspected && counts(x) && x.since <= latest && m.ID != r.Self.ID {
			found, latest = i, x.since-1
		}
	}
	return found
}

// probeVoters asks every other voter for its identity, so that it is known which are suspected, and then the others about the
// one that has been suspected for longest. done is called once all have answered or have not.
func (r *Replica) probeVoters(done func()) {
	calls := newFanOut(func() { r.confirmSuspicion(done) })
	for _, to := range r.peerVoters() {
		calls.sent()
		r.callIdentity(to, func(identity, bool) { calls.answered() })
	}
	calls.allSent()
}

// confirmSuspicion asks the voters that answer here whether the voter that has been suspected for longest answers them.
func (r *Replica) confirmSuspicion(done func()) {
	i := r.longestSuspected(&r.state, limits.VoterReplaceDelay)
	if i < 0 {
		done()
		return
	}
	suspect, _ := memberAddr(&r.state.Members[i])
	isReachable := false
	calls := newFanOut(func() {
		r.suspicionAnswered(suspect, isReachable)
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

// suspicionAnswered notes what the other voters have said of a suspect: it is none if it answers one of them.
func (r *Replica) suspicionAnswered(suspect netip.AddrPort, isReachable bool) {
	suspects := r.membership.suspects
	if isReachable {
		delete(suspects, suspect)
		return
	}
	if x, isSuspected := suspects[suspect]; isSuspected {
		suspects[suspect] = suspicion{since: x.since, confirmedAt: r.now}
	}
}

// receiveReachable answers whether the replica at an address answers this one.
func (r *Replica) receiveReachable(c CallReceived, reply replyFunc) {
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
