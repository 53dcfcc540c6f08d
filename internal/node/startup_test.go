package node

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/limits"
)

// TestRouterIsNotReadyBeforeAQuorumConfirms: a router that starts and knows only a keeper that is cut off and behind is not ready with what that
// has, for as long as a majority may be found; then it serves with it, and has the newest once a majority is there.
func TestRouterIsNotReadyBeforeAQuorumConfirms(t *testing.T) {
	f := newTestFleet(t, 0, 11)
	edge, behind := f.newNode(3, false), f.replicas[2]
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k2")); code != 200 {
		t.Fatal(code)
	}
	waitUntil(t, "all have it", func() bool {
		_, b := controlCall(t, "GET", behind.control, "/Configuration.Describe", nil, nil)
		return bytes.Equal(b, encodedConfig(2, "k2"))
	})
	behind.stop()
	if code := replaceConfig(t, f.replicas[0].control, 2, encodedConfig(5, "k5")); code != 200 {
		t.Fatal(code)
	}
	f.replicas[0].stop()
	f.replicas[1].stop()
	behind.again(false)
	edge.start()
	status := func() (ready string, revision int) {
		var s struct {
			Ready    string `json:"ready"`
			Revision int    `json:"revision"`
		}
		if _, b := controlCall(t, "GET", edge.control, "/fleet/status", nil, nil); len(b) > 0 {
			if err := json.Unmarshal(b, &s); err != nil {
				t.Fatal(err)
			}
		}
		return s.Ready, s.Revision
	}
	began := time.Now()
	ready := ""
	waitUntil(t, "it has what the keeper has that is cut off", func() bool {
		now, revision := status()
		ready = now
		return revision == 2 && ready != reasonNoReplica
	})
	if ready != reasonNoQuorum && time.Since(began) < limits.ReadyWithoutQuorumAfter/2 {
		t.Errorf("it is ready with an old configuration: %q", ready)
	}
	waitUntil(t, "it serves all the same where there is no majority", func() bool { ready, _ := status(); return strings.Contains(ready, "engine") })
	f.replicas[0].again(false)
	waitUntil(t, "it has the newest", func() bool { _, revision := status(); return revision == 5 })
}
