package replica

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// The group is founded by the replicas whose disks were empty when the fleet started for the first time. The value of
// index 0 names them, and all of them must accept it, so that no second group can be founded: two sets of 2f+1 founders
// overlap if there are fewer than 4f+2 founders in total.

// foundingTimeout bounds the attempts with one set of founders. During the same time after the start only the first
// founder by name proposes.
const foundingTimeout = 3 * time.Second

// founding is the state of a founder before the group is founded.
type founding struct {
	startedAt   time.Duration
	founders    int           // number of founders that answered the last poll, including this one
	stableSince time.Duration // time of the last change of that number
	deadline    time.Duration // of the current attempts
}

// pollFounders asks all peers whether they are founders. It catches up if the group has been founded.
func (r *Replica) pollFounders() {
	founders := []replog.Member{r.Self}
	calls := newFanOut(func() { r.foundIfReady(founders) })
	for _, to := range r.Peers() {
		calls.sent()
		r.callIdentity(to, func(i identity, ok bool) {
			switch {
			case !ok:
			case i.nextIndex > 0: // the group has been founded
				r.catchUp(to, func() {})
			case i.isFounder:
				founders = append(founders, i.Member)
			}
			calls.answered()
		})
	}
	calls.allSent()
}

// foundIfReady founds the group if there are enough founders, their number is stable, and this replica is the first by
// name or foundingTimeout has passed since the start.
func (r *Replica) foundIfReady(founders []replog.Member) {
	f := &r.founding
	if len(founders) != f.founders {
		f.founders, f.stableSince = len(founders), r.now
	}
	slices.SortFunc(founders, func(x, y replog.Member) int { return cmp.Compare(x.Name, y.Name) })
	isFirst := founders[0].ID == r.Self.ID || r.now-f.startedAt > foundingTimeout
	isStable := r.now-f.stableSince >= limits.FoundingQuietPeriod
	if len(founders) < r.MinVoters || !isStable || !isFirst || r.state.NextIndex > 0 {
		r.scheduleUpkeep()
		return
	}
	f.deadline = r.now + foundingTimeout
	r.foundGroup(founders, 0)
}

// foundGroup proposes the founders as the first voters; all of them must accept. retries counts the earlier attempts.
func (r *Replica) foundGroup(founders []replog.Member, retries int) {
	if r.state.NextIndex > 0 || r.now >= r.founding.deadline {
		r.scheduleUpkeep()
		return
	}
	value := r.membersEntry(founders)
	if err := replog.Check(value); err != nil {
		r.log.Warn("cannot found group", "err", fmt.Errorf("%w: %w", ErrInvalidEntry, err))
		r.scheduleUpkeep()
		return
	}
	proposer := paxos.Proposer{Index: 0, OwnValue: value, Voters: memberIDs(founders), Quorum: len(founders)}
	// A founder may have accepted another set of founders. All members of that set must then accept it.
	proposer.IsValidValue = func(value []byte) bool {
		members, ok := decodeMembers(value)
		return ok && slices.Equal(members, founders)
	}
	r.startAttempt(proposer, founders, retries, func(a *attempt) {
		switch a.outcome {
		case paxos.OutcomeChosen:
			r.log.Info("group founded", "voters", len(founders))
		case paxos.OutcomeInvalidValue:
			if members, ok := decodeMembers(a.Value); ok && len(members) > 0 {
				founders = members
			}
		}
		r.foundGroup(founders, retries+1)
	})
}
