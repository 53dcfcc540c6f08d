package check

import "testing"

// TestChangesUnderOneRevision: while operators race under one revision through partitions, crashes, lost disks and lost answers,
// each change is acknowledged by every replica or rejected by every replica, one change per base is acknowledged, and reads are
// never older than an acknowledged change. Each broken rule is detected.
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
		t.Errorf("only %d final answers and %d reads", answers, reads)
	}
	t.Logf("%d final answers, %d reads", answers, reads)
	for _, rule := range brokenOperators {
		violation, seeds := randomOperatorWalks(3000, rule)
		if violation == "" {
			t.Errorf("%s: not detected with %d seeds", rule, seeds)
		}
		t.Logf("%s: seed %d: %s", rule, seeds, violation)
	}
}
