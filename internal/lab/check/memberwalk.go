package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// key identifies the state of a cluster: clusters with equal keys behave alike. Proposal numbers are represented by their terms.
func (c *memberCluster) key() string {
	var sb strings.Builder
	for i, m := range c.replicas {
		fmt.Fprintf(&sb, "%d %v %q %d %v %q;", m.id, m.acceptor.IsVoter, m.log,
			m.acceptor.State.Promised.Term, m.acceptor.State.Accepted.Term, m.acceptor.State.Value)
		if proposal := c.openProposals[i]; proposal != nil {
			sb.WriteString(proposal.Key())
		}
	}
	fmt.Fprint(&sb, c.proposalCount, c.chosen)
	return sb.String()
}

// clone returns a copy that shares no state with c.
func (c *memberCluster) clone() *memberCluster {
	n := *c
	n.replicas, n.openProposals, n.chosen = nil, nil, map[int]map[string]bool{}
	for _, m := range c.replicas {
		x := *m
		x.log = slices.Clone(m.log)
		x.acceptor.ChosenValue = x.chosenValue
		n.replicas = append(n.replicas, &x)
	}
	for _, proposal := range c.openProposals {
		if proposal != nil {
			proposal = &openProposal{Proposer: *proposal.Clone(), request: proposal.request}
		}
		n.openProposals = append(n.openProposals, proposal)
	}
	for index, values := range c.chosen {
		n.chosen[index] = maps.Clone(values)
	}
	return &n
}

// memberBounds limits an exhaustive walk: proposals, wipes and log entries in total, and steps from the start.
type memberBounds struct{ proposals, wipes, entries, depth int }

// memberWalk explores every order of steps within bounds.
type memberWalk struct {
	memberBounds
	seen      map[string]int // by state key: the most steps that were left when it was visited
	violation string         // the first; "" = none
}

// exploreMemberChanges walks from start through every order of steps within bounds. It returns the first violation and the
// number of states.
func exploreMemberChanges(start *memberCluster, b memberBounds) (violation string, states int) {
	w := &memberWalk{memberBounds: b, seen: map[string]int{}}
	w.walk(start, 0, b.depth)
	return w.violation, len(w.seen)
}

// Bit masks of the replicas that a phase reaches, of three: a prepare phase needs a quorum, an accept phase may reach fewer.
var (
	quorumMasks = []int{3, 5, 6}
	acceptMasks = []int{1, 2, 4, 3, 5, 6}
)

// walk visits a state and all states within stepsLeft steps of it. It returns true once a violation is found.
func (w *memberWalk) walk(c *memberCluster, wipes, stepsLeft int) bool {
	if w.violation = c.violation(); w.violation != "" {
		return true
	}
	key := fmt.Sprint(wipes) + c.key()
	if explored, ok := w.seen[key]; stepsLeft == 0 || ok && explored >= stepsLeft {
		return false
	}
	w.seen[key] = stepsLeft
	try := func(step func(*memberCluster)) bool {
		n := c.clone()
		step(n)
		return w.walk(n, wipes, stepsLeft-1)
	}
	for p := range c.replicas {
		if w.walkProposals(c, p, try) || w.walkCatchUps(c, p, try) {
			return true
		}
		if wipes < w.wipes {
			n := c.clone()
			n.wipe(p)
			if w.walk(n, wipes+1, stepsLeft-1) {
				return true
			}
		}
	}
	return false
}

// walkProposals tries both phases of replica p's proposals.
func (w *memberWalk) walkProposals(c *memberCluster, p int, try func(func(*memberCluster)) bool) bool {
	if c.proposalCount < uint64(w.proposals) && len(c.replicas[p].log) < w.entries {
		for _, value := range c.possibleValues(p) {
			for _, requestMask := range quorumMasks {
				if try(func(n *memberCluster) { n.prepare(p, value, requestMask) }) {
					return true
				}
			}
		}
	}
	if c.openProposals[p] == nil {
		return false
	}
	for _, requestMask := range acceptMasks {
		if try(func(n *memberCluster) { n.accept(p, requestMask) }) {
			return true
		}
	}
	return false
}

// walkCatchUps tries a catch-up of replica p from each replica with a longer log.
func (w *memberWalk) walkCatchUps(c *memberCluster, p int, try func(func(*memberCluster)) bool) bool {
	for from, m := range c.replicas {
		if len(m.log) > len(c.replicas[p].log) && try(func(n *memberCluster) { n.catchUp(p, from) }) {
			return true
		}
	}
	return false
}

// randomMemberChanges runs 60 random steps of three replicas for each seed, and returns the first violation with its seed.
func randomMemberChanges(breakRule func(*memberCluster), seeds int) (violation string, seed int) {
	for seed := range seeds {
		c := newMemberCluster()
		breakRule(c)
		draw := draws(seed)
		for range 60 {
			c.randomStep(draw)
			if v := c.violation(); v != "" {
				return v, seed
			}
		}
	}
	return "", seeds
}

// randomStep takes a random step of a random replica.
func (c *memberCluster) randomStep(draw func(n int) int) {
	p := draw(3)
	switch k := draw(16); {
	case k < 4:
		values := c.possibleValues(p)
		c.prepare(p, values[draw(len(values))], 1+draw(7))
	case k < 10 && c.openProposals[p] != nil:
		c.accept(p, 1+draw(7))
	case k < 14:
		c.catchUp(p, draw(3))
	case k == 14:
		c.openProposals[p] = nil // the process crashes; its acceptor's state is on the disk
	case k == 15 && draw(3) == 0:
		c.wipe(p)
	}
}
