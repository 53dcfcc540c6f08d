package node

import (
	"bytes"
	"fmt"
	"testing"
)

func TestMemberThatIsGoneForGood(t *testing.T) {
	// One of four keepers is gone for good: it is taken out by name, by way of a router that holds no state. The same order
	// again is done, wherever it comes to. Those that the losses to be borne want stay, whoever asks.
	f := newTestFleetOf(t, 4, 1, 4)
	if code := put(t, f.keepers[0].ctl, 0, config(2, "k")); code != 200 {
		t.Fatal(code)
	}
	members := func(m *machine, votes bool) func() bool {
		return func() bool {
			_, b := call(t, "GET", m.ctl, "/fleet/status", nil, nil)
			return bytes.Contains(b, fmt.Appendf(nil, `"votes":%v,"members":3`, votes))
		}
	}
	fourth := f.keepers[3]
	fourth.end()
	f.keepers = f.keepers[:3]
	remove := func(at *machine, name string, want int) {
		t.Helper()
		until(t, "a clear answer", func() bool {
			code, b := call(t, "DELETE", at.ctl, "/fleet/members/"+name, nil, nil)
			if code != want && code != 503 && code != 0 { // 0: sent on to the one that has just ended
				t.Fatalf("%s: %d %s, not %d", name, code, b, want)
			}
			return code == want
		})
	}
	remove(f.edges[0], "nobody", 404)
	remove(f.edges[0], fourth.cfg["node_name"].(string), 200)
	for _, m := range append(f.keepers, f.edges...) {
		remove(m, fourth.cfg["node_name"].(string), 200)
	}
	until(t, "three members", members(f.keepers[0], true))
	remove(f.edges[0], "n1", 409)

	// A further keeper has no vote while three live. One that ends hands its own over, so that a second may go at once.
	standby := f.make(9, true)
	standby.cfg["bootstrap"] = false
	standby.start()
	until(t, "a standby", members(standby, false))
	f.keepers[2].end()
	until(t, "its vote", members(standby, true)) // a majority has it when the other has ended; the standby may be told a moment later
	f.keepers[1].end()
	if code := put(t, f.edges[0].ctl, 2, config(5, "k")); code != 200 {
		t.Errorf("the next configuration: %d", code)
	}
}
