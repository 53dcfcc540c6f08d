package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/limits"
)

// TestRouterIsNotReadyBeforeAQuorumConfirms: a router starts and reaches only a replica that is partitioned and lags. It is not
// ready with what that replica has for as long as a quorum may be found; then it serves with it, and it gets the newest
// configuration once there is a quorum.
func TestRouterIsNotReadyBeforeAQuorumConfirms(t *testing.T) {
	f := newTestFleet(t, 11, fleetSize{})
	router, lagging := f.addRouter(3), f.replicas[2]
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k2")); code != http.StatusOK {
		t.Fatal(code)
	}
	waitUntil(t, "all have it", func() bool { return lagging.hasConfig(encodedConfig(2, "k2")) })
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
	waitUntil(t, "it has what the lagging replica has", func() bool {
		s := router.status()
		ready = s.Ready
		return s.Revision == 2 && ready != reasonNoReplica
	})
	if ready != reasonNoQuorum && time.Since(began) < limits.ReadyWithoutQuorumAfter/2 {
		t.Errorf("it is ready with an old configuration: %q", ready)
	}
	waitUntil(t, "it goes on without a quorum", func() bool { return strings.Contains(router.status().Ready, "engine") })
	f.replicas[0].restart()
	waitUntil(t, "it has the newest", func() bool { return router.status().Revision == 5 })
}
