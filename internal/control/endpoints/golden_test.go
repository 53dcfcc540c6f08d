package endpoints

import (
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenRecords checks that the encoding of records does not change: processes of two releases exchange them.
func TestGoldenRecords(t *testing.T) {
	ready := Record{
		ID: "engine-1", Service: "scribe", Addr: "10.0.0.5:8000", Zone: "a", Revision: "r7", Slots: 12, CallCount: 300, WarmAtMS: 1_764_000_000_123,
	}
	draining, gone := ready, ready
	draining.State, draining.CallCount, draining.WarmAtMS = StateDraining, 301, 0
	gone.State, gone.CallCount = StateGone, deregisteredCallCount
	for name, r := range map[string]Record{"ready": ready, "draining": draining, "gone": gone, "unknown-gone": {ID: "x", State: StateGone, CallCount: deregisteredCallCount}} {
		t.Run(name, func(t *testing.T) {
			golden.RoundTrip(t, "record-"+name+".hex", r, func(r Record) []byte { return r.Encode() }, Decode)
		})
	}
}
