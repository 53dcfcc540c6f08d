package node

import (
	"net/http"
	"testing"
)

// TestOperatorRemovesAFailedMember: a replica that is gone for good is removed by name, by way of a router. Repeating the call
// is harmless at any process. The operator cannot remove a voter that the fault tolerance needs.
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
		waitUntil(t, "a definite answer", func() bool {
			code, b := controlCall(t, at.control, controlRequest{method: http.MethodDelete, path: "/fleet/members/" + name})
			if code != want && code != http.StatusServiceUnavailable && code != 0 { // 0: redirected to the one that has just stopped
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

	// A further replica is a learner while three voters run. A voter that shuts down hands its vote over to it, so that a
	// second one may stop at once.
	learner := f.addReplica(9)
	learner.restart()
	waitUntil(t, "a learner", isOfThree(learner, false))
	f.replicas[2].stop()
	waitUntil(t, "its vote", isOfThree(learner, true)) // a quorum knows of it when the other has stopped; the learner may hear a moment later
	f.replicas[1].stop()
	if code := replaceConfig(t, f.routers[0].control, 2, encodedConfig(5, "k")); code != http.StatusOK {
		t.Errorf("the next configuration: %d", code)
	}
}

// isOfThree tells whether a replica knows of three voters, and is one of them or is not.
func isOfThree(m *testNode, hasVote bool) func() bool {
	return func() bool {
		s := m.status()
		return s.Voters == 3 && s.HasVote == hasVote
	}
}
