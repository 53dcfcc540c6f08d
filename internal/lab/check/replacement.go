package check

import (
	"fmt"
	"slices"

	"notchhinge/internal/control/paxos"
)

// replacement is three voters and a standby. One of the voters leaves for good: planned, where it hands over its vote and ends
// once the change of members is finished; or not, where it is lost and its vote goes to the standby afterwards. Meanwhile
// values are chosen, proposers die between their phases, and messages are lost. Once the change is finished, any one machine
// may be lost: those that are left must have all that was chosen, and be a quorum of the voters.
type replacement struct {
	*memberCluster
	draw      func(n int) int
	leaver    int
	isPlanned bool
	isBegun   bool // the leaver is lost, unplanned
	isDone    bool // the change is finished, and the leaver gone
	isLost    []bool
	// finishesWhenChosen breaks a rule: the change counts as finished once it is chosen, and not after one more entry.
	finishesWhenChosen bool
}

const standby = 3 // index of the machine

func newReplacement(draw func(n int) int) *replacement {
	r := &replacement{memberCluster: newMemberClusterOf(4), draw: draw, isLost: make([]bool, 4)}
	r.leaver = draw(standby)
	r.isPlanned = draw(2) == 0
	r.founders = r.founders[:standby]
	r.applyLog(r.machines[standby])
	return r
}

// changeValue returns the entry that puts the standby in the leaver's place; "" = machine p has learned it already.
func (r *replacement) changeValue(p int) string {
	members := slices.Clone(r.membersOf(r.machines[p].log))
	i := slices.Index(members, r.machines[r.leaver].id)
	if i < 0 {
		return ""
	}
	members[i] = r.machines[standby].id
	return encodeMembers(members)
}

// knowsFinished reports whether machine p knows that the change is finished: its log has an entry after it.
func (r *replacement) knowsFinished(p int) bool {
	log := r.machines[p].log
	i := slices.IndexFunc(log, isMembersEntry)
	return i >= 0 && (r.finishesWhenChosen || i+1 < len(log))
}

// isFinishKnown reports whether a machine that is left knows that the change is finished.
func (r *replacement) isFinishKnown() bool {
	for i := range r.machines {
		if !r.isLost[i] && r.knowsFinished(i) {
			return true
		}
	}
	return false
}

// isQuiet reports whether all voters have all entries, which is when one is lost unplanned.
func (r *replacement) isQuiet() bool {
	for _, m := range r.machines[:standby] {
		if len(m.log) != len(r.machines[0].log) {
			return false
		}
	}
	return len(r.chosen) == len(r.machines[0].log)
}

// reachable draws the machines that a message of machine p reaches: itself, and two of three of those that are left.
func (r *replacement) reachable(p int) int {
	mask := 1 << p
	for i := range r.machines {
		if r.draw(3) > 0 {
			mask |= 1 << i
		}
	}
	for i, isLost := range r.isLost {
		if isLost {
			mask &^= 1 << i
		}
	}
	return mask
}

// nextValue returns what machine p proposes: now and then the change, and else a value.
func (r *replacement) nextValue(p int) string {
	change := r.changeValue(p)
	if change != "" && (r.isBegun || r.isPlanned) && r.draw(3) == 0 && len(r.machines[standby].log) > 0 {
		return change
	}
	return fmt.Sprintf("d%d", r.proposalCount)
}

// step takes a random step of a random machine.
func (r *replacement) step() {
	p := r.draw(len(r.machines))
	if r.isLost[p] {
		return
	}
	mask := r.reachable(p)
	switch k := r.draw(16); {
	case r.open[p] != nil && k < 12:
		r.accept(p, mask)
	case k < 6:
		r.prepare(p, r.nextValue(p), mask)
	case k < 12:
		if from := r.draw(len(r.machines)); !r.isLost[from] {
			r.catchUp(p, from)
		}
	case k == 12:
		r.open[p] = nil // its process is killed
	case !r.isPlanned && !r.isBegun && len(r.machines[p].log) > 1 && r.isQuiet():
		r.isBegun, r.isLost[r.leaver] = true, true
	}
}

// finish has the leaver go once the change is finished, and returns whether it has gone now.
func (r *replacement) finish() bool {
	if r.isDone || r.isPlanned && !r.knowsFinished(r.leaver) || !r.isPlanned && !r.isFinishKnown() {
		return false
	}
	r.isDone, r.isLost[r.leaver] = true, true
	return true
}

// longestLog returns the longest log of the machines that are left but one.
func (r *replacement) longestLog(without int) (log []string) {
	for i, m := range r.machines {
		if i != without && !r.isLost[i] && len(m.log) > len(log) {
			log = m.log
		}
	}
	return log
}

// violationAfterLoss names what is wrong if one more machine is lost: an entry that was chosen and that nobody left has, or
// too few voters for a quorum; "" = nothing.
func (r *replacement) violationAfterLoss(lost int) string {
	log := r.longestLog(lost)
	voters := r.membersOf(log)
	left, isAccepted := 0, false
	for i, m := range r.machines {
		if i == lost || r.isLost[i] || !slices.Contains(voters, m.id) {
			continue
		}
		left++
		isAccepted = isAccepted || m.acceptor.State.Index == uint64(len(log)) && m.acceptor.State.Accepted != (paxos.ProposalNumber{})
	}
	if left < paxos.Majority(len(voters)) {
		return fmt.Sprintf("machine %d is lost as well: of voters %v there are %d left", lost, voters, left)
	}
	for index := range r.chosen {
		if index > len(log) || index == len(log) && !isAccepted {
			return fmt.Sprintf("machine %d is lost as well: index %d was chosen, and those left have %d entries", lost, index, len(log))
		}
	}
	return ""
}

// randomReplacements runs replacements of 150 steps, a seed after another, and returns the first violation, and in how many
// the change was finished.
func randomReplacements(seeds int, finishesWhenChosen bool) (violation string, finished int) {
	for seed := range seeds {
		r := newReplacement(draws(seed))
		r.finishesWhenChosen = finishesWhenChosen
		for range 150 {
			r.step()
			if v := r.violation(); v != "" {
				return v, finished
			}
			if !r.finish() {
				continue
			}
			finished++
			for lost := range r.machines {
				if v := r.violationAfterLoss(lost); !r.isLost[lost] && v != "" {
					return v, finished
				}
			}
		}
	}
	return "", finished
}
