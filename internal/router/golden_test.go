package router

import (
	"testing"

	"notchhinge/internal/testutil/golden"
	"notchhinge/policy"
)

// TestGoldenHandover: what a process leaves to the one that follows it at its address has the bytes that it had. CBOR's keys
// are the names of the fields where these have no tag.
func TestGoldenHandover(t *testing.T) {
	l := &legacy{Pools: map[string]*policy.Learned{"scribe": {
		Pins: []policy.LearnedPin{{Session: 3, To: 4, Used: 5}},
		Replicas: []policy.LearnedReplica{{
			ID: 4, ReadyAt: 1, Until: 2, Spell: 3, DrainAt: 4, Answered: 5, ReportAt: 6, FullUntil: 7,
			Size: 0.1, Budget: 0.2, BudgetAt: 0.3, Load: 0.4, Back: 0.5,
		}},
		Prefixes: map[uint64]float64{7: 8}, Loads: [4]float64{1, 2, 3, 4}, Retries: 1.5, Shed: 0.5, Lost: 0.25, Spill: 0.125,
		ShedAt: 9, Arrived: 10, Usual: 11, Tenants: []float64{12, 13},
	}}}
	golden.RoundTrip(t, "handover.hex", l, func(l *legacy) []byte {
		b, err := l.encode()
		if err != nil {
			t.Fatal(err)
		}
		return b
	}, decodeLegacy)
}
