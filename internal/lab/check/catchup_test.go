package check

import (
	"testing"
	"time"
)

// TestReplicaCatchesUpAfterManyChanges: a member that misses a thousand changes catches up while changes continue, with its
// disk, with an empty disk, or on a replacement machine. No disk ever holds more than 32 MiB.
func TestReplicaCatchesUpAfterManyChanges(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		config     catchUpConfig
		changes    uint64
		maxCatchUp time.Duration
	}{
		"a thousand small": {smallConfigs(), 1000, 500 * time.Millisecond},
		"full size":        {largeConfigs(), 12, time.Second},
	} {
		sim := catchUpAfterAbsence(c.config, c.changes, 1)
		if sim.violation != "" || sim.longestCatchUp > c.maxCatchUp {
			t.Errorf("%s: caught up in %v, want at most %v; %s", name, sim.longestCatchUp, c.maxCatchUp, sim.violation)
		}
		for i, m := range sim.replicas {
			used, peak := m.disk.usage()
			if t.Logf("%s: member %d: at most %d bytes on its disk, %d now", name, i, peak, used); peak > 32<<20 {
				t.Errorf("%s: the disk of member %d held %d bytes", name, i, peak)
			}
		}
		t.Logf("%s: caught up in %v, %d snapshot calls, slowest change %v", name, sim.longestCatchUp, sim.snapshotCalls, sim.slowestChange)
	}
}

// TestCatchUpIsFastWithEverySeed: the time to catch up while changes continue stays bounded with every seed.
func TestCatchUpIsFastWithEverySeed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		config := scaledConfigs()
		config.members = 3 + int(seed%2)*2
		if sim := catchUpAfterAbsence(config, 3, seed); sim.violation != "" || sim.longestCatchUp > time.Second {
			t.Errorf("seed %d: caught up in %v; %s", seed, sim.longestCatchUp, sim.violation)
		}
	}
}

// TestSlowReplicaKeepsUp: a replica drops calls that have waited beyond their timeout, and requests one snapshot at a time.
func TestSlowReplicaKeepsUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		if sim := slowDownReplica(scaledConfigs(), seed); sim.violation != "" {
			t.Errorf("seed %d: %s", seed, sim.violation)
		}
	}
}

func TestPowerLossDuringCatchUpIsSurvived(t *testing.T) {
	t.Parallel()
	all := 0
	for seed := range uint64(4) {
		sim, losses := losePowerDuringCatchUp(smallConfigs(), 1, seed)
		if sim.violation != "" {
			t.Errorf("seed %d, loss %d: %s", seed, losses, sim.violation)
		}
		all += losses
	}
	if all < 40 {
		t.Errorf("only %d power losses", all)
	}
	t.Logf("power lost at %d steps", all)
}

func TestFullDiskDuringCatchUpIsSurvived(t *testing.T) {
	t.Parallel()
	sim, starts := fillDiskDuringCatchUp(smallConfigs(), 1, 1)
	if sim.violation != "" || starts < 10 {
		t.Errorf("%d starts: %s", starts, sim.violation)
	}
	t.Logf("a full disk from %d steps on", starts)
}

func TestOldAndTruncatedSnapshotsAreRejected(t *testing.T) {
	t.Parallel()
	if sim := alterSnapshots(smallConfigs(), 20, 1); sim.violation != "" {
		t.Error(sim.violation)
	}
}

func TestBrokenCatchUpIsDetected(t *testing.T) {
	t.Parallel()
	for _, rule := range []string{brokenBatch, brokenOrder, brokenReads, brokenSnapshot, brokenTimeout} {
		if violation, _ := walkBrokenCatchUp(rule, 4); violation == "" {
			t.Errorf("%s: not detected", rule)
		} else {
			t.Logf("%s: %.150s", rule, violation)
		}
	}
}
