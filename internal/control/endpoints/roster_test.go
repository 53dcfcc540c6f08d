package endpoints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const sec = time.Second

func rec(id string, calls uint64, s State) Record {
	return Record{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: "z", Slots: 4, State: s, CallCount: calls}
}

func TestLateCallsChangeNothing(t *testing.T) {
	r := New(5 * sec)
	r.Heartbeat(0, rec("a", 3, StateReady), 0)
	r.Heartbeat(sec, rec("a", 5, StateDraining), 0)
	if news, fresh := r.Heartbeat(2*sec, rec("a", 4, StateReady), 0); len(news) > 0 || fresh {
		t.Errorf("a late call: %v %v", news, fresh)
	}
	if e := r.Find("a"); e.State != StateDraining {
		t.Errorf("%+v", e)
	}
	r.Deregister(3*sec, "a", 0)
	if news, fresh := r.Heartbeat(4*sec, rec("a", 6, StateReady), 0); len(news) > 0 || fresh || r.Find("a").State != StateGone {
		t.Errorf("a call after the last: %v %v", news, fresh)
	}
	r.Deregister(4*sec, "never seen", 0)
	if _, fresh := r.Heartbeat(5*sec, rec("never seen", 9, StateReady), 0); fresh {
		t.Error("a call after a sign-off that came first")
	}
}

func TestAddressIsTakenOver(t *testing.T) {
	r := New(5 * sec)
	r.Heartbeat(0, rec("old", 40, StateReady), 0)
	// A call of the one before that comes late at a process that has only heard of the new one.
	other := New(5 * sec)
	other.Heartbeat(0, rec("new", 1, StateReady), 0)
	other.Heartbeat(sec, rec("new", 2, StateReady), 0)
	other.Heartbeat(sec, rec("old", 40, StateReady), 0)
	if other.Find("new").State != StateReady {
		t.Error("a late call of the one before has ended the new one")
	}
	if news, _ := r.Heartbeat(sec, rec("new", 1, StateReady), 0); len(news) != 2 || r.Find("old").State != StateGone || r.Find("new").State != StateReady {
		t.Errorf("%v", news)
	}
	// A foreign engine at the address ends the old one as well.
	foreign := rec("foreign", 1, StateReady)
	foreign.Service = "other"
	r.Heartbeat(2*sec, rec("new", 7, StateReady), 0)
	r.Heartbeat(3*sec, foreign, 0)
	if r.Find("new").State != StateGone || len(r.Live("s")) != 0 || len(r.Live("other")) != 1 {
		t.Error("an engine is still there whose address is another service's")
	}
}

func TestSilenceIsMeasuredAgainstOthers(t *testing.T) {
	r := New(5 * sec)
	a, b := rec("a", 1, StateReady), rec("b", 1, StateReady)
	b.Addr = "10.0.0.2:80"
	r.Heartbeat(0, a, 0)
	r.Heartbeat(0, b, 0)
	if r.Sweep(time.Hour, true); len(r.Live("s")) != 2 {
		t.Error("who is cut off has taken that for the end of all engines")
	}
	for n := range 6 {
		b.CallCount++
		r.Heartbeat(time.Duration(n)*sec, b, 0)
		r.Sweep(time.Duration(n)*sec, true)
	}
	r.MergeHeartbeat(6*sec, "b", 99, 0)
	if silent, _, _ := r.Sweep(6*sec, false); len(silent) > 0 {
		t.Error("one who does not judge has judged")
	}
	if silent, _, _ := r.Sweep(6*sec, true); !slices.Equal(silent, []string{"a"}) {
		t.Errorf("silent: %v", silent)
	}
	if e := r.Live("s"); len(e) != 1 || e[0].ID != "b" {
		t.Errorf("%v", e)
	}
	if !r.MergeHeartbeat(7*sec, "a", 2, 0) || len(r.Live("s")) != 2 {
		t.Error("a sign of life does not bring it back")
	}
}

