package discovery

import (
	"errors"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/limits"
)

// TestDrainIsAcknowledgedByOthers checks that a draining endpoint gets its reply after other nodes have acknowledged its record, and an
// error if they do not acknowledge it in time.
func TestDrainIsAcknowledgedByOthers(t *testing.T) {
	const node, k = 5, 1
	f := newFleet(12)
	f.heartbeat(node, k, 1, endpoints.StateReady)
	f.isLost = func(from, to int) bool { return from == node || to == node }
	if reply, ok := f.heartbeat(node, k, 2, endpoints.StateDraining); ok {
		t.Fatalf("reply before any acknowledgement: %+v", reply)
	}
	f.advance(time.Second)
	if reply, ok := f.replies[f.lastRequest]; !ok || !errors.Is(reply.Err, ErrNotAcknowledged) {
		t.Errorf("reply without acknowledgements: %+v %v", reply, ok)
	}
	f.heal()
	if reply, ok := f.heartbeat(node, k, 3, endpoints.StateDraining); !ok || reply.Err != nil {
		t.Errorf("reply with acknowledgements: %+v %v", reply, ok)
	}
	others := 0
	for i, n := range f.nodes {
		if e := n.Endpoints.Find(endpointID(k)); i != node && e != nil && e.State == endpoints.StateDraining {
			others++
		}
	}
	if others < limits.DrainAckPeers {
		t.Errorf("%d other nodes know that the endpoint is draining, want at least %d", others, limits.DrainAckPeers)
	}
}
