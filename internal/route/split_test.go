package route

import (
	"math"
	"testing"
)

// TestWeightChangeMovesTheFewestConversations changes weights from 90/10 to 50/50, adds a third pool, and renames a pool.
func TestWeightChangeMovesTheFewestConversations(t *testing.T) {
	const n = 20000
	numbers := map[string]int{"a": 1, "b": 2, "c": 3, "new a": 1}
	assign := func(weights ...WeightedPool) (pools [n]int) {
		table, errs := New([]Service{{Name: "s", Pools: weights}}, nil, func(name string) (int, bool) { n, ok := numbers[name]; return n, ok })
		if len(errs) > 0 {
			t.Fatal(errs)
		}
		for i := range pools {
			pools[i] = table.Service("s").PoolFor(uint64(i) * 0x9e3779b97f4a7c15)
		}
		return pools
	}
	countMoved := func(x, y [n]int, from, to int) (m int) {
		for i := range x {
			if x[i] != y[i] {
				if x[i] != from && from != 0 || y[i] != to {
					t.Fatalf("a conversation moved from pool %d to pool %d", x[i], y[i])
				}
				m++
			}
		}
		return m
	}
	checkFraction := func(what string, got int, fraction float64) {
		t.Helper()
		if math.Abs(float64(got)/n-fraction) > 0.015 {
			t.Errorf("%s: %d of %d conversations moved, want a share of %v", what, got, n, fraction)
		}
	}
	uneven, even := assign(WeightedPool{Pool: "a", Weight: 90}, WeightedPool{Pool: "b", Weight: 10}), assign(WeightedPool{Pool: "a", Weight: 5}, WeightedPool{Pool: "b", Weight: 5})
	checkFraction("90/10 to 50/50", countMoved(uneven, even, 1, 2), 0.4)
	three := assign(WeightedPool{Pool: "a", Weight: 1}, WeightedPool{Pool: "b", Weight: 1}, WeightedPool{Pool: "c", Weight: 1})
	checkFraction("a third pool", countMoved(even, three, 0, 3), 1.0/3)
	if assign(WeightedPool{Pool: "new a", HashKey: "a", Weight: 5}, WeightedPool{Pool: "b", Weight: 5}) != even {
		t.Error("renaming a pool moved conversations")
	}
	if got := assign(WeightedPool{Pool: "a", Weight: 0}, WeightedPool{Pool: "b", Weight: 1}); countMoved(uneven, got, 1, 2) == 0 || got[0] != 2 {
		t.Error("a pool with weight 0 got conversations")
	}
}

// TestSplitOfAnyWeightsSelectsAPool guards against a request that ends the process: with very small weights no pool was selected.
func TestSplitOfAnyWeightsSelectsAPool(t *testing.T) {
	const sessions = 20000
	for _, c := range []struct {
		name          string
		weights       []float64
		shareOfSecond float64
	}{
		{"one pool", []float64{0, 5}, 1},
		{"even", []float64{1, 1}, 0.5},
		{"90 and 10", []float64{90, 10}, 0.1},
		{"very small", []float64{1e-310, 1e-310}, 0.5},
		{"very small and small", []float64{1e-310, 1}, 1},
		{"very large", []float64{1.5e308, 0.5e308}, 0.25},
		{"the smallest", []float64{math.SmallestNonzeroFloat64, 0}, 0},
	} {
		split := NewSplit([]WeightedPool{{Pool: "a", Weight: c.weights[0]}, {Pool: "b", Weight: c.weights[1]}})
		counts := map[int]int{}
		for i := range uint64(sessions) {
			counts[split.PoolFor(i*0x9e3779b97f4a7c15)]++
		}
		if counts[0]+counts[1] != sessions || math.Abs(float64(counts[1])/sessions-c.shareOfSecond) > 0.015 {
			t.Errorf("%s: sessions by pool %v, want a share of %v for the second", c.name, counts, c.shareOfSecond)
		}
	}
	if none := NewSplit(nil); none.PoolFor(1) != -1 {
		t.Error("an empty split selects a pool")
	}
}

// TestPoolNamedTwiceHasTheSumOfItsWeights: 50 and 50 for one pool and 100 for another are equal shares.
func TestPoolNamedTwiceHasTheSumOfItsWeights(t *testing.T) {
	const sessions = 20000
	split := NewSplit([]WeightedPool{{Pool: "a", Weight: 50}, {Pool: "b", Weight: 100}, {Pool: "a", Weight: 50}})
	counts := map[int]int{}
	for i := range uint64(sessions) {
		counts[split.PoolFor(i*0x9e3779b97f4a7c15)]++
	}
	if counts[0]+counts[1] != sessions || math.Abs(float64(counts[0])/sessions-0.5) > 0.015 {
		t.Errorf("sessions by index in the list: %v, want half of them each for 0 and 1", counts)
	}
}
