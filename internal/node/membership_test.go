package node

import (
	"bytes"
	"fmt"
	"testing"
)

func TestOperatorRemovesAFailedMember(t *testing.T) {
	// One of four keepers is gone for good: it is taken out by name, by way of a router that holds no state. The same order
	// again is done, wherever it comes to. Those that the losses to be borne want stay, whoever asks.
	f := newTestFleetOf(t, 4, 1, 4)
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k")); code != 200 {
		t.Fatal(code)
	}
	members := func(m *testNode, votes bool) func() bool {
		return func() bool {
			_, b := controlCall(t, "GET", m.control, "/fleet/status", nil, nil)
			return bytes.Contains(b, fmt.Appendf(nil, `"votes":%v,"members":3`, votes))
		}
	}
	fourth := f.replicas[3]
	fourth.stop()
	f.replicas = f.replicas[:3]
	remove := func(at *testNode, name string, want int) {
		t.Helper()
		waitUntil(t, "a clear answer", func() bool {
			code, b := controlCall(t, "DELETE", at.control, "/fleet/members/"+name, nil, nil)
			if code != want && code != 503 && code != 0 { // 0: sent on to the one that has just ended
				t.Fatalf("%s: %d %s, not %d", name, code, b, want)
			}
			return code == want
		})
	}
	remove(f.routers[0], "nobody", 404)
	remove(f.routers[0], fourth.cfg["node_name"].(string), 200)
	for _, m := range append(f.replicas, f.routers...) {
		remove(m, fourth.cfg["node_name"].(string), 200)
	}
	waitUntil(t, "three members", members(f.replicas[0], true))
	remove(f.routers[0], "n1", 409)

	// A further keeper has no vote while three live. One that ends hands its own over, so that a second may go at once.
	standby := f.newNode(9, true)
	standby.cfg["bootstrap"] = false
	standby.start()
	waitUntil(t, "a standby", members(standby, false))
	f.replicas[2].stop()
	waitUntil(t, "its vote", members(standby, true)) // a majority has it when the other has ended; the standby may be told a moment later
	f.replicas[1].stop()
	if code := replaceConfig(t, f.routers[0].control, 2, encodedConfig(5, "k")); code != 200 {
		t.Errorf("the next configuration: %d", code)
	}
}
