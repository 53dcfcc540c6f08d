package replica

import (
	"net/netip"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// The voters are part of the state: a majority of the current voters agrees on the next ones. The group has 2f+1 voters
// (Config.MinVoters), of which f may be lost at once. Every other replica is a learner: it follows the state without a
// vote. A learner replaces a voter that has failed or that hands over its vote during a graceful shutdown. A change
// therefore never reduces the number of voters, and a voter that was only partitioned rejoins as a learner.
//
// A membership change is finished once the next index after it is chosen. The new voters vote on that index, and a
// replica votes on an index only when its disk has all earlier entries. Nothing that depends on the change is
// acknowledged earlier: neither the join of a learner, nor the end of a graceful shutdown, nor an operator's request.
// If the proposer fails in between, any voter that knows of the change finishes it.

// membership holds the state of membership changes, suspected voters and candidates.
type membership struct {
	suspects   map[netip.AddrPort]suspicion
	candidates []candidate // learners that have recently requested a vote, oldest first
	isWatching bool        // voters are being probed for the candidates
	isLeaving  bool        // shutting down: this replica requests no vote
	// finishIndex is the index that finishes the latest known membership change; 0 if there is none.
	finishIndex uint64
}

// votersFunc returns the voters that should replace those of a state, or nil if no change is needed.
type votersFunc func(*replog.State) ([]replog.Member, error)

// Bounds of the random delay before a replica finishes, or decides, a membership change of another proposer.
const (
	finishChangeDelayMin   = 200 * time.Millisecond
	finishChangeDelayMax   = 600 * time.Millisecond
	decideAcceptedDelayMin = 300 * time.Millisecond
	decideAcceptedDelayMax = 700 * time.Millisecond
)

// changeMembers proposes a membership change and calls done once it is finished.
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

// finishChange proposes a no-op at the index after the latest membership change, unless that index is already chosen.
func (r *Replica) finishChange(deadline time.Duration, done func(error)) {
	index := r.membership.finishIndex
	r.propose(func(s *replog.State) []byte {
		if s.NextIndex > index {
			return nil
		}
		return r.noop()
	}, deadline, done)
}

// noop returns an encoded entry that changes nothing.
func (r *Replica) noop() []byte {
	return replog.Entry{Nonce: r.random.Uint64(), Payload: replog.Noop{}}.Encode()
}

// decodeMembers returns the voters in an encoded entry; false if the entry is not a membership change.
func decodeMembers(value []byte) ([]replog.Member, bool) {
	e, err := replog.Decode(value)
	change, ok := e.Payload.(replog.MembersChange)
	return change.Members, err == nil && ok
}

// membersEntry returns an encoded entry that sets the voters.
func (r *Replica) membersEntry(voters []replog.Member) []byte {
	return replog.Entry{Nonce: r.random.Uint64(), Payload: replog.MembersChange{Members: voters}}.Encode()
}

// membershipChanged records that the latest entry is, or may be, a membership change. Its proposer may have failed, so
// each voter checks after a random delay whether the change is finished. The first membership needs no check: all
// founders have accepted it.
func (r *Replica) membershipChanged() {
	index := r.state.NextIndex
	if r.membership.finishIndex = index; index <= 1 {
		return
	}
	r.runAfter(r.jitter(finishChangeDelayMin, finishChangeDelayMax), func() {
		if r.state.NextIndex == index && r.isVoter() {
			r.finishChange(r.now+membershipChangeTimeout, func(error) {})
		}
	})
}

// recoverMembershipChange checks at the start whether the latest entry is a membership change. If the disk has only a
// snapshot, the latest entry is assumed to be one.
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

// MembershipPending reports whether this replica has accepted a membership change at its next index. The change may
// already be chosen, in which case grants of the previous voters may no longer count.
func (r *Replica) MembershipPending() bool {
	accepted := &r.acceptor.State
	if accepted.Index != r.state.NextIndex || accepted.Accepted == (paxos.ProposalNumber{}) {
		return false
	}
	_, isChange := decodeMembers(accepted.Value)
	return isChange
}

// watchAcceptedMembership ensures that a membership change accepted at an index is decided even if its proposer has
// failed.
func (r *Replica) watchAcceptedMembership(index uint64) {
	if !r.MembershipPending() {
		return
	}
	r.runAfter(r.jitter(decideAcceptedDelayMin, decideAcceptedDelayMax), func() {
		if r.state.NextIndex != index || !r.MembershipPending() {
			return
		}
		noop := r.noop()
		r.propose(func(s *replog.State) []byte {
			if s.NextIndex > index {
				return nil
			}
			return noop
		}, r.now+membershipChangeTimeout, func(error) {})
	})
}

// withVoter returns the voters of a state with a new one: in place of the voter with the same name, whose disk was
// lost; in addition, if there are fewer than MinVoters; or else in place of the voter that has failed for the longest
// time. It returns nil if m is already a voter.
func (r *Replica) withVoter(s *replog.State, m replog.Member) ([]replog.Member, error) {
	if s.Member(m.ID) != nil || m.ID == 0 {
		return nil, nil
	}
	voters := slices.Clone(s.Members)
	replaced := slices.IndexFunc(voters, func(x replog.Member) bool { return x.Name == m.Name })
	switch {
	case replaced >= 0:
		r.log.Info("replacing voter whose disk was lost", "name", m.Name, "member", formatMemberID(m.ID))
	case len(voters) < r.MinVoters:
		r.log.Info("adding voter", "name", m.Name, "member", formatMemberID(m.ID), "voters", len(voters)+1)
		return append(voters, m), nil
	default:
		if replaced = r.longestConfirmed(s, limits.VoterReplaceDelay); replaced < 0 {
			return nil, errGroupFull
		}
		addr, _ := memberAddr(&voters[replaced])
		r.log.Info("adding voter in place of a failed one", "name", m.Name, "member", formatMemberID(m.ID), "replaces", voters[replaced].Name,
			"failed_for", (r.now - r.membership.suspects[addr].since).String())
	}
	voters[replaced] = m
	return voters, nil
}

// removeSurplusVoter removes a voter that has failed for a long time if there are more than MinVoters, as earlier
// releases allowed. Each permanently lost voter makes a majority harder to reach.
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
		}, r.now+membershipChangeTimeout, func(error) { done() })
	})
}
