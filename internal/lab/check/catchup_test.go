package check

import (
	"testing"
	"time"
)

// TestReplicaCatchesUpAfterManyChanges: a member that was away for a thousand changes, with its disk, without it, or another
// machine in its place, is back while changes go on, and no disk has more than 32 MiB on it at any time.
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
		w := catchUpAfterAbsence(c.config, c.changes, 1)
		if w.violation != "" || w.longestCatchUp > c.maxCatchUp {
			t.Errorf("%s: back in %v, want at most %v; %s", name, w.longestCatchUp, c.maxCatchUp, w.violation)
		}
		for i, m := range w.replicas {
			used, peak := m.disk.usage()
			if t.Logf("%s: member %d: at most %d bytes on its disk, %d now", name, i, peak, used); peak > 32<<20 {
				t.Errorf("%s: the disk of member %d had %d bytes on it", name, i, peak)
			}
		}
		t.Logf("%s: back in %v, %d calls for a snapshot, a change in %v at most", name, w.longestCatchUp, w.snapshotCalls, w.slowestChange)
	}
}

// TestCatchUpIsFastWithEverySeed: how long it takes while changes go on does not depend on chance.
func TestCatchUpIsFastWithEverySeed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		config := scaledConfigs()
		config.members = 3 + int(seed%2)*2
		if w := catchUpAfterAbsence(config, 3, seed); w.violation != "" || w.longestCatchUp > time.Second {
			t.Errorf("seed %d: back in %v; %s", seed, w.longestCatchUp, w.violation)
		}
	}
}

// TestSlowReplicaKeepsUp: a call that has waited beyond its time-out is not handled, and a snapshot is asked for once at a time.
func TestSlowReplicaKeepsUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		if w := slowDownReplica(scaledConfigs(), seed); w.violation != "" {
			t.Errorf("seed %d: %s", seed, w.violation)
		}
	}
}

func TestPowerLossDuringCatchUpIsSurvived(t *testing.T) {
	t.Parallel()
	all := 0
	for seed := range uint64(4) {
		w, losses := losePowerDuringCatchUp(smallConfigs(), 1, seed)
		if w.violation != "" {
			t.Errorf("seed %d, loss %d: %s", seed, losses, w.violation)
		}
		all += losses
	}
	if all < 40 {
		t.Errorf("only %d losses", all)
	}
	t.Logf("power lost at %d steps", all)
}

func TestFullDiskDuringCatchUpIsSurvived(t *testing.T) {
	t.Parallel()
	w, starts := fillDiskDuringCatchUp(smallConfigs(), 1, 1)
	if w.violation != "" || starts < 10 {
		t.Errorf("%d starts: %s", starts, w.violation)
	}
	t.Logf("a full disk from %d steps on", starts)
}

func TestOldAndTruncatedSnapshotsAreRejected(t *testing.T) {
	t.Parallel()
	if w := alterSnapshots(smallConfigs(), 20, 1); w.violation != "" {
		t.Error(w.violation)
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
