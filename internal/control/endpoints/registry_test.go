package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	sec     = time.Second
	timeout = 5 * sec
)

func testRecord(id string, callCount uint64, s State) Record {
	return Record{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: "z", Slots: 4, State: s, CallCount: callCount}
}

// otherAddr returns the record with another address.
func otherAddr(r Record) Record {
	r.Addr = "10.0.0.2:80"
	return r
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	s := New(timeout)
	s.Heartbeat(0, testRecord("a", 3, StateReady), 0)
	s.Heartbeat(sec, testRecord("a", 5, StateDraining), 0)
	if changed, isNew := s.Heartbeat(2*sec, testRecord("a", 4, StateReady), 0); len(changed) > 0 || isNew {
		t.Errorf("late heartbeat: changed %v, new %v", changed, isNew)
	}
	if e := s.Find("a"); e.State != StateDraining {
		t.Errorf("after a late heartbeat: %+v, want StateDraining", e)
	}
	s.Deregister(3*sec, "a", 0)
	if changed, isNew := s.Heartbeat(4*sec, testRecord("a", 6, StateReady), 0); len(changed) > 0 || isNew || s.Find("a").State != StateGone {
		t.Errorf("heartbeat after the deregistration: changed %v, new %v", changed, isNew)
	}
	s.Deregister(4*sec, "never seen", 0)
	if _, isNew := s.Heartbeat(5*sec, testRecord("never seen", 9, StateReady), 0); isNew {
		t.Error("a heartbeat of an endpoint that was deregistered while unknown counts as new")
	}
}

func TestNewEndpointEndsThePreviousAtItsAddress(t *testing.T) {
	s := New(timeout)
	s.Heartbeat(0, testRecord("old", 40, StateReady), 0)
	if changed, _ := s.Heartbeat(sec, testRecord("new", 1, StateReady), 0); len(changed) != 2 || s.Find("old").State != StateGone || s.Find("new").State != StateReady {
		t.Errorf("a new endpoint at the address has not ended the previous one: changed %v", changed)
	}
	// An endpoint of another service at the address ends the previous one, too.
	foreign := testRecord("foreign", 1, StateReady)
	foreign.Service = "other"
	s.Heartbeat(2*sec, testRecord("new", 7, StateReady), 0)
	s.Heartbeat(3*sec, foreign, 0)
	if s.Find("new").State != StateGone || len(s.Live("s")) != 0 || len(s.Live("other")) != 1 {
		t.Error("the endpoint of another service has not ended the previous endpoint at its address")
	}
}

func TestLateHeartbeatOfPreviousEndpointAtAnAddress(t *testing.T) {
	s := New(timeout) // has no record of the old endpoint
	s.Heartbeat(0, testRecord("new", 1, StateReady), 0)
	s.Heartbeat(sec, testRecord("new", 2, StateReady), 0)
	s.Heartbeat(sec, testRecord("old", 40, StateReady), 0)
	if s.Find("new").State != StateReady {
		t.Error("a late heartbeat of the old endpoint has ended the new one")
	}
}

func TestSilenceIsMeasuredAgainstOtherEndpoints(t *testing.T) {
	s := New(timeout)
	a, b := testRecord("a", 1, StateReady), otherAddr(testRecord("b", 1, StateReady))
	s.Heartbeat(0, a, 0)
	s.Heartbeat(0, b, 0)
	s.Expire(time.Hour)
	if s.Detect(); len(s.Live("s")) != 2 {
		t.Error("a process without any heartbeats suspects endpoints")
	}
	for n := range 6 {
		b.CallCount++
		s.Heartbeat(time.Duration(n)*sec, b, 0)
		s.Expire(time.Duration(n) * sec)
		s.Detect()
	}
	s.MergeHeartbeat(6*sec, "b", 99, 0)
	if s.Expire(6 * sec); s.Find("a").Suspect {
		t.Error("Expire has marked a suspect")
	}
	if suspects, _ := s.Detect(); !slices.Equal(suspects, []string{"a"}) {
		t.Errorf("suspects: %v, want a", suspects)
	}
	if live := s.Live("s"); len(live) != 1 || live[0].ID != "b" {
		t.Errorf("live endpoints: %v, want only b", live)
	}
	if !s.MergeHeartbeat(7*sec, "a", 2, 0) || len(s.Live("s")) != 2 {
		t.Error("a later heartbeat of a suspect does not make it live")
	}
}

