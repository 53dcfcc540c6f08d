package check

import (
	"testing"

	"pgregory.net/rapid"
)

// drawn returns a draw function backed by rapid, which can shrink a failing walk.
func drawn(t *rapid.T) func(n int) int {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
}

// TestAcknowledgedDrainsHold: no router sends requests to a drained engine after the deadline, whichever process crashes before the
// acknowledgement, or right after it, alone or with all replicas, its zone, or every process that has a record of the drain. A
// drain that is acknowledged on receipt is detected.
func TestAcknowledgedDrainsHold(t *testing.T) {
	if violation, seed := randomDrains(150, false); violation != "" {
		t.Errorf("seed %d: %s", seed, violation)
	}
	if violation, seeds := randomDrains(150, true); violation == "" {
		t.Errorf("acknowledged on receipt: not detected with %d seeds", seeds)
	}
}
