package check

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/paxos"
	"notchhinge/internal/control/replog"
)

// operatorRace is five machines and operators that submit configurations to any of them, several at a time for the same base
// revision, and again where they got no response. Meanwhile partitions come, of one direction or both, proposers die, members
// change, and disks are lost or come back without the last entry. Of the configurations for one base revision one may be
// acknowledged, and what is acknowledged must be in the log.
type operatorRace struct {
	*memberCluster
	draw      func(n int) int
	canHear   [][]bool // by receiver and sender
	submitted []*configCall
	current   []*configCall // what each machine's proposer works on; nil = nothing
	// trustsOwnWin breaks a rule: a proposer whose proposal is chosen takes the value for its own.
	trustsOwnWin bool
}

// configCall is a configuration of an operator.
type configCall struct {
	base, revision uint64
	config         []byte
	digest         fleetconfig.Digest
	isAcknowledged bool
}

func newOperatorRace(draw func(n int) int) *operatorRace {
	r := &operatorRace{memberCluster: newMemberClusterOf(5), draw: draw, current: make([]*configCall, 5)}
	r.heal()
	return r
}

// heal ends the partition.
func (r *operatorRace) heal() {
	r.canHear = nil
	for range r.machines {
		r.canHear = append(r.canHear, []bool{true, true, true, true, true})
	}
}

// partition draws two sides, of which one does not hear the other, or neither does.
func (r *operatorRace) partition() {
	r.heal()
	side, isOneWay := r.draw(31)+1, r.draw(2) == 0
	for i := range r.machines {
		for j := range r.machines {
			if a, b := side>>i&1, side>>j&1; a != b && (!isOneWay || a == 0) {
				r.canHear[i][j] = false
			}
		}
	}
}

// reachable draws the bit masks of the machines that a request of machine p reaches, and of those whose response arrives.
func (r *operatorRace) reachable(p int) (mask, answers int) {
	for i := range r.machines {
		if i == p || r.canHear[i][p] && r.draw(8) > 0 {
			mask |= 1 << i
		}
		if i == p || r.canHear[p][i] && r.draw(8) > 0 {
			answers |= 1 << i
		}
	}
	return mask, answers
}

// state returns the state of a machine's log.
func (r *operatorRace) state(p int) *replog.State {
	s := &replog.State{}
	for _, entry := range r.machines[p].log {
		s.Apply([]byte(entry)) // a change of members is no replog.Entry: it counts for the index alone
	}
	return s
}

// submit has an operator submit a configuration to a machine: a new one for the revision that is current there, a new one
// for the base of an earlier one, or an earlier one again.
func (r *operatorRace) submit(p int) {
	c := &configCall{base: r.state(p).Revision}
	if n := len(r.submitted); n > 0 {
		switch earlier := r.submitted[r.draw(n)]; r.draw(3) {
		case 0:
			r.current[p] = earlier
			return
		case 1:
			c.base = earlier.base
		}
	}
	c.revision = uint64(len(r.submitted) + 1)
	config, err := cbor.Marshal(map[string]any{"revision": c.revision, "routes": []any{}, "services": []any{}})
	if err != nil {
		return
	}
	if _, c.digest, err = fleetconfig.DecodeWithDigest(config); err != nil {
		return
	}
	c.config = config
	r.submitted = append(r.submitted, c)
	r.current[p] = c
}

// step runs the next phase of a machine's proposal, as a replica does.
func (r *operatorRace) step(p int) {
	mask, answers := r.reachable(p)
	if r.open[p] == nil {
		if value := r.nextValue(p); value != "" {
			r.beginProposal(p, r.newProposal(p, value, r.machines[p].log), mask, answers)
		}
		return
	}
	// While the outcome is pending the machine waits, or is killed later.
	if out := r.finishProposal(p, mask, answers); out == paxos.OutcomeChosen && r.trustsOwnWin && r.current[p] != nil {
		r.current[p].isAcknowledged, r.current[p] = true, nil
	}
}

