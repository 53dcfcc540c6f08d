package replica

import (
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// The voters are part of the state, agreed by a majority of those that voted before. The group has 2f+1 of them
// (Config.MinVoters), where f may be lost at once. A replica beyond that is a learner: it follows the state and has no vote. A
// learner takes the vote of a voter that has failed, or that leaves and hands its vote over. So a change never lowers the
// number of voters, and a voter that was only partitioned comes back as a learner.
//
// A change of membership is finished once the index after its own is chosen: the new voters vote on that one, and a replica
// votes on an index only when its disk has all before. Until then nothing that depends on the change is acknowledged: a joining
// learner has no answer, a leaving replica does not end, an operator has no acknowledgement. If the proposer fails in between,
// any voter that knows of the change finishes it.

// membership is what a replica knows of changes of the membership, of failed voters, and of learners that ask for a vote.
type membership struct {
	suspects   map[netip.AddrPort]suspicion
	candidates []candidate // learners that have asked for a vote lately, the oldest first
	isWatching bool        // voters are probed on behalf of the candidates
	isLeaving  bool        // the process ends: it asks for no vote any more
	// unfinished is the index that finishes the newest change that is known here; 0 = there is none.
	unfinished uint64
}

// votersFunc returns the voters that a state should have; nil if it has them already.
type votersFunc func(*replog.State) ([]replog.Member, error)

// The random delay after which a replica finishes or decides a change of membership that another should have finished.
const (
	finishChangeMin   = 200 * time.Millisecond
	finishChangeMax   = 600 * time.Millisecond
	decideAcceptedMin = 300 * time.Millisecond
	decideAcceptedMax = 700 * time.Millisecond
)

// changeMembers has other voters agreed, and calls done once the change is finished.
func (r *Replica) changeMembers(next votersFunc, deadline time.Duration, done func(error)) {
	var votersErr error
	entry := func(s *replog.State) []byte {
		var voters []replog.Member
		voters, votersErr = next(s)
		if votersErr != nil || voters == nil {
			return nil
		}
		return r.membersEntry(voters)
	}
	r.propose(entry, deadline, func(err error) {
		switch {
		case err != nil:
			done(err)
		case votersErr != nil:
			done(votersErr)
		default:
			r.finishChange(deadline, done)
		}
	})
}

// finishChange has an index chosen after the newest change of membership, unless one is.
func (r *Replica) finishChange(deadline time.Duration, done func(error)) {
	index := r.membership.unfinished
	r.propose(func(s *replog.State) []byte {
		if s.NextIndex > index {
			return nil
		}
		return r.noop()
	}, deadline, done)
}

// noop returns an entry that changes nothing.
func (r *Replica) noop() []byte {
	return replog.Entry{Nonce: r.random.Uint64(), Payload: replog.Noop{}}.Encode()
}

// decodeMembers returns the voters that an entry names; false if it is not a change of membership.
func decodeMembers(value []byte) ([]replog.Member, bool) {
	e, err := replog.Decode(value)
	change, ok := e.Payload.(replog.MembersChange)
	return change.Members, err == nil && ok
}

// membersEntry returns an entry that names the voters.
func (r *Replica) membersEntry(voters []replog.Member) []byte {
	return replog.Entry{Nonce: r.random.Uint64(), Payload: replog.MembersChange{Members: voters}}.Encode()
}

// membershipChanged notes that the newest index that is known here may be a change of membership. Its proposer may have failed,
// so each voter sees after a random delay whether the change is finished. The founders have all accepted the first.
func (r *Replica) membershipChanged() {
	index := r.state.NextIndex
	if r.membership.unfinished = index; index <= 1 {
		return
	}
	r.after(r.jitter(finishChangeMin, finishChangeMax), func() {
		if r.state.NextIndex == index && r.isVoter() {
			r.finishChange(r.now+settleTimeout, func(error) {})
		}
	})
}

// recoverMembershipChange finds out at the start whether the newest index was a change of membership. With a snapshot alone it
// may have been one.
func (r *Replica) recoverMembershipChange() {
	if r.state.NextIndex == 0 {
		return
	}
	if value, ok := r.ChosenValue(r.state.NextIndex - 1); ok {
		if _, isChange := decodeMembers(value); !isChange {
			return
		}
	}
	r.membershipChanged()
}

// MembershipPending tells whether this replica has accepted other voters for the open index. They may have been chosen, so that
// grants of the voters that it knows may not count any more.
func (r *Replica) MembershipPending() bool {
	accepted := &r.acceptor.State
	if accepted.Index != r.state.NextIndex || accepted.Accepted == (paxos.ProposalNumber{}) {
		return false
	}
	_, isChange := decodeMembers(accepted.Value)
	return isChange
}

// watchAcceptedMembership sees to it that a change of membership that was accepted here for an index is decided even if its
// proposer has failed.
func (r *Replica) watchAcceptedMembership(index uint64) {
	if !r.MembershipPending() {
		return
	}
	r.after(r.jitter(decideAcceptedMin, decideAcceptedMax), func() {
		if r.state.NextIndex != index || !r.MembershipPending() {
			return
		}
		noop := r.noop()
		r.propose(func(s *replog.State) []byte {
			if s.NextIndex > index {
				return nil
			}
			return noop
		}, r.now+settleTimeout, func(error) {})
	})
}

// withVoter returns the voters of a state with one more: instead of the one of its name, whose disk is gone; as a further one
// where there are fewer than there should be; or else instead of the one that has failed for longest. Nil if it is a voter.
func (r *Replica) withVoter(s *replog.State, m replog.Member) ([]replog.Member, error) {
	if s.Member(m.ID) != nil || m.ID == 0 {
		return nil, nil
	}
	voters := slices.Clone(s.Members)
	replaced := slices.IndexFunc(voters, func(x replog.Member) bool { return x.Name == m.Name })
	switch {
	case replaced >= 0:
		r.log.Info("adding voter in place of its former disk", "name", m.Name, "member", memberID(m.ID))
	case len(voters) < r.MinVoters:
		r.log.Info("adding voter", "name", m.Name, "member", memberID(m.ID), "voters", len(voters)+1)
		return append(voters, m), nil
	default:
		if replaced = r.longestConfirmed(s, limits.VoterReplaceDelay); replaced < 0 {
			return nil, errGroupFull
		}
		addr, _ := memberAddr(&voters[replaced])
		r.log.Info("adding voter in place of a failed one", "name", m.Name, "member", memberID(m.ID), "replaces", voters[replaced].Name,
			"failed_for", (r.now - r.membership.suspects[addr].since).String())
	}
	voters[replaced] = m
	return voters, nil
}

// removeSurplusVoter removes the voter that has failed for long where there are more voters than there should be, as an earlier
// release may have left: each that is gone for good makes a majority harder to reach.
func (r *Replica) removeSurplusVoter(done func()) {
	if len(r.state.Members) <= r.MinVoters || !r.isVoter() {
		done()
		return
	}
	r.probeVoters(func() {
		r.changeMembers(func(s *replog.State) ([]replog.Member, error) {
			i := r.longestConfirmed(s, limits.SurplusVoterRemovalDelay)
			if i < 0 || len(s.Members) <= r.MinVoters {
				return nil, nil
			}
			r.log.Info("removing voter", "name", s.Members[i].Name, "voters", len(s.Members)-1)
			return slices.Delete(slices.Clone(s.Members), i, i+1), nil
		}, r.now+settleTimeout, func(error) { done() })
	})
}
