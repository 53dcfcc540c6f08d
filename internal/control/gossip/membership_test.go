package gossip

import (
	"fmt"
	"testing"
	"time"
)

func TestViewsFillAndReplicasAreKnown(t *testing.T) {
	f := newFleet(40, 11)
	f.advance(20 * time.Second)
	for i, n := range f.nodes {
		if len(n.view) < 4 || len(n.view) > viewSize {
			t.Errorf("the view of node %d has %d peers", i, len(n.view))
		}
		want := testReplicas
		if i < testReplicas {
			want-- // a replica does not list itself
		}
		if got := len(n.Replicas()); got != want {
			t.Errorf("node %d knows %d replicas, want %d", i, got, want)
		}
	}
}

// TestJoinWithUnreachableOrStaleSeeds checks that a node joins through the one reachable seed of three, and that a node without a
// reachable seed joins once a seed is reachable.
func TestJoinWithUnreachableOrStaleSeeds(t *testing.T) {
	f := newFleet(14, 8)
	f.advance(5 * time.Second)
	f.reduce(4, Broadcast{Items: []Item{testItem("k", 1)}})
	f.isolated[0] = true
	f.restart(9, 0, 500, 2)
	newcomer := f.addNode(0, 500, 501)
	f.advance(6 * time.Second)
	if n := f.nodes[9]; !n.holds("k") || len(n.view) < 4 {
		t.Errorf("with one reachable seed of three: %d items, %d peers", n.ItemCount(), len(n.view))
	}
	if n := f.nodes[newcomer]; len(n.view) > 0 {
		t.Errorf("without a reachable seed: %d peers, want none", len(n.view))
	}
	delete(f.isolated, 0)
	f.advance(6 * time.Second)
	if n := f.nodes[newcomer]; !n.holds("k") || len(n.view) < 4 {
		t.Errorf("after the isolation of a seed has ended: %d items, %d peers", n.ItemCount(), len(n.view))
	}
}

// TestZoneRejoinsAfterRestart restarts all processes of a zone at once, among them a replica that is a seed. They recover the items
// that they have lost, and their new items reach the other nodes.
func TestZoneRejoinsAfterRestart(t *testing.T) {
	f := newFleet(42, 4)
	f.advance(6 * time.Second)
	for i := range 30 {
		f.reduce(i, Broadcast{Items: []Item{testItem(fmt.Sprint("k", i), 2)}})
	}
	f.advance(3 * time.Second)
	for i := 1; i < 42; i += 3 {
		f.restart(i, 0, 1, 2)
	}
	f.advance(10 * time.Second)
	for i, n := range f.nodes {
		if n.ItemCount() != 30 || len(n.view) < 4 || len(n.Replicas()) < 2 {
			t.Errorf("node %d holds %d of 30 items and knows %d peers, %d replicas", i, n.ItemCount(), len(n.view), len(n.Replicas()))
		}
	}
	f.reduce(7, Broadcast{Items: []Item{testItem("k7", 3)}}) // a restarted node
	f.advance(1200 * time.Millisecond)
	if n := f.holders("k7", 3); n < 40 {
		t.Errorf("%d of 42 nodes hold an item of a restarted node, want at least 40", n)
	}
}

// TestPartitionsMerge partitions a fleet for longer than replicaExpiry, so that the view of each node has only peers of its own half.
// The halves must merge within a minute after the partition.
func TestPartitionsMerge(t *testing.T) {
	f := newFleet(90, 9)
	f.advance(5 * time.Second)
	f.isPartitioned = func(i, k int) bool { return i%2 != k%2 }
	f.advance(replicaExpiry + 20*time.Second)
	f.reduce(1, Broadcast{Items: []Item{testItem("k", 1)}})
	f.advance(5 * time.Second)
	if n := f.holders("k", 1); n != 45 || len(f.nodes[0].Replicas()) != 1 {
		t.Fatalf("during the partition %d nodes hold the item, want 45, and replica 0 knows %d other replicas, want 1", n, len(f.nodes[0].Replicas()))
	}
	f.isPartitioned = nil
	f.advance(time.Minute)
	if n := f.holders("k", 1); n != 90 {
		t.Errorf("%d of 90 nodes hold the item a minute after the end of the partition", n)
	}
}

