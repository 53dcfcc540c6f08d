package singleton

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/limits"
)

const sec = time.Second

func TestWindows(t *testing.T) {
	at := time.Unix(1_000_004, 999_999_999)
	if n := WindowAt(at, 5*sec); n != 200_000 || !WindowEnd(n, 5*sec).Equal(time.Unix(1_000_005, 0)) {
		t.Errorf("window %d ends at %v", n, WindowEnd(n, 5*sec))
	}
}

// TestBooksMergeInAnyOrder: reports may be lost, late, repeated and passed on between keepers; the sum is that of the newest.
func TestBooksMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := [2]Table{}
		want := map[string]uint64{}
		routers := [3]Counters{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			r := rapid.IntRange(0, 2).Draw(t, "router")
			tenant := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "tenant")
			routers[r].Add(9, tenant, 1)
			want[tenant]++
			if rapid.Bool().Draw(t, "told") {
				p := Report{Incarnation: uint64(r + 1), Counters: routers[r]}
				got, err := DecodeReport(p.Encode())
				if err != nil {
					t.Fatal(err)
				}
				books[rapid.IntRange(0, 1).Draw(t, "to")].Take(sec, got, true)
			}
		}
		for r := range routers { // the last word of each reaches one
			p := Report{Incarnation: uint64(r + 1), Counters: routers[r]}
			books[r%2].Take(sec, &p, true)
		}
		for range 2 {
			if err := books[0].Merge(sec, books[1].Encode(9, 10)); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(want, books[0].Sum(9)); diff != "" {
			t.Fatalf("(-want +got):\n%s", diff)
		}
	})
}

// TestReportsOfTheRest: a router tells a keeper only what that has not said it has. Reports and answers are lost, the keeper
// starts anew with an empty book, and after a report that is answered its book has all.
func TestReportsOfTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var book Table
		var told ackedCounters
		life := uint64(1)
		all := Counters{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				book, life = Table{}, life+1
			case 1, 2:
				all.Add(uint64(rapid.IntRange(7, 9).Draw(t, "window")), rapid.SampledFrom([]string{"k", "l"}).Draw(t, "tenant"), 1)
			default:
				rest := told.Rest(&all)
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				got, err := DecodeReport((&Report{Incarnation: 1, Counters: rest}).Encode())
				if err != nil {
					t.Fatal(err)
				}
				book.Take(sec, got, true)
				if rapid.Bool().Draw(t, "the answer is lost") {
					continue
				}
				word, err := DecodeAck((&Ack{TableID: life, Routers: uint64(book.LiveRouters(sec, sec))}).Encode())
				if err != nil || word.Routers != 1 {
					t.Fatal(word, err)
				}
				told.Heard(word, &rest)
				rest = told.Rest(&all) // what a book that is new lacks goes with the next one
				book.Take(sec, &Report{Incarnation: 1, Counters: rest}, true)
				told.Heard(word, &rest)
				for number, counts := range all.Windows {
					if diff := cmp.Diff(counts, book.Sum(number)); diff != "" {
						t.Fatalf("window %d (-want +got):\n%s", number, diff)
					}
				}
				if len(told.Rest(&all).Windows) > 0 {
					t.Fatal("what it has said that it has is told again")
				}
			}
		}
	})
}

// TestBooksAreBounded: a book is kept for ever, whoever forgets or not.
func TestBooksAreBounded(t *testing.T) {
	var b Table
	for window := range uint64(1000) {
		tally := Counters{}
		tally.Add(window, "k", 1)
		b.Take(sec, &Report{Incarnation: 1, Counters: tally}, true)
	}
	if n := len(b.sources[1].Counters.Windows); n != keptWindows || b.Sum(999)["k"] != 1 {
		t.Errorf("%d windows are kept", n)
	}
	if b.LiveRouters(sec+time.Minute, time.Minute) != 1 || b.LiveRouters(2*time.Minute, time.Minute) != 0 {
		t.Error("lives")
	}
}

