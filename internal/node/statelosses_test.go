package node

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
)

// TestStateSurvivesLostReplicasAndDisks: an acknowledged configuration survives while one replica is down, after each replica
// has lost its disk in turn, and after all replicas were down at the same time.
func TestStateSurvivesLostReplicasAndDisks(t *testing.T) {
	f := newTestFleet(t, 1, fleetSize{routers: 1})
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k2")); code != http.StatusOK {
		t.Fatal(code)
	}
	// One replica is down: the other two are a quorum. It restarts and catches up.
	f.replicas[2].stop()
	if code := replaceConfig(t, f.replicas[0].control, 2, encodedConfig(5, "k5")); code != http.StatusOK {
		t.Fatal(code)
	}
	f.replicas[2].restart()
	waitUntil(t, "revision 5 at the restarted replica", func() bool { return f.replicas[2].hasConfig(encodedConfig(5, "k5")) })
	// A replica that has lost its disk becomes a voter again before the next one loses its disk.
	base := 5
	for i, revision := range []int{7, 9, 12} {
		f.replicas[i].stop()
		f.replicas[i].restartEmpty()
		waitUntil(t, "the replica has a vote again", func() bool { return f.replicas[i].status().HasVote })
		if code := replaceConfig(t, f.routers[0].control, base, encodedConfig(revision, "k")); code != http.StatusOK {
			t.Fatalf("configuration after the loss of disk %d: status %d", i, code)
		}
		base = revision
	}
	// All replicas are down at the same time.
	for _, m := range f.replicas {
		m.stop()
	}
	waitUntil(t, "the router reports that no replica answers", func() bool {
		return tryReplaceConfig(t, f.routers[0].control, 12, encodedConfig(20, "k")) == http.StatusServiceUnavailable
	})
	for _, m := range f.replicas {
		m.restart()
	}
	waitUntil(t, "the newest configuration", func() bool { return f.routers[0].hasConfig(encodedConfig(12, "k")) })
}

// TestReplicaWithoutItsDiskHasNoVote: two of three voters are down, and one of them restarts with an empty disk. It does not
// form a quorum with the third, because it may have accepted values that it no longer has.
func TestReplicaWithoutItsDiskHasNoVote(t *testing.T) {
	f := newTestFleet(t, 2, fleetSize{routers: 1})
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k")); code != http.StatusOK {
		t.Fatal(code)
	}
	f.replicas[1].stop()
	f.replicas[2].stop()
	f.replicas[2].restartEmpty()
	waitUntil(t, "the replica with an empty disk has caught up", func() bool {
		s := f.replicas[2].status()
		return !s.HasVote && s.NextIndex > 0
	})
	for range 3 {
		if code := tryReplaceConfig(t, f.replicas[0].control, 2, encodedConfig(3, "k")); code != http.StatusServiceUnavailable {
			t.Fatalf("configuration without a quorum: status %d, want 503", code)
		}
	}
	f.replicas[1].restart() // forms a quorum, which admits the replica with the empty disk as a voter again
	if code := replaceConfig(t, f.replicas[0].control, 2, encodedConfig(3, "k")); code != http.StatusOK {
		t.Error(code)
	}
}

// TestRestoreFromTheOnlyDiskLeft: the state on the only remaining disk is backed up and restored with one member. The other
// replicas start with empty disks and become voters.
func TestRestoreFromTheOnlyDiskLeft(t *testing.T) {
	f := newTestFleet(t, 3, fleetSize{routers: 1})
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k")); code != http.StatusOK {
		t.Fatal(code)
	}
	for _, m := range f.replicas {
		m.stop()
	}
	first := f.replicas[0]
	restoreAlone(t, first)
	first.restart()
	f.replicas[1].restartEmpty()
	f.replicas[2].restartEmpty()
	for _, m := range f.replicas {
		waitUntil(t, "three voters", isOfThree(m, true))
	}
	if code := replaceConfig(t, f.routers[0].control, 2, encodedConfig(5, "k")); code != http.StatusOK {
		t.Errorf("next configuration: status %d", code)
	}
}

// restoreAlone reads the disk of a stopped replica, wipes it, and restores the state with this replica as the only member.
func restoreAlone(t *testing.T, m *testNode) {
	t.Helper()
	s, recovered, err := storage.Open(m.dataDir(), storage.Identity{ID: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(m.dataDir()); err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("%s:%d", m.settings.IP, m.settings.InternalPort)
	if err := storage.RestoreBackup(m.dataDir(), &recovered.State, replog.Member{ID: 77, Name: m.name(), Addr: addr}); err != nil {
		t.Fatal(err)
	}
}
