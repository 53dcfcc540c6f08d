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
			want-- // not itself
		}
		if got := len(n.Replicas()); got != want {
			t.Errorf("node %d knows %d replicas, want %d", i, got, want)
		}
	}
}

// TestJoinWithUnreachableOrStaleSeeds: of the seeds one is isolated, one is an address without a process, and one is there. A
// node none of whose seeds is there joins as soon as one is.
func TestJoinWithUnreachableOrStaleSeeds(t *testing.T) {
	f := newFleet(14, 8)
	f.advance(5 * time.Second)
	f.reduce(4, Broadcast{Items: []Item{testItem("k", 1)}})
	f.isolated[0] = true
	f.restart(9, 0, 500, 2)
	newcomer := f.add(0, 500, 501)
	f.advance(6 * time.Second)
	if n := f.nodes[9]; !n.holds("k") || len(n.view) < 4 {
		t.Errorf("with one of three seeds: %d items, %d peers", n.ItemCount(), len(n.view))
	}
	if n := f.nodes[newcomer]; len(n.view) > 0 {
		t.Errorf("without a seed: %d peers", len(n.view))
	}
	delete(f.isolated, 0)
	f.advance(6 * time.Second)
	if n := f.nodes[newcomer]; !n.holds("k") || len(n.view) < 4 {
		t.Errorf("once a seed is back: %d items, %d peers", n.ItemCount(), len(n.view))
	}
}

// TestZoneRejoinsAfterRestart: all processes of a zone restart at once, a replica and seed among them. They get the items that
// they have lost, and others get theirs.
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
	f.reduce(7, Broadcast{Items: []Item{testItem("k7", 3)}}) // a node of that zone
	f.advance(1200 * time.Millisecond)
	if n := f.holders("k7", 3); n < 40 {
		t.Errorf("%d of 42 nodes hold an item of a node that has restarted", n)
	}
}

// TestPartitionsMerge: two halves, with a replica and a seed in each, are partitioned for longer than a replica is remembered,
// so that all views are full of peers of one half. They are one fleet again within a minute.
func TestPartitionsMerge(t *testing.T) {
	f := newFleet(90, 9)
	f.advance(5 * time.Second)
	f.isPartitioned = func(i, k int) bool { return i%2 != k%2 }
	f.advance(replicaExpiry + 20*time.Second)
	f.reduce(1, Broadcast{Items: []Item{testItem("k", 1)}})
	f.advance(5 * time.Second)
	if n := f.holders("k", 1); n != 45 || len(f.nodes[0].Replicas()) != 1 {
		t.Fatalf("%d nodes hold the item, and replica 0 knows %d others", n, len(f.nodes[0].Replicas()))
	}
	f.isPartitioned = nil
	f.advance(time.Minute)
	if n := f.holders("k", 1); n != 90 {
		t.Errorf("%d of 90 nodes hold the item a minute after the partition", n)
	}
}

// TestReplicaFindsOthersAfterPartition: a replica and two routers restart behind a partition, which ends for the replica alone. It
// finds the other replicas within two seconds, though its view is not empty and none of its peers knows them.
func TestReplicaFindsOthersAfterPartition(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(5, seed)
		f.isPartitioned = func(i, k int) bool { return (i < 2) != (k < 2) }
		for i := range f.nodes { // all restart, so that no node remembers the others
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
			t.Fatalf("seed %d: it knows %d replicas and %d peers", seed, len(n.Replicas()), len(n.Peers()))
		}
		f.isPartitioned = func(i, k int) bool { return min(i, k) < 2 && max(i, k) > 2 }
		f.advance(2 * time.Second)
		if len(n.Replicas()) != 2 {
			t.Errorf("seed %d: two seconds after the partition it knows %d replicas", seed, len(n.Replicas()))
		}
	}
}

// TestPacketsDoNotProveResponsiveness: a replica that does not answer calls counts as unresponsive, though packets from it arrive,
// until it answers a call.
func TestPacketsDoNotProveResponsiveness(t *testing.T) {
	f := newFleet(6, 5)
	f.advance(4 * time.Second)
	n := f.nodes[5]
	if got := len(n.ResponsiveReplicas()); got != testReplicas {
		t.Fatalf("%d responsive replicas at first", got)
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

// TestResponsiveReplicasComeFirst: in a large fleet packets of a replica come seldom, and the outcome of calls counts too.
func TestResponsiveReplicasComeFirst(t *testing.T) {
	f := newFleet(60, 5)
	f.advance(4 * time.Second)
	n := f.nodes[30]
	if len(n.Replicas()) != testReplicas {
		t.Fatalf("%d replicas are known", len(n.Replicas()))
	}
	first := n.Replicas()[0].ID
	f.reduce(30, CallCompleted{PeerID: first, Answered: false})
	if all := n.ResponsiveReplicas(); len(all) != 2 || n.Replicas()[2].ID != first {
		t.Errorf("after a failed call: responsive are %v, the last replica is %v", all, n.Replicas()[2].ID)
	}
	f.reduce(30, CallCompleted{PeerID: first, Answered: true})
	if n.Replicas()[0].ID != first {
		t.Error("a replica that answers again does not come first")
	}
	for _, r := range n.Replicas() {
		f.reduce(30, CallCompleted{PeerID: r.ID, Answered: false})
	}
	if len(n.ResponsiveReplicas()) != 0 || len(n.Replicas()) != testReplicas {
		t.Error("without a responsive replica this node must still know all, to try them")
	}
}
