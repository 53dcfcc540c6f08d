package check

import (
	"fmt"
	"slices"

	"notchhinge/internal/control/paxos"
)

// replacement is a model of three voters and a standby that replaces one of them. In a planned replacement the departing voter
// stops once the membership change has finished; in an unplanned one it is lost first. Meanwhile values are chosen, proposers
// crash between the phases of a proposal, and messages are lost. Once the change has finished, the loss of any one replica
// must leave a quorum of the voters, with every chosen entry.
type replacement struct {
	*memberCluster
	draw      func(n int) int
	departing int // index of the replica
	isPlanned bool
	hasFailed bool   // the departing voter is lost, unplanned
	hasLeft   bool   // the change has finished, and the departing voter is gone
	isLost    []bool // by replica
	// finishesWhenChosen breaks a rule on purpose: the change counts as finished once it is chosen, without waiting for one more entry.
	finishesWhenChosen bool
}

const standby = 3 // index of the replica

func newReplacement(draw func(n int) int) *replacement {
	r := &replacement{memberCluster: newMemberClusterOf(4), draw: draw, isLost: make([]bool, 4)}
	r.departing = draw(standby)
	r.isPlanned = draw(2) == 0
	r.founders = r.founders[:standby]
	r.applyLog(r.replicas[standby])
	return r
}

// changeValue returns the entry that replaces the departing voter by the standby; "" = replica p has already learned it.
func (r *replacement) changeValue(p int) string {
	members := slices.Clone(r.membersOf(r.replicas[p].log))
	i := slices.Index(members, r.replicas[r.departing].id)
	if i < 0 {
		return ""
	}
	members[i] = r.replicas[standby].id
	return encodeMembers(members)
}

// hasLearnedFinish reports whether replica p has learned that the change has finished: its log has an entry after the change.
func (r *replacement) hasLearnedFinish(p int) bool {
	log := r.replicas[p].log
	i := slices.IndexFunc(log, isMembersEntry)
	return i >= 0 && (r.finishesWhenChosen || i+1 < len(log))
}

// isFinishLearned reports whether any remaining replica has learned that the change has finished.
func (r *replacement) isFinishLearned() bool {
	for i := range r.replicas {
		if !r.isLost[i] && r.hasLearnedFinish(i) {
			return true
		}
	}
	return false
}

// votersAreUpToDate reports whether all voters have all chosen entries. Unplanned losses occur only then.
func (r *replacement) votersAreUpToDate() bool {
	for _, m := range r.replicas[:standby] {
		if len(m.log) != len(r.replicas[0].log) {
			return false
		}
	}
	return len(r.chosen) == len(r.replicas[0].log)
}

// reachable draws the bit mask of the replicas that a message of replica p reaches: p itself, and each remaining one with a
// probability of two thirds.
func (r *replacement) reachable(p int) int {
	requestMask := 1 << p
	for i := range r.replicas {
		if r.draw(3) > 0 {
			requestMask |= 1 << i
		}
	}
	for i, isLost := range r.isLost {
		if isLost {
			requestMask &^= 1 << i
		}
	}
	return requestMask
}

// nextValue returns the entry that replica p proposes: sometimes the change, otherwise a value.
func (r *replacement) nextValue(p int) string {
	change := r.changeValue(p)
	if change != "" && (r.hasFailed || r.isPlanned) && r.draw(3) == 0 && len(r.replicas[standby].log) > 0 {
		return change
	}
	return fmt.Sprintf("d%d", r.proposalCount)
}

// step takes a random step of a random replica.
func (r *replacement) step() {
	p := r.draw(len(r.replicas))
	if r.isLost[p] {
		return
	}
	requestMask := r.reachable(p)
	switch k := r.draw(16); {
	case r.openProposals[p] != nil && k < 12:
		r.accept(p, requestMask)
	case k < 6:
		r.prepare(p, r.nextValue(p), requestMask)
	case k < 12:
		if from := r.draw(len(r.replicas)); !r.isLost[from] {
			r.catchUp(p, from)
		}
	case k == 12:
		r.openProposals[p] = nil // the process crashes
	case !r.isPlanned && !r.hasFailed && len(r.replicas[p].log) > 1 && r.votersAreUpToDate():
		r.hasFailed, r.isLost[r.departing] = true, true
	}
}

// removeDeparting removes the departing voter once the change has finished, and reports whether it did so now.
func (r *replacement) removeDeparting() bool {
	if r.hasLeft || r.isPlanned && !r.hasLearnedFinish(r.departing) || !r.isPlanned && !r.isFinishLearned() {
		return false
	}
	r.hasLeft, r.isLost[r.departing] = true, true
	return true
}

// longestLog returns the longest log of the remaining replicas other than excluded.
func (r *replacement) longestLog(excluded int) (log []string) {
	for i, m := range r.replicas {
		if i != excluded && !r.isLost[i] && len(m.log) > len(log) {
			log = m.log
		}
	}
	return log
}

// violationAfterLoss describes the violation if one more replica is lost: a chosen entry that no remaining replica has, or too
// few voters for a quorum; "" = none.
func (r *replacement) violationAfterLoss(lost int) string {
	log := r.longestLog(lost)
	voters := r.membersOf(log)
	remaining, isAccepted := 0, false
	for i, m := range r.replicas {
		if i == lost || r.isLost[i] || !slices.Contains(voters, m.id) {
			continue
		}
		remaining++
		isAccepted = isAccepted || m.acceptor.State.Index == uint64(len(log)) && m.acceptor.State.Accepted != (paxos.ProposalNumber{})
	}
	if remaining < paxos.Majority(len(voters)) {
		return fmt.Sprintf("after the loss of replica %d: of voters %v only %d remain", lost, voters, remaining)
	}
	for index := range r.chosen {
		if index > len(log) || index == len(log) && !isAccepted {
			return fmt.Sprintf("after the loss of replica %d: index %d was chosen, but the remaining replicas have %d entries", lost, index, len(log))
		}
	}
	return ""
}

// randomReplacements runs a replacement of 150 random steps for each seed. It returns the first violation, and the number of
// replacements that finished.
func randomReplacements(seeds int, finishesWhenChosen bool) (violation string, finished int) {
	for seed := range seeds {
		r := newReplacement(draws(seed))
		r.finishesWhenChosen = finishesWhenChosen
		for range 150 {
			r.step()
			if v := r.violation(); v != "" {
				return v, finished
			}
			if !r.removeDeparting() {
				continue
			}
			finished++
			for lost := range r.replicas {
				if v := r.violationAfterLoss(lost); !r.isLost[lost] && v != "" {
					return v, finished
				}
			}
		}
	}
	return "", finished
}
