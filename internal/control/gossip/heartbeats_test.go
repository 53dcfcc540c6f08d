package gossip

import (
	"testing"
	"time"
)

func TestHeartbeatsReachReplicasOnly(t *testing.T) {
	f := newFleet(60, 5)
	f.advance(4 * time.Second)
	observers := []int{0, 2, 40}
	for _, i := range observers {
		f.reduce(i, HeartbeatObserved{Heartbeat{Key: uint64(77 + i), Sequence: 9}})
	}
	f.advance(time.Second)
	for i, learned := range f.heartbeats {
		for _, from := range observers {
			want := i < testReplicas && i != from
			if got := learned[uint64(77+from)] == 9; got != want {
				t.Errorf("node %d has learned the heartbeat that node %d observed: %v, want %v", i, from, got, want)
			}
		}
	}
}

// partitionReplicas separates the replicas 0 and 1; each of them still hears all others.
func partitionReplicas(i, k int) bool { return min(i, k) == 0 && max(i, k) == 1 }

// TestReplicaRelaysBetweenPartitionedReplicas: a heartbeat goes through the third replica, one round later, and nothing is relayed once
// the two hear each other again.
func TestReplicaRelaysBetweenPartitionedReplicas(t *testing.T) {
	f := newFleet(6, 5)
	f.isPartitioned = partitionReplicas
	f.advance(6 * time.Second)
	f.reduce(0, HeartbeatObserved{Heartbeat{Key: 77, Sequence: 9}})
	f.advance(3 * BroadcastInterval)
	if f.heartbeats[1][77] != 9 || f.heartbeats[2][77] != 9 || f.heartbeats[4][77] != 0 {
		t.Errorf("a heartbeat that replica 0 observed: %v", f.heartbeats)
	}
	f.isPartitioned = nil
	f.advance(4 * BroadcastInterval)
	for i, n := range f.nodes {
		if n.relayHeartbeat(RelayHeartbeat{Heartbeat: Heartbeat{Key: 78, Sequence: 1}, From: 1}); len(n.relayQueue) > 0 {
			t.Errorf("node %d relays a heartbeat that all replicas have: %v", i, n.relayQueue)
		}
	}
}

// TestRelayCoversDetectionDelay: what one of two replicas reports after they were partitioned, and before anybody has noticed, is
// relayed then.
func TestRelayCoversDetectionDelay(t *testing.T) {
	for wait := time.Duration(0); wait < quorumTimeout; wait += 200 * time.Millisecond {
		f := newFleet(6, 5)
		f.advance(6 * time.Second)
		f.isPartitioned = partitionReplicas
		f.advance(wait)
		f.reduce(0, HeartbeatObserved{Heartbeat{Key: 77, Sequence: 9}})
		f.advance(quorumTimeout + 4*BroadcastInterval)
		if f.heartbeats[1][77] != 9 {
			t.Errorf("a heartbeat observed %v after the partition has not arrived: %v", wait, f.heartbeats)
		}
	}
}
