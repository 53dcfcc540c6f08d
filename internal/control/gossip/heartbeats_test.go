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
				t.Errorf("node %d has learned the heartbeat of observer %d: %v, want %v", i, from, got, want)
			}
		}
	}
}

// partitionReplicas separates replicas 0 and 1 from each other only.
func partitionReplicas(i, k int) bool { return min(i, k) == 0 && max(i, k) == 1 }

// TestReplicaRelaysBetweenPartitionedReplicas checks that the third replica relays heartbeats between two partitioned ones, and stops
// after the end of the partition.
func TestReplicaRelaysBetweenPartitionedReplicas(t *testing.T) {
	f := newFleet(6, 5)
	f.isPartitioned = partitionReplicas
	f.advance(6 * time.Second)
	f.reduce(0, HeartbeatObserved{Heartbeat{Key: 77, Sequence: 9}})
	f.advance(3 * BroadcastInterval)
	if f.heartbeats[1][77] != 9 || f.heartbeats[2][77] != 9 || f.heartbeats[4][77] != 0 {
		t.Errorf("heartbeat of replica 0 has not reached replicas 1 and 2 only: %v", f.heartbeats)
	}
	f.isPartitioned = nil
	f.advance(4 * BroadcastInterval)
	for i, n := range f.nodes {
		if n.relayHeartbeat(RelayHeartbeat{Heartbeat: Heartbeat{Key: 78, Sequence: 1}, From: 1}); len(n.relayQueue) > 0 {
			t.Errorf("node %d relays a heartbeat after the end of the partition: %v", i, n.relayQueue)
		}
	}
}

// TestRelayCoversDetectionDelay checks that a heartbeat is relayed if it is reported after the start of a partition but before its
// detection.
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
