package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pair is two nodes that know each other and hold items which no broadcast has brought.
func pair(seed uint64) *fleet {
	f := newFleet(2, seed)
	f.advance(2 * time.Second)
	return f
}

// converge lets time pass until both nodes hold the same, and returns how long that took.
func (f *fleet) converge(t interface{ Fatalf(string, ...any) }, within time.Duration) time.Duration {
	began := f.now
	for f.nodes[0].items.rootDigest(true) != f.nodes[1].items.rootDigest(true) {
		if f.advance(100 * time.Millisecond); f.now-began > within {
			t.Fatalf("after %v one node holds %d items and the other %d, which differ", within, f.nodes[0].ItemCount(), f.nodes[1].ItemCount())
		}
	}
	return f.now - began
}

// difference is how an item differs between two nodes.
type difference int

const (
	differsNot difference = iota
	differsMissingFirst
	differsMissingSecond
	differsOlderFirst
	differsOlderSecond
	differsBody
	differences
)

// place puts an item that differs so at both nodes.
func (f *fleet) place(key string, d difference) {
	item := Item{Kind: 1, Key: key, Version: 1000, Body: []byte("the record of an engine, as long as most of them are, with its address and zone")}
	first, second := item, item
	switch d {
	case differsOlderFirst:
		first.Version--
	case differsOlderSecond:
		second.Version--
	case differsBody:
		second.Body = []byte("another body of the same version")
	}
	if d != differsMissingFirst {
		f.nodes[0].items.merge(first)
	}
	if d != differsMissingSecond {
		f.nodes[1].items.merge(second)
	}
}

// TestAnyDifferenceConverges: two nodes come to hold the same, whatever differs between them, and no datagram is longer than it
// may be (the fleet sees to that).
func TestAnyDifferenceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := pair(rapid.Uint64().Draw(t, "seed"))
		common := rapid.SampledFrom([]int{0, 40, 2500}).Draw(t, "common items")
		for i := range common {
			f.place(fmt.Sprint("e/common-", i), differsNot)
		}
		for i := range rapid.IntRange(1, 300).Draw(t, "items that may differ") {
			f.place(fmt.Sprint("e/engine-", i), difference(rapid.IntRange(0, int(differences)-1).Draw(t, "difference")))
		}
		f.loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
		f.converge(t, 20*time.Second)
	})
}

// TestTwentyThousandItemsConverge: the same with as many items as endpoints are bounded to.
func TestTwentyThousandItemsConverge(t *testing.T) {
	const count = 20_000
	for name, of := range map[string]func(i int) difference{
		"one node has nothing": func(int) difference { return differsMissingFirst },
		"each has one half":    func(i int) difference { return differsMissingFirst + difference(i%2) },
		"one item is older":    func(i int) difference { return map[bool]difference{i == 777: differsOlderFirst}[true] },
		"one body differs":     func(i int) difference { return map[bool]difference{i == 777: differsBody}[true] },
		"each differs somehow": func(i int) difference { return difference(i % int(differences)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := pair(3)
			for i := range count {
				f.place(fmt.Sprint("e/i-", i), of(i))
			}
			took := f.converge(t, 30*time.Second)
			if t.Logf("%v, %d packets", took, f.packets); f.nodes[0].ItemCount() != count {
				t.Errorf("%d items", f.nodes[0].ItemCount())
			}
		})
	}
}

// TestEarlierReleaseConverges: with a node of the previous release items still converge, but for bodies of one version, which that
// does not compare; and the two send nothing but root digests once they hold the same.
func TestEarlierReleaseConverges(t *testing.T) {
	for _, count := range []int{200, 6000} {
		f := pair(5)
		f.legacy = map[int]bool{1: true}
		f.nodes[1].self.Flags &^= FlagComparesContent
		f.advance(10 * time.Second) // until both know what the other is
		for i := range count {
			f.place(fmt.Sprint("e/i-", i), difference(i%int(differsBody)))
		}
		f.converge(t, 60*time.Second)
		f.advance(2 * time.Second)
		packets := f.packets
		if f.advance(10 * time.Second); f.packets-packets > 200 {
			t.Errorf("%d items: %d packets in 10 s after they have converged", count, f.packets-packets)
		}
	}
}

// TestLargeItemsAreNotStored: an item that no datagram holds is not stored, and does not spoil what is broadcast with it.
func TestLargeItemsAreNotStored(t *testing.T) {
	f := pair(7)
	large := Item{Kind: 1, Key: "large", Version: 1, Body: make([]byte, MaxItemBytes-len("large")+1)}
	largest := Item{Kind: 1, Key: "largest", Version: 1, Body: make([]byte, maxBodyBytes)}
	f.reduce(0, Broadcast{Items: []Item{large, largest, testItem("small", 1)}})
	f.reduce(0, UrgentBroadcast{ID: 1, Items: []Item{large}, MinAcks: 1})
	f.advance(5 * time.Second)
	if n := f.nodes[1]; n.holds("large") || !n.holds("largest") || !n.holds("small") || f.nodes[0].holds("large") {
		t.Errorf("the other node holds %d items", n.ItemCount())
	}
}

// TestHeartbeatPacketsAreBounded: heartbeats with large numbers take more packets, none of them too long.
func TestHeartbeatPacketsAreBounded(t *testing.T) {
	f := newFleet(testReplicas, 1)
	f.advance(3 * time.Second)
	for i := range uint64(200) {
		f.reduce(0, HeartbeatObserved{Heartbeat{Key: i, Sequence: 1<<63 + i, AgeMS: 1 << 40}})
	}
	f.advance(2 * time.Second)
	if n := len(f.heartbeats[1]); n != 200 {
		t.Errorf("%d heartbeats of 200 have come", n)
	}
}
