package share

import (
	"testing"

	"pgregory.net/rapid"
)

// TestStockKeepsGuarantees plays takes, gives and changes of claims against a plain account.
func TestStockKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 100
		s := New(total)
		held, claims := map[int]int64{}, map[int]Claim{}
		sum := func() (n int64) {
			for _, h := range held {
				n += h
			}
			return n
		}
		settled := true // no claim was changed under what is held
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := rapid.IntRange(0, 3).Draw(t, "holder")
			n := rapid.Int64Range(0, 40).Draw(t, "n")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				within := held[id]+n <= claims[id].Guarantee
				ok := s.Take(id, n)
				if ok {
					held[id] += n
				}
				if within && settled && !ok {
					t.Fatalf("holder %d was refused %d within its guarantee: held %v, claims %v", id, n, held, claims)
				}
				if ok && claims[id].Most > 0 && held[id] > claims[id].Most {
					t.Fatalf("holder %d has %d, more than its most", id, held[id])
				}
			case 3, 4:
				s.Give(id, n)
				held[id] -= min(n, held[id])
			case 5:
				c := Claim{Guarantee: rapid.Int64Range(0, 25).Draw(t, "guarantee")}
				if rapid.Bool().Draw(t, "bounded") {
					c.Most = c.Guarantee + rapid.Int64Range(0, 60).Draw(t, "beyond")
				}
				if rapid.IntRange(0, 4).Draw(t, "end") == 0 {
					s.End(id)
					c = Claim{}
				} else {
					s.Set(id, c)
				}
				claims[id] = c
				spoken := int64(0)
				for i := range 4 {
					spoken += max(held[i], claims[i].Guarantee)
				}
				settled = spoken <= total
			}
			if sum() > total {
				t.Fatalf("%d of %d are held", sum(), total)
			}
			for i, h := range held {
				if s.Held(i) != h {
					t.Fatalf("holder %d has %d by the stock, %d by the account", i, s.Held(i), h)
				}
			}
			if !settled {
				spoken := int64(0)
				for i := range 4 {
					spoken += max(held[i], claims[i].Guarantee)
				}
				settled = spoken <= total
			}
		}
		for i := range 4 {
			s.End(i)
			s.Give(i, held[i])
		}
		if len(s.holders) != 0 || s.spoken != 0 || s.held != 0 {
			t.Fatalf("left: %d holders, %d spoken for, %d held", len(s.holders), s.spoken, s.held)
		}
	})
}

func TestOneHolderOfAllIsAPlainCounter(t *testing.T) {
	s := New(3)
	s.Set(0, Claim{Guarantee: 3})
	for range 3 {
		if !s.Take(0, 1) {
			t.Fatal("refused below the total")
		}
	}
	if s.Take(0, 1) {
		t.Error("more than there is was taken")
	}
	s.Give(0, 1)
	if !s.Take(0, 1) {
		t.Error("what was given back cannot be taken")
	}
}

func TestCheckOfClaims(t *testing.T) {
	for _, c := range []struct {
		claims []Claim
		ok     bool
	}{
		{[]Claim{{60, 0}, {40, 50}}, true},
		{[]Claim{{60, 0}, {41, 0}}, false},
		{[]Claim{{10, 5}}, false},
		{[]Claim{{-1, 0}}, false},
	} {
		if err := Check(100, c.claims); (err == nil) != c.ok {
			t.Errorf("%v: %v", c.claims, err)
		}
	}
}

// TestLanesShareTurns floods one lane: the others' entries must not wait behind it, and turns go by weight.
func TestLanesShareTurns(t *testing.T) {
	l := NewLanes[int]()
	l.Weigh(1, 3)
	l.Weigh(2, 1)
	for range 1000 {
		l.Push(1, 1)
	}
	for range 500 {
		l.Pop()
	}
	l.Push(2, 2) // it comes to a queue of 500
	for n := 0; ; n++ {
		if x, _ := l.Pop(); x == 2 {
			if n > 1 {
				t.Errorf("%d turns went to the full lane first", n)
			}
			break
		}
	}
	for range 500 {
		l.Push(2, 2)
	}
	count := map[int]int{}
	for range 400 {
		x, _ := l.Pop()
		count[x]++
	}
	if count[1] < 298 || count[1] > 302 {
		t.Errorf("of 400 turns %d went to the lane of weight 3, %d to that of weight 1", count[1], count[2])
	}
}

// TestAnEndedLaneGoesWhenItIsEmpty: one that has entries at its end, or gets a late one, is not kept for ever.
func TestAnEndedLaneGoesWhenItIsEmpty(t *testing.T) {
	l := NewLanes[int]()
	l.Weigh(1, 2)
	l.Push(1, 7)
	l.End(1)
	if x, ok := l.Pop(); x != 7 || !ok || len(l.lanes) != 0 {
		t.Errorf("%d, %v, %d lanes", x, ok, len(l.lanes))
	}
	l.Push(1, 8)
	if _, ok := l.PopIf(func(x int) bool { return x == 8 }); !ok || len(l.lanes) != 0 {
		t.Errorf("%v, %d lanes after a late one", ok, len(l.lanes))
	}
}

func TestLanesKeepOrderAndLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct{ lane, n int }
		l := NewLanes[entry]()
		last, pushed, popped := map[int]int{}, 0, 0
		take := func(e entry, ok bool) {
			if !ok {
				return
			}
			popped++
			if e.n <= last[e.lane] {
				t.Fatalf("lane %d: %d after %d", e.lane, e.n, last[e.lane])
			}
			last[e.lane] = e.n
		}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			id := rapid.IntRange(0, 3).Draw(t, "lane")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				pushed++
				l.Push(id, entry{id, pushed})
			case 2:
				take(l.Pop())
			case 3: // the first of a lane, out of turn
				take(l.PopIf(func(e entry) bool { return e.lane == id }))
			case 4:
				l.Weigh(id, rapid.Float64Range(0, 4).Draw(t, "weight"))
				l.End(rapid.IntRange(0, 3).Draw(t, "ended"))
			}
			if l.Len() != pushed-popped {
				t.Fatalf("%d are queued; %d were pushed, %d popped", l.Len(), pushed, popped)
			}
		}
		for l.Len() > 0 {
			take(l.Pop())
		}
		if _, ok := l.Pop(); ok || pushed != popped {
			t.Fatalf("pushed %d, popped %d", pushed, popped)
		}
		for id := range 4 {
			l.End(id)
		}
		if len(l.lanes) != 0 {
			t.Fatalf("%d lanes are left", len(l.lanes))
		}
	})
}
