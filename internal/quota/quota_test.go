package quota

import (
	"testing"

	"pgregory.net/rapid"
)

const testTotal = 100

// quotaModel is a reference model of a Quota of testTotal units and four holders.
type quotaModel struct {
	quota       *Quota
	reserved    map[int]int64
	claims      map[int]Claim
	isCommitted bool // claims and reserved units fit into the total
}

// TestQuotaKeepsGuarantees compares random reservations, releases and changes of claims with a reference model.
func TestQuotaKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &quotaModel{quota: New(testTotal), reserved: map[int]int64{}, claims: map[int]Claim{}, isCommitted: true}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := rapid.IntRange(0, 3).Draw(t, "holder")
			n := rapid.Int64Range(0, 40).Draw(t, "n")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				m.take(t, id, n)
			case 3, 4:
				m.quota.Release(id, n)
				m.reserved[id] -= min(n, m.reserved[id])
			case 5:
				m.changeClaim(t, id)
			}
			m.checkAgainstQuota(t)
		}
		m.releaseAll(t)
	})
}

func (m *quotaModel) take(t *rapid.T, id int, n int64) {
	t.Helper()
	isWithinGuarantee := m.reserved[id]+n <= m.claims[id].Guarantee
	ok := m.quota.Take(id, n)
	if ok {
		m.reserved[id] += n
	}
	if isWithinGuarantee && m.isCommitted && !ok {
		t.Fatalf("holder %d was refused %d units within its guarantee: reserved %v, claims %v", id, n, m.reserved, m.claims)
	}
	if ok && m.claims[id].Max > 0 && m.reserved[id] > m.claims[id].Max {
		t.Fatalf("holder %d has reserved %d units, more than its max", id, m.reserved[id])
	}
}

func (m *quotaModel) changeClaim(t *rapid.T, id int) {
	t.Helper()
	c := Claim{Guarantee: rapid.Int64Range(0, 25).Draw(t, "guarantee")}
	if rapid.Bool().Draw(t, "bounded") {
		c.Max = c.Guarantee + rapid.Int64Range(0, 60).Draw(t, "beyond")
	}
	if rapid.IntRange(0, 4).Draw(t, "end") == 0 {
		m.quota.EndClaim(id)
		c = Claim{}
	} else {
		m.quota.SetClaim(id, c)
	}
	m.claims[id] = c
	m.isCommitted = m.committed() <= testTotal
}

func (m *quotaModel) committed() (sum int64) {
	for i := range 4 {
		sum += max(m.reserved[i], m.claims[i].Guarantee)
	}
	return sum
}

// checkAgainstQuota compares the quota's reserved units with the model.
func (m *quotaModel) checkAgainstQuota(t *rapid.T) {
	t.Helper()
	var sum int64
	for i, n := range m.reserved {
		sum += n
		if m.quota.Reserved(i) != n {
			t.Fatalf("holder %d has reserved %d units by the quota, %d by the model", i, m.quota.Reserved(i), n)
		}
	}
	if sum > testTotal {
		t.Fatalf("%d of %d units are reserved", sum, testTotal)
	}
	if !m.isCommitted {
		m.isCommitted = m.committed() <= testTotal
	}
}

func (m *quotaModel) releaseAll(t *rapid.T) {
	t.Helper()
	for i := range 4 {
		m.quota.EndClaim(i)
		m.quota.Release(i, m.reserved[i])
	}
	if q := m.quota; len(q.holders) != 0 || q.committed != 0 || q.reserved != 0 {
		t.Fatalf("left over: %d holders, %d committed units, %d reserved units", len(q.holders), q.committed, q.reserved)
	}
}

func TestSingleHolderIsAPlainCounter(t *testing.T) {
	q := New(3)
	q.SetClaim(0, Claim{Guarantee: 3})
	for range 3 {
		if !q.Take(0, 1) {
			t.Fatal("a unit below the total was refused")
		}
	}
	if q.Take(0, 1) {
		t.Error("a unit beyond the total was granted")
	}
	q.Release(0, 1)
	if !q.Take(0, 1) {
		t.Error("a released unit cannot be taken again")
	}
}

func TestCheckRejectsClaimsThatCannotBeKept(t *testing.T) {
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

// TestFlowsShareTurnsByWeight floods one flow. The entries of another flow must not wait behind it, and both are served by weight.
func TestFlowsShareTurnsByWeight(t *testing.T) {
	q := NewFairQueue[int]()
	q.SetWeight(1, 3)
	q.SetWeight(2, 1)
	for range 1000 {
		q.Push(1, 1)
	}
	for range 500 {
		q.Pop()
	}
	q.Push(2, 2) // behind 500 entries of the other flow
	for n := 0; ; n++ {
		if x, _ := q.Pop(); x == 2 {
			if n > 1 {
				t.Errorf("%d entries of the flooded flow were served first", n)
			}
			break
		}
	}
	for range 500 {
		q.Push(2, 2)
	}
	count := map[int]int{}
	for range 400 {
		x, _ := q.Pop()
		count[x]++
	}
	if count[1] < 298 || count[1] > 302 {
		t.Errorf("of 400 entries, %d came from the flow of weight 3 and %d from the flow of weight 1", count[1], count[2])
	}
}

// TestEndedFlowIsRemovedOnceEmpty checks a flow that has entries when it is ended, and one that gets an entry afterwards.
func TestEndedFlowIsRemovedOnceEmpty(t *testing.T) {
	q := NewFairQueue[int]()
	q.SetWeight(1, 2)
	q.Push(1, 7)
	q.EndFlow(1)
	if x, ok := q.Pop(); x != 7 || !ok || len(q.flows) != 0 {
		t.Errorf("%d, %v, %d flows", x, ok, len(q.flows))
	}
	q.Push(1, 8)
	if _, ok := q.PopIf(func(x int) bool { return x == 8 }); !ok || len(q.flows) != 0 {
		t.Errorf("%v, %d flows after a late entry", ok, len(q.flows))
	}
}

func TestFlowsKeepTheirOrderAndLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct{ flow, n int }
		q := NewFairQueue[entry]()
		last, pushed, popped := map[int]int{}, 0, 0
		take := func(e entry, ok bool) {
			if !ok {
				return
			}
			popped++
			if e.n <= last[e.flow] {
				t.Fatalf("flow %d: %d after %d", e.flow, e.n, last[e.flow])
			}
			last[e.flow] = e.n
		}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			id := rapid.IntRange(0, 3).Draw(t, "flow")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				pushed++
				q.Push(id, entry{id, pushed})
			case 2:
				take(q.Pop())
			case 3: // the first entry of a flow, whatever its turn
				take(q.PopIf(func(e entry) bool { return e.flow == id }))
			case 4:
				q.SetWeight(id, rapid.Float64Range(0, 4).Draw(t, "weight"))
				q.EndFlow(rapid.IntRange(0, 3).Draw(t, "ended"))
			}
			if q.Len() != pushed-popped {
				t.Fatalf("%d entries are queued; %d were pushed, %d popped", q.Len(), pushed, popped)
			}
		}
		for q.Len() > 0 {
			take(q.Pop())
		}
		if _, ok := q.Pop(); ok || pushed != popped {
			t.Fatalf("%d entries were pushed, %d popped", pushed, popped)
		}
		for id := range 4 {
			q.EndFlow(id)
		}
		if len(q.flows) != 0 {
			t.Fatalf("%d flows are left", len(q.flows))
		}
	})
}
