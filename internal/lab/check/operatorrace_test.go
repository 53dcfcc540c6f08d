package check

import "testing"

// TestOneConfigurationPerBaseIsAcknowledged: whatever is partitioned, killed, lost or added meanwhile, one of several
// configurations for one base revision is acknowledged, and it is in the log. A proposer that takes any chosen value for its
// own is detected.
func TestOneConfigurationPerBaseIsAcknowledged(t *testing.T) {
	if fault, seed := randomRaces(3000, false); fault != "" {
		t.Errorf("seed %d: %s", seed, fault)
	}
	if fault, seeds := randomRaces(3000, true); fault == "" {
		t.Errorf("a chosen value is taken for one's own: not detected with %d seeds", seeds)
	}
}
