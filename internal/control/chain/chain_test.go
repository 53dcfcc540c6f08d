package chain

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"notchhinge/internal/control/declared"
	"notchhinge/internal/limits"
)

func config(t testing.TB, revision int) []byte {
	b, err := cbor.Marshal(map[string]any{"revision": revision, "routes": []any{}, "services": []any{}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestStateAddsUp(t *testing.T) {
	members := []Member{{1, "a", "10.0.0.1:1"}, {2, "b", "10.0.0.2:1"}, {3, "c", "10.0.0.3:1"}}
	s := &State{}
	for _, e := range []*Entry{
		{Kind: Members, Members: members},
		{Kind: Config, On: 0, Text: config(t, 3)},
		{Kind: Config, On: 0, Text: config(t, 4)}, // lost its race
		{Kind: Config, On: 3, Text: config(t, 3)}, // not above
		{Kind: Config, On: 3, Text: []byte{0xff}}, // invalid
		{Kind: Holder, Node: 2, Name: "b"},
		{Kind: Usage, Window: 9, Counts: []Count{{"k", 5}}},
		{Kind: Usage, Window: 9, Counts: []Count{{"k", 6}}}, // the first figure stands
		{Kind: Config, On: 3, Text: config(t, 8)},
		{Kind: Nothing},
	} {
		s.Apply(e.Encode())
	}
	s.Apply([]byte("nothing that can be read"))
	if s.Next != 11 || s.Revision != 8 || s.ConfigPlace != 8 || s.Holder != 2 || s.HolderPlace != 5 || s.Member(3) == nil || s.Member(9) != nil {
		t.Errorf("%+v", s)
	}
	if w := s.Agreed(9); w == nil || w.Counts[0].N != 5 || s.Agreed(8) != nil {
		t.Errorf("%+v", w)
	}
	if len(s.History) != 2 || !s.Was(3, s.History[0].Digest) || s.Was(4, s.History[0].Digest) {
		t.Errorf("%+v", s.History)
	}
	got, err := DecodeState(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestStateIsBounded(t *testing.T) {
	s := &State{}
	s.Apply((&Entry{Kind: Members, Members: []Member{{1, "a", "x"}}}).Encode())
	on := uint64(0)
	for n := range 500 {
		s.Apply((&Entry{Kind: Usage, Window: uint64(n), Counts: []Count{{"k", 1}}}).Encode())
		s.Apply((&Entry{Kind: Config, On: on, Text: config(t, n+1)}).Encode())
		on = uint64(n + 1)
	}
	if len(s.Windows) != keptWindows || len(s.History) != keptHistory+500%keptHistory || s.Revision != 500 || len(s.Encode()) > 16<<10 {
		t.Errorf("%d windows, %d configurations, %d bytes", len(s.Windows), len(s.History), len(s.Encode()))
	}
	// A window older than all that are kept must not be agreed a second time.
	if s.Apply((&Entry{Kind: Usage, Window: 3, Counts: []Count{{"k", 99}}}).Encode()); s.Agreed(3) != nil {
		t.Error("a window that was agreed long ago is agreed anew")
	}
}

// TestLateRepeats: what was taken is known as such after thousands of others, by who has read the state from its disk or from
// another keeper as well, and another text of the same number is not. What the list costs is bounded.
func TestLateRepeats(t *testing.T) {
	const taken = limits.NodeHistory + 1000
	s := &State{}
	d := make([]declared.Digest, taken)
	for n := range taken {
		text := config(t, 3*n+1)
		_, d[n], _ = declared.Decode(text)
		s.Apply((&Entry{Kind: Config, On: s.Revision, Text: text}).Encode())
		if n%700 == 0 { // as a keeper that starts anew or catches up
			b := s.Encode()
			got, err := DecodeState(b)
			if err != nil || !bytes.Equal(got.Encode(), b) {
				t.Fatalf("after %d: %v", n, err)
			}
			s = got
		}
	}
	for n := range taken {
		revision, known := uint64(3*n+1), n >= taken-limits.NodeHistory
		if was := s.Was(revision, d[n]); was != known && (known || was != (revision >= s.Oldest())) {
			t.Errorf("version %d of %d, the oldest kept %d: %v", revision, s.Revision, s.Oldest(), was)
		}
		if s.Was(revision, d[(n+1)%taken]) {
			t.Errorf("another text under number %d counts as taken", revision)
		}
	}
	if b := s.Encode(); len(b) > 80<<10 || len(s.History)+len(s.Earlier) > limits.NodeHistory+2*keptHistory {
		t.Errorf("%d bytes, %d and %d", len(b), len(s.History), len(s.Earlier))
	} else if short := s.EncodeAs(1); b[0] != Version || short[0] != version || len(short) > 4<<10 {
		t.Errorf("format %d, %d bytes; for an earlier program format %d, %d bytes", b[0], len(b), short[0], len(short))
	} else if got, err := DecodeState(short); err != nil || !got.Was(s.Revision, d[taken-1]) || len(got.History) != keptHistory {
		t.Errorf("%v %v", got, err)
	}
}

// TestStateOfAnEarlierProgram reads a state that the program wrote before it kept more than 64 of the history: 70 were taken,
// by odd numbers. What it holds is written as that program writes it, byte for byte.
func TestStateOfAnEarlierProgram(t *testing.T) {
	b, err := os.ReadFile("testdata/state.v1")
	if err != nil {
		t.Fatal(err)
	}
	s, err := DecodeState(b)
	if err != nil || s.Next != 73 || s.Revision != 139 || len(s.History) != 64 || s.Oldest() != 13 || s.Holder != 2 || s.Agreed(9) == nil {
		t.Fatalf("%v: %+v", err, s)
	}
	if !bytes.Equal(s.Encode(), b) || !bytes.Equal(s.EncodeAs(Version), b) {
		t.Error("written again it is another text")
	}
	_, d, _ := declared.Decode(config(t, 13))
	for n := 141; n < 341; n += 2 { // and goes on
		s.Apply((&Entry{Kind: Config, On: s.Revision, Text: config(t, n)}).Encode())
	}
	if !s.Was(13, d) || s.Encode()[0] != Version {
		t.Error("what the earlier program had noted is forgotten")
	}
}

// BenchmarkHistory is one configuration taken and the state written, with a full history.
func BenchmarkHistory(b *testing.B) {
	s := &State{}
	for n := range limits.NodeHistory + 200 {
		s.take(Taken{Revision: uint64(n + 1)})
	}
	b.Run("take", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			s.take(Taken{Revision: uint64(n + 9000)})
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			s.Encode()
		}
		b.ReportMetric(float64(len(s.Encode())), "bytes")
	})
	b.Run("was", func(b *testing.B) {
		for b.Loop() {
			s.Was(777, declared.Digest{})
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, e := range []*Entry{
		{Kind: Members, Members: []Member{{1, "a", "b"}}}, {Kind: Config, On: 1, Text: config(f, 2)}, {Kind: Holder, Node: 1, Name: "x"},
		{Kind: Usage, Window: 1, Counts: []Count{{"k", 2}}}, {Kind: Nothing, Nonce: 4},
	} {
		f.Add(e.Encode())
	}
	s := State{Next: 300}
	for n := range 300 {
		s.take(Taken{Revision: uint64(n + 1), Digest: declared.Digest{byte(n)}})
	}
	f.Add(s.Encode())
	f.Add(s.EncodeAs(version))
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := Decode(b); err == nil {
			again, err := Decode(e.Encode())
			if err != nil || !cmp.Equal(e, again) {
				t.Errorf("%+v, %+v, %v", e, again, err)
			}
		}
		if s, err := DecodeState(b); err == nil {
			if again, err := DecodeState(s.Encode()); err != nil || !cmp.Equal(s, again, cmpopts.EquateEmpty()) {
				t.Errorf("%+v, %+v, %v", s, again, err)
			}
		}
	})
}

// TestCopiesStayAsTheyAre: a state is handed out as a copy while it goes on.
func TestCopiesStayAsTheyAre(t *testing.T) {
	s := State{}
	apply := func(e Entry) { s.Apply(e.Encode()) }
	for _, window := range []uint64{9, 5, 7, 3} {
		before := s
		numbers := func() (all []uint64) {
			for _, w := range before.Windows {
				all = append(all, w.Number)
			}
			return all
		}
		want := fmt.Sprint(numbers())
		apply(Entry{Kind: Usage, Window: window, Counts: []Count{{"k", window}}})
		if got := fmt.Sprint(numbers()); got != want {
			t.Errorf("windows of a copy were %s, and are %s", want, got)
		}
	}
}

// TestFormerMembers: names that have had a vote and have none any more are kept, so many of them, and outlive being written.
func TestFormerMembers(t *testing.T) {
	s := State{}
	name := func(i int) Member { return Member{ID: uint64(i + 1), Name: fmt.Sprint("k-", i), Addr: "x"} }
	vote := func(all ...Member) { s.Apply((&Entry{Kind: Members, Members: all}).Encode()) }
	vote(name(0), name(1))
	vote(name(0), name(2))
	vote(name(1), name(2))
	if diff := cmp.Diff([]string{"k-0"}, s.Former); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for i := range 200 {
		vote(name(i))
	}
	got, err := DecodeState(s.Encode())
	if err != nil || len(got.Former) != keptFormer || got.Former[keptFormer-1] != "k-198" {
		t.Errorf("%d names, %v", len(got.Former), err)
	}
}
