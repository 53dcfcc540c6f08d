package check

import "testing"

// TestChangesUnderOneRevision: while operators race under one revision through partitions, crashes, lost disks and lost answers,
// each change is confirmed by every replica or rejected by every replica, one change per base is confirmed, and reads are never
// older than what was confirmed. Each broken rule is detected.
func TestChangesUnderOneRevision(t *testing.T) {
	answers, reads := 0, 0
	for seed := range 90 {
		walk := runOperatorWalk(seed, "")
		if walk.violation != "" {
			t.Errorf("seed %d: %s", seed, walk.violation)
		}
		answers, reads = answers+walk.answers, reads+walk.reads
	}
	if answers < 3000 || reads < 900 {
		t.Errorf("only %d definite answers and %d reads", answers, reads)
	}
	t.Logf("%d definite answers, %d reads", answers, reads)
	for _, broken := range brokenOperators {
		violation, seeds := randomOperatorWalks(3000, broken)
		if violation == "" {
			t.Errorf("%s: not detected with %d seeds", broken, seeds)
		}
		t.Logf("%s: seed %d: %s", broken, seeds, violation)
	}
}
