package policy

import "testing"

// TestLearned has a balancer learn from another: a known session goes where the other pinned it, a closed
// mark holds, and what the other knew of a replica that has restarted since is void.
func TestLearned(t *testing.T) {
	s := settings()
	hosts := []Replica{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}
	old, r := start(t, s, hosts)
	pinned := map[uint64]*replica{}
	for n := range uint64(40) {
		old.Arrive(t0, r, Request{ID: RequestID(n + 1), Session: n + 1, Class: 0, ExpiresIn: sec})
		pinned[n+1] = old.sessions.find(t0, n+1)
	}
	old.fleet.byID[1].closed.mark(t0)
	old.fleet.byID[2].closed.mark(t0)
	old.shed = 0.25

	hosts[1].ReadyAt = t0 - sec // another process by now
	next, _ := start(t, s, hosts)
	next.Learn(t0+ms, old.Learned())
	for n, to := range pinned {
		if got := next.sessions.find(t0+ms, n); got == nil || got.ID != to.ID {
			t.Errorf("session %d is pinned to %+v, and was to %d", n, got, to.ID)
		}
	}
	one, two := next.fleet.byID[1], next.fleet.byID[2]
	if one.until != old.fleet.byID[1].until || two.spell != 0 || next.shed != 0.25 {
		t.Errorf("marks: %+v %+v, shed %v", one.closed, two.closed, next.shed)
	}
	// What no sound balancer could have written does no harm.
	next.Learn(t0, &Learned{
		Pins: []LearnedPin{{1, 99, t0}}, Replicas: []LearnedReplica{{ID: 99}, {ID: 3, Spell: -1, Until: 1 << 60}},
		Shed: 7, Spill: -3, Retries: 1e9, Tenants: make([]float64, 99),
	})
	three := next.fleet.byID[3]
	if next.shed > shedMost || next.spill < 0 || next.retries > retryBurst || three.until > t0+closedMost {
		t.Errorf("shed %v, spill %v, retries %v, until %v", next.shed, next.spill, next.retries, three.until)
	}
}

func TestClassesOnlyGrow(t *testing.T) {
	s := settings()
	b, r := start(t, s, fleetOf(2))
	n := len(s.Classes)
	more := append(s.Classes[:n:n], Class{Name: "new", Deadline: sec, Aim: ms, Worth: 0.1})
	if err := b.SetClasses(more); err != nil {
		t.Fatal(err)
	}
	b.Arrive(t0, r, Request{ID: 1, Class: len(more) - 1, ExpiresIn: sec})
	if r.count("send") != 1 || b.leastWorth != 0.1 {
		t.Errorf("a request of the new class: %v, least worth %v", r.last(t), b.leastWorth)
	}
	other := append([]Class{{Name: "x", Deadline: sec}}, more[1:]...)
	for name, bad := range map[string][]Class{"fewer": more[:1], "another": other} {
		if b.SetClasses(bad) == nil {
			t.Errorf("%s are taken", name)
		}
	}
}
