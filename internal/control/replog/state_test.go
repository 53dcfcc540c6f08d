package replog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// encodedConfig returns a configuration of a revision, without routes, as an operator sends it.
func encodedConfig(t testing.TB, revision int) []byte {
	t.Helper()
	b, err := cbor.Marshal(struct { // fields in this order; a map would be encoded in another one each time
		Revision int   `cbor:"revision"`
		Routes   []any `cbor:"routes"`
		Services []any `cbor:"services"`
	}{revision, []any{}, []any{}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// apply applies an entry with a payload.
func apply(s *State, p Payload) { s.Apply(Entry{Payload: p}.Encode()) }

func TestStateIsTheSumOfItsEntries(t *testing.T) {
	members := []Member{{1, "a", "10.0.0.1:1"}, {2, "b", "10.0.0.2:1"}, {3, "c", "10.0.0.3:1"}}
	s := &State{}
	for _, p := range []Payload{
		MembersChange{members},
		ConfigChange{0, encodedConfig(t, 3)},
		ConfigChange{0, encodedConfig(t, 4)}, // lost its race
		ConfigChange{3, encodedConfig(t, 3)}, // its revision is not above the current one
		ConfigChange{3, []byte{0xff}},        // cannot be decoded
		LeaseGrant{2, "b"},
		UsageReport{9, []TenantCount{{"k", 5}}},
		UsageReport{9, []TenantCount{{"k", 6}}}, // the first report stands
		ConfigChange{3, encodedConfig(t, 8)},
		Noop{},
	} {
		apply(s, p)
	}
	s.Apply([]byte("not an entry"))
	want := &State{
		NextIndex: 11, Members: members, Config: encodedConfig(t, 8), Revision: 8, ConfigIndex: 8,
		LeaseHolder: 2, LeaseHolderName: "b", FencingToken: 5, UsageWindows: []UsageWindow{{9, []TenantCount{{"k", 5}}}},
	}
	_, third, _ := fleetconfig.DecodeWithDigest(encodedConfig(t, 3))
	_, want.Digest, _ = fleetconfig.DecodeWithDigest(want.Config)
	want.History = []AcceptedConfig{{3, third}, {8, want.Digest}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	got, err := DecodeState(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, got); diff != "" {
		t.Errorf("decoded (-want +got):\n%s", diff)
	}
}

func TestLookupsFindWhatIsThere(t *testing.T) {
	s := State{
		Members:      []Member{{1, "a", "10.0.0.1:1"}, {3, "c", "10.0.0.3:1"}},
		UsageWindows: []UsageWindow{{9, []TenantCount{{"k", 5}}}},
		History:      []AcceptedConfig{{3, fleetconfig.Digest{1}}, {8, fleetconfig.Digest{2}}},
	}
	if m := s.Member(3); m == nil || m.Name != "c" || s.Member(9) != nil {
		t.Errorf("member 3 is %+v, member 9 %+v", m, s.Member(9))
	}
	if w := s.AgreedUsage(9); w == nil || w.Counts[0].Requests != 5 || s.AgreedUsage(8) != nil {
		t.Errorf("window 9 is %+v, window 8 %+v", w, s.AgreedUsage(8))
	}
	if !s.WasAccepted(3, fleetconfig.Digest{1}) || s.WasAccepted(4, fleetconfig.Digest{1}) || s.WasAccepted(3, fleetconfig.Digest{2}) {
		t.Error("revision 3 was accepted with the first digest, and nothing else with it")
	}
}

func TestStateIsBounded(t *testing.T) {
	s := &State{}
	apply(s, MembersChange{[]Member{{1, "a", "x"}}})
	for n := range 500 {
		apply(s, UsageReport{uint64(n), []TenantCount{{"k", 1}}})
		apply(s, ConfigChange{uint64(n), encodedConfig(t, n+1)})
	}
	if len(s.UsageWindows) != maxUsageWindows || len(s.History) != minHistory+500%minHistory || s.Revision != 500 || len(s.Encode()) > 16<<10 {
		t.Errorf("%d windows, %d configurations, %d bytes", len(s.UsageWindows), len(s.History), len(s.Encode()))
	}
	// A window older than all that are kept must not be agreed a second time.
	if apply(s, UsageReport{3, []TenantCount{{"k", 99}}}); s.AgreedUsage(3) != nil {
		t.Error("a window that was agreed and dropped is agreed again")
	}
}

// TestCopiesOfAStateDoNotChange: a state is handed out as a copy while entries are applied to it.
func TestCopiesOfAStateDoNotChange(t *testing.T) {
	s := State{}
	for _, window := range []uint64{9, 5, 7, 3} {
		before := s
		numbers := func() (all []uint64) {
			for _, w := range before.UsageWindows {
				all = append(all, w.Number)
			}
			return all
		}
		want := fmt.Sprint(numbers())
		apply(&s, UsageReport{window, []TenantCount{{"k", window}}})
		if got := fmt.Sprint(numbers()); got != want {
			t.Errorf("windows of a copy were %s, and are %s", want, got)
		}
	}
}

// TestVoteLossesAreKnownForAWhile: that a member lost its vote, to nobody or to another, is known also once it has a vote again and
// after the state was read back, until so many entries later.
func TestVoteLossesAreKnownForAWhile(t *testing.T) {
	s := &State{}
	member := func(i int) Member { return Member{ID: uint64(i + 1), Name: fmt.Sprint("k-", i), Addr: "x"} }
	apply(s, MembersChange{[]Member{member(0), member(1), member(2)}})
	apply(s, MembersChange{[]Member{member(0), member(1)}})            // 2 is removed
	apply(s, MembersChange{[]Member{member(0), member(2)}})            // 1 is replaced
	apply(s, MembersChange{[]Member{member(0), member(1), member(2)}}) // and both have a vote
	got, err := DecodeState(s.Encode())
	if diff := cmp.Diff(s, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Fatalf("%v (-want +got):\n%s", err, diff)
	}
	if !got.HasLostVote("k-2") || !got.HasLostVote("k-1") || got.HasLostVote("k-0") {
		t.Errorf("losses %+v", got.VoteLosses)
	}
	if earlier, err := DecodeState(got.EncodeAs(secondStateVersion)); err != nil || len(earlier.VoteLosses) > 0 || len(earlier.Members) != 3 {
		t.Errorf("for readers of the second format: %v, %+v", err, earlier)
	}
	for range limits.RemovalRetryEntries {
		apply(got, Noop{})
	}
	if got.HasLostVote("k-1") || got.HasLostVote("k-2") {
		t.Error("a loss is known for good")
	}
	if apply(got, MembersChange{got.Members}); len(got.VoteLosses) > 0 {
		t.Errorf("losses %+v are kept", got.VoteLosses)
	}
}

func TestFormerMembersAreKeptAndBounded(t *testing.T) {
	s := State{}
	member := func(i int) Member { return Member{ID: uint64(i + 1), Name: fmt.Sprint("k-", i), Addr: "x"} }
	setMembers := func(members ...Member) { apply(&s, MembersChange{members}) }
	setMembers(member(0), member(1))
	setMembers(member(0), member(2))
	setMembers(member(1), member(2))
	if diff := cmp.Diff([]string{"k-0"}, s.FormerMembers); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for i := range 200 {
		setMembers(member(i))
	}
	got, err := DecodeState(s.Encode())
	if err != nil || len(got.FormerMembers) != maxFormerMembers || got.FormerMembers[maxFormerMembers-1] != "k-198" {
		t.Errorf("%d names, %v", len(got.FormerMembers), err)
	}
}

// TestFirstFormatIsReadAndWrittenUnchanged reads a state of the program that kept 64 configurations of the history: 70 were
// accepted, with odd revisions. What the state holds is written byte for byte as that program writes it.
func TestFirstFormatIsReadAndWrittenUnchanged(t *testing.T) {
	b, err := os.ReadFile("testdata/state.v1")
	if err != nil {
		t.Fatal(err)
	}
	s, err := DecodeState(b)
	if err != nil || s.NextIndex != 73 || s.Revision != 139 || len(s.History) != 64 || s.OldestRevision() != 13 || s.LeaseHolder != 2 || s.AgreedUsage(9) == nil {
		t.Fatalf("%v: %+v", err, s)
	}
	if !bytes.Equal(s.Encode(), b) || !bytes.Equal(s.EncodeAs(StateVersion), b) {
		t.Error("encoded again, it differs")
	}
	_, d, _ := fleetconfig.DecodeWithDigest(encodedConfig(t, 13))
	for n := 141; n < 341; n += 2 { // and continues
		apply(s, ConfigChange{s.Revision, encodedConfig(t, n)})
	}
	if !s.WasAccepted(13, d) || s.Encode()[0] != secondStateVersion {
		t.Error("the history of the earlier program is lost")
	}
}

// tenantCounts returns the counts of a window with so many tenants.
func tenantCounts(tenants int) []TenantCount {
	counts := make([]TenantCount, tenants)
	for i := range counts {
		counts[i] = TenantCount{Tenant: fmt.Sprintf("tenant-%06d", i), Requests: uint64(i)}
	}
	return counts
}

// TestLargeUsageWindows: windows of up to 65,536 tenants are agreed, and survive the state's encoding. Readers of earlier formats
// get the state without them.
func TestLargeUsageWindows(t *testing.T) {
	s := &State{}
	for number, tenants := range []int{maxCounts, maxCounts + 1, 16_384, maxLargeCounts} {
		p := UsageReport{Window: uint64(number + 1), Counts: tenantCounts(tenants)}
		encoded := Entry{Payload: p}.Encode()
		if err := Check(encoded); err != nil {
			t.Fatalf("%d tenants: %v", tenants, err)
		}
		if s.Apply(encoded); len(s.AgreedUsage(p.Window).Counts) != tenants {
			t.Fatalf("%d tenants: another window is agreed", tenants)
		}
		got, err := DecodeState(s.Encode())
		if diff := cmp.Diff(s, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
			t.Fatalf("%d tenants: %v (-want +got):\n%s", tenants, err, diff)
		}
	}
	if len(s.UsageWindows) != 4 || s.Encode()[0] != StateVersion {
		t.Errorf("%d windows, format %d", len(s.UsageWindows), s.Encode()[0])
	}
	for _, version := range []byte{firstStateVersion, secondStateVersion} {
		b := s.EncodeAs(version)
		if got, err := DecodeState(b); err != nil || b[0] > version || len(got.UsageWindows) != 1 || got.NextIndex != s.NextIndex {
			t.Errorf("for readers of format %d: %v, format %d, %+v", version, err, b[0], got)
		}
	}
}

// TestUsageWindowsAreBounded: the windows that a state keeps are bounded in bytes, and the newest ones stay.
func TestUsageWindowsAreBounded(t *testing.T) {
	const last = 12
	s := &State{}
	for number := range uint64(last + 1) {
		apply(s, UsageReport{Window: number, Counts: tenantCounts(16_384)})
	}
	n := len(s.Encode())
	if n > limits.UsageBytes+1000 || s.AgreedUsage(last) == nil || s.AgreedUsage(last-4) == nil || !s.IsUsageTooOld(0) {
		t.Errorf("%d bytes, %d windows", n, len(s.UsageWindows))
	}
}

// TestCheckFindsWhatReplicasWouldIgnore: an entry of each kind that exceeds a bound of its decoder is found before it is proposed.
func TestCheckFindsWhatReplicasWouldIgnore(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	for name, c := range map[string]struct {
		payload Payload
		want    error
	}{
		"no operation":               {Noop{}, nil},
		"members":                    {MembersChange{make([]Member, maxMembers)}, nil},
		"too many members":           {MembersChange{make([]Member, maxMembers+1)}, encoding.ErrTooLong},
		"a member's long name":       {MembersChange{[]Member{{Name: long}}}, encoding.ErrTooLong},
		"a configuration":            {ConfigChange{1, encodedConfig(t, 2)}, nil},
		"a configuration too large":  {ConfigChange{1, make([]byte, fleetconfig.MaxBytes+1)}, encoding.ErrTooLong},
		"a holder's long name":       {LeaseGrant{1, long}, encoding.ErrTooLong},
		"a tenant's long name":       {UsageReport{1, []TenantCount{{long, 1}}}, encoding.ErrTooLong},
		"too many tenants":           {UsageReport{1, tenantCounts(maxLargeCounts + 1)}, encoding.ErrTooLong},
		"tenants with names too big": {UsageReport{1, slices.Repeat([]TenantCount{{long[1:], 1}}, 9000)}, ErrEntryTooLarge},
	} {
		if err := Check(Entry{Payload: c.payload}.Encode()); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	if err := Check([]byte{entryVersion, 99, 0, 0, 0, 0, 0, 0, 0, 0}); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("an unknown kind: %v", err)
	}
}
