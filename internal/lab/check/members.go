package check

import (
	"fmt"
	"slices"
	"strings"

	"notchhinge/internal/control/paxos"
)

// memberCluster is machines with a log whose entries change who votes, as replicas are. A machine that has lost its disk comes
// back under another id, without a vote until the log gives it one; a member whose machine is gone is removed; proposers die
// between the phases of a proposal. A step is one phase of a proposal that reaches some machines, a state that is taken from
// another machine, or a loss.
type memberCluster struct {
	machines      []*logMachine
	open          []*openProposal // of each machine's proposer; nil = none
	chosen        map[int]map[string]bool
	nextID        int
	proposalCount uint64
	founders      []int // ids

	// Rules that are broken.

	keepsIDAfterWipe     bool // a machine that has lost its disk votes on under its id
	countsUnchosenChange bool // a change of members counts for the proposal that decides it, and a machine without a vote votes
}

// logMachine is a machine. An entry of its log is a value, or the ids of the members (encodeMembers).
type logMachine struct {
	id       int
	acceptor paxos.Acceptor
	log      []string
}

// openProposal is a proposal that has a quorum of promises; request is its accept request.
type openProposal struct {
	paxos.Proposer
	request paxos.Request
}

func newMemberCluster() *memberCluster { return newMemberClusterOf(3) }

// newMemberClusterOf returns a cluster of n machines, all of them founders.
func newMemberClusterOf(n int) *memberCluster {
	c := &memberCluster{chosen: map[int]map[string]bool{}, nextID: n + 1, open: make([]*openProposal, n)}
	for i := range n {
		m := &logMachine{id: i + 1}
		m.acceptor = paxos.Acceptor{IsVoter: true, ChosenValue: m.chosenValue}
		c.machines, c.founders = append(c.machines, m), append(c.founders, m.id)
	}
	return c
}

func (m *logMachine) chosenValue(index uint64) ([]byte, bool) {
	if index < uint64(len(m.log)) {
		return []byte(m.log[index]), true
	}
	return nil, false
}

const membersPrefix = "m "

// encodeMembers returns the entry that makes machines the members.
func encodeMembers(ids []int) string { return membersPrefix + strings.Trim(fmt.Sprint(ids), "[]") }

// isMembersEntry reports whether an entry changes the members.
func isMembersEntry(entry string) bool { return strings.HasPrefix(entry, membersPrefix) }

// membersOf returns the ids of the members at the end of a log.
func (c *memberCluster) membersOf(log []string) []int {
	for _, entry := range slices.Backward(log) {
		if isMembersEntry(entry) {
			return decodeSet(strings.TrimPrefix(entry, membersPrefix))
		}
	}
	return c.founders
}

// applyLog sets what a machine's acceptor takes from its log.
func (c *memberCluster) applyLog(m *logMachine) {
	m.acceptor.NextIndex = uint64(len(m.log))
	m.acceptor.IsVoter = slices.Contains(c.membersOf(m.log), m.id) || c.countsUnchosenChange
}

// possibleValues returns what a machine may propose: a value; adding a machine that has lost its disk and caught up, in the
// place of its former id; removing another member.
func (c *memberCluster) possibleValues(p int) (values []string) {
	own := c.machines[p]
	members := c.membersOf(own.log)
	values = append(values, fmt.Sprintf("d%d", c.proposalCount))
	for i, m := range c.machines {
		isMember := slices.Contains(members, m.id)
		if !isMember && len(m.log) >= len(own.log) {
			values = append(values, encodeMembers(c.withMember(members, m.id)))
		}
		if i != p && len(members) > 2 && isMember {
			values = append(values, encodeMembers(slices.DeleteFunc(slices.Clone(members), func(id int) bool { return id == m.id })))
		}
	}
	return values
}

// withMember returns members and one more, in the place of the first that is no machine's id any more, if there is one.
func (c *memberCluster) withMember(members []int, id int) []int {
	members = slices.Clone(members)
	former := slices.IndexFunc(members, func(id int) bool {
		return !slices.ContainsFunc(c.machines, func(m *logMachine) bool { return m.id == id })
	})
	if former < 0 {
		return append(members, id)
	}
	members[former] = id
	return members
}

