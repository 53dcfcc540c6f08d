package check

import (
	"testing"

	"pgregory.net/rapid"

	"notchhinge/internal/control/paxos"
)

// TestPartitionsNeverFoundTwice: machines that do not know how many they are found a fleet. Partitions come and go, messages
// are lost, processes restart from their disks, and each proposes the machines that it reaches, once there are 2f+1. All
// founders must accept; two sets of founders can therefore not both be chosen among fewer than 4f+2 machines.
func TestPartitionsNeverFoundTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		founded := randomFounding(drawn(t), rapid.IntRange(3, 5).Draw(t, "machines"), func(set int) int { return set })
		if len(founded) > 1 {
			t.Fatalf("founded: %v", founded)
		}
	})
}

// TestFoundingByMajorityIsDetected breaks the rule: a majority of the founders is enough.
func TestFoundingByMajorityIsDetected(t *testing.T) {
	worst := 0
	for seed := range 300 {
		founded := len(randomFounding(draws(seed), 5, paxos.Majority))
		worst = max(worst, founded)
	}
	if worst < 2 {
		t.Error("two foundings by a majority were not detected with any seed")
	}
}
