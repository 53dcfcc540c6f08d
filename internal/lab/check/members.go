package check

import (
	"fmt"
	"slices"
	"strings"

	"notchhinge/internal/control/paxos"
)

// core is three machines that hold a chain whose values change who its members are, as keepers do: a machine that lost its
// disk has another number and no vote until the chain says so, one that is gone is taken out, proposers die between the
// phases of a ballot. A step is a phase that reaches some of them, a state that is taken from another, or a loss.
type core struct {
	boxes  []*box
	open   []*opened // the round of each machine's proposer
	chosen map[int]map[string]bool
	nextID int
	count  uint64 // rounds so far
	first  []int  // the founders
	forget bool   // a machine whose disk is gone goes on under its number: must be found out
	eager  bool   // a change of members counts in the ballot that decides it, and who is to be taken in votes: likewise
}

type box struct {
	id  int
	acc paxos.Acceptor
	log []string
}

type opened struct {
	paxos.Proposer
	ask paxos.Request
}

func newCore() *core { return newCoreOf(3) }

func newCoreOf(n int) *core {
	c := &core{chosen: map[int]map[string]bool{}, nextID: n + 1, open: make([]*opened, n)}
	for i := range n {
		b := &box{id: i + 1}
		b.acc = paxos.Acceptor{IsVoter: true, ChosenValue: b.at}
		c.boxes, c.first = append(c.boxes, b), append(c.first, b.id)
	}
	return c
}

func (b *box) at(place uint64) ([]byte, bool) {
	if place < uint64(len(b.log)) {
		return []byte(b.log[place]), true
	}
	return nil, false
}

// members are those that a chain names.
func (c *core) members(log []string) []int {
	at := c.first
	for _, v := range log {
		if list, ok := strings.CutPrefix(v, "m "); ok {
			at = at[:0:0]
			for _, f := range strings.Fields(list) {
				var id int
				_, _ = fmt.Sscan(f, &id) // written by this model
				at = append(at, id)
			}
		}
	}
	return at
}

func (c *core) follow(b *box) {
	b.acc.NextIndex = uint64(len(b.log))
	b.acc.IsVoter = slices.Contains(c.members(b.log), b.id) || c.eager
}

// names writes a change of members.
func names(ids []int) string { return "m " + strings.Trim(fmt.Sprint(ids), "[]") }

// wishes lists what a machine may propose: a value, taking one in that has lost its disk and caught up, taking one out.
func (c *core) wishes(p int) (all []string) {
	b := c.boxes[p]
	now := c.members(b.log)
	all = append(all, fmt.Sprintf("d%d", c.count))
	for i, x := range c.boxes {
		if !slices.Contains(now, x.id) && len(x.log) >= len(b.log) {
			next := slices.Clone(now)
			// In the place of the one that it was: the one that no machine is any more.
			at := slices.IndexFunc(next, func(id int) bool { return !slices.ContainsFunc(c.boxes, func(o *box) bool { return o.id == id }) })
			if at < 0 {
				next = append(next, x.id)
			} else {
				next[at] = x.id
			}
			all = append(all, names(next))
		}
		if i != p && len(now) > 2 && slices.Contains(now, x.id) {
			all = append(all, names(slices.DeleteFunc(slices.Clone(now), func(id int) bool { return id == x.id })))
		}
	}
	return all
}

// prepare begins a round of p's, which reaches those of a mask.
func (c *core) prepare(p int, own string, mask int) {
	b := c.boxes[p]
	c.count++
	known := b.log
	if c.eager {
		known = append(slices.Clone(known), own)
	}
	r := &opened{Proposer: paxos.Proposer{Index: uint64(len(b.log)), Number: paxos.ProposalNumber{Term: c.count, Proposer: c.count}, OwnValue: []byte(own)}}
	for _, id := range c.members(known) {
		r.Voters = append(r.Voters, uint64(id))
	}
	r.Quorum = paxos.Majority(len(r.Voters))
	c.open[p] = nil
	next, _ := c.turn(r, r.Prepare(), mask, -1)
	if next != nil {
		r.ask = *next
		c.open[p] = r
	}
}

// accept has p's round go on.
func (c *core) accept(p, mask int) {
	r := c.open[p]
	_, out := c.turn(r, r.ask, mask, -1)
	if out == paxos.OutcomePending {
		return
	}
	c.open[p] = nil
	if out != paxos.OutcomeChosen {
		return
	}
	at := int(r.Index)
	if c.chosen[at] == nil {
		c.chosen[at] = map[string]bool{}
	}
	c.chosen[at][string(r.Value)] = true
	if b := c.boxes[p]; len(b.log) == at {
		b.log = append(b.log[:at:at], string(r.Value))
		c.follow(b)
	}
}

// turn has a phase reach those of a mask; answers come from those of another.
func (c *core) turn(r *opened, ask paxos.Request, mask, back int) (next *paxos.Request, out paxos.Outcome) {
	phase := r.Phase()
	for i, b := range c.boxes {
		if mask&(1<<i) == 0 || !slices.Contains(r.Voters, uint64(b.id)) || next != nil || out != paxos.OutcomePending {
			continue
		}
		ans, _ := b.acc.Handle(ask)
		if back&(1<<i) == 0 {
			continue
		}
		next, out = r.HandleResponse(uint64(b.id), phase, ans)
	}
	return next, out
}

