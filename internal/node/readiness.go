package node

import (
	"io"
	"net/http"
	"time"

	"notchhinge/internal/limits"
)

// Reasons for a router not to be ready that apply for a limited time after the start only (limits.ReadyWithoutReplicaAfter,
// limits.ReadyWithoutQuorumAfter).
const (
	reasonNoReplica = "no replica has reported the newest configuration yet"
	reasonNoQuorum  = "no replica with a quorum has confirmed the newest configuration yet"
)

// serveReadiness answers the health checks of the platform's load balancer: 200, or 503 with the reason.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n") // the load balancer repeats a health check that failed
}

// notReadyReason returns why the process should receive no new connections; "" = it is ready. A router that is partitioned
// from the replicas could serve under an old configuration, so it waits until a replica with a quorum has confirmed the
// newest one. The wait is bounded, so that routers also start while no quorum is available.
func (n *Node) notReadyReason() string {
	age := time.Since(n.startedAt)
	switch {
	case n.stopping.Load():
		return "shutting down"
	case n.dataPlane == nil:
		return "no frontend here"
	case n.dataPlane.routes.Load() == nil:
		return "no configuration yet"
	case !n.configs.quorumConfirmed.Load() && !n.configs.replicaAnswered.Load() && age < limits.ReadyWithoutReplicaAfter:
		return reasonNoReplica
	case !n.configs.quorumConfirmed.Load() && age < limits.ReadyWithoutQuorumAfter:
		return reasonNoQuorum
	case n.configs.isBehind():
		return "a newer configuration is being fetched"
	case !n.dataPlane.hasEndpoints():
		return "no engine is known yet"
	}
	return ""
}
