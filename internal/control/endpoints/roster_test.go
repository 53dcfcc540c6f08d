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
	return Record{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: "z", Slots: 4, State: s, Calls: calls}
}

func TestLateCallsChangeNothing(t *testing.T) {
	r := New(5 * sec)
	r.Beat(0, rec("a", 3, Ready), 0)
	r.Beat(sec, rec("a", 5, Draining), 0)
	if news, fresh := r.Beat(2*sec, rec("a", 4, Ready), 0); len(news) > 0 || fresh {
		t.Errorf("a late call: %v %v", news, fresh)
	}
	if e := r.Find("a"); e.State != Draining {
		t.Errorf("%+v", e)
	}
	r.SignOff(3*sec, "a", 0)
	if news, fresh := r.Beat(4*sec, rec("a", 6, Ready), 0); len(news) > 0 || fresh || r.Find("a").State != Gone {
		t.Errorf("a call after the last: %v %v", news, fresh)
	}
	r.SignOff(4*sec, "never seen", 0)
	if _, fresh := r.Beat(5*sec, rec("never seen", 9, Ready), 0); fresh {
		t.Error("a call after a sign-off that came first")
	}
}

func TestAddressIsTakenOver(t *testing.T) {
	r := New(5 * sec)
	r.Beat(0, rec("old", 40, Ready), 0)
	// A call of the one before that comes late at a process that has only heard of the new one.
	other := New(5 * sec)
	other.Beat(0, rec("new", 1, Ready), 0)
	other.Beat(sec, rec("new", 2, Ready), 0)
	other.Beat(sec, rec("old", 40, Ready), 0)
	if other.Find("new").State != Ready {
		t.Error("a late call of the one before has ended the new one")
	}
	if news, _ := r.Beat(sec, rec("new", 1, Ready), 0); len(news) != 2 || r.Find("old").State != Gone || r.Find("new").State != Ready {
		t.Errorf("%v", news)
	}
	// A foreign engine at the address ends the old one as well.
	foreign := rec("foreign", 1, Ready)
	foreign.Service = "other"
	r.Beat(2*sec, rec("new", 7, Ready), 0)
	r.Beat(3*sec, foreign, 0)
	if r.Find("new").State != Gone || len(r.Engines("s")) != 0 || len(r.Engines("other")) != 1 {
		t.Error("an engine is still there whose address is another service's")
	}
}

func TestSilenceIsMeasuredAgainstOthers(t *testing.T) {
	r := New(5 * sec)
	a, b := rec("a", 1, Ready), rec("b", 1, Ready)
	b.Addr = "10.0.0.2:80"
	r.Beat(0, a, 0)
	r.Beat(0, b, 0)
	if r.Sweep(time.Hour, true); len(r.Engines("s")) != 2 {
		t.Error("who is cut off has taken that for the end of all engines")
	}
	for n := range 6 {
		b.Calls++
		r.Beat(time.Duration(n)*sec, b, 0)
		r.Sweep(time.Duration(n)*sec, true)
	}
	r.Alive(6*sec, "b", 99, 0)
	if silent, _, _ := r.Sweep(6*sec, false); len(silent) > 0 {
		t.Error("one who does not judge has judged")
	}
	if silent, _, _ := r.Sweep(6*sec, true); !slices.Equal(silent, []string{"a"}) {
		t.Errorf("silent: %v", silent)
	}
	if e := r.Engines("s"); len(e) != 1 || e[0].ID != "b" {
		t.Errorf("%v", e)
	}
	if !r.Alive(7*sec, "a", 2, 0) || len(r.Engines("s")) != 2 {
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
			if x.State == Gone {
				x.Calls = tombstone
			}
			all = append(all, x)
		}
		play := func(seq []Record) map[string]Record {
			r := New(5 * sec)
			for _, x := range seq {
				r.Merge(0, x)
			}
			out := map[string]Record{}
			r.All(func(e *Engine) { out[e.ID] = e.Record })
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
	x := rec("a", 3, Draining)
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
	r.Beat(0, rec("a", 3, Ready), 0)
	b := rec("b", 1, Ready)
	b.Addr = "10.0.0.2:80"
	r.Beat(70*sec, b, 0)
	if _, lost, _ := r.Sweep(70*sec, true); !slices.Equal(lost, []string{"a"}) {
		t.Fatalf("lost: %v", lost)
	}
	news := r.Lose(70*sec, "a", 70_000)
	if len(news) != 1 || news[0].State != Gone || news[0].Stale(95_000) || !news[0].Stale(101_000) {
		t.Fatalf("%+v", news)
	}
	if r.Beat(71*sec, rec("a", 3, Ready), 0); r.Find("a").State != Gone {
		t.Error("its last call, come late, has brought it back")
	}
	if r.Beat(72*sec, rec("a", 4, Ready), 0); r.Find("a").State != Ready || len(r.Engines("s")) != 2 {
		t.Error("a later call has not brought it back")
	}
	r.Lose(80*sec, "a", 80_000)
	if _, _, forgotten := r.Sweep(141*sec, false); !slices.Equal(forgotten, []string{"a"}) {
		t.Errorf("forgotten: %v", forgotten)
	}
}

func TestOthersSaySoOfSilence(t *testing.T) {
	r := New(5 * sec)
	r.Beat(0, rec("a", 3, Ready), 0)
	if r.Hush(sec, "a", 2, true) || !r.Hush(sec, "a", 3, true) || len(r.Engines("s")) != 0 || r.Hush(sec, "a", 3, true) {
		t.Error("word of a silence after a call that is not the newest counts, or of the newest does not")
	}
	if !r.Hush(sec, "a", 4, false) || len(r.Engines("s")) != 1 {
		t.Error("word that it goes on does not count")
	}
	// Word that it goes on comes before the sign of life of that call, at one who has not heard it for long: it is heard now.
	if r.Hush(9*sec, "a", 5, false); r.Find("a").Heard != 9*sec {
		t.Errorf("heard at %v", r.Find("a").Heard)
	}
	if r.Alive(10*sec, "a", 5, sec/2) || r.Find("a").Heard != 10*sec-sec/2 {
		t.Errorf("the sign of life itself: heard at %v", r.Find("a").Heard)
	}
	if r.Hush(sec, "a", 3, true) || r.Hush(sec, "never", 1, true) {
		t.Error("old word counts, or of one that is not known")
	}
}
