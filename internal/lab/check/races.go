package check

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
)

// Operators send configurations to whichever keeper they reach, two at a time upon the same version, and again where they got
// no answer, while the core is cut one way or both, proposers die, members change and disks are lost or come back without
// the last that was learnt. Of two upon one version one may be acknowledged, and what was acknowledged must be in the chain.

// race is a core of five with operators before it.
type race struct {
	*core
	draw  func(n int) int
	hears [][]bool // who hears whom
	calls []*call
	at    []*call // what each machine's proposer is at; nil = nothing
	blind bool    // a ballot that was won is taken for one's own: must be found out
}

// call is an operator's configuration.
type call struct {
	on, revision uint64
	text         []byte
	digest       fleetconfig.Digest
	acked        bool
}

func newRace(draw func(n int) int) *race {
	r := &race{core: newCoreOf(5), draw: draw, at: make([]*call, 5)}
	r.heal()
	return r
}

// heal ends every cut.
func (r *race) heal() {
	r.hears = nil
	for range r.boxes {
		r.hears = append(r.hears, []bool{true, true, true, true, true})
	}
}

// cut draws two sides; what one says the other does not hear, or neither does.
func (r *race) cut() {
	r.heal()
	side, oneWay := r.draw(31)+1, r.draw(2) == 0
	for i := range r.boxes {
		for j := range r.boxes {
			if a, b := side>>i&1, side>>j&1; a != b && (!oneWay || a == 0) {
				r.hears[i][j] = false
			}
		}
	}
}

// reach is a random part of those that hear p, and back of those whose answers it hears.
func (r *race) reach(p int) (mask, back int) {
	for i := range r.boxes {
		if i == p || r.hears[i][p] && r.draw(8) > 0 {
			mask |= 1 << i
		}
		if i == p || r.hears[p][i] && r.draw(8) > 0 {
			back |= 1 << i
		}
	}
	return mask, back
}

// state is what a machine's chain adds up to.
func (r *race) state(p int) *replog.State {
	s := &replog.State{}
	for _, v := range r.boxes[p].log {
		s.Apply([]byte(v)) // a change of members is no entry, and changes nothing but the place
	}
	return s
}

// ask has an operator send a configuration to a machine: a new one upon what that machine takes for current, one upon the
// same as an earlier one, or an earlier one again.
func (r *race) ask(p int) {
	c := &call{on: r.state(p).Revision}
	if n := len(r.calls); n > 0 {
		switch earlier := r.calls[r.draw(n)]; r.draw(3) {
		case 0:
			r.at[p] = earlier
			return
		case 1:
			c.on = earlier.on
		}
	}
	c.revision = uint64(len(r.calls) + 1)
	text, err := cbor.Marshal(map[string]any{"revision": c.revision, "routes": []any{}, "services": []any{}})
	if err != nil {
		return
	}
	if _, c.digest, err = fleetconfig.DecodeWithDigest(text); err != nil {
		return
	}
	c.text = text
	r.calls = append(r.calls, c)
	r.at[p] = c
}