// TestMergeInAnyOrder: whatever the order and the repeats, all hold the same.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			x := rec(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "id")), uint64(rapid.IntRange(1, 4).Draw(t, "calls")),
				State(rapid.IntRange(0, 2).Draw(t, "state")))
			x.Zone = rapid.SampledFrom([]string{"z", "y"}).Draw(t, "zone")
			if x.State == StateGone {
				x.CallCount = tombstone
			}
			all = append(all, x)
		}
		play := func(seq []Record) map[string]Record {
			r := New(5 * sec)
			for _, x := range seq {
				r.Merge(0, x)
			}
			out := map[string]Record{}
			r.All(func(e *Endpoint) { out[e.ID] = e.Record })
			return out
		}
		want := play(all)
		again := append(slices.Clone(all), all...)
		for i := range again {
			j := rapid.IntRange(0, i).Draw(t, "swap")
			again[i], again[j] = again[j], again[i]
		}
		if diff := cmp.Diff(want, play(again)); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzRecord(f *testing.F) {
	x := rec("a", 3, StateDraining)
	f.Add(x.Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(r.Encode()); err != nil || again != r {
			t.Errorf("%+v, %+v, %v", r, again, err)
		}
	})
}

// TestLostEnginesMayComeBack: one that was silent for very long counts as gone, and is forgotten; a later call brings it back,
// an old one or old word of others does not.
func TestLostEnginesMayComeBack(t *testing.T) {
	r := New(5 * sec)
	r.Heartbeat(0, rec("a", 3, StateReady), 0)
	b := rec("b", 1, StateReady)
	b.Addr = "10.0.0.2:80"
	r.Heartbeat(70*sec, b, 0)
	if _, lost, _ := r.Sweep(70*sec, true); !slices.Equal(lost, []string{"a"}) {
		t.Fatalf("lost: %v", lost)
	}
	news := r.MarkFailed(70*sec, "a", 70_000)
	if len(news) != 1 || news[0].State != StateGone || news[0].IsStale(95_000) || !news[0].IsStale(101_000) {
		t.Fatalf("%+v", news)
	}
	if r.Heartbeat(71*sec, rec("a", 3, StateReady), 0); r.Find("a").State != StateGone {
		t.Error("its last call, come late, has brought it back")
	}
	if r.Heartbeat(72*sec, rec("a", 4, StateReady), 0); r.Find("a").State != StateReady || len(r.Live("s")) != 2 {
		t.Error("a later call has not brought it back")
	}
	r.MarkFailed(80*sec, "a", 80_000)
	if _, _, forgotten := r.Sweep(141*sec, false); !slices.Equal(forgotten, []string{"a"}) {
		t.Errorf("forgotten: %v", forgotten)
	}
}

func TestOthersSaySoOfSilence(t *testing.T) {
	r := New(5 * sec)
	r.Heartbeat(0, rec("a", 3, StateReady), 0)
	if r.MergeSuspicion(sec, "a", 2, true) || !r.MergeSuspicion(sec, "a", 3, true) || len(r.Live("s")) != 0 || r.MergeSuspicion(sec, "a", 3, true) {
		t.Error("word of a silence after a call that is not the newest counts, or of the newest does not")
	}
	if !r.MergeSuspicion(sec, "a", 4, false) || len(r.Live("s")) != 1 {
		t.Error("word that it goes on does not count")
	}
	// Word that it goes on comes before the sign of life of that call, at one who has not heard it for long: it is heard now.
	if r.MergeSuspicion(9*sec, "a", 5, false); r.Find("a").LastHeartbeat != 9*sec {
		t.Errorf("heard at %v", r.Find("a").LastHeartbeat)
	}
	if r.MergeHeartbeat(10*sec, "a", 5, sec/2) || r.Find("a").LastHeartbeat != 10*sec-sec/2 {
		t.Errorf("the sign of life itself: heard at %v", r.Find("a").LastHeartbeat)
	}
	if r.MergeSuspicion(sec, "a", 3, true) || r.MergeSuspicion(sec, "never", 1, true) {
		t.Error("old word counts, or of one that is not known")
	}
}
