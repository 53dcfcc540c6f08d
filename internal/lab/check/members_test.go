package check

import "testing"

func TestEveryOrderOfMemberChanges(t *testing.T) {
	violation, states := exploreMemberChanges(newMemberCluster(), memberBounds{proposals: 2, wipes: 1, entries: 2, depth: 6})
	if violation != "" || states < 40000 {
		t.Errorf("violation %q, %d states", violation, states)
	}
	t.Logf("%d states", states)
}

func TestBrokenMemberChangesAreDetected(t *testing.T) {
	for name, breakRule := range map[string]func(*memberCluster){
		"a replica without its disk keeps its id": func(c *memberCluster) { c.keepsIDAfterWipe = true },
		"a change counts before it is chosen":     func(c *memberCluster) { c.countsUnchosenChange = true },
	} {
		if violation, seeds := randomMemberChanges(breakRule, 20000); violation == "" {
			t.Errorf("%s: not detected with %d seeds", name, seeds)
		}
	}
	broken := newMemberCluster()
	broken.keepsIDAfterWipe = true
	if violation, states := exploreMemberChanges(broken, memberBounds{proposals: 3, wipes: 1, entries: 1, depth: 7}); violation == "" {
		t.Errorf("a replica without its disk keeps its id: not detected in %d states", states)
	}
	if violation, seed := randomMemberChanges(func(*memberCluster) {}, 3000); violation != "" {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

// TestAnyLossAfterAReplacementIsSurvived: once a planned or unplanned replacement has finished, any one replica may be lost.
func TestAnyLossAfterAReplacementIsSurvived(t *testing.T) {
	if violation, finished := randomReplacements(4000, false); violation != "" || finished < 500 {
		t.Errorf("violation %q, %d replacements finished", violation, finished)
	}
	if violation, finished := randomReplacements(4000, true); violation == "" {
		t.Errorf("a change counts as finished once it is chosen: not detected in %d replacements", finished)
	}
}
