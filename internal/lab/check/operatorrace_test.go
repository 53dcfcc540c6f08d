package check

import "testing"

// TestOneConfigurationPerBaseIsAcknowledged: under partitions, crashes, lost disks and membership changes, at most one of
// several configurations for a base revision is acknowledged, and it is in the log. A proposer that acknowledges its request
// when another value is chosen is detected.
func TestOneConfigurationPerBaseIsAcknowledged(t *testing.T) {
	if violation, seed := randomRaces(3000, false); violation != "" {
		t.Errorf("seed %d: %s", seed, violation)
	}
	if violation, seeds := randomRaces(3000, true); violation == "" {
		t.Errorf("any chosen value acknowledges a request: not detected with %d seeds", seeds)
	}
}
