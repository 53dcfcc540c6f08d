package check

import "testing"

// TestChangesUnderOneRevision: whatever is cut, killed or lost while operators race under one revision, their answers lost once and
// twice, each change is confirmed by every replica or rejected by every one, one upon a base, and what is read is no older than
// what was confirmed. Each rule that is broken on purpose is found out.
func TestChangesUnderOneRevision(t *testing.T) {
	answers, reads := 0, 0
	for seed := range 90 {
		o := operatorWalk(seed, "")
		if o.violation != "" {
			t.Errorf("seed %d: %s", seed, o.violation)
		}
		answers, reads = answers+o.answers, reads+o.reads
	}
	if answers < 3000 || reads < 900 {
		t.Errorf("only %d definite answers and %d reads", answers, reads)
	}
	t.Logf("%d definite answers, %d reads", answers, reads)
	for _, broken := range brokenOperators {
		found, walks := operatorRaces(3000, broken)
		if found == "" {
			t.Errorf("%s: not found in %d walks", broken, walks)
		}
		t.Logf("%s: walk %d: %s", broken, walks, found)
	}
}
