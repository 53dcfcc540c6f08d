package node

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/storage"
)

func TestStateOutlivesLosses(t *testing.T) {
	f := newTestFleet(t, 1, 1)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k2")); code != 200 {
		t.Fatal(code)
	}
	described := func(m *machine) []byte {
		code, b := call(t, "GET", m.ctl, "/Configuration.Describe", nil, nil)
		if code != 200 {
			return nil
		}
		return b
	}
	// One keeper is away: two settle it. It comes back and has it.
	f.keepers[2].end()
	if code := put(t, f.keepers[0].ctl, 2, config(5, "k5")); code != 200 {
		t.Fatal(code)
	}
	f.keepers[2].again(false)
	until(t, "who was away has it", func() bool { return bytes.Equal(described(f.keepers[2]), config(5, "k5")) })
	// One loses its disk: it is taken in again, and then another may lose its own.
	for i, revision := range []int{7, 9, 12} {
		f.keepers[i].end()
		f.keepers[i].again(true)
		until(t, "it is taken in again", func() bool {
			_, b := call(t, "GET", f.keepers[i].ctl, "/fleet/status", nil, nil)
			return bytes.Contains(b, []byte(`"votes":true`))
		})
		on := []int{5, 7, 9}[i]
		if code := put(t, f.edges[0].ctl, on, config(revision, "k")); code != 200 {
			t.Fatalf("after disk %d was lost: %d", i, code)
		}
	}
	// All are stopped at once; what was acknowledged is there.
	for _, m := range f.keepers {
		m.end()
	}
	until(t, "a router says that no keeper answers", func() bool {
		code, _ := call(t, "POST", f.edges[0].ctl, "/Configuration.Replace", map[string]string{"X-Revision-Match": "12"}, config(20, "k"))
		return code == 503
	})
	for _, m := range f.keepers {
		m.again(false)
	}
	until(t, "the newest configuration", func() bool { return bytes.Equal(described(f.edges[0]), config(12, "k")) })
}

func TestWhoHasLostItsDiskHasNoVote(t *testing.T) {
	// Two of three are gone and one comes back without its disk: the two that are there must not settle anything.
	f := newTestFleet(t, 1, 2)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k")); code != 200 {
		t.Fatal(code)
	}
	f.keepers[1].end()
	f.keepers[2].end()
	f.keepers[2].again(true)
	until(t, "the newcomer has caught up", func() bool {
		_, b := call(t, "GET", f.keepers[2].ctl, "/fleet/status", nil, nil)
		return bytes.Contains(b, []byte(`"votes":false`)) && !bytes.Contains(b, []byte(`"chain":0,`))
	})
	for range 3 {
		if code, _ := call(t, "POST", f.keepers[0].ctl, "/Configuration.Replace", map[string]string{"X-Revision-Match": "2"}, config(3, "k")); code != 503 {
			t.Fatalf("one of three members has settled a configuration: %d", code)
		}
	}
	f.keepers[1].again(false) // now there is a majority, and the newcomer is taken in
	if code := put(t, f.keepers[0].ctl, 2, config(3, "k")); code != 200 {
		t.Error(code)
	}
}

func TestMajorityOfDisksLost(t *testing.T) {
	// The one disk that is left is backed up, and a core is founded anew from it; the others come back empty and are taken in.
	f := newTestFleet(t, 1, 3)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k")); code != 200 {
		t.Fatal(code)
	}
	for _, m := range f.keepers {
		m.end()
	}
	first := f.keepers[0]
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
	f.keepers[1].again(true)
	f.keepers[2].again(true)
	for _, m := range f.keepers {
		until(t, "three members", func() bool {
			_, b := call(t, "GET", m.ctl, "/fleet/status", nil, nil)
			return bytes.Contains(b, []byte(`"votes":true,"members":3`))
		})
	}
	if code := put(t, f.edges[0].ctl, 2, config(5, "k")); code != 200 {
		t.Errorf("the next configuration: %d", code)
	}
}
