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

// otherAddr is a second address.
func otherAddr(r Record) Record {
	r.Addr = "10.0.0.2:80"
	return r
}

func TestLateHeartbeatsChangeNothing(t *testing.T) {
	s := New(timeout)
	s.Heartbeat(0, testRecord("a", 3, StateReady), 0)
	s.Heartbeat(sec, testRecord("a", 5, StateDraining), 0)
	if changed, isNew := s.Heartbeat(2*sec, testRecord("a", 4, StateReady), 0); len(changed) > 0 || isNew {
		t.Errorf("a late heartbeat: %v %v", changed, isNew)
	}
	if e := s.Find("a"); e.State != StateDraining {
		t.Errorf("%+v", e)
	}
	s.Deregister(3*sec, "a", 0)
	if changed, isNew := s.Heartbeat(4*sec, testRecord("a", 6, StateReady), 0); len(changed) > 0 || isNew || s.Find("a").State != StateGone {
		t.Errorf("a heartbeat after the deregistration: %v %v", changed, isNew)
	}
	s.Deregister(4*sec, "never seen", 0)
	if _, isNew := s.Heartbeat(5*sec, testRecord("never seen", 9, StateReady), 0); isNew {
		t.Error("a heartbeat after a deregistration that came first")
	}
}

func TestNewEndpointEndsThePreviousAtItsAddress(t *testing.T) {
	s := New(timeout)
	s.Heartbeat(0, testRecord("old", 40, StateReady), 0)
	if changed, _ := s.Heartbeat(sec, testRecord("new", 1, StateReady), 0); len(changed) != 2 || s.Find("old").State != StateGone || s.Find("new").State != StateReady {
		t.Errorf("%v", changed)
	}
	// An endpoint of another service at the address ends the one before as well.
	foreign := testRecord("foreign", 1, StateReady)
	foreign.Service = "other"
	s.Heartbeat(2*sec, testRecord("new", 7, StateReady), 0)
	s.Heartbeat(3*sec, foreign, 0)
	if s.Find("new").State != StateGone || len(s.Live("s")) != 0 || len(s.Live("other")) != 1 {
		t.Error("an endpoint is live whose address is another service's")
	}
}

func TestLateHeartbeatOfPreviousEndpointAtAnAddress(t *testing.T) {
	s := New(timeout) // knows only the new endpoint
	s.Heartbeat(0, testRecord("new", 1, StateReady), 0)
	s.Heartbeat(sec, testRecord("new", 2, StateReady), 0)
	s.Heartbeat(sec, testRecord("old", 40, StateReady), 0)
	if s.Find("new").State != StateReady {
		t.Error("a late heartbeat of the endpoint before has ended the new one")
	}
}

func TestSilenceIsMeasuredAgainstOtherEndpoints(t *testing.T) {
	s := New(timeout)
	a, b := testRecord("a", 1, StateReady), otherAddr(testRecord("b", 1, StateReady))
	s.Heartbeat(0, a, 0)
	s.Heartbeat(0, b, 0)
	s.Expire(time.Hour)
	if s.Detect(); len(s.Live("s")) != 2 {
		t.Error("a process that receives no heartbeats suspects all endpoints")
	}
	for n := range 6 {
		b.CallCount++
		s.Heartbeat(time.Duration(n)*sec, b, 0)
		s.Expire(time.Duration(n) * sec)
		s.Detect()
	}
	s.MergeHeartbeat(6*sec, "b", 99, 0)
	if s.Expire(6 * sec); s.Find("a").Suspect {
		t.Error("expiry has found a suspect")
	}
	if suspects, _ := s.Detect(); !slices.Equal(suspects, []string{"a"}) {
		t.Errorf("suspects: %v", suspects)
	}
	if live := s.Live("s"); len(live) != 1 || live[0].ID != "b" {
		t.Errorf("%v", live)
	}
	if !s.MergeHeartbeat(7*sec, "a", 2, 0) || len(s.Live("s")) != 2 {
		t.Error("a heartbeat does not bring it back")
	}
}

// TestMergeIsOrderIndependent: whatever the order and the duplicates, all registries hold the same.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			r := testRecord(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "id")), uint64(rapid.IntRange(1, 4).Draw(t, "calls")),
				State(rapid.IntRange(0, 2).Draw(t, "state")))
			r.Zone = rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone")
			if r.State == StateGone {
				r.CallCount = deregistered
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

// TestFailedEndpointsMayComeBack: an endpoint without heartbeats for very long counts as gone, and its record expires; a later
// heartbeat brings it back, its last one or others' earlier reports do not.
func TestFailedEndpointsMayComeBack(t *testing.T) {
	s := New(timeout)
	s.Heartbeat(0, testRecord("a", 3, StateReady), 0)
	s.Heartbeat(70*sec, otherAddr(testRecord("b", 1, StateReady)), 0)
	if _, failed := s.Detect(); !slices.Equal(failed, []string{"a"}) {
		t.Fatalf("failed: %v", failed)
	}
	changed := s.MarkFailed(70*sec, "a", 70_000)
	if len(changed) != 1 || changed[0].State != StateGone || changed[0].IsStale(95_000) || !changed[0].IsStale(101_000) {
		t.Fatalf("%+v", changed)
	}
	if s.Heartbeat(71*sec, testRecord("a", 3, StateReady), 0); s.Find("a").State != StateGone {
		t.Error("its last heartbeat, delivered late, has brought it back")
	}
	if s.Heartbeat(72*sec, testRecord("a", 4, StateReady), 0); s.Find("a").State != StateReady || len(s.Live("s")) != 2 {
		t.Error("a later heartbeat has not brought it back")
	}
	s.MarkFailed(80*sec, "a", 80_000)
	if expired := s.Expire(141 * sec); !slices.Equal(expired, []string{"a"}) {
		t.Errorf("expired: %v", expired)
	}
}

func TestSuspicionCountsForTheLatestHeartbeatOnly(t *testing.T) {
	s := New(timeout)
	suspect := func(callCount uint64) Suspicion { return Suspicion{ID: "a", CallCount: callCount, Suspect: true} }
	refute := func(callCount uint64) Suspicion { return Suspicion{ID: "a", CallCount: callCount} }
	s.Heartbeat(0, testRecord("a", 3, StateReady), 0)
	if s.MergeSuspicion(sec, suspect(2)) || !s.MergeSuspicion(sec, suspect(3)) || len(s.Live("s")) != 0 || s.MergeSuspicion(sec, suspect(3)) {
		t.Error("a suspicion of an earlier heartbeat counts, or one of the latest does not")
	}
	if !s.MergeSuspicion(sec, refute(4)) || len(s.Live("s")) != 1 {
		t.Error("a refutation does not count")
	}
	// The refutation comes before the heartbeat that it implies.
	if s.MergeSuspicion(9*sec, refute(5)); s.Find("a").LastHeartbeat != 9*sec {
		t.Errorf("last heartbeat at %v", s.Find("a").LastHeartbeat)
	}
	if s.MergeHeartbeat(10*sec, "a", 5, sec/2) || s.Find("a").LastHeartbeat != 10*sec-sec/2 {
		t.Errorf("after the heartbeat itself: last heartbeat at %v", s.Find("a").LastHeartbeat)
	}
	if s.MergeSuspicion(sec, suspect(3)) || s.MergeSuspicion(sec, Suspicion{ID: "unknown", CallCount: 1, Suspect: true}) {
		t.Error("an earlier suspicion counts, or one of an unknown endpoint")
	}
}
