package check

import "testing"

func TestPowerLossAtAnyStepLosesNothing(t *testing.T) {
	t.Parallel()
	faults, losses := losePowerAtEachStep(false, 2)
	for _, err := range faults {
		t.Error(err)
	}
	if losses < 300 {
		t.Errorf("only %d losses", losses)
	}
	t.Logf("%d losses", losses)
}

// TestMissingNameSyncIsDetected: without SyncNames a journal's name becomes durable with the next manifest only.
func TestMissingNameSyncIsDetected(t *testing.T) {
	t.Parallel()
	if faults, losses := losePowerAtEachStep(true, 5); len(faults) == 0 {
		t.Errorf("not detected with %d losses", losses)
	}
}

// TestRefusedWritesLoseNothing: the disk is full, or fails, for a while from any step on. The store goes on as soon as the
// disk takes writes again, and holds everything in the end, after a loss of power as well.
func TestRefusedWritesLoseNothing(t *testing.T) {
	t.Parallel()
	for _, err := range refuseWritesAtEachStep(7) {
		t.Error(err)
	}
}
