package chain

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
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
	if len(s.Windows) != keptWindows || len(s.History) != keptHistory || s.Revision != 500 || len(s.Encode()) > 8<<10 {
		t.Errorf("%d windows, %d configurations, %d bytes", len(s.Windows), len(s.History), len(s.Encode()))
	}
	// A window older than all that are kept must not be agreed a second time.
	if s.Apply((&Entry{Kind: Usage, Window: 3, Counts: []Count{{"k", 99}}}).Encode()); s.Agreed(3) != nil {
		t.Error("a window that was agreed long ago is agreed anew")
	}
}

func FuzzDecode(f *testing.F) {
	for _, e := range []*Entry{
		{Kind: Members, Members: []Member{{1, "a", "b"}}}, {Kind: Config, On: 1, Text: config(f, 2)}, {Kind: Holder, Node: 1, Name: "x"},
		{Kind: Usage, Window: 1, Counts: []Count{{"k", 2}}}, {Kind: Nothing, Nonce: 4},
	} {
		f.Add(e.Encode())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := Decode(b); err == nil {
			again, err := Decode(e.Encode())
			if err != nil || !cmp.Equal(e, again) {
				t.Errorf("%+v, %+v, %v", e, again, err)
			}
		}
		DecodeState(b)
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
