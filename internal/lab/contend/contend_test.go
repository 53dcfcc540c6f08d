package contend

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// tidewater are the keepers of the operators' larger deployment; large is its largest configuration.
var tidewater = Machines{Keepers: 5, Delay: ms / 2, Link: 15e6, Sync: 5 * ms, Disk: 120e6}

const large, small = 262_000, 100

// TestContention: keepers that all want something chosen at once settle it within bounded tries and well within the time
// that an operator waits, small values beside large ones.
func TestContention(t *testing.T) {
	for _, c := range []struct {
		name  string
		wants []Wish
		tries int           // of any, in any life
		took  time.Duration // likewise
	}{
		{"one large", []Wish{{0, 0, large}}, 1, 100 * ms},
		{"two small", []Wish{{0, 0, small}, {1, ms, small}}, 6, 100 * ms},
		{"five small", []Wish{{0, 0, small}, {1, ms, small}, {2, ms, small}, {3, ms, small}, {4, ms, small}}, 12, 500 * ms},
		{"two large", []Wish{{0, 0, large}, {1, ms, large}}, 6, 300 * ms},
		{"two large, three small", []Wish{{0, 0, large}, {1, ms, large}, {2, ms, small}, {3, 2 * ms, small}, {4, 3 * ms, 15 * small}}, 12, 700 * ms},
		{"five large", []Wish{{0, 0, large}, {1, ms, large}, {2, ms, large}, {3, ms, large}, {4, ms, large}}, 20, 3000 * ms},
	} {
		var tries []int
		var took []time.Duration
		for seed := range uint64(200) {
			for _, s := range Play(tidewater, c.wants, seed) {
				if s.Took == 0 {
					t.Fatalf("%s, seed %d: not settled", c.name, seed)
				}
				tries, took = append(tries, s.Tries), append(took, s.Took)
			}
		}
		slices.Sort(tries)
		slices.Sort(took)
		n := len(tries)
		t.Logf("%-24s tries %d, at the most %d; %v, at the most %v", c.name, tries[n/2], tries[n-1], took[n/2].Round(ms), took[n-1].Round(ms))
		if tries[n-1] > c.tries || took[n-1] > c.took {
			t.Errorf("%s: %d tries and %v at the most; %d and %v are wanted", c.name, tries[n-1], took[n-1], c.tries, c.took)
		}
	}
	whole := tidewater
	whole.Whole = true
	wants := []Wish{{0, 0, large}, {0, ms, large}}
	named, told := Play(tidewater, wants, 1), Play(whole, wants, 1)
	if named[1].Took >= told[1].Took {
		t.Errorf("two large ones after each other: %v, and %v where the value is told once more", named[1].Took, told[1].Took)
	}
}
