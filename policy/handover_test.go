package policy

import (
	"slices"
	"testing"
)

// TestSnapshotIsRestored has a balancer learn from another: a known session goes to its replica, a closed
// ejection holds, and what the other knew of a replica that has restarted since is void.
func TestSnapshotIsRestored(t *testing.T) {
	s := settings()
	hosts := []Replica{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}
	old, r := start(t, s, hosts)
	assigned := map[uint64]*replica{}
	for n := range uint64(40) {
		old.RequestArrived(t0, r, Request{ID: RequestID(n + 1), Session: n + 1, Class: 0, Timeout: sec})
		assigned[n+1] = old.sessions.find(t0, n+1)
	}
	old.fleet.byID[1].ejection.extend(t0)
	old.fleet.byID[2].ejection.extend(t0)
	old.shedShare = 0.25

	hosts[1].ReadyAt = t0 - sec // another process by now
	next, _ := start(t, s, hosts)
	next.Restore(t0+ms, old.Snapshot())
	for n, to := range assigned {
		if got := next.sessions.find(t0+ms, n); got == nil || got.ID != to.ID {
			t.Errorf("session %d is assigned to %+v, and was to %d", n, got, to.ID)
		}
	}
	one, two := next.fleet.byID[1], next.fleet.byID[2]
	if one.until != old.fleet.byID[1].until || two.duration != 0 || next.shedShare != 0.25 {
		t.Errorf("ejections: %+v %+v, shed %v", one.ejection, two.ejection, next.shedShare)
	}
	// What no sound balancer could have written does no harm.
	next.Restore(t0, &Snapshot{
		Sessions:  []SnapshotSession{{1, 99, t0}},
		Replicas:  []SnapshotReplica{{ID: 99}, {ID: 3, EjectionDuration: -1, EjectedUntil: 1 << 60}},
		ShedShare: 7, SpillShare: -3, RetryBudget: 1e9, Tenants: make([]float64, 99),
	})
	three := next.fleet.byID[3]
	if next.shedShare > maxShedShare || next.spillShare < 0 || next.retryBudget > maxRetryBudget ||
		three.until > t0+maxEjection {
		t.Errorf("shed %v, spill %v, retries %v, until %v",
			next.shedShare, next.spillShare, next.retryBudget, three.until)
	}
}

func TestClassesOnlyGrow(t *testing.T) {
	s := settings()
	b, r := start(t, s, fleetOf(2))
	more := append(slices.Clip(s.Classes), Class{Name: "new", Deadline: sec, TargetLatency: ms, Value: 0.1})
	if err := b.SetClasses(more); err != nil {
		t.Fatal(err)
	}
	b.RequestArrived(t0, r, Request{ID: 1, Class: len(more) - 1, Timeout: sec})
	if r.count("send") != 1 || b.minValue != 0.1 {
		t.Errorf("a request of the new class: %v, lowest value %v", r.last(t), b.minValue)
	}
	other := append([]Class{{Name: "x", Deadline: sec}}, more[1:]...)
	for name, bad := range map[string][]Class{"fewer": more[:1], "another": other} {
		if b.SetClasses(bad) == nil {
			t.Errorf("%s are taken", name)
		}
	}
}
