package replica

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/limits"
)

// A learner asks a random replica for a vote, at intervals. If no vote is free it becomes a candidate at that replica, which
// probes the voters until one has failed, and then gives that voter's vote to the candidate.

// candidate is a learner that has asked for a vote.
type candidate struct {
	replog.Member
	askedAt time.Duration
}

// join asks a replica to make this one a voter.
func (r *Replica) join(to netip.AddrPort) {
	r.call(to, rpc.KindJoin, r.identity().encode(), func(body []byte, err error) {
		if err != nil {
			r.log.Info("join not accepted", "peer", to.String(), "err", err)
		}
		if err == nil && len(body) == 1 && body[0] == joinGroupFull {
			r.after(limits.LearnerRetryInterval, r.pollPeer)
			return
		}
		r.scheduleUpkeep()
	})
}

// receiveJoin handles an rpc.KindJoin of a learner, or forwards it to the replica that proposes at present.
func (r *Replica) receiveJoin(c CallReceived, reply replyFunc) {
	learner, err := decodeIdentity(c.Body)
	if err != nil {
		reply(nil, err)
		return
	}
	if to, ok := r.busyProposer(&learner, c.From); ok {
		r.call(to, rpc.KindJoin, c.Body, reply)
		return
	}
	r.admit(learner, func(err error) {
		if errors.Is(err, errGroupFull) { // an answer, so that the learner does not take this replica for failed
			reply([]byte{joinGroupFull}, nil)
			return
		}
		reply(nil, err)
	})
}

// busyProposer returns the replica that proposes at present, if it is another one and the call comes from the learner itself
// (a call is forwarded once). Under a steady load of large proposals of one replica, a small proposal of another would
// conflict with each of them and lose; that replica can propose it between two of its own.
func (r *Replica) busyProposer(learner *identity, caller netip.Addr) (netip.AddrPort, bool) {
	addr, ok := memberAddr(&learner.Member)
	isForwarded := !ok || addr.Addr() != caller
	isIdle := r.now-r.committedAt > limits.ReplicaCallTimeout
	if isForwarded || isIdle || r.committer == caller || len(r.proposals) > 0 {
		return netip.AddrPort{}, false
	}
	return r.peerAt(r.committer)
}

// admit makes a learner a voter if a vote is free, or notes it as a candidate for the next one. It must have caught up but for a
// few entries, so that no majority depends on a replica that knows nothing.
func (r *Replica) admit(learner identity, done func(error)) {
	if !r.isVoter() || learner.nextIndex+limits.MaxJoinLag < r.state.NextIndex {
		done(errLagging)
		return
	}
	if r.state.Member(learner.ID) == nil {
		r.addCandidate(learner.Member)
	}
	r.tryAdmit(learner.Member, done, func() {
		r.probeVoters(func() {
			r.tryAdmit(learner.Member, done, func() {
				done(errGroupFull)
				r.watchVoters()
			})
		})
	})
}

// tryAdmit makes a learner a voter and calls done, or calls groupFull if no vote is free.
func (r *Replica) tryAdmit(learner replog.Member, done func(error), groupFull func()) {
	r.changeMembers(r.adding(learner), r.now+settleTimeout, func(err error) {
		if errors.Is(err, errGroupFull) {
			groupFull()
			return
		}
		done(err)
	})
}

// adding returns the change that makes a learner a voter.
func (r *Replica) adding(learner replog.Member) votersFunc {
	return func(s *replog.State) ([]replog.Member, error) { return r.withVoter(s, learner) }
}

func (r *Replica) addCandidate(learner replog.Member) {
	all := slices.DeleteFunc(r.membership.candidates, func(c candidate) bool {
		return c.ID == learner.ID || c.Name == learner.Name || r.now-c.askedAt > limits.JoinRequestTTL
	})
	if all = append(all, candidate{learner, r.now}); len(all) > limits.MaxJoinRequests {
		all = all[1:]
	}
	r.membership.candidates = all
}

// watchVoters probes suspected voters for as long as there is a candidate for their votes.
func (r *Replica) watchVoters() {
	if !r.membership.isWatching {
		r.membership.isWatching = true
		r.watchOnce()
	}
}

// watchOnce probes the voters once, and gives the vote of one that has failed to the first candidate.
func (r *Replica) watchOnce() {
	m := &r.membership
	m.candidates = slices.DeleteFunc(m.candidates, func(c candidate) bool {
		return r.now-c.askedAt > limits.JoinRequestTTL || r.state.Member(c.ID) != nil
	})
	if len(m.candidates) == 0 || !r.isVoter() || r.longestSuspected(&r.state, 0) < 0 {
		m.isWatching = false
		return
	}
	again := func() { r.after(limits.VoterCheckInterval, r.watchOnce) }
	r.probeVoters(func() {
		if len(m.candidates) == 0 || r.longestConfirmed(&r.state, limits.VoterReplaceDelay) < 0 {
			again()
			return
		}
		r.changeMembers(r.adding(m.candidates[0].Member), r.now+settleTimeout, func(error) { again() })
	})
}
