package check

import (
	"testing"

	"pgregory.net/rapid"

	"notchhinge/internal/control/paxos"
)

// TestPartitionsNeverFoundTwice: machines without a configured cluster size found at most one fleet under partitions, message
// loss and restarts. Each proposes the machines that it reaches, if these are at least 2f+1, and all founders must accept: two
// sets of founders cannot both be chosen among fewer than 4f+2 machines.
func TestPartitionsNeverFoundTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		founded := randomFounding(drawn(t), rapid.IntRange(3, 5).Draw(t, "machines"), func(set int) int { return set })
		if len(founded) > 1 {
			t.Fatalf("more than one set of founders was chosen: %v", founded)
		}
	})
}

// TestFoundingByMajorityIsDetected: the walk finds two foundings if a majority of the founders is enough.
func TestFoundingByMajorityIsDetected(t *testing.T) {
	worst := 0
	for seed := range 300 {
		founded := len(randomFounding(draws(seed), 5, paxos.Majority))
		worst = max(worst, founded)
	}
	if worst < 2 {
		t.Error("a second founding by a majority was not detected with any seed")
	}
}
