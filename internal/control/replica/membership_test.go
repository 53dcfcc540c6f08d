package replica

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/rpc"
)

// TestLearnersReplaceFailedVoters: after repeated replacements all voters run, so that losing any f of them leaves a
// majority.
func TestLearnersReplaceFailedVoters(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprint(voters, " voters"), func(t *testing.T) {
			c, revision := newCluster(t, voters, voters), uint64(0)
			for i := range 5 {
				c.kill(c.running()[i%2])
				if i%2 == 1 { // this learner fails before or after it receives the vote
					c.run(time.Second)
					r := c.start(voters, false)
					c.run(time.Duration(i) * 500 * time.Millisecond)
					c.kill(r)
				}
				c.run(time.Second)
				c.start(voters, false)
				c.run(6 * time.Second)
				c.requireVoters(voters)
				res := c.replaceConfig(c.running()[0], revision, revision+24)
				if res.Status != http.StatusOK {
					t.Fatalf("replacement %d: %+v", i, res)
				}
				revision += 24
			}
			for range voters / 2 {
				c.kill(c.running()[0])
			}
			requireOK(t, fmt.Sprint("after ", voters/2, " losses"), c.replaceConfig(c.running()[0], revision, revision+24))
		})
	}
}

// TestIsolatedVoterReturnsAsLearner: a voter that was replaced during a partition rejoins as a learner and takes the
// next free vote.
func TestIsolatedVoterReturnsAsLearner(t *testing.T) {
	c := newCluster(t, 5, 5)
	isolated, failed := c.running()[1], c.running()[2]
	c.isolated = c.addr(isolated)
	c.run(500 * time.Millisecond)
	c.kill(failed) // later, so that the isolated voter has been suspected for longer
	c.run(time.Second)
	c.start(5, false)
	c.run(8 * time.Second)
	if got := c.voters(); slices.Contains(got, isolated.Self.Name) || len(got) != 5 {
		t.Fatalf("%v", got)
	}
	c.isolated = netip.AddrPort{}
	c.run(8 * time.Second)
	c.requireVoters(5)
	if got := c.voters(); !slices.Contains(got, isolated.Self.Name) || slices.Contains(got, failed.Self.Name) {
		t.Errorf("%v", got)
	}
}

// TestPartialPartitionKeepsVote: a voter that a single replica cannot reach keeps its vote; a voter that no replica can
// reach is replaced.
func TestPartialPartitionKeepsVote(t *testing.T) {
	c := newCluster(t, 5, 5)
	one, other := c.running()[0], c.running()[1]
	c.partitioned = [2]netip.AddrPort{c.addr(one), c.addr(other)}
	learner := c.start(5, false)
	c.run(20 * time.Second)
	if got := c.voters(); slices.Contains(got, learner.Self.Name) {
		t.Errorf("%v", got)
	}
	c.kill(other)
	c.run(8 * time.Second)
	if got := c.voters(); !slices.Contains(got, learner.Self.Name) || slices.Contains(got, other.Self.Name) {
		t.Errorf("%v", got)
	}
}

// TestMembershipChangeSurvivesProposerFailure: if the proposer of a membership change fails, before or after the change
// is chosen, the other voters decide and finish it, even if the new voter fails too and no further request arrives.
func TestMembershipChangeSurvivesProposerFailure(t *testing.T) {
	pending := 0
	for after := time.Duration(0); after < 12*time.Millisecond; after += 500 * time.Microsecond {
		t.Run(after.String(), func(t *testing.T) {
			c := newCluster(t, 5, 5)
			learner := c.failDuringChange(after)
			if slices.ContainsFunc(c.running(), (*Replica).MembershipPending) {
				pending++
			}
			c.run(1500 * time.Millisecond)
			for _, r := range c.running() {
				if r.MembershipPending() {
					t.Errorf("%s has accepted a membership change that is still undecided", r.Self.Name)
				}
				if r.state.Member(learner.Self.ID) != nil && r.state.NextIndex <= r.membership.finishIndex {
					t.Errorf("%s has an unfinished membership change", r.Self.Name)
				}
			}
			c.run(8 * time.Second)
			requireOK(t, "configuration", c.replaceConfig(c.running()[0], 0, 30))
			if got := c.voters(); len(got) != 5 {
				t.Errorf("voters %v", got)
			}
		})
	}
	if pending == 0 {
		t.Error("no change was pending when its proposer failed")
	}
}

