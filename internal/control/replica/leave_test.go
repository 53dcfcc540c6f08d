package replica

import (
	"slices"
	"testing"
	"time"
)

// TestLeaveHandsVoteOver: a replica hands its vote to a learner during a graceful shutdown, so that the group loses no
// voter.
func TestLeaveHandsVoteOver(t *testing.T) {
	c := newCluster(t, 3, 3)
	learner := c.start(3, false)
	c.run(5 * time.Second)
	if got := c.voters(); slices.Contains(got, learner.Self.Name) {
		t.Fatalf("voters %v: a learner has a vote although no voter has failed", got)
	}
	leaving := c.running()[1]
	began := c.now
	c.handle(leaving, Leave{Deadline: c.now + 2*time.Second})
	c.run(time.Second)
	c.kill(leaving)
	if took := c.leftAt[leaving.Self.Name] - began; took <= 0 || took > 100*time.Millisecond {
		t.Errorf("handed over after %v, want at most 100ms", took)
	}
	c.requireVoters(3)
	c.kill(c.running()[0])
	requireOK(t, "configuration after a loss", c.replaceConfig(learner, 0, 30))
	// Without a learner, and with one of two voters unreachable, the shutdown ends at its deadline.
	last := c.running()[0]
	began = c.now
	c.handle(last, Leave{Deadline: c.now + 2*time.Second})
	c.run(3 * time.Second)
	if took := c.leftAt[last.Self.Name] - began; took < 1900*time.Millisecond || took > 2100*time.Millisecond {
		t.Errorf("left after %v, want about 2s", took)
	}
}
