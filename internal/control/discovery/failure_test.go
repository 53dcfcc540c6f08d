package discovery

import (
	"errors"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
)

// TestReplicasDetectFailuresForAll checks that all nodes receive a suspicion after the heartbeats of an endpoint have stopped, and its
// refutation after another heartbeat.
func TestReplicasDetectFailuresForAll(t *testing.T) {
	f := newFleet(30)
	for k := range 4 {
		reply, ok := f.heartbeat(20+k, k, 1, endpoints.StateReady)
		if !ok || reply.Err != nil || reply.HomeReplica != testAddr(k%3) {
			t.Fatalf("endpoint %d: reply %+v, want home replica %d, which is in its zone", k, reply, k%3)
		}
	}
	for callCount := uint64(2); callCount < 8; callCount++ { // endpoint 3 has stopped
		f.advance(heartbeatInterval)
		for k := range 3 {
			f.heartbeat(k, k, callCount, endpoints.StateReady)
		}
	}
	f.advance(time.Second)
	if f.liveAt(0) != 30 || f.liveAt(3) != 0 {
		t.Errorf("endpoint 0 is live at %d of 30 nodes, want all; endpoint 3 at %d, want none", f.liveAt(0), f.liveAt(3))
	}
	f.heartbeat(25, 3, 2, endpoints.StateReady)
	f.advance(time.Second)
	if f.liveAt(3) != 30 {
		t.Errorf("endpoint 3 is live at %d of 30 nodes after another heartbeat", f.liveAt(3))
	}
}

// TestIsolatedReplicaNeitherDetectsNorReplies checks that a replica without quorum contact rejects heartbeats and suspects no endpoint.
// It lacks the heartbeats that other processes receive, and its items reach no other node.
func TestIsolatedReplicaNeitherDetectsNorReplies(t *testing.T) {
	f := newFleet(12)
	for k := range 3 {
		f.heartbeat(k, k, 1, endpoints.StateReady)
	}
	for name, isLost := range map[string]func(from, to int) bool{
		"both ways": func(from, to int) bool { return (from == 0) != (to == 0) && from < testReplicas && to < testReplicas },
		"one way":   func(from, to int) bool { return from == 0 && to < testReplicas },
	} {
		t.Run(name, func(t *testing.T) {
			f.isLost = isLost
			callCount := f.nodes[1].Endpoints.Find("i-1").LatestCallCount
			rejected := 0
			for range 8 {
				f.advance(heartbeatInterval)
				callCount++
				for k := range 3 {
					if reply, ok := f.heartbeat(k, k, callCount, endpoints.StateReady); !ok || errors.Is(reply.Err, ErrNoQuorumContact) {
						rejected++
						f.heartbeat(5+k, k, callCount, endpoints.StateReady) // the endpoint retries at another process
					}
				}
			}
			if rejected < 5 || rejected > 8 {
				t.Errorf("%d heartbeats were rejected, want 5 to 8", rejected)
			}
			for k := range 3 {
				if n := f.liveAt(k); n != 12 {
					t.Errorf("endpoint %d is live at %d of 12 nodes", k, n)
				}
			}
			f.heal()
			f.advance(6 * time.Second)
			for k := range 3 {
				f.heartbeat(k, k, callCount+1, endpoints.StateReady)
			}
		})
	}
}

// TestGoneEndpointsAreForgotten checks that the records and items of gone endpoints are removed from all nodes, and that no node sends
// them to another one again.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	f := newFleet(12)
	for k := range 40 {
		f.heartbeat(k%12, k, 1, endpoints.StateReady)
	}
	f.heartbeat(1, 40, 1, endpoints.StateReady)
	for k := range 40 {
		if reply, ok := f.deregister((k+3)%12, k); !ok || reply.Err != nil {
			t.Fatalf("%+v %v", reply, ok)
		}
	}
	f.advance(time.Second)
	for k := range 40 {
		if n := f.liveAt(k); n > 0 {
			t.Errorf("endpoint %d has deregistered but is live at %d of 12 nodes", k, n)
		}
	}
	for range 50 {
		f.advance(heartbeatInterval)
		f.heartbeat(1, 40, uint64(f.now.Milliseconds()), endpoints.StateReady)
	}
	for i, n := range f.nodes {
		if n.Endpoints.Len() != 1 || n.Gossip.ItemCount() > 2 {
			t.Errorf("node %d has %d endpoints, want 1, and %d items, want at most 2", i, n.Endpoints.Len(), n.Gossip.ItemCount())
		}
	}
}

func TestAllNodesLearnOfIdleDrops(t *testing.T) {
	f := newFleet(30)
	f.reduce(9, IdleDropObserved{})
	f.reduce(9, IdleDropObserved{}) // too soon to be announced again
	f.advance(time.Second)
	for i, n := range f.idleDrops {
		if n != 1 && i != 9 {
			t.Errorf("node %d has %d reports, want 1", i, n)
		}
	}
}

// TestMalformedSuspicionIsIgnored checks suspicions with keys that are too short or unknown.
func TestMalformedSuspicionIsIgnored(t *testing.T) {
	for _, key := range []string{"", "q", "q/", "q/unknown"} {
		f := newFleet(2)
		f.heartbeat(0, 1, 1, endpoints.StateReady)
		f.nodes[1].handleItem(gossip.ItemLearned{Item: gossip.Item{Kind: itemSuspicion, Key: key, Version: 99}})
		if n := f.liveAt(1); n != 2 {
			t.Errorf("key %q: the endpoint is live at %d of 2 nodes, want both", key, n)
		}
	}
}