// newProposal returns machine p's proposal at the end of its log, to the members of a log.
func (c *memberCluster) newProposal(p int, value string, log []string) *openProposal {
	c.proposalCount++
	o := &openProposal{Proposer: paxos.Proposer{
		Index: uint64(len(c.machines[p].log)), OwnValue: []byte(value),
		Number: paxos.ProposalNumber{Term: c.proposalCount, Proposer: c.proposalCount},
	}}
	for _, id := range c.membersOf(log) {
		o.Voters = append(o.Voters, uint64(id))
	}
	o.Quorum = paxos.Majority(len(o.Voters))
	return o
}

// prepare begins a proposal of machine p. It reaches the machines of a bit mask.
func (c *memberCluster) prepare(p int, value string, mask int) {
	log := c.machines[p].log
	if c.countsUnchosenChange {
		log = append(slices.Clone(log), value)
	}
	c.beginProposal(p, c.newProposal(p, value, log), mask, allMachines)
}

// beginProposal runs the first phase; the proposal stays open if a quorum has promised.
func (c *memberCluster) beginProposal(p int, o *openProposal, mask, answers int) {
	c.open[p] = nil
	if next, _ := c.runPhase(o, o.Prepare(), mask, answers); next != nil {
		o.request = *next
		c.open[p] = o
	}
}

// accept runs the second phase of machine p's proposal. It reaches the machines of a bit mask.
func (c *memberCluster) accept(p, mask int) { c.finishProposal(p, mask, allMachines) }

// finishProposal runs the second phase, and has machine p learn the value if it is chosen. It returns the outcome; while that
// is pending, the proposal stays open.
func (c *memberCluster) finishProposal(p, mask, answers int) paxos.Outcome {
	o := c.open[p]
	_, out := c.runPhase(o, o.request, mask, answers)
	if out == paxos.OutcomePending {
		return out
	}
	c.open[p] = nil
	if out != paxos.OutcomeChosen {
		return out
	}
	index, value := int(o.Index), string(o.Value)
	if c.chosen[index] == nil {
		c.chosen[index] = map[string]bool{}
	}
	c.chosen[index][value] = true
	if m := c.machines[p]; len(m.log) == index {
		m.log = append(m.log[:index:index], value)
		c.applyLog(m)
	}
	return out
}

const allMachines = -1 // bit mask

// runPhase sends a request to the voters of a bit mask; the responses of those in another one arrive.
func (c *memberCluster) runPhase(o *openProposal, req paxos.Request, mask, answers int) (next *paxos.Request, out paxos.Outcome) {
	for i, m := range c.machines {
		if mask&(1<<i) == 0 || !slices.Contains(o.Voters, uint64(m.id)) || next != nil || out != paxos.OutcomePending {
			continue
		}
		resp, _ := m.acceptor.Handle(req)
		if answers&(1<<i) != 0 {
			next, out = o.HandleResponse(uint64(m.id), req.Kind, resp)
		}
	}
	return next, out
}

// catchUp has a machine take another's state, if that has more entries.
func (c *memberCluster) catchUp(to, from int) {
	if a, b := c.machines[to], c.machines[from]; len(b.log) > len(a.log) {
		a.log = slices.Clone(b.log)
		c.applyLog(a)
	}
}

// wipe has a machine come back without its disk.
func (c *memberCluster) wipe(i int) {
	m := &logMachine{id: c.nextID}
	if c.keepsIDAfterWipe {
		m.id = c.machines[i].id
	} else {
		c.nextID++
	}
	m.acceptor = paxos.Acceptor{IsVoter: c.keepsIDAfterWipe || c.countsUnchosenChange, ChosenValue: m.chosenValue}
	c.machines[i], c.open[i] = m, nil
}

// violation names an index with two chosen values, or a machine whose log has another value than was chosen; "" = none.
func (c *memberCluster) violation() string {
	for index, values := range c.chosen {
		if len(values) > 1 {
			return fmt.Sprintf("index %d: %v", index, values)
		}
		for i, m := range c.machines {
			if index < len(m.log) && !values[m.log[index]] {
				return fmt.Sprintf("index %d: %v is chosen, and machine %d has %q", index, values, i, m.log[index])
			}
		}
	}
	return ""
}
