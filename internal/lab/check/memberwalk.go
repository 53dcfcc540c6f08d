package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// key identifies the state of a cluster: what follows from equal ones is equal. Of a proposal number the term alone is in it.
func (c *memberCluster) key() string {
	var sb strings.Builder
	for i, m := range c.machines {
		fmt.Fprintf(&sb, "%d %v %q %d %v %q;", m.id, m.acceptor.IsVoter, m.log,
			m.acceptor.State.Promised.Term, m.acceptor.State.Accepted.Term, m.acceptor.State.Value)
		if o := c.open[i]; o != nil {
			sb.WriteString(o.Key())
		}
	}
	fmt.Fprint(&sb, c.proposalCount, c.chosen)
	return sb.String()
}

// clone returns a copy that shares no state with c.
func (c *memberCluster) clone() *memberCluster {
	n := *c
	n.machines, n.open, n.chosen = nil, nil, map[int]map[string]bool{}
	for _, m := range c.machines {
		x := *m
		x.log = slices.Clone(m.log)
		x.acceptor.ChosenValue = x.chosenValue
		n.machines = append(n.machines, &x)
	}
	for _, o := range c.open {
		if o != nil {
			o = &openProposal{Proposer: *o.Clone(), request: o.request}
		}
		n.open = append(n.open, o)
	}
	for index, values := range c.chosen {
		n.chosen[index] = maps.Clone(values)
	}
	return &n
}

// memberBounds bounds the walk through every order of steps.
type memberBounds struct{ proposals, wipes, entries, depth int }

// memberWalk runs three machines in every order of steps within bounds.
type memberWalk struct {
	memberBounds
	seen      map[string]int // by state: the most steps that were left there
	violation string         // the first one
}

// exploreMemberChanges returns the first violation, and the number of states.
func exploreMemberChanges(start *memberCluster, b memberBounds) (violation string, states int) {
	w := &memberWalk{memberBounds: b, seen: map[string]int{}}
	w.walk(start, 0, b.depth)
	return w.violation, len(w.seen)
}

// Bit masks of machines that a phase reaches: two of three may be a quorum, which is needed to begin; one or two may accept.
var (
	quorumMasks = []int{3, 5, 6}
	acceptMasks = []int{1, 2, 4, 3, 5, 6}
)

// walk visits a state and all that follow within a number of steps. It returns true once a violation is found.
func (w *memberWalk) walk(c *memberCluster, wipes, stepsLeft int) bool {
	if w.violation = c.violation(); w.violation != "" {
		return true
	}
	key := fmt.Sprint(wipes) + c.key()
	if left, ok := w.seen[key]; stepsLeft == 0 || ok && left >= stepsLeft {
		return false
	}
	w.seen[key] = stepsLeft
	try := func(step func(*memberCluster)) bool {
		n := c.clone()
		step(n)
		return w.walk(n, wipes, stepsLeft-1)
	}
	for p := range c.machines {
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

// walkProposals tries both phases of a machine's proposals.
func (w *memberWalk) walkProposals(c *memberCluster, p int, try func(func(*memberCluster)) bool) bool {
	if c.proposalCount < uint64(w.proposals) && len(c.machines[p].log) < w.entries {
		for _, value := range c.possibleValues(p) {
			for _, mask := range quorumMasks {
				if try(func(n *memberCluster) { n.prepare(p, value, mask) }) {
					return true
				}
			}
		}
	}
	if c.open[p] == nil {
		return false
	}
	for _, mask := range acceptMasks {
		if try(func(n *memberCluster) { n.accept(p, mask) }) {
			return true
		}
	}
	return false
}

// walkCatchUps has a machine take the state of each that has more entries.
func (w *memberWalk) walkCatchUps(c *memberCluster, p int, try func(func(*memberCluster)) bool) bool {
	for from, m := range c.machines {
		if len(m.log) > len(c.machines[p].log) && try(func(n *memberCluster) { n.catchUp(p, from) }) {
			return true
		}
	}
	return false
}

// randomMemberChanges runs three machines with 60 random steps, a seed after another, and returns the first violation with its
// seed.
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

func (c *memberCluster) randomStep(draw func(n int) int) {
	p := draw(3)
	switch k := draw(16); {
	case k < 4:
		values := c.possibleValues(p)
		c.prepare(p, values[draw(len(values))], 1+draw(7))
	case k < 10 && c.open[p] != nil:
		c.accept(p, 1+draw(7))
	case k < 14:
		c.catchUp(p, draw(3))
	case k == 14:
		c.open[p] = nil // its process is killed; its acceptor's state is on the disk
	case k == 15 && draw(3) == 0:
		c.wipe(p)
	}
}
