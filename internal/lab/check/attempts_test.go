package check

import "testing"

// TestAttemptsInEveryOrderOfEvents: no order of events on the first request leads to a violation, there or on the next request.
func TestAttemptsInEveryOrderOfEvents(t *testing.T) {
	t.Parallel()
	// The walks of notchlab check cover more pairs of requests and more engines.
	if violation, runs := exploreAttemptPairs(brokenRules{}, someKindPairs()[1:], byteCutBounds()[0]); violation != "" || runs < 10000 {
		t.Errorf("violation %q after %d runs; want none after at least 10000", violation, runs)
	}
}

func TestBrokenAttemptRulesAreDetected(t *testing.T) {
	t.Parallel()
	for _, w := range brokenAttemptWalks() {
		if violation, runs := w.Run(0); violation == "" {
			t.Errorf("%s: not detected in %d runs", w.Name, runs)
		}
	}
}
