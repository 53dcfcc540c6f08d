package gossip

import (
	"fmt"
	"testing"
	"time"

	"notchhinge/internal/limits"
)

func TestUrgentBroadcastReachesAllNodes(t *testing.T) {
	for _, size := range []int{2, 14, 60, 200} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			const id BroadcastID = 1
			f := newFleet(size, 7)
			f.loss = 0.05
			f.advance(6 * time.Second)
			f.reduce(size-1, UrgentBroadcast{ID: id, Items: []Item{{Kind: 1, Key: "k", Version: 3, Body: []byte("b")}}, MinAcks: 2})
			f.advance(limits.GossipSpreadTime)
			if n := f.holders("k", 3); n < size*97/100 {
				t.Errorf("%d of %d nodes hold the item after GossipSpreadTime", n, size)
			}
			if f.acks[id] < min(2, size-1) {
				t.Errorf("only %d acknowledgements", f.acks[id])
			}
			f.advance(8 * time.Second)
			if n := f.holders("k", 3); n != size {
				t.Errorf("%d nodes lack the item after anti-entropy", size-n)
			}
		})
	}
}

func TestAntiEntropyClosesGapsAfterIsolation(t *testing.T) {
	const isolated = 9
	f := newFleet(14, 3)
	f.advance(5 * time.Second)
	f.isolated[isolated] = true
	for i := range 40 {
		f.reduce(i%9, Broadcast{Items: []Item{{Kind: 1, Key: fmt.Sprint("k", i), Version: 1, Body: make([]byte, 100)}}})
	}
	f.advance(5 * time.Second)
	f.reduce(isolated, Broadcast{Items: []Item{testItem("own", 1)}})
	if n := f.nodes[isolated].ItemCount(); n != 1 {
		t.Fatalf("the isolated node holds %d items, want only its own", n)
	}
	f.isolated[isolated] = false
	f.advance(10 * time.Second)
	for i, n := range f.nodes {
		if n.ItemCount() != 41 {
			t.Errorf("node %d holds %d of 41 items", i, n.ItemCount())
		}
	}
}

// TestOneWayFaultDoesNotDelayOthers checks that a node with a one-way link fault does not disturb the other nodes.
func TestOneWayFaultDoesNotDelayOthers(t *testing.T) {
	for name, blockedNodes := range oneWayFaults {
		t.Run(name, func(t *testing.T) {
			f := newFleet(14, 3)
			f.advance(5 * time.Second)
			blockedNodes(f)[9] = true
			for i := range 20 {
				f.reduce(i%9, UrgentBroadcast{ID: BroadcastID(i), Items: []Item{testItem(fmt.Sprint("k", i), 1)}, MinAcks: 2})
				f.advance(300 * time.Millisecond)
			}
			f.reduce(9, Broadcast{Items: []Item{testItem("own", 1)}})
			f.advance(2 * time.Second)
			for i := range 20 {
				if n := f.holders(fmt.Sprint("k", i), 1); n < 13 {
					t.Errorf("%d of the 13 other nodes hold item %d", n, i)
				}
				if f.acks[BroadcastID(i)] < 2 {
					t.Errorf("item %d has %d acknowledgements, want at least 2", i, f.acks[BroadcastID(i)])
				}
			}
			clear(blockedNodes(f))
			f.advance(10 * time.Second)
			for i, n := range f.nodes {
				if n.ItemCount() != 21 {
					t.Errorf("node %d holds %d of 21 items after the end of the fault", i, n.ItemCount())
				}
			}
		})
	}
}

func TestOlderVersionDoesNotReplaceNewer(t *testing.T) {
	f := newFleet(5, 1)
	f.advance(3 * time.Second)
	f.reduce(0, Broadcast{Items: []Item{{Kind: 1, Key: "k", Version: 5, Body: []byte("new")}}})
	f.advance(3 * time.Second)
	f.reduce(4, Broadcast{Items: []Item{{Kind: 1, Key: "k", Version: 4, Body: []byte("old")}}})
	f.advance(3 * time.Second)
	if n := f.holders("k", 5); n != 5 {
		t.Errorf("%d of 5 nodes hold the newest version", n)
	}
}
