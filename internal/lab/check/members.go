package check

import (
	"fmt"
	"slices"
	"strings"

	"notchhinge/internal/control/paxos"
)

// memberCluster is a model of replicas whose log entries change the set of voters. A replica that has lost its disk restarts
// under a new ID, and has no vote until the log makes it a member. Members whose replica is gone are removed. Proposers crash
// between the phases of a proposal. A step is one phase of a proposal, which reaches some of the replicas; a catch-up from
// another replica; or the loss of a process or a disk.
type memberCluster struct {
	replicas      []*logReplica
	openProposals []*openProposal         // by proposing replica; nil = none
	chosen        map[int]map[string]bool // by index: every value that a proposer has found chosen
	nextID        int
	proposalCount uint64
	founders      []int // IDs of the replicas that are members before the first change

	// Rules that a walk breaks on purpose.

	keepsIDAfterWipe     bool // a replica that has lost its disk keeps its ID and its vote
	countsUnchosenChange bool // a membership change applies to its own proposal, and replicas vote without being members
}

// logReplica is a replica of a memberCluster. An entry of its log is a value or a set of members (encodeMembers).
type logReplica struct {
	id       int
	acceptor paxos.Acceptor
	log      []string
}

// openProposal is a proposal with a quorum of promises; request is its accept request.
type openProposal struct {
	paxos.Proposer
	request paxos.Request
}

// newMemberCluster returns a cluster of three founders.
func newMemberCluster() *memberCluster { return newMemberClusterOf(3) }

// newMemberClusterOf returns a cluster of n replicas, all of them founders.
func newMemberClusterOf(n int) *memberCluster {
	c := &memberCluster{chosen: map[int]map[string]bool{}, nextID: n + 1, openProposals: make([]*openProposal, n)}
	for i := range n {
		m := &logReplica{id: i + 1}
		m.acceptor = paxos.Acceptor{IsVoter: true, ChosenValue: m.chosenValue}
		c.replicas, c.founders = append(c.replicas, m), append(c.founders, m.id)
	}
	return c
}

func (m *logReplica) chosenValue(index uint64) ([]byte, bool) {
	if index < uint64(len(m.log)) {
		return []byte(m.log[index]), true
	}
	return nil, false
}

const membersPrefix = "m "

// encodeMembers returns the log entry that sets the members to the given IDs.
func encodeMembers(ids []int) string { return membersPrefix + strings.Trim(fmt.Sprint(ids), "[]") }

// isMembersEntry reports whether an entry changes the members.
func isMembersEntry(entry string) bool { return strings.HasPrefix(entry, membersPrefix) }

// membersOf returns the IDs of the members at the end of a log.
func (c *memberCluster) membersOf(log []string) []int {
	for _, entry := range slices.Backward(log) {
		if isMembersEntry(entry) {
			return decodeSet(strings.TrimPrefix(entry, membersPrefix))
		}
	}
	return c.founders
}

// applyLog updates a replica's acceptor from its log: the next index, and whether it has a vote.
func (c *memberCluster) applyLog(m *logReplica) {
	m.acceptor.NextIndex = uint64(len(m.log))
	m.acceptor.IsVoter = slices.Contains(c.membersOf(m.log), m.id) || c.countsUnchosenChange
}