// TestOneHolderAtATime plays members with leases and holders who were voted in at any time: while one counts on its lease, no
// other does, whatever the members' starts.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 3 * sec
		now := time.Minute
		members := make([]Grants, 3)
		for i := range members {
			members[i] = Grants{Duration: lease, NeverGranted: true}
		}
		held := map[uint64]*Holder{}
		var ever []uint64 // whoever was voted in; each may believe that it still is
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			node := uint64(rapid.IntRange(1, 3).Draw(t, "node"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // a member starts again and has forgotten what it granted
				members[node-1] = Grants{Duration: lease, StartedAt: now}
			case 1: // somebody is voted in, whatever leases there are
				ever = append(ever, node)
			default: // one who was voted in asks for more
				if len(ever) == 0 {
					continue
				}
				node = ever[rapid.IntRange(0, len(ever)-1).Draw(t, "who")]
				granted := 0
				for i := range members {
					if rapid.Bool().Draw(t, "reached") && members[i].Grant(now, node) {
						granted++
					}
				}
				if granted < 2 {
					continue
				}
				if held[node] == nil {
					held[node] = &Holder{Duration: lease, Margin: 300 * time.Millisecond}
				}
				held[node].Extend(now)
				for id, h := range held {
					if id != node && h.Remaining(now) > 0 {
						t.Fatalf("%d holds while %d holds for %v", node, id, h.Remaining(now))
					}
				}
			}
		}
	})
}

func TestScaler(t *testing.T) {
	f := limits.AutoscaleTuning{TargetUtilization: 0.5, TargetRunningPerEngine: 4, MinObservation: 3 * sec, ScaleDownDelay: 5 * sec, SmoothingTime: sec}
	zones := []string{"a", "b", "c"}
	b := Bounds{Min: 2, Max: 10}
	s := Scaler{AutoscaleTuning: f}
	sum := func(w map[string]int) (n int) {
		for _, k := range w {
			n += k
		}
		return n
	}
	have := map[string]int{"a": 8, "b": 8, "c": 8}
	if w := s.Targets(sec, Demand{}, b, zones, have); w != nil {
		t.Errorf("before any traffic %v is ordered", w)
	}
	now := 10 * sec
	step := func(d time.Duration, running float64) (w map[string]int) {
		for end := now + d; now < end; now += 500 * time.Millisecond {
			w = s.Targets(now, Demand{Running: running, Arrived: running}, b, zones, have)
		}
		return w
	}
	if w := step(2*sec, 60); sum(w) != 24 {
		t.Errorf("after 2 s of traffic fewer than there are: %v", w)
	}
	if w := (&Scaler{AutoscaleTuning: f}).Targets(now, Demand{Running: 120}, b, zones, have); sum(w) != 30 {
		t.Errorf("too few at the first sight of traffic: %v", w)
	}
	if w := (&Scaler{AutoscaleTuning: f}).Targets(now, Demand{Running: 48, Slots: 4}, b, zones, have); sum(w) != 24 {
		t.Errorf("48 running at engines of 4 slots, half of which are wanted in use: %v", w)
	}
	if w := (&Scaler{AutoscaleTuning: f}).Targets(now, Demand{Running: 120, Slots: 16}, b, zones, map[string]int{}); sum(w) != 15 {
		t.Errorf("120 running at engines of 16 slots, half of which are wanted in use: %v", w)
	}
	if w := step(8*sec, 60); sum(w) != 15 {
		t.Errorf("60 running: %v", w)
	}
	if w := step(3*sec, 100); sum(w) < 24 {
		t.Errorf("a burst to 100: %v after 3 s", w)
	}
	if w := step(4*sec, 20); sum(w) < 24 {
		t.Errorf("down at once: %v", w)
	}
	if w := step(12*sec, 1); sum(w) != 6 {
		t.Errorf("never under the least: %v", w)
	}
	if w := step(12*sec, 1000); sum(w) != 30 {
		t.Errorf("never over the most: %v", w)
	}
}

func FuzzReport(f *testing.F) {
	p := Report{Incarnation: 1, Zone: "z", Loads: []Load{{"s", 1, 2, 3}}}
	p.Counters.Add(5, "k", 2)
	f.Add(p.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if p, err := DecodeReport(b); err == nil {
			if _, err := DecodeReport(p.Encode()); err != nil {
				t.Error(err)
			}
		}
		r := encoding.Reader{Buf: b}
		DecodeCounters(&r)
		(&Table{}).Merge(0, b)
	})
}