// nextValue returns what a machine proposes: its operator's configuration, if that is not decided; without one, perhaps a
// change of members; "" = nothing.
func (r *operatorRace) nextValue(p int) string {
	c := r.current[p]
	if c == nil {
		values := r.possibleValues(p)
		if value := values[r.draw(len(values))]; isMembersEntry(value) {
			return value
		}
		return ""
	}
	switch r.state(p).CheckConfig(c.base, c.revision, c.digest) {
	case replog.ConfigAlreadyAccepted:
		c.isAcknowledged, r.current[p] = true, nil
		return ""
	case replog.ConfigStaleBase, replog.ConfigRevisionTooLow:
		r.current[p] = nil
		return ""
	}
	e := replog.Entry{Nonce: uint64(r.draw(1 << 30)), Payload: replog.ConfigChange{BaseRevision: c.base, Config: c.config}}
	return string(e.Encode())
}

// kill ends a machine's process: its proposal is gone, and its operator gets no response.
func (r *operatorRace) kill(p int) { r.open[p], r.current[p] = nil, nil }

// loseLastEntry has a machine come back without the last entry that it has learned, which may not have been synced. If its
// acceptor's state is of a later index, that was synced, and so was the entry.
func (r *operatorRace) loseLastEntry(p int) {
	m := r.machines[p]
	if n := len(m.log); n > 0 && m.acceptor.State.Index < uint64(n) {
		m.log = slices.Clone(m.log[:n-1])
		r.applyLog(m)
	}
	r.kill(p)
}

// canLoseDisk reports whether one more disk may be lost: two at once are tolerated, until others have their place.
func (r *operatorRace) canLoseDisk() bool {
	log := r.machines[0].log // the longest
	for _, m := range r.machines {
		if len(m.log) > len(log) {
			log = m.log
		}
	}
	lost := 0
	for _, id := range r.membersOf(log) {
		if !slices.ContainsFunc(r.machines, func(m *logMachine) bool { return m.id == id && len(m.log) == len(log) }) {
			lost++
		}
	}
	return lost < 2
}

// fault names a violation of the log, two acknowledged configurations for one base revision, or an acknowledged one that is
// not in the log; "" = none.
func (r *operatorRace) fault() string {
	if v := r.violation(); v != "" {
		return v
	}
	s := &replog.State{} // of all chosen entries, learned or not
	for index := 0; len(r.chosen[index]) > 0; index++ {
		for value := range r.chosen[index] {
			s.Apply([]byte(value))
		}
	}
	byBase := map[uint64]*configCall{}
	for _, c := range r.submitted {
		if !c.isAcknowledged {
			continue
		}
		if other := byBase[c.base]; other != nil {
			return fmt.Sprintf("for base revision %d both %d and %d are acknowledged", c.base, other.revision, c.revision)
		}
		if byBase[c.base] = c; !s.WasAccepted(c.revision, c.digest) {
			return fmt.Sprintf("revision %d is acknowledged, and not in the log", c.revision)
		}
	}
	return ""
}

// randomStep takes a random step of a random machine, or changes the partition.
func (r *operatorRace) randomStep() {
	p := r.draw(5)
	switch k := r.draw(32); {
	case k < 3 && r.current[p] == nil && len(r.submitted) < 12:
		r.submit(p)
	case k < 22:
		r.step(p)
	case k < 26:
		if from := r.draw(5); r.canHear[p][from] && r.canHear[from][p] {
			r.catchUp(p, from)
		}
	case k == 26:
		r.partition()
	case k == 27:
		r.heal()
	case k == 28:
		r.kill(p)
	case k == 29:
		r.loseLastEntry(p)
	case k == 30 && r.canLoseDisk():
		r.wipe(p)
		r.current[p] = nil
	}
}

// randomRaces runs races of 120 steps, a seed after another, and returns the first fault with its seed.
func randomRaces(seeds int, trustsOwnWin bool) (fault string, seed int) {
	for seed := range seeds {
		r := newOperatorRace(draws(seed))
		r.trustsOwnWin = trustsOwnWin
		for range 120 {
			r.randomStep()
			if f := r.fault(); f != "" {
				return f, seed
			}
		}
	}
	return "", seeds
}
