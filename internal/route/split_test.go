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
