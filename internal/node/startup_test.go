package node

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/limits"
)

// TestStartBehindACut: a router that starts and knows only a keeper that is cut off and behind is not ready with what that
// has, for as long as a majority may be found; then it serves with it, and has the newest once a majority is there.
func TestStartBehindACut(t *testing.T) {
	f := newTestFleet(t, 0, 11)
	edge, behind := f.make(3, false), f.keepers[2]
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k2")); code != 200 {
		t.Fatal(code)
	}
	until(t, "all have it", func() bool {
		_, b := call(t, "GET", behind.ctl, "/Configuration.Describe", nil, nil)
		return bytes.Equal(b, config(2, "k2"))
	})
	behind.end()
	if code := put(t, f.keepers[0].ctl, 2, config(5, "k5")); code != 200 {
		t.Fatal(code)
	}
	f.keepers[0].end()
	f.keepers[1].end()
	behind.again(false)
	edge.start()
	status := func() (ready string, revision int) {
		var s struct {
			Ready    string `json:"ready"`
			Revision int    `json:"revision"`
		}
		if _, b := call(t, "GET", edge.ctl, "/fleet/status", nil, nil); len(b) > 0 {
			if err := json.Unmarshal(b, &s); err != nil {
				t.Fatal(err)
			}
		}
		return s.Ready, s.Revision
	}
	began := time.Now()
	ready := ""
	until(t, "it has what the keeper has that is cut off", func() bool {
		now, revision := status()
		ready = now
		return revision == 2 && ready != reasonNoReplica
	})
	if ready != reasonNoQuorum && time.Since(began) < limits.ReadyWithoutQuorumAfter/2 {
		t.Errorf("it is ready with an old configuration: %q", ready)
	}
	until(t, "it serves all the same where there is no majority", func() bool { ready, _ := status(); return strings.Contains(ready, "engine") })
	f.keepers[0].again(false)
	until(t, "it has the newest", func() bool { _, revision := status(); return revision == 5 })
}