// goOn has a machine's proposer take the next step with the call that it is at, as a keeper does.
func (r *race) goOn(p int) {
	c, b := r.at[p], r.boxes[p]
	mask, back := r.reach(p)
	if o := r.open[p]; o != nil {
		_, out := r.turn(o, o.ask, mask, back)
		if out == paxos.OutcomePending {
			return // it waits on, or is given up with its machine
		}
		r.open[p] = nil
		if out != paxos.OutcomeChosen {
			return
		}
		place := int(o.Index)
		if r.chosen[place] == nil {
			r.chosen[place] = map[string]bool{}
		}
		r.chosen[place][string(o.Value)] = true
		if len(b.log) == place {
			b.log = append(b.log[:place:place], string(o.Value))
			r.follow(b)
		}
		if r.blind && c != nil {
			c.acked, r.at[p] = true, nil
		}
		return
	}
	own := ""
	if c == nil {
		all := r.wishes(p)
		if own = all[r.draw(len(all))]; own[0] != 'm' {
			return
		}
	} else {
		switch r.state(p).CheckConfig(c.on, c.revision, c.digest) {
		case replog.ConfigAlreadyAccepted:
			c.acked, r.at[p] = true, nil
			return
		case replog.ConfigStaleBase, replog.ConfigRevisionTooLow:
			r.at[p] = nil
			return
		}
		e := replog.Entry{Nonce: uint64(r.draw(1 << 30)), Payload: replog.ConfigChange{BaseRevision: c.on, Config: c.text}}
		own = string(e.Encode())
	}
	r.count++
	o := &opened{Proposer: paxos.Proposer{Index: uint64(len(b.log)), Number: paxos.ProposalNumber{Term: r.count, Proposer: r.count}, OwnValue: []byte(own)}}
	for _, id := range r.members(b.log) {
		o.Voters = append(o.Voters, uint64(id))
	}
	o.Quorum = paxos.Majority(len(o.Voters))
	if next, _ := r.turn(o, o.Prepare(), mask, back); next != nil {
		o.ask = *next
		r.open[p] = o
	}
}

// forgetLast has a machine come back without the last value that it had learnt, as a disk may that had not taken it yet. What
// it has voted since is on it, and then so is what came before.
func (r *race) forgetLast(p int) {
	b := r.boxes[p]
	if n := len(b.log); n > 0 && b.acc.State.Index < uint64(n) {
		b.log = slices.Clone(b.log[:n-1])
		r.follow(b)
	}
	r.open[p], r.at[p] = nil, nil
}

// spare tells whether one more disk may be lost: two at once are to be borne, until others have been taken in for them.
func (r *race) spare() bool {
	most := r.boxes[0].log
	for _, b := range r.boxes {
		if len(b.log) > len(most) {
			most = b.log
		}
	}
	gone := 0
	for _, id := range r.members(most) {
		if !slices.ContainsFunc(r.boxes, func(b *box) bool { return b.id == id && len(b.log) == len(most) }) {
			gone++
		}
	}
	return gone < 2
}

// wrong says what is: two values at a place, two acknowledged upon one version, or one that is not in the chain.
func (r *race) wrong() string {
	if says := r.broken(); says != "" {
		return says
	}
	s := &replog.State{} // of what was chosen, whether any machine has learnt it yet or not
	for place := 0; len(r.chosen[place]) > 0; place++ {
		for v := range r.chosen[place] {
			s.Apply([]byte(v))
		}
	}
	upon := map[uint64]*call{}
	for _, c := range r.calls {
		if !c.acked {
			continue
		}
		if o := upon[c.on]; o != nil {
			return fmt.Sprintf("upon version %d both %d and %d are acknowledged", c.on, o.revision, c.revision)
		}
		if upon[c.on] = c; !s.WasAccepted(c.revision, c.digest) {
			return fmt.Sprintf("version %d is acknowledged, and no chain has it", c.revision)
		}
	}
	return ""
}

// races plays so many lives, and returns the first fault with its seed.
func races(lives int, blind bool) (found string, seed int) {
	for seed := range lives {
		draw := draws(seed)
		r := newRace(draw)
		r.blind = blind
		for range 120 {
			p := draw(5)
			switch k := draw(32); {
			case k < 3 && r.at[p] == nil && len(r.calls) < 12:
				r.ask(p)
			case k < 22:
				r.goOn(p)
			case k < 26:
				if q := draw(5); r.hears[p][q] && r.hears[q][p] {
					r.learn(p, q)
				}
			case k == 26:
				r.cut()
			case k == 27:
				r.heal()
			case k == 28:
				r.open[p], r.at[p] = nil, nil // its process is killed
			case k == 29:
				r.forgetLast(p)
			case k == 30 && r.spare():
				r.wipe(p)
				r.at[p] = nil
			}
			if says := r.wrong(); says != "" {
				return says, seed
			}
		}
	}
	return "", lives
}
