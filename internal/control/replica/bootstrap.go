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

// The group is founded by the replicas whose disks were empty at the very first start of the fleet. The value of index 0 names
// them, and all of them must accept it, so that no other set can be founded: two sets of 2f+1 share a founder as long as there
// are fewer than 4f+2.

// foundingTimeout bounds the attempts to found the group with one set of founders. For as long after the start only the first
// founder by name tries.
const foundingTimeout = 3 * time.Second

// founding is what a founder knows before the group is founded.
type founding struct {
	startedAt  time.Duration
	founders   int           // that have answered in the last poll
	stableFrom time.Duration // since when there are so many
	giveUpAt   time.Duration // of the attempts that go on
}

// pollFounders finds out which founders there are.
func (r *Replica) pollFounders() {
	founders := []replog.Member{r.Self}
	calls := newFanOut(func() { r.considerFounding(founders) })
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

// considerFounding founds the group if there are enough founders, no further one has come for a while, and this one is the first
// of them or the first has had its time.
func (r *Replica) considerFounding(founders []replog.Member) {
	f := &r.founding
	if len(founders) != f.founders {
		f.founders, f.stableFrom = len(founders), r.now
	}
	slices.SortFunc(founders, func(x, y replog.Member) int { return cmp.Compare(x.Name, y.Name) })
	isFirst := founders[0].ID == r.Self.ID || r.now-f.startedAt > foundingTimeout
	isStable := r.now-f.stableFrom >= limits.FoundingQuietPeriod
	if len(founders) < r.MinVoters || !isStable || !isFirst || r.state.NextIndex > 0 {
		r.scheduleUpkeep()
		return
	}
	f.giveUpAt = r.now + foundingTimeout
	r.found(founders, 0)
}

// found has all founders accept that they are the first voters. retries counts the attempts before.
func (r *Replica) found(founders []replog.Member, retries int) {
	if r.state.NextIndex > 0 || r.now >= r.founding.giveUpAt {
		r.scheduleUpkeep()
		return
	}
	value := r.membersEntry(founders)
	if err := replog.Check(value); err != nil {
		r.log.Warn("founding impossible", "err", fmt.Errorf("%w: %w", ErrInvalidEntry, err))
		r.scheduleUpkeep()
		return
	}
	proposer := paxos.Proposer{Index: 0, OwnValue: value, Voters: memberIDs(founders), Quorum: len(founders)}
	// A founder may have accepted another set before, whose members must then all accept that.
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
		r.found(founders, retries+1)
	})
}
