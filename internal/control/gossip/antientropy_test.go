package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newPair returns a fleet of two nodes that know each other. The tests put items into their stores without a broadcast.
func newPair(seed uint64) *fleet {
	f := newFleet(2, seed)
	f.advance(2 * time.Second)
	return f
}

// converge advances time until both nodes hold the same items, and returns the time it took.
func (f *fleet) converge(t interface{ Fatalf(string, ...any) }, within time.Duration) time.Duration {
	began := f.now
	for f.nodes[0].items.rootDigest(true) != f.nodes[1].items.rootDigest(true) {
		if f.advance(100 * time.Millisecond); f.now-began > within {
			t.Fatalf("stores still differ after %v: %d and %d items", within, f.nodes[0].ItemCount(), f.nodes[1].ItemCount())
		}
	}
	return f.now - began
}

// difference describes how an item differs between the two nodes.
type difference int

const (
	noDifference difference = iota
	missingAtFirst
	missingAtSecond
	olderAtFirst
	olderAtSecond
	bodyDiffers
	differenceCount
)

// placeItem stores an item with a difference at the two nodes.
func (f *fleet) placeItem(key string, d difference) {
	item := Item{Kind: 1, Key: key, Version: 1000, Body: []byte("the record of an engine, as long as most of them are, with its address and zone")}
	first, second := item, item
	switch d {
	case olderAtFirst:
		first.Version--
	case olderAtSecond:
		second.Version--
	case bodyDiffers:
		second.Body = []byte("another body of the same version")
	}
	if d != missingAtFirst {
		f.nodes[0].items.merge(first)
	}
	if d != missingAtSecond {
		f.nodes[1].items.merge(second)
	}
}

// TestAnyDifferenceConverges checks that anti-entropy repairs any mix of differences between two nodes. The fleet checks the length of
// datagrams.
func TestAnyDifferenceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newPair(rapid.Uint64().Draw(t, "seed"))
		common := rapid.SampledFrom([]int{0, 40, 2500}).Draw(t, "common items")
		for i := range common {
			f.placeItem(fmt.Sprint("e/common-", i), noDifference)
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "items that may differ") {
			f.placeItem(fmt.Sprint("e/engine-", i), difference(rapid.IntRange(0, int(differenceCount)-1).Draw(t, "difference")))
		}
		f.loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		f.converge(t, 20*time.Second)
	})
}

// TestTwentyThousandItemsConverge checks convergence at the maximum number of endpoints.
func TestTwentyThousandItemsConverge(t *testing.T) {
	const count = 20_000
	for name, differenceOf := range map[string]func(i int) difference{
		"one node has nothing": func(int) difference { return missingAtFirst },
		"each has one half":    func(i int) difference { return missingAtFirst + difference(i%2) },
		"one item is older":    func(i int) difference { return map[bool]difference{i == 777: olderAtFirst}[true] },
		"one body differs":     func(i int) difference { return map[bool]difference{i == 777: bodyDiffers}[true] },
		"each differs somehow": func(i int) difference { return difference(i % int(differenceCount)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newPair(3)
			for i := range count {
				f.placeItem(fmt.Sprint("e/i-", i), differenceOf(i))
			}
			took := f.converge(t, 30*time.Second)
			if t.Logf("%v, %d packets", took, f.packets); f.nodes[0].ItemCount() != count {
				t.Errorf("node 0 holds %d items", f.nodes[0].ItemCount())
			}
		})
	}
}

// TestConvergesWithPreviousRelease checks convergence with a node of the previous release, which does not compare bodies of equal
// versions, and that the two nodes send only root digests afterwards.
func TestConvergesWithPreviousRelease(t *testing.T) {
	for _, count := range []int{200, 6000} {
		f := newPair(5)
		f.legacy = map[int]bool{1: true}
		f.nodes[1].self.Flags &^= FlagComparesContent
		f.advance(10 * time.Second) // until both know the other's flags
		for i := range count {
			f.placeItem(fmt.Sprint("e/i-", i), difference(i%int(bodyDiffers)))
		}
		f.converge(t, 60*time.Second)
		f.advance(2 * time.Second)
		packets := f.packets
		if f.advance(10 * time.Second); f.packets-packets > 200 {
			t.Errorf("%d items: %d packets in the 10 s after convergence, want at most 200", count, f.packets-packets)
		}
	}
}

// TestLargeItemsAreNotStored checks that an item too large for a datagram is dropped, and that the items of the same broadcast are
// sent.
func TestLargeItemsAreNotStored(t *testing.T) {
	f := newPair(7)
	large := Item{Kind: 1, Key: "large", Version: 1, Body: make([]byte, MaxItemBytes-len("large")+1)}
	largest := Item{Kind: 1, Key: "largest", Version: 1, Body: make([]byte, maxBodyBytes)}
	f.reduce(0, Broadcast{Items: []Item{large, largest, testItem("small", 1)}})
	f.reduce(0, UrgentBroadcast{ID: 1, Items: []Item{large}, MinAcks: 1})
	f.advance(5 * time.Second)
	if n := f.nodes[1]; n.holds("large") || !n.holds("largest") || !n.holds("small") || f.nodes[0].holds("large") {
		t.Errorf("node 1 holds %d items; want the largest and the small one, and the large one at neither node", n.ItemCount())
	}
}

// TestHeartbeatPacketsAreBounded checks that heartbeats with long encodings are divided among packets. The fleet checks their length.
func TestHeartbeatPacketsAreBounded(t *testing.T) {
	f := newFleet(testReplicas, 1)
	f.advance(3 * time.Second)
	for i := range uint64(200) {
		f.reduce(0, HeartbeatObserved{Heartbeat{Key: i, Sequence: 1<<63 + i, AgeMS: 1 << 40}})
	}
	f.advance(2 * time.Second)
	if n := len(f.heartbeats[1]); n != 200 {
		t.Errorf("replica 1 has received %d of 200 heartbeats", n)
	}
}