// TestReplicaFindsOthersAfterPartition partitions a replica and two routers from the other replicas, and ends the partition for the
// replica only. It must find the other replicas through its seeds within two seconds, although its view has peers.
func TestReplicaFindsOthersAfterPartition(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(5, seed)
		f.isPartitioned = func(i, k int) bool { return (i < 2) != (k < 2) }
		for i := range f.nodes { // restart all nodes, so that none remembers addresses of the other side
			f.nodes[i] = New(f.nodes[i].self, seed)
		}
		for i := range f.nodes {
			last := 3
			if i < 2 {
				last = 0
			}
			f.reduce(i, SeedsChanged{testAddrs(0, 1, last)})
		}
		f.advance(3 * time.Second)
		n := f.nodes[2]
		if len(n.Replicas()) != 0 || len(n.Peers()) < 2 {
			t.Fatalf("seed %d: during the partition the replica knows %d replicas, want 0, and %d peers, want 2 or more", seed, len(n.Replicas()), len(n.Peers()))
		}
		f.isPartitioned = func(i, k int) bool { return min(i, k) < 2 && max(i, k) > 2 }
		f.advance(2 * time.Second)
		if len(n.Replicas()) != 2 {
			t.Errorf("seed %d: two seconds after the end of the partition the replica knows %d replicas, want 2", seed, len(n.Replicas()))
		}
	}
}

// TestPacketsDoNotProveResponsiveness checks that a replica with a failed call stays unresponsive until it answers a call, even if its
// packets arrive.
func TestPacketsDoNotProveResponsiveness(t *testing.T) {
	f := newFleet(6, 5)
	f.advance(4 * time.Second)
	n := f.nodes[5]
	if got := len(n.ResponsiveReplicas()); got != testReplicas {
		t.Fatalf("%d responsive replicas before any call, want all", got)
	}
	for _, answered := range []bool{false, true} {
		for _, r := range n.Replicas() {
			f.reduce(5, CallCompleted{PeerID: r.ID, Answered: answered})
		}
		f.advance(2 * time.Second)
		want := 0
		if answered {
			want = testReplicas
		}
		if got := len(n.ResponsiveReplicas()); got != want {
			t.Errorf("calls answered %v: %d responsive replicas, want %d", answered, got, want)
		}
	}
}

// TestResponsiveReplicasComeFirst checks that the outcome of calls orders the replicas in a large fleet, where packets of a replica are rare.
func TestResponsiveReplicasComeFirst(t *testing.T) {
	f := newFleet(60, 5)
	f.advance(4 * time.Second)
	n := f.nodes[30]
	if len(n.Replicas()) != testReplicas {
		t.Fatalf("%d replicas are known, want all", len(n.Replicas()))
	}
	first := n.Replicas()[0].ID
	f.reduce(30, CallCompleted{PeerID: first, Answered: false})
	if all := n.ResponsiveReplicas(); len(all) != 2 || n.Replicas()[2].ID != first {
		t.Errorf("after a failed call: responsive replicas are %v, the last replica is %v", all, n.Replicas()[2].ID)
	}
	f.reduce(30, CallCompleted{PeerID: first, Answered: true})
	if n.Replicas()[0].ID != first {
		t.Error("a replica that has answered again is not the first")
	}
	for _, r := range n.Replicas() {
		f.reduce(30, CallCompleted{PeerID: r.ID, Answered: false})
	}
	if len(n.ResponsiveReplicas()) != 0 || len(n.Replicas()) != testReplicas {
		t.Error("after failed calls to all replicas: want no responsive replica, and all still listed")
	}
}
