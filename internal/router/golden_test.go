package router

import (
	"testing"

	"notchhinge/internal/testutil/golden"
	"notchhinge/policy"
)

// TestGoldenHandover guards against changes of the encoded handover state, which another version of the program decodes. A CBOR
// key is the name of a field that has no tag.
func TestGoldenHandover(t *testing.T) {
	state := &handoverState{Pools: map[string]*policy.Snapshot{"scribe": {
		Sessions: []policy.SnapshotSession{{Session: 3, Replica: 4, UsedAt: 5}},
		Replicas: []policy.SnapshotReplica{{
			ID: 4, ReadyAt: 1, EjectedUntil: 2, EjectionDuration: 3, DrainingSince: 4, LastResponseAt: 5, ReportedAt: 6, FullUntil: 7,
			Weight: 0.1, SlowStartBudget: 0.2, SlowStartBudgetAt: 0.3, Load: 0.4, Backlog: 0.5,
		}},
		Prefixes: map[uint64]float64{7: 8}, Loads: [4]float64{1, 2, 3, 4}, RetryBudget: 1.5, ShedShare: 0.5, LostValue: 0.25, SpillShare: 0.125,
		ShedUpdatedAt: 9, Arrivals: 10, RecentMaxReplicas: 11, Tenants: []float64{12, 13},
	}}}
	golden.RoundTrip(t, "handover.hex", state, func(state *handoverState) []byte {
		b, err := state.encode()
		if err != nil {
			t.Fatal(err)
		}
		return b
	}, decodeHandoverState)
}
