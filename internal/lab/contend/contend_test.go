package contend

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// tidewater is the larger production deployment.
var tidewater = Cluster{Replicas: 5, Latency: ms / 2, Link: 15e6, Sync: 5 * ms, Disk: 120e6}

// Sizes of values in bytes; large is tidewater's largest configuration.
const large, small = 262_000, 100

// TestContentionIsBounded: concurrent proposals of several replicas, with small and large values, are all chosen within a bounded
// number of attempts and a bounded time.
func TestContentionIsBounded(t *testing.T) {
	for _, c := range []struct {
		name        string
		proposals   []Proposal
		maxAttempts int // of any proposal, with any seed
		maxElapsed  time.Duration
	}{
		{"one large", []Proposal{{0, 0, large}}, 1, 100 * ms},
		{"two small", []Proposal{{0, 0, small}, {1, ms, small}}, 6, 100 * ms},
		{"five small", []Proposal{{0, 0, small}, {1, ms, small}, {2, ms, small}, {3, ms, small}, {4, ms, small}}, 12, 500 * ms},
		{"two large", []Proposal{{0, 0, large}, {1, ms, large}}, 6, 300 * ms},
		{"two large, three small", []Proposal{{0, 0, large}, {1, ms, large}, {2, ms, small}, {3, 2 * ms, small}, {4, 3 * ms, 15 * small}}, 12, 700 * ms},
		{"five large", []Proposal{{0, 0, large}, {1, ms, large}, {2, ms, large}, {3, ms, large}, {4, ms, large}}, 20, 3000 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			var attempts []int
			var elapsed []time.Duration
			for seed := range uint64(200) {
				for _, r := range Run(tidewater, c.proposals, seed) {
					if r.Elapsed == 0 {
						t.Fatalf("seed %d: a proposal was not chosen", seed)
					}
					attempts, elapsed = append(attempts, r.Attempts), append(elapsed, r.Elapsed)
				}
			}
			slices.Sort(attempts)
			slices.Sort(elapsed)
			n := len(attempts)
			t.Logf("attempts: median %d, max %d; elapsed: median %v, max %v",
				attempts[n/2], attempts[n-1], elapsed[n/2].Round(ms), elapsed[n-1].Round(ms))
			if attempts[n-1] > c.maxAttempts || elapsed[n-1] > c.maxElapsed {
				t.Errorf("max %d attempts and %v; want at most %d and %v", attempts[n-1], elapsed[n-1], c.maxAttempts, c.maxElapsed)
			}
		})
	}
}

// TestAcceptedValuesAreNotSentAgain: the second of two large values is chosen sooner if voters that have accepted the first one
// receive only its number.
func TestAcceptedValuesAreNotSentAgain(t *testing.T) {
	resending := tidewater
	resending.ResendValues = true
	proposals := []Proposal{{0, 0, large}, {0, ms, large}}
	byNumber, byValue := Run(tidewater, proposals, 1), Run(resending, proposals, 1)
	if byNumber[1].Elapsed >= byValue[1].Elapsed {
		t.Errorf("chosen after %v, and after %v with values sent again; want sooner", byNumber[1].Elapsed, byValue[1].Elapsed)
	}
}
