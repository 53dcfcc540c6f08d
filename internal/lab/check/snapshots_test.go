package check

import (
	"testing"
	"time"
)

// TestBackAfterHundredsOfChanges: a member that was away for a thousand changes, with its disk, without it, or another machine
// in its place, is back while changes go on, and neither it nor the others use more of their disks than is said.
func TestBackAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		of     stormOf
		n      uint64
		within time.Duration
	}{
		"a thousand small": {small(), 1000, 500 * time.Millisecond},
		"full size":        {large(), 12, time.Second},
	} {
		w := away(c.of, c.n, 1)
		if w.wrong != "" || w.took > c.within {
			t.Errorf("%s: back in %v, %v at the most are wanted; %s", name, w.took, c.within, w.wrong)
		}
		for i, m := range w.keepers {
			held, peak := m.disk.usage()
			if t.Logf("%s: member %d: at most %d bytes on its disk, %d now", name, i, peak, held); peak > 32<<20 {
				t.Errorf("%s: the disk of %d has had %d bytes on it", name, i, peak)
			}
		}
		t.Logf("%s: back in %v, %d states asked for, a change in %v at the most", name, w.took, w.asks, w.slowest)
	}
}

// TestTakenInWhileChangesGoOn: how long that takes is no matter of luck.
func TestTakenInWhileChangesGoOn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		of := scaled()
		of.members = 3 + int(seed%2)*2
		if w := away(of, 3, seed); w.wrong != "" || w.took > time.Second {
			t.Errorf("seed %d: back in %v; %s", seed, w.took, w.wrong)
		}
	}
}

// TestSlowMemberIsNotLeftBehind: what has waited for longer than its caller waits is not taken, and a state is asked for once.
func TestSlowMemberIsNotLeftBehind(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		if w := slowed(scaled(), seed); w.wrong != "" {
			t.Errorf("seed %d: %s", seed, w.wrong)
		}
	}
}

func TestKilledAsItCatchesUp(t *testing.T) {
	t.Parallel()
	all := 0
	for seed := range uint64(4) {
		w, points := torn(small(), 1, seed)
		if w.wrong != "" {
			t.Errorf("seed %d, point %d: %s", seed, points, w.wrong)
		}
		all += points
	}
	if all < 40 {
		t.Errorf("only %d points", all)
	}
	t.Logf("power lost at %d steps", all)
}

func TestFullAsItCatchesUp(t *testing.T) {
	t.Parallel()
	w, points := refusing(small(), 1, 1)
	if w.wrong != "" || points < 10 {
		t.Errorf("%d points: %s", points, w.wrong)
	}
	t.Logf("refused from %d steps on", points)
}

func TestOldAndTornStatesAreNotTaken(t *testing.T) {
	t.Parallel()
	if w := stale(small(), 20, 1); w.wrong != "" {
		t.Error(w.wrong)
	}
}

func TestBrokenCatchingUpIsFound(t *testing.T) {
	t.Parallel()
	for _, rule := range []string{breaksBatch, breaksOrder, breaksReads, breaksStep, breaksPatience} {
		if found, _ := snapshotsBroken(rule, 4); found == "" {
			t.Errorf("%s: not found", rule)
		} else {
			t.Logf("%s: %.150s", rule, found)
		}
	}
}
