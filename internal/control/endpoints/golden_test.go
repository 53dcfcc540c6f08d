package endpoints

import (
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenRecords: the bytes of a record stay as they are, in each state, since processes of two releases exchange them.
func TestGoldenRecords(t *testing.T) {
	ready := Record{
		ID: "engine-1", Service: "scribe", Addr: "10.0.0.5:8000", Zone: "a", Revision: "r7", Slots: 12, CallCount: 300, WarmAtMS: 1_764_000_000_123,
	}
	draining, gone := ready, ready
	draining.State, draining.CallCount, draining.WarmAtMS = StateDraining, 301, 0
	gone.State, gone.CallCount = StateGone, deregistered
	for name, r := range map[string]Record{"ready": ready, "draining": draining, "gone": gone, "unknown-gone": {ID: "x", State: StateGone, CallCount: deregistered}} {
		t.Run(name, func(t *testing.T) {
			golden.RoundTrip(t, "record-"+name+".hex", r, func(r Record) []byte { return r.Encode() }, Decode)
		})
	}
}