// TestMergeIsOrderIndependent checks that the result of merging records does not depend on their order or on duplicates.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			r := testRecord(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "id")), uint64(rapid.IntRange(1, 4).Draw(t, "calls")),
				State(rapid.IntRange(0, 2).Draw(t, "state")))
			r.Zone = rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone")
			if r.State == StateGone {
				r.CallCount = deregisteredCallCount
			}
			records = append(records, r)
		}
		merge := func(sequence []Record) map[string]Record {
			s := New(timeout)
			for _, r := range sequence {
				s.Merge(0, r)
			}
			merged := map[string]Record{}
			for e := range s.All() {
				merged[e.ID] = e.Record
			}
			return merged
		}
		want := merge(records)
		again := append(slices.Clone(records), records...)
		for i := range again {
			j := rapid.IntRange(0, i).Draw(t, "swap")
			again[i], again[j] = again[j], again[i]
		}
		if diff := cmp.Diff(want, merge(again)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// TestFailedEndpointsMayComeBack checks that an endpoint without heartbeats fails and its record expires, and that only a later
// heartbeat, not a late delivery of its last one, makes it live again.
func TestFailedEndpointsMayComeBack(t *testing.T) {
	s := New(timeout)
	s.Heartbeat(0, testRecord("a", 3, StateReady), 0)
	s.Heartbeat(70*sec, otherAddr(testRecord("b", 1, StateReady)), 0)
	if _, failed := s.Detect(); !slices.Equal(failed, []string{"a"}) {
		t.Fatalf("failed: %v, want a", failed)
	}
	changed := s.MarkFailed(70*sec, "a", 70_000)
	if len(changed) != 1 || changed[0].State != StateGone || changed[0].IsStale(95_000) || !changed[0].IsStale(101_000) {
		t.Fatalf("records changed by the failure: %+v, want one that is gone, stale at 101 s and not at 95 s", changed)
	}
	if s.Heartbeat(71*sec, testRecord("a", 3, StateReady), 0); s.Find("a").State != StateGone {
		t.Error("a late delivery of the last heartbeat has made the failed endpoint live")
	}
	if s.Heartbeat(72*sec, testRecord("a", 4, StateReady), 0); s.Find("a").State != StateReady || len(s.Live("s")) != 2 {
		t.Error("a later heartbeat has not made the failed endpoint live")
	}
	s.MarkFailed(80*sec, "a", 80_000)
	if expired := s.Expire(141 * sec); !slices.Equal(expired, []string{"a"}) {
		t.Errorf("expired: %v, want a", expired)
	}
}

func TestSuspicionCountsForTheLatestHeartbeatOnly(t *testing.T) {
	s := New(timeout)
	suspect := func(callCount uint64) Suspicion { return Suspicion{ID: "a", CallCount: callCount, Suspect: true} }
	refute := func(callCount uint64) Suspicion { return Suspicion{ID: "a", CallCount: callCount} }
	s.Heartbeat(0, testRecord("a", 3, StateReady), 0)
	if s.MergeSuspicion(sec, suspect(2)) || !s.MergeSuspicion(sec, suspect(3)) || len(s.Live("s")) != 0 || s.MergeSuspicion(sec, suspect(3)) {
		t.Error("a suspicion with an earlier CallCount is accepted, or one with the latest is not")
	}
	if !s.MergeSuspicion(sec, refute(4)) || len(s.Live("s")) != 1 {
		t.Error("a refutation is not accepted")
	}
	// The refutation arrives before the heartbeat that it implies.
	if s.MergeSuspicion(9*sec, refute(5)); s.Find("a").LastHeartbeat != 9*sec {
		t.Errorf("after a refutation: last heartbeat at %v, want 9 s", s.Find("a").LastHeartbeat)
	}
	if s.MergeHeartbeat(10*sec, "a", 5, sec/2) || s.Find("a").LastHeartbeat != 10*sec-sec/2 {
		t.Errorf("after the heartbeat itself: last heartbeat at %v, want 9.5 s; or it counts as new", s.Find("a").LastHeartbeat)
	}
	if s.MergeSuspicion(sec, suspect(3)) || s.MergeSuspicion(sec, Suspicion{ID: "unknown", CallCount: 1, Suspect: true}) {
		t.Error("a suspicion with an earlier CallCount, or of an unknown endpoint, is accepted")
	}
}
