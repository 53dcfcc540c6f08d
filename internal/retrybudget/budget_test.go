package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetriesStayWithinTheBudget simulates routers that retry whenever they may. No sliding window may contain more retries than
// the platform allows.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const window, ratio, extra = 10 * time.Second, 0.2, 12.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "routers")
		routers := make([]Budget, n)
		for i := range routers {
			routers[i] = Budget{Ratio: ratio / 2, Allowance: extra / float64(n), Window: window}
		}
		type event struct {
			at      time.Duration
			isRetry bool
		}
		var all []event
		now := time.Hour
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			r := &routers[rapid.IntRange(0, n-1).Draw(t, "router")]
			if rapid.IntRange(0, 3).Draw(t, "what") > 0 {
				r.CountRequest(now)
				all = append(all, event{now, false})
			}
			if r.TryTake(now) {
				all = append(all, event{now, true})
			}
		}
		count := func(end time.Duration, isRetry bool) (n float64) {
			for _, e := range all {
				if e.at > end-window && e.at <= end && e.isRetry == isRetry {
					n++
				}
			}
			return n
		}
		for _, end := range all {
			// The platform compares with the largest number of requests in this window, the one half a window earlier and the one a
			// whole window earlier.
			requests := max(count(end.at, false), count(end.at-window/2, false), count(end.at-window, false))
			if retries := count(end.at, true); retries > ratio*requests+extra {
				t.Fatalf("%v retries for %v requests in the window that ends at %v", retries, requests, end.at)
			}
		}
	})
}

func TestBudgetIsAvailableAgainAfterAWindow(t *testing.T) {
	b := Budget{Ratio: 0.2, Allowance: 2, Window: 10 * time.Second}
	for range 2 {
		if !b.TryTake(time.Hour) {
			t.Error("a retry within the allowance was rejected")
		}
	}
	if b.TryTake(time.Hour) {
		t.Error("a retry beyond the allowance was granted")
	}
	if !b.TryTake(time.Hour + 11*time.Second) {
		t.Error("no retry is available after a window")
	}
}
