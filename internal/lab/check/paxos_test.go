package check

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"notchhinge/internal/control/paxos"
)

func TestOneValueIsChosenPerIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newPaxosCluster(rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "voters"))
		c.run(drawn(t), 150)
		if v := c.violation(); v != "" {
			t.Fatal(v)
		}
	})
}

// TestBrokenPaxosIsDetected: the random walk finds a violation with each broken rule, and none without.
func TestBrokenPaxosIsDetected(t *testing.T) {
	for name, breakRule := range map[string]func(*paxosCluster){
		"loses its disk":           func(c *paxosCluster) { c.losesDisk = true },
		"responds before the sync": func(c *paxosCluster) { c.skipsSync = true },
		"uses numbers again":       func(c *paxosCluster) { c.reusesNumbers = true },
	} {
		if violation, seeds := randomProposals(breakRule, 20000); violation == "" {
			t.Errorf("%s: not detected with %d seeds", name, seeds)
		}
	}
	if violation, seed := randomProposals(func(*paxosCluster) {}, 4000); violation != "" {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

func TestEveryOrderOfMessagesAndACrash(t *testing.T) {
	if violation, states := exploreOrders(1, 9); violation != "" || states < 1000 {
		t.Errorf("violation %q after %d states", violation, states)
	}
}

// deliverOf delivers the first message of a proposal to or from a voter, by phase and direction. It returns false if none is in
// flight.
func (c *paxosCluster) deliverOf(p *proposal, phase paxos.RequestKind, isResponse bool, voter int) bool {
	for i, m := range c.messages {
		if m.of == p && m.request.Kind == phase && m.isResponse == isResponse && (!isResponse && m.to == voter || isResponse && m.voter == uint64(voter+1)) {
			c.deliver(i, false)
			return true
		}
	}
	return false
}

// exchange delivers the request of a phase to a voter, and the voter's response.
func (c *paxosCluster) exchange(p *proposal, phase paxos.RequestKind, voter int) {
	c.deliverOf(p, phase, false, voter)
	c.deliverOf(p, phase, true, voter)
}

// TestOldProposerResumes: a proposer pauses after one of three voters has accepted its value, and two later proposers have a
// value chosen without one voter. Then the first proposer resumes, with its requests still in flight. Only one value is chosen,
// whichever quorum the later proposers had.
func TestOldProposerResumes(t *testing.T) {
	for acceptedBy := range 3 {
		for unreachable := range 3 {
			t.Run(fmt.Sprintf("accepted_by_%d,unreachable_%d", acceptedBy, unreachable), func(t *testing.T) {
				testOldProposerResumes(t, acceptedBy, unreachable)
			})
		}
	}
}

// testOldProposerResumes lets one voter accept the first proposal, and makes one unreachable to the later ones.
func testOldProposerResumes(t *testing.T, acceptedBy, unreachable int) {
	t.Helper()
	c := newPaxosCluster(3)
	c.propose(0)
	first := c.proposals[0]
	for v := range 3 {
		c.exchange(first, paxos.KindPrepare, v)
	}
	if !c.deliverOf(first, paxos.KindAccept, false, acceptedBy) {
		t.Fatal("the first proposal did not reach its accept phase")
	}
	want := "v2"
	if acceptedBy != unreachable {
		want = "v1"
	}
	for range 2 {
		c.proposeWithout(unreachable)
		if !c.chosen[0][want] || len(c.chosen[0]) != 1 {
			t.Fatalf("chosen: %v; want %s alone", c.chosen[0], want)
		}
	}
	for v := range 3 { // the first one resumes
		c.exchange(first, paxos.KindAccept, v)
	}
	if v := c.violation(); v != "" || first.isEnded && first.Value != nil && !c.chosen[0][string(first.Value)] {
		t.Error(v)
	}
}

// proposeWithout runs both phases of a new proposal at all voters but one.
func (c *paxosCluster) proposeWithout(unreachable int) {
	c.propose(0)
	p := c.proposals[len(c.proposals)-1]
	for _, phase := range []paxos.RequestKind{paxos.KindPrepare, paxos.KindAccept} {
		for v := range c.voters {
			if v != unreachable {
				c.exchange(p, phase, v)
			}
		}
	}
}
