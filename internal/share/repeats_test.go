package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRepeatsKeepToTheirBudget plays routers that are given any traffic and want to send everything again: in no window,
// wherever it falls, are there more repeats than the whole budget allows.
func TestRepeatsKeepToTheirBudget(t *testing.T) {
	const window, ratio, extra = 10 * time.Second, 0.2, 12.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "routers")
		routers := make([]Repeats, n)
		for i := range routers {
			routers[i] = Repeats{Ratio: ratio / 2, Extra: extra / float64(n), Window: window}
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var all []event
		now := time.Hour
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			r := &routers[rapid.IntRange(0, n-1).Draw(t, "router")]
			if rapid.IntRange(0, 3).Draw(t, "what") > 0 {
				r.Saw(now)
				all = append(all, event{now, false})
			}
			if r.Take(now) {
				all = append(all, event{now, true})
			}
		}
		count := func(end time.Duration, repeat bool) (n float64) {
			for _, e := range all {
				if e.at > end-window && e.at <= end && e.repeat == repeat {
					n++
				}
			}
			return n
		}
		for _, end := range all {
			// As the rule has it: the requests of that window, the one before it or half a window before, whichever has most.
			seen := max(count(end.at, false), count(end.at-window/2, false), count(end.at-window, false))
			if repeats := count(end.at, true); repeats > ratio*seen+extra {
				t.Fatalf("%v repeats of %v requests in the window up to %v", repeats, seen, end.at)
			}
		}
	})
}

func TestRepeatsComeBack(t *testing.T) {
	r := Repeats{Ratio: 0.2, Extra: 2, Window: 10 * time.Second}
	for range 2 {
		if !r.Take(time.Hour) {
			t.Error("what is its own part is refused")
		}
	}
	if r.Take(time.Hour) {
		t.Error("more than its part is allowed")
	}
	if !r.Take(time.Hour + 11*time.Second) {
		t.Error("nothing comes back after a window")
	}
}
