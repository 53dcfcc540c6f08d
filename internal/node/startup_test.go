package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/limits"
)

// TestRouterIsNotReadyBeforeAQuorumConfirms: a router starts while it can reach only a lagging replica without a quorum. It is
// not ready with that replica's old configuration until limits.ReadyWithoutQuorumAfter. It gets the newest configuration once
// there is a quorum.
func TestRouterIsNotReadyBeforeAQuorumConfirms(t *testing.T) {
	f := newTestFleet(t, 11, fleetSize{})
	router, lagging := f.addRouter(3), f.replicas[2]
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k2")); code != http.StatusOK {
		t.Fatal(code)
	}
	waitUntil(t, "revision 2 at the third replica", func() bool { return lagging.hasConfig(encodedConfig(2, "k2")) })
	lagging.stop()
	if code := replaceConfig(t, f.replicas[0].control, 2, encodedConfig(5, "k5")); code != http.StatusOK {
		t.Fatal(code)
	}
	f.replicas[0].stop()
	f.replicas[1].stop()
	lagging.restart()
	router.start()
	began := time.Now()
	ready := ""
	waitUntil(t, "the router has the lagging replica's configuration", func() bool {
		s := router.status()
		ready = s.Ready
		return s.Revision == 2 && ready != reasonNoReplica
	})
	if ready != reasonNoQuorum && time.Since(began) < limits.ReadyWithoutQuorumAfter/2 {
		t.Errorf("the router does not wait for a quorum: %q", ready)
	}
	waitUntil(t, "the router stops waiting for a quorum", func() bool { return strings.Contains(router.status().Ready, "engine") })
	f.replicas[0].restart()
	waitUntil(t, "the router has the newest configuration", func() bool { return router.status().Revision == 5 })
}
