package node

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
)

func TestStateSurvivesLostReplicasAndDisks(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k2")); code != 200 {
		t.Fatal(code)
	}
	described := func(m *testNode) []byte {
		code, b := controlCall(t, "GET", m.control, "/Configuration.Describe", nil, nil)
		if code != 200 {
			return nil
		}
		return b
	}
	// One keeper is away: two settle it. It comes back and has it.
	f.replicas[2].stop()
	if code := replaceConfig(t, f.replicas[0].control, 2, encodedConfig(5, "k5")); code != 200 {
		t.Fatal(code)
	}
	f.replicas[2].again(false)
	waitUntil(t, "who was away has it", func() bool { return bytes.Equal(described(f.replicas[2]), encodedConfig(5, "k5")) })
	// One loses its disk: it is taken in again, and then another may lose its own.
	for i, revision := range []int{7, 9, 12} {
		f.replicas[i].stop()
		f.replicas[i].again(true)
		waitUntil(t, "it is taken in again", func() bool {
			_, b := controlCall(t, "GET", f.replicas[i].control, "/fleet/status", nil, nil)
			return bytes.Contains(b, []byte(`"votes":true`))
		})
		on := []int{5, 7, 9}[i]
		if code := replaceConfig(t, f.routers[0].control, on, encodedConfig(revision, "k")); code != 200 {
			t.Fatalf("after disk %d was lost: %d", i, code)
		}
	}
	// All are stopped at once; what was acknowledged is there.
	for _, m := range f.replicas {
		m.stop()
	}
	waitUntil(t, "a router says that no keeper answers", func() bool {
		code, _ := controlCall(t, "POST", f.routers[0].control, "/Configuration.Replace", map[string]string{"X-Revision-Match": "12"}, encodedConfig(20, "k"))
		return code == 503
	})
	for _, m := range f.replicas {
		m.again(false)
	}
	waitUntil(t, "the newest configuration", func() bool { return bytes.Equal(described(f.routers[0]), encodedConfig(12, "k")) })
}

func TestReplicaWithoutItsDiskHasNoVote(t *testing.T) {
	// Two of three are gone and one comes back without its disk: the two that are there must not settle anything.
	f := newTestFleet(t, 1, 2)
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k")); code != 200 {
		t.Fatal(code)
	}
	f.replicas[1].stop()
	f.replicas[2].stop()
	f.replicas[2].again(true)
	waitUntil(t, "the newcomer has caught up", func() bool {
		_, b := controlCall(t, "GET", f.replicas[2].control, "/fleet/status", nil, nil)
		return bytes.Contains(b, []byte(`"votes":false`)) && !bytes.Contains(b, []byte(`"chain":0,`))
	})
	for range 3 {
		if code, _ := controlCall(t, "POST", f.replicas[0].control, "/Configuration.Replace", map[string]string{"X-Revision-Match": "2"}, encodedConfig(3, "k")); code != 503 {
			t.Fatalf("one of three members has settled a configuration: %d", code)
		}
	}
	f.replicas[1].again(false) // now there is a majority, and the newcomer is taken in
	if code := replaceConfig(t, f.replicas[0].control, 2, encodedConfig(3, "k")); code != 200 {
		t.Error(code)
	}
}

func TestRestoreFromTheOnlyDiskLeft(t *testing.T) {
	// The one disk that is left is backed up, and a core is founded anew from it; the others come back empty and are taken in.
	f := newTestFleet(t, 1, 3)
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k")); code != 200 {
		t.Fatal(code)
	}
	for _, m := range f.replicas {
		m.stop()
	}
	first := f.replicas[0]
	s, kept, err := storage.Open(first.cfg["data_directory"].(string), storage.Identity{ID: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := os.RemoveAll(first.cfg["data_directory"].(string)); err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("%v:%d", first.cfg["ip_address"], first.cfg["internal_port_range"].([]int)[0])
	if err := storage.RestoreBackup(first.cfg["data_directory"].(string), &kept.State, replog.Member{ID: 77, Name: "n0", Addr: addr}); err != nil {
		t.Fatal(err)
	}
	first.again(false)
	f.replicas[1].again(true)
	f.replicas[2].again(true)
	for _, m := range f.replicas {
		waitUntil(t, "three members", func() bool {
			_, b := controlCall(t, "GET", m.control, "/fleet/status", nil, nil)
			return bytes.Contains(b, []byte(`"votes":true,"members":3`))
		})
	}
	if code := replaceConfig(t, f.routers[0].control, 2, encodedConfig(5, "k")); code != 200 {
		t.Errorf("the next configuration: %d", code)
	}
}
