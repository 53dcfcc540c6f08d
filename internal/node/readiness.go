package node

import (
	"io"
	"net/http"
	"time"

	"notchhinge/internal/limits"
)

// serveReadiness says whether clients are wanted here.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if why := n.notReadyReason(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// notReadyReason says why a router is not ready; "" = it is.
func (n *Node) notReadyReason() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.dataPlane == nil:
		return "no traffic here"
	case n.dataPlane.routes.Load() == nil:
		return "no configuration yet"
	case !n.quorumConfirmed.Load() && !n.replicaAnswered.Load() && time.Since(n.startedAt) < limits.ReadyWithoutReplicaAfter:
		return "no keeper has said yet which configuration is the newest"
	case !n.quorumConfirmed.Load() && time.Since(n.startedAt) < limits.ReadyWithoutQuorumAfter:
		return "no keeper that reaches a majority has said yet which configuration is the newest"
	case n.currentIndex.Load() < n.newestIndex.Load():
		return "a newer configuration is on its way"
	case !n.dataPlane.hasEndpoints():
		return "no engine is known yet"
	}
	return ""
}
