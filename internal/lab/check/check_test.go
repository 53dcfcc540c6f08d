package check

import (
	"testing"

	"pgregory.net/rapid"
)

// drawn has rapid draw, so that it can shrink.
func drawn(t *rapid.T) func(n int) int {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
}

// TestAcknowledgedDrainsHold: whoever crashes between the announcement of a drain and the answer, or right after it with all
// replicas, a zone, or all that knew, nobody sends the engine requests once its time is over. A drain that is acknowledged as
// soon as it is received is found out.
func TestAcknowledgedDrainsHold(t *testing.T) {
	if found, seed := randomDrains(150, false); found != "" {
		t.Errorf("seed %d: %s", seed, found)
	}
	if found, lives := randomDrains(150, true); found == "" {
		t.Errorf("acknowledged before anybody else knows: not found in %d walks", lives)
	}
}
