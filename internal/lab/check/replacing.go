package check

import (
	"fmt"
	"slices"

	"notchhinge/internal/control/paxos"
)

// Three voters and a standby: one of the voters leaves for good, planned (it hands its vote over, and ends once the change is
// finished) or not (it is gone, and its vote goes to the standby afterwards), while values are chosen, proposers die between
// their phases and words get lost. Once the change is finished any one machine may go: those that are left must have all that
// was chosen, and be a majority of who votes then.

// replacing is such a life.
type replacing struct {
	*core
	leaver int
	gone   []bool
	early  bool // a change counts as finished once it is chosen: must be found out
}

const standby = 3

func newReplacing(leaver int) *replacing {
	r := &replacing{core: newCoreOf(4), leaver: leaver, gone: make([]bool, 4)}
	r.first = r.first[:standby]
	r.follow(r.boxes[standby])
	return r
}

// swap is the change: the standby in the leaver's place; "" = p knows of it already.
func (r *replacing) swap(p int) string {
	now := slices.Clone(r.members(r.boxes[p].log))
	at := slices.Index(now, r.boxes[r.leaver].id)
	if at < 0 {
		return ""
	}
	now[at] = r.boxes[standby].id
	return names(now)
}

// finished tells whether p knows that the change is: it has a place after its own.
func (r *replacing) finished(p int) bool {
	log := r.boxes[p].log
	at := slices.IndexFunc(log, func(v string) bool { return v[0] == 'm' })
	return at >= 0 && (r.early || at+1 < len(log))
}

// reach takes those out of a mask that are gone.
func (r *replacing) reach(mask int) int {
	for i, gone := range r.gone {
		if gone {
			mask &^= 1 << i
		}
	}
	return mask
}

// survives says what is wrong if one more machine goes now: a place that was chosen and that nobody left has, or voters of
// whom no majority is left to find out.
func (r *replacing) survives(lost int) string {
	best := -1
	for i, b := range r.boxes {
		if i != lost && !r.gone[i] && (best < 0 || len(b.log) > len(r.boxes[best].log)) {
			best = i
		}
	}
	log := r.boxes[best].log
	voters := r.members(log)
	left, accepted := 0, false
	for i, b := range r.boxes {
		if i == lost || r.gone[i] || !slices.Contains(voters, b.id) {
			continue
		}
		left++
		accepted = accepted || b.acc.State.Index == uint64(len(log)) && b.acc.State.Accepted != (paxos.ProposalNumber{})
	}
	if left < paxos.Majority(len(voters)) {
		return fmt.Sprintf("machine %d goes as well: of voters %v there are %d left", lost, voters, left)
	}
	for at := range r.chosen {
		if at > len(log) || at == len(log) && !accepted {
			return fmt.Sprintf("machine %d goes as well: place %d was chosen, and those left have %d places", lost, at, len(log))
		}
	}
	return ""
}

// replace plays lives, planned and not, and tells in how many the change came to its end.
func replace(lives int, early bool) (found string, met int) {
	for seed := range lives {
		draw := draws(seed)
		r := newReplacing(draw(standby))
		r.early = early
		planned, begun, done := draw(2) == 0, false, false
		for range 150 {
			p := draw(len(r.boxes))
			if r.gone[p] {
				continue
			}
			mask := 1 << p // a word reaches two of three
			for i := range r.boxes {
				if draw(3) > 0 {
					mask |= 1 << i
				}
			}
			mask = r.reach(mask)
			switch k := draw(16); {
			case r.open[p] != nil && k < 12:
				r.accept(p, mask)
			case k < 6:
				own := fmt.Sprintf("d%d", r.count)
				if next := r.swap(p); next != "" && (begun || planned) && draw(3) == 0 && len(r.boxes[standby].log) > 0 {
					own = next
				}
				r.prepare(p, own, mask)
			case k < 12:
				if q := draw(len(r.boxes)); !r.gone[q] {
					r.learn(p, q)
				}
			case k == 12:
				r.open[p] = nil // its process is killed
			case !planned && !begun && len(r.boxes[p].log) > 1 && r.calm():
				begun, r.gone[r.leaver] = true, true
			}
			if says := r.broken(); says != "" {
				return says, met
			}
			if done || planned && !r.finished(r.leaver) || !planned && !r.knows() {
				continue
			}
			done, r.gone[r.leaver] = true, true
			met++
			for lost := range r.boxes {
				if says := r.survives(lost); !r.gone[lost] && says != "" {
					return says, met
				}
			}
		}
	}
	return "", met
}

// calm tells whether all voters have all places: so it is in calm before one of them goes without a word.
func (r *replacing) calm() bool {
	for _, b := range r.boxes[:standby] {
		if len(b.log) != len(r.boxes[0].log) {
			return false
		}
	}
	return len(r.chosen) == len(r.boxes[0].log)
}

// knows tells whether anybody that is left knows that the change is finished.
func (r *replacing) knows() bool {
	for i := range r.boxes {
		if !r.gone[i] && r.finished(i) {
			return true
		}
	}
	return false
}