// learn has a machine take another's state.
func (c *core) learn(to, from int) {
	if a, b := c.boxes[to], c.boxes[from]; len(b.log) > len(a.log) {
		a.log = slices.Clone(b.log)
		c.follow(a)
	}
}

// wipe has a machine come back without its disk.
func (c *core) wipe(i int) {
	b := &box{id: c.nextID}
	if c.forget {
		b.id = c.boxes[i].id
	} else {
		c.nextID++
	}
	b.acc = paxos.Acceptor{IsVoter: c.forget || c.eager, ChosenValue: b.at}
	c.boxes[i], c.open[i] = b, nil
}

// broken says what is wrong: two values at a place, or a chain that is not what was chosen.
func (c *core) broken() string {
	for at, values := range c.chosen {
		if len(values) > 1 {
			return fmt.Sprintf("place %d: %v", at, values)
		}
		for i, b := range c.boxes {
			if at < len(b.log) && !values[b.log[at]] {
				return fmt.Sprintf("place %d: %v is chosen, and machine %d has %q", at, values, i, b.log[at])
			}
		}
	}
	return ""
}

// key names the state; numbers of rounds are by their order, so that lives that differ in nothing else are one.
func (c *core) key() string {
	var sb strings.Builder
	for i, b := range c.boxes {
		fmt.Fprintf(&sb, "%d %v %q %d %v %q;", b.id, b.acc.IsVoter, b.log, b.acc.State.Promised.Term, b.acc.State.Accepted.Term, b.acc.State.Value)
		if r := c.open[i]; r != nil {
			sb.WriteString(r.Key())
		}
	}
	fmt.Fprint(&sb, c.count, c.chosen)
	return sb.String()
}

func (c *core) clone() *core {
	n := *c
	n.boxes, n.open, n.chosen = nil, nil, map[int]map[string]bool{}
	for _, b := range c.boxes {
		x := *b
		x.log = slices.Clone(b.log)
		x.acc.ChosenValue = x.at
		n.boxes = append(n.boxes, &x)
	}
	for _, r := range c.open {
		if r != nil {
			x := *r
			x.Proposer = *r.Clone()
			r = &x
		}
		n.open = append(n.open, r)
	}
	for at, v := range c.chosen {
		n.chosen[at] = map[string]bool{}
		for k := range v {
			n.chosen[at][k] = true
		}
	}
	return &n
}

// bounds of the walk through every life.
type bounds struct{ rounds, wipes, places, depth int }

// everyLife walks through every life within bounds, and returns the first in which something is broken, and how many states
// it has met.
func everyLife(start *core, most bounds) (found string, states int) {
	pairs := []int{3, 5, 6}
	some := []int{1, 2, 4, 3, 5, 6}
	seen := map[string]int{} // with how much depth left
	var walk func(c *core, wipes, depth int) bool
	walk = func(c *core, wipes, depth int) bool {
		if says := c.broken(); says != "" {
			found = says
			return true
		}
		key := fmt.Sprint(wipes) + c.key()
		if left, ok := seen[key]; depth == 0 || ok && left >= depth {
			return false
		}
		seen[key] = depth
		try := func(wipes int, do func(*core)) bool {
			n := c.clone()
			do(n)
			return walk(n, wipes, depth-1)
		}
		for p := range 3 {
			if c.count < uint64(most.rounds) && len(c.boxes[p].log) < most.places {
				for _, own := range c.wishes(p) {
					for _, mask := range pairs {
						if try(wipes, func(n *core) { n.prepare(p, own, mask) }) {
							return true
						}
					}
				}
			}
			if c.open[p] != nil {
				for _, mask := range some {
					if try(wipes, func(n *core) { n.accept(p, mask) }) {
						return true
					}
				}
			}
			for q := range 3 {
				if len(c.boxes[q].log) > len(c.boxes[p].log) && try(wipes, func(n *core) { n.learn(p, q) }) {
					return true
				}
			}
			if wipes < most.wipes && try(wipes+1, func(n *core) { n.wipe(p) }) {
				return true
			}
		}
		return false
	}
	walk(start, 0, most.depth)
	return found, len(seen)
}

// deepLives plays random lives of 60 steps with a seed each, and returns the first in which something is broken.
func deepLives(breaks func(*core), lives int) (string, int) {
	for seed := range lives {
		c := newCore()
		breaks(c)
		draw := draws(seed)
		for range 60 {
			p := draw(3)
			switch k := draw(16); {
			case k < 4:
				own := c.wishes(p)
				c.prepare(p, own[draw(len(own))], 1+draw(7))
			case k < 10 && c.open[p] != nil:
				c.accept(p, 1+draw(7))
			case k < 14:
				c.learn(p, draw(3))
			case k == 14:
				c.open[p] = nil // its process is killed: what it has voted is on its disk
			case k == 15 && draw(3) == 0:
				c.wipe(p)
			}
			if says := c.broken(); says != "" {
				return says, seed
			}
		}
	}
	return "", lives
}
