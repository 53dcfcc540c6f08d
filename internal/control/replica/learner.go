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

// A learner requests a vote, that is, membership as a voter, from a random replica at intervals. If no vote is free, that
// replica keeps the learner as a candidate, probes the voters until it finds that one has failed, and then gives the failed
// voter's vote to the candidate.

// candidate is a learner that has requested a vote.
type candidate struct {
	replog.Member
	requestedAt time.Duration
}

// join requests a vote for this replica from another one.
func (r *Replica) join(to netip.AddrPort) {
	r.call(to, rpc.KindJoin, r.identity().encode(), func(body []byte, err error) {
		if err != nil {
			r.log.Info("join not accepted", "peer", to.String(), "err", err)
		}
		if err == nil && len(body) == 1 && body[0] == joinGroupFull {
			r.runAfter(limits.LearnerRetryInterval, r.pollPeer)
			return
		}
		r.scheduleUpkeep()
	})
}

// receiveJoin handles an rpc.KindJoin of a learner, or forwards it to the replica that is currently proposing.
func (r *Replica) receiveJoin(c CallReceived, reply replyFunc) {
	learner, err := decodeIdentity(c.Body)
	if err != nil {
		reply(nil, err)
		return
	}
	if to, ok := r.activeProposer(&learner, c.From); ok {
		r.call(to, rpc.KindJoin, c.Body, reply)
		return
	}
	r.admit(learner, func(err error) {
		if errors.Is(err, errGroupFull) { // with an error the learner would suspect this replica
			reply([]byte{joinGroupFull}, nil)
			return
		}
		reply(nil, err)
	})
}

// activeProposer returns the replica that is currently proposing, if that is another replica and the call comes directly
// from the learner; a call is forwarded only once. While one replica steadily proposes large values, a small proposal of
// another replica would conflict with each of them and lose. The busy replica can propose it between two of its own.
func (r *Replica) activeProposer(learner *identity, caller netip.Addr) (netip.AddrPort, bool) {
	addr, ok := memberAddr(&learner.Member)
	isForwarded := !ok || addr.Addr() != caller
	isIdle := r.now-r.lastAnnouncementAt > limits.ReplicaCallTimeout
	if isForwarded || isIdle || r.lastAnnouncer == caller || len(r.proposals) > 0 {
		return netip.AddrPort{}, false
	}
	return r.peerAt(r.lastAnnouncer)
}

// admit makes a learner a voter if a vote is free, or keeps it as a candidate otherwise. The learner may lag by at most
// limits.MaxJoinLag entries, so that no majority depends on a replica without the state.
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
	r.changeMembers(r.addVoterFunc(learner), r.now+membershipChangeTimeout, func(err error) {
		if errors.Is(err, errGroupFull) {
			groupFull()
			return
		}
		done(err)
	})
}

// addVoterFunc returns the membership change that makes a learner a voter.
func (r *Replica) addVoterFunc(learner replog.Member) votersFunc {
	return func(s *replog.State) ([]replog.Member, error) { return r.withVoter(s, learner) }
}

func (r *Replica) addCandidate(learner replog.Member) {
	all := slices.DeleteFunc(r.membership.candidates, func(c candidate) bool {
		return c.ID == learner.ID || c.Name == learner.Name || r.now-c.requestedAt > limits.JoinRequestTTL
	})
	if all = append(all, candidate{learner, r.now}); len(all) > limits.MaxJoinRequests {
		all = all[1:]
	}
	r.membership.candidates = all
}

// watchVoters probes suspected voters while there are candidates for their votes.
func (r *Replica) watchVoters() {
	if !r.membership.isWatching {
		r.membership.isWatching = true
		r.watchOnce()
	}
}

// watchOnce probes the voters once and gives the vote of a failed one to the oldest candidate.
func (r *Replica) watchOnce() {
	m := &r.membership
	m.candidates = slices.DeleteFunc(m.candidates, func(c candidate) bool {
		return r.now-c.requestedAt > limits.JoinRequestTTL || r.state.Member(c.ID) != nil
	})
	if len(m.candidates) == 0 || !r.isVoter() || r.longestSuspected(&r.state, 0) < 0 {
		m.isWatching = false
		return
	}
	again := func() { r.runAfter(limits.VoterCheckInterval, r.watchOnce) }
	r.probeVoters(func() {
		if len(m.candidates) == 0 || r.longestConfirmed(&r.state, limits.VoterReplaceDelay) < 0 {
			again()
			return
		}
		r.changeMembers(r.addVoterFunc(m.candidates[0].Member), r.now+membershipChangeTimeout, func(error) { again() })
	})
}
