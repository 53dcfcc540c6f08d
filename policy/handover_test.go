package policy

import (
	"slices"
	"testing"
)

// A restored balancer keeps sessions and ejections, but not the state of a replica that has restarted since.
func TestSnapshotIsRestored(t *testing.T) {
	s := testSettings()
	replicas := []Replica{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}
	old, a := start(t, s, replicas)
	assigned := map[uint64]*replica{}
	for session := range uint64(40) {
		old.RequestArrived(t0, a, Request{ID: RequestID(session + 1), Session: session + 1, Class: 0, Timeout: sec})
		assigned[session+1] = old.sessions.find(t0, session+1)
	}
	old.fleet.byID[1].ejection.extend(t0)
	old.fleet.byID[2].ejection.extend(t0)
	old.shedShare = 0.25

	replicas[1].ReadyAt = t0 - sec // restarted since the snapshot
	next, _ := start(t, s, replicas)
	next.Restore(t0+ms, old.Snapshot())
	for session, want := range assigned {
		if got := next.sessions.find(t0+ms, session); got == nil || got.ID != want.ID {
			t.Errorf("session %d is assigned to %+v, want replica %d", session, got, want.ID)
		}
	}
	first, second := next.fleet.byID[1], next.fleet.byID[2]
	if first.until != old.fleet.byID[1].until || second.duration != 0 || next.shedShare != 0.25 {
		t.Errorf("ejections: %+v %+v, shed %v", first.ejection, second.ejection, next.shedShare)
	}
	// Invalid values are clamped or ignored.
	next.Restore(t0, &Snapshot{
		Sessions:  []SnapshotSession{{1, 99, t0}},
		Replicas:  []SnapshotReplica{{ID: 99}, {ID: 3, EjectionDuration: -1, EjectedUntil: 1 << 60}},
		ShedShare: 7, SpillShare: -3, RetryBudget: 1e9, Tenants: make([]float64, 99),
	})
	third := next.fleet.byID[3]
	if next.shedShare > maxShedShare || next.spillShare < 0 || next.retryBudget > maxRetryBudget ||
		third.until > t0+maxEjection {
		t.Errorf("shed %v, spill %v, retries %v, until %v",
			next.shedShare, next.spillShare, next.retryBudget, third.until)
	}
}

func TestSetClassesOnlyAppends(t *testing.T) {
	s := testSettings()
	b, a := start(t, s, newFleet(2))
	more := append(slices.Clip(s.Classes), Class{Name: "new", Deadline: sec, TargetLatency: ms, Value: 0.1})
	if err := b.SetClasses(more); err != nil {
		t.Fatal(err)
	}
	b.RequestArrived(t0, a, Request{ID: 1, Class: len(more) - 1, Timeout: sec})
	if a.count("send") != 1 || b.minValue != 0.1 {
		t.Errorf("request of the new class: %v, lowest value %v", a.last(t), b.minValue)
	}
	other := append([]Class{{Name: "x", Deadline: sec}}, more[1:]...)
	for name, bad := range map[string][]Class{"fewer": more[:1], "another": other} {
		if b.SetClasses(bad) == nil {
			t.Errorf("SetClasses accepts %s classes", name)
		}
	}
}
