package replog

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"notchhinge/internal/control/fleetconfig"
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
		{Kind: EntryMembers, Members: members},
		{Kind: EntryConfig, BaseRevision: 0, Config: config(t, 3)},
		{Kind: EntryConfig, BaseRevision: 0, Config: config(t, 4)}, // lost its race
		{Kind: EntryConfig, BaseRevision: 3, Config: config(t, 3)}, // not above
		{Kind: EntryConfig, BaseRevision: 3, Config: []byte{0xff}}, // invalid
		{Kind: EntryLeaseHolder, HolderID: 2, HolderName: "b"},
		{Kind: EntryUsage, Window: 9, Counts: []TenantCount{{"k", 5}}},
		{Kind: EntryUsage, Window: 9, Counts: []TenantCount{{"k", 6}}}, // the first figure stands
		{Kind: EntryConfig, BaseRevision: 3, Config: config(t, 8)},
		{Kind: EntryNoop},
	} {
		s.Apply(e.Encode())
	}
	s.Apply([]byte("nothing that can be read"))
	if s.NextIndex != 11 || s.Revision != 8 || s.ConfigIndex != 8 || s.LeaseHolder != 2 || s.FencingToken != 5 || s.Member(3) == nil || s.Member(9) != nil {
		t.Errorf("%+v", s)
	}
	if w := s.AgreedUsage(9); w == nil || w.Counts[0].Requests != 5 || s.AgreedUsage(8) != nil {
		t.Errorf("%+v", w)
	}
	if len(s.History) != 2 || !s.WasAccepted(3, s.History[0].Digest) || s.WasAccepted(4, s.History[0].Digest) {
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
	s.Apply((&Entry{Kind: EntryMembers, Members: []Member{{1, "a", "x"}}}).Encode())
	on := uint64(0)
	for n := range 500 {
		s.Apply((&Entry{Kind: EntryUsage, Window: uint64(n), Counts: []TenantCount{{"k", 1}}}).Encode())
		s.Apply((&Entry{Kind: EntryConfig, BaseRevision: on, Config: config(t, n+1)}).Encode())
		on = uint64(n + 1)
	}
	if len(s.UsageWindows) != keptWindows || len(s.History) != keptHistory+500%keptHistory || s.Revision != 500 || len(s.Encode()) > 16<<10 {
		t.Errorf("%d windows, %d configurations, %d bytes", len(s.UsageWindows), len(s.History), len(s.Encode()))
	}
	// A window older than all that are kept must not be agreed a second time.
	if s.Apply((&Entry{Kind: EntryUsage, Window: 3, Counts: []TenantCount{{"k", 99}}}).Encode()); s.AgreedUsage(3) != nil {
		t.Error("a window that was agreed long ago is agreed anew")
	}
}

// TestLateRepeats: what was taken is known as such after thousands of others, by who has read the state from its disk or from
// another keeper as well, and another text of the same number is not. What the list costs is bounded.
func TestLateRepeats(t *testing.T) {
	const taken = limits.NodeHistory + 1000
	s := &State{}
	d := make([]fleetconfig.Digest, taken)
	for n := range taken {
		text := config(t, 3*n+1)
		_, d[n], _ = fleetconfig.Decode(text)
		s.Apply((&Entry{Kind: EntryConfig, BaseRevision: s.Revision, Config: text}).Encode())
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
		if was := s.WasAccepted(revision, d[n]); was != known && (known || was != (revision >= s.OldestRevision())) {
			t.Errorf("version %d of %d, the oldest kept %d: %v", revision, s.Revision, s.OldestRevision(), was)
		}
		if s.WasAccepted(revision, d[(n+1)%taken]) {
			t.Errorf("another text under number %d counts as taken", revision)
		}
	}
	if b := s.Encode(); len(b) > 80<<10 || len(s.History)+len(s.CompactedHistory) > limits.NodeHistory+2*keptHistory {
		t.Errorf("%d bytes, %d and %d", len(b), len(s.History), len(s.CompactedHistory))
	} else if short := s.EncodeAs(1); b[0] != StateVersion || short[0] != version || len(short) > 4<<10 {
		t.Errorf("format %d, %d bytes; for an earlier program format %d, %d bytes", b[0], len(b), short[0], len(short))
	} else if got, err := DecodeState(short); err != nil || !got.WasAccepted(s.Revision, d[taken-1]) || len(got.History) != keptHistory {
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
	if err != nil || s.NextIndex != 73 || s.Revision != 139 || len(s.History) != 64 || s.OldestRevision() != 13 || s.LeaseHolder != 2 || s.AgreedUsage(9) == nil {
		t.Fatalf("%v: %+v", err, s)
	}
	if !bytes.Equal(s.Encode(), b) || !bytes.Equal(s.EncodeAs(StateVersion), b) {
		t.Error("written again it is another text")
	}
	_, d, _ := fleetconfig.Decode(config(t, 13))
	for n := 141; n < 341; n += 2 { // and goes on
		s.Apply((&Entry{Kind: EntryConfig, BaseRevision: s.Revision, Config: config(t, n)}).Encode())
	}
	if !s.WasAccepted(13, d) || s.Encode()[0] != StateVersion {
		t.Error("what the earlier program had noted is forgotten")
	}
}

// BenchmarkHistory is one configuration taken and the state written, with a full history.
func BenchmarkHistory(b *testing.B) {
	s := &State{}
	for n := range limits.NodeHistory + 200 {
		s.take(AcceptedConfig{Revision: uint64(n + 1)})
	}
	b.Run("take", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			s.take(AcceptedConfig{Revision: uint64(n + 9000)})
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
			s.WasAccepted(777, fleetconfig.Digest{})
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, e := range []*Entry{
		{Kind: EntryMembers, Members: []Member{{1, "a", "b"}}}, {Kind: EntryConfig, BaseRevision: 1, Config: config(f, 2)}, {Kind: EntryLeaseHolder, HolderID: 1, HolderName: "x"},
		{Kind: EntryUsage, Window: 1, Counts: []TenantCount{{"k", 2}}}, {Kind: EntryNoop, Nonce: 4},
	} {
		f.Add(e.Encode())
	}
	s := State{NextIndex: 300}
	for n := range 300 {
		s.take(AcceptedConfig{Revision: uint64(n + 1), Digest: fleetconfig.Digest{byte(n)}})
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
			for _, w := range before.UsageWindows {
				all = append(all, w.Number)
			}
			return all
		}
		want := fmt.Sprint(numbers())
		apply(Entry{Kind: EntryUsage, Window: window, Counts: []TenantCount{{"k", window}}})
		if got := fmt.Sprint(numbers()); got != want {
			t.Errorf("windows of a copy were %s, and are %s", want, got)
		}
	}
}

// TestFormerMembers: names that have had a vote and have none any more are kept, so many of them, and outlive being written.
func TestFormerMembers(t *testing.T) {
	s := State{}
	name := func(i int) Member { return Member{ID: uint64(i + 1), Name: fmt.Sprint("k-", i), Addr: "x"} }
	vote := func(all ...Member) { s.Apply((&Entry{Kind: EntryMembers, Members: all}).Encode()) }
	vote(name(0), name(1))
	vote(name(0), name(2))
	vote(name(1), name(2))
	if diff := cmp.Diff([]string{"k-0"}, s.FormerMembers); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for i := range 200 {
		vote(name(i))
	}
	got, err := DecodeState(s.Encode())
	if err != nil || len(got.FormerMembers) != keptFormer || got.FormerMembers[keptFormer-1] != "k-198" {
		t.Errorf("%d names, %v", len(got.FormerMembers), err)
	}
}
