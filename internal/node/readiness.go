package node

import (
	"io"
	"net/http"
	"time"

	"notchhinge/internal/limits"
)

// readiness says whether clients are wanted here.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if why := n.unready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// unready says why a router is not ready; "" = it is.
func (n *Node) unready() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.data == nil:
		return "no traffic here"
	case n.data.at.Load() == nil:
		return "no configuration yet"
	case !n.asked.Load() && !n.answered.Load() && time.Since(n.began) < limits.ReadyWithoutReplicaAfter:
		return "no keeper has said yet which configuration is the newest"
	case !n.asked.Load() && time.Since(n.began) < limits.ReadyWithoutQuorumAfter:
		return "no keeper that reaches a majority has said yet which configuration is the newest"
	case n.place.Load() < n.wanted.Load():
		return "a newer configuration is on its way"
	case !n.data.known():
		return "no engine is known yet"
	}
	return ""
}
