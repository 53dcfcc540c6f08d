package check

import "testing"

func TestPowerLossAtAnyStepLosesNothing(t *testing.T) {
	t.Parallel()
	violations, losses := losePowerAtEachStep(false, 2)
	for _, err := range violations {
		t.Error(err)
	}
	if losses < 300 {
		t.Errorf("only %d losses of power were simulated", losses)
	}
	t.Logf("%d losses of power", losses)
}

// TestMissingNameSyncIsDetected: without SyncNames, a journal's name becomes durable only with the next manifest.
func TestMissingNameSyncIsDetected(t *testing.T) {
	t.Parallel()
	if violations, losses := losePowerAtEachStep(true, 5); len(violations) == 0 {
		t.Errorf("not detected with %d losses of power", losses)
	}
}

// TestRefusedWritesLoseNothing: writes fail for a while, from any step, since the disk is full or broken. The store recovers
// with the next successful write, and holds all writes after a final loss of power.
func TestRefusedWritesLoseNothing(t *testing.T) {
	t.Parallel()
	for _, err := range refuseWritesAtEachStep(7) {
		t.Error(err)
	}
}