// possibleValues returns the entries that replica p may propose: a plain value; a change that adds a replica which is not a
// member and has caught up; a change that removes another member.
func (c *memberCluster) possibleValues(p int) (values []string) {
	own := c.replicas[p]
	members := c.membersOf(own.log)
	values = append(values, fmt.Sprintf("d%d", c.proposalCount))
	for i, m := range c.replicas {
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

// withMember returns members with id added. It replaces the first member whose replica no longer exists, if there is one.
func (c *memberCluster) withMember(members []int, id int) []int {
	members = slices.Clone(members)
	replaced := slices.IndexFunc(members, func(id int) bool {
		return !slices.ContainsFunc(c.replicas, func(m *logReplica) bool { return m.id == id })
	})
	if replaced < 0 {
		return append(members, id)
	}
	members[replaced] = id
	return members
}

// newProposal returns a proposal of replica p for the next index of its log. Its voters are the members at the end of log.
func (c *memberCluster) newProposal(p int, value string, log []string) *openProposal {
	c.proposalCount++
	proposal := &openProposal{Proposer: paxos.Proposer{
		Index: uint64(len(c.replicas[p].log)), OwnValue: []byte(value),
		Number: paxos.ProposalNumber{Term: c.proposalCount, Proposer: c.proposalCount},
	}}
	for _, id := range c.membersOf(log) {
		proposal.Voters = append(proposal.Voters, uint64(id))
	}
	proposal.Quorum = paxos.Majority(len(proposal.Voters))
	return proposal
}

// prepare begins a proposal of replica p. The prepare request reaches the replicas in requestMask.
func (c *memberCluster) prepare(p int, value string, requestMask int) {
	log := c.replicas[p].log
	if c.countsUnchosenChange {
		log = append(slices.Clone(log), value)
	}
	c.beginProposal(p, c.newProposal(p, value, log), requestMask, allReplicas)
}

// beginProposal runs the prepare phase. The proposal stays open if a quorum promises.
func (c *memberCluster) beginProposal(p int, proposal *openProposal, requestMask, responseMask int) {
	c.openProposals[p] = nil
	if next, _ := c.runPhase(proposal, proposal.Prepare(), requestMask, responseMask); next != nil {
		proposal.request = *next
		c.openProposals[p] = proposal
	}
}

// accept runs the accept phase of replica p's proposal. The accept request reaches the replicas in requestMask.
func (c *memberCluster) accept(p, requestMask int) { c.finishProposal(p, requestMask, allReplicas) }

// finishProposal runs the accept phase of replica p's proposal, and p learns the value if it is chosen. The proposal stays open
// while its outcome is pending.
func (c *memberCluster) finishProposal(p, requestMask, responseMask int) paxos.Outcome {
	proposal := c.openProposals[p]
	_, outcome := c.runPhase(proposal, proposal.request, requestMask, responseMask)
	if outcome == paxos.OutcomePending {
		return outcome
	}
	c.openProposals[p] = nil
	if outcome != paxos.OutcomeChosen {
		return outcome
	}
	index, value := int(proposal.Index), string(proposal.Value)
	if c.chosen[index] == nil {
		c.chosen[index] = map[string]bool{}
	}
	c.chosen[index][value] = true
	if m := c.replicas[p]; len(m.log) == index {
		m.log = append(m.log[:index:index], value)
		c.applyLog(m)
	}
	return outcome
}

const allReplicas = -1 // bit mask

// runPhase sends a request to the voters in requestMask. The responses of those in responseMask arrive.
func (c *memberCluster) runPhase(proposal *openProposal, req paxos.Request, requestMask, responseMask int) (next *paxos.Request, outcome paxos.Outcome) {
	for i, m := range c.replicas {
		if requestMask&(1<<i) == 0 || !slices.Contains(proposal.Voters, uint64(m.id)) || next != nil || outcome != paxos.OutcomePending {
			continue
		}
		resp, _ := m.acceptor.Handle(req)
		if responseMask&(1<<i) != 0 {
			next, outcome = proposal.HandleResponse(uint64(m.id), req.Kind, resp)
		}
	}
	return next, outcome
}

// catchUp copies the log of replica from to replica to, if it is longer.
func (c *memberCluster) catchUp(to, from int) {
	if a, b := c.replicas[to], c.replicas[from]; len(b.log) > len(a.log) {
		a.log = slices.Clone(b.log)
		c.applyLog(a)
	}
}

// wipe restarts replica i with an empty disk.
func (c *memberCluster) wipe(i int) {
	m := &logReplica{id: c.nextID}
	if c.keepsIDAfterWipe {
		m.id = c.replicas[i].id
	} else {
		c.nextID++
	}
	m.acceptor = paxos.Acceptor{IsVoter: c.keepsIDAfterWipe || c.countsUnchosenChange, ChosenValue: m.chosenValue}
	c.replicas[i], c.openProposals[i] = m, nil
}

// violation describes an index with two chosen values, or a replica whose log differs from the chosen value; "" = none.
func (c *memberCluster) violation() string {
	for index, values := range c.chosen {
		if len(values) > 1 {
			return fmt.Sprintf("index %d: %v", index, values)
		}
		for i, m := range c.replicas {
			if index < len(m.log) && !values[m.log[index]] {
				return fmt.Sprintf("index %d: %v is chosen, but replica %d has %q", index, values, i, m.log[index])
			}
		}
	}
	return ""
}
