package node

import (
	"net/http"
	"testing"
)

// TestOperatorRemovesAFailedMember: an operator removes a permanently failed replica by name, through a router. The call is
// idempotent at every process. A voter that the fault tolerance requires cannot be removed.
func TestOperatorRemovesAFailedMember(t *testing.T) {
	f := newTestFleet(t, 4, fleetSize{replicas: 4, routers: 1})
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k")); code != http.StatusOK {
		t.Fatal(code)
	}
	failed := f.replicas[3]
	failed.stop()
	f.replicas = f.replicas[:3]
	remove := func(at *testNode, name string, want int) {
		t.Helper()
		waitUntil(t, "a final answer", func() bool {
			code, b := controlCall(t, at.control, controlRequest{method: http.MethodDelete, path: "/fleet/members/" + name})
			if code != want && code != http.StatusServiceUnavailable && code != 0 { // 0: redirected to the replica that has just stopped
				t.Fatalf("%s: %d %s, want %d", name, code, b, want)
			}
			return code == want
		})
	}
	remove(f.routers[0], "nobody", http.StatusNotFound)
	remove(f.routers[0], failed.name(), http.StatusOK)
	for _, m := range f.nodes() {
		remove(m, failed.name(), http.StatusOK)
	}
	waitUntil(t, "three voters", isOfThree(f.replicas[0], true))
	remove(f.routers[0], "n1", http.StatusConflict)

	// An additional replica is a learner while three voters run. A voter that shuts down hands over its vote to the learner,
	// so that a second voter can stop immediately afterwards.
	learner := f.addReplica(9)
	learner.restart()
	waitUntil(t, "a learner", isOfThree(learner, false))
	f.replicas[2].stop()
	// A quorum has committed the change when stop returns, but the learner may apply it a moment later.
	waitUntil(t, "its vote", isOfThree(learner, true))
	f.replicas[1].stop()
	if code := replaceConfig(t, f.routers[0].control, 2, encodedConfig(5, "k")); code != http.StatusOK {
		t.Errorf("next configuration: status %d", code)
	}
}

// isOfThree returns a condition that holds when the replica knows three voters, and is one of them exactly if hasVote is set.
func isOfThree(m *testNode, hasVote bool) func() bool {
	return func() bool {
		s := m.status()
		return s.Voters == 3 && s.HasVote == hasVote
	}
}