// failDuringChange makes a replica propose a learner as a voter, and kills both after a delay. It returns the learner.
func (c *cluster) failDuringChange(after time.Duration) *Replica {
	proposer, failed := c.running()[0], c.running()[1]
	learner := c.start(5, false)
	c.run(4 * time.Second)
	c.kill(failed)
	c.run(time.Second)
	proposer.membership.suspects[c.addr(failed)] = suspicion{c.now - 5*time.Second, c.now}
	c.handle(proposer, CallReceived{
		Kind: rpc.KindJoin, Body: learner.identity().encode(), Request: c.calls.Add(caller{replica: learner}),
	})
	c.run(after)
	c.kill(proposer)
	c.kill(learner)
	for _, r := range c.running() {
		r.membership.candidates = nil
	}
	return learner
}

// TestRemoveMemberIsIdempotent: a member can be removed repeatedly and at any replica, but never below MinVoters.
func TestRemoveMemberIsIdempotent(t *testing.T) {
	c := newCluster(t, 4, 3)
	failed := c.running()[3]
	c.kill(failed)
	remove := func(at *Replica, name string) api.Status {
		return c.operate(at, func(id RequestID, deadline time.Duration) Event {
			return RemoveMember{Request: id, Name: name, Deadline: deadline}
		}).Status
	}
	for i := range 3 {
		if got := remove(c.running()[i], failed.Self.Name); got != http.StatusOK {
			t.Errorf("request %d: status %d", i, got)
		}
	}
	if got := remove(c.running()[0], "k-9"); got != http.StatusNotFound {
		t.Errorf("unknown name: status %d", got)
	}
	if got := remove(c.running()[0], "k-2"); got != http.StatusConflict {
		t.Errorf("removal below MinVoters: status %d", got)
	}
	c.requireVoters(3)
}

// TestRetriedRemovalOfReaddedVoterSucceeds: an operator retries a removal whose answer was lost, after the removed
// replica has become a voter again in place of a failed one.
func TestRetriedRemovalOfReaddedVoterSucceeds(t *testing.T) {
	c := newCluster(t, 4, 3)
	removed, failed := c.running()[3], c.running()[2]
	remove := func(name string) api.Result {
		return c.operate(c.running()[0], func(id RequestID, deadline time.Duration) Event {
			return RemoveMember{Request: id, Name: name, Deadline: deadline}
		})
	}
	requireOK(t, "removal", remove(removed.Self.Name))
	c.kill(failed)
	c.run(10 * time.Second)
	c.requireVoters(3)
	if !slices.Contains(c.voters(), removed.Self.Name) {
		t.Fatalf("the removed replica is not a voter again: %v", c.voters())
	}
	requireOK(t, "retried removal", remove(removed.Self.Name))
	if got := remove(c.running()[0].Self.Name); got.Status != http.StatusConflict {
		t.Errorf("removal below MinVoters: %+v", got)
	}
	c.requireVoters(3)
}

// TestSurplusVotersAreRemoved: in a group with more than MinVoters voters, voters that have failed for a long time are
// removed.
func TestSurplusVotersAreRemoved(t *testing.T) {
	c := newCluster(t, 5, 3)
	for range 3 { // one at a time: each leaves a majority
		c.kill(c.running()[0])
		c.run(20 * time.Second)
		if got := c.voters(); len(got) < 3 {
			t.Fatalf("%v", got)
		}
		if len(c.running()) == 3 {
			break
		}
	}
	c.requireVoters(3)
}
