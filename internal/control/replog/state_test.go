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

// encodedConfig returns an encoded configuration with the given revision and no routes.
func encodedConfig(t testing.TB, revision int) []byte {
	t.Helper()
	b, err := cbor.Marshal(struct { // a struct, because the order of encoded map entries is random
		Revision int   `cbor:"revision"`
		Routes   []any `cbor:"routes"`
		Services []any `cbor:"services"`
	}{revision, []any{}, []any{}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// apply applies an entry with payload p to s.
func apply(s *State, p Payload) { s.Apply(Entry{Payload: p}.Encode()) }

func TestStateIsTheSumOfItsEntries(t *testing.T) {
	members := []Member{{1, "a", "10.0.0.1:1"}, {2, "b", "10.0.0.2:1"}, {3, "c", "10.0.0.3:1"}}
	s := &State{}
	for _, p := range []Payload{
		MembersChange{members},
		ConfigChange{0, encodedConfig(t, 3)},
		ConfigChange{0, encodedConfig(t, 4)}, // its base revision is not the current one
		ConfigChange{3, encodedConfig(t, 3)}, // its revision is not higher than the current one
		ConfigChange{3, []byte{0xff}},        // cannot be decoded
		LeaseGrant{2, "b"},
		UsageReport{9, []TenantCount{{"k", 5}}},
		UsageReport{9, []TenantCount{{"k", 6}}}, // a repeated report is ignored
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

func TestLookupsReturnOnlyExistingElements(t *testing.T) {
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
	if !s.WasAccepted(0, 3, fleetconfig.Digest{1}) || s.WasAccepted(0, 4, fleetconfig.Digest{1}) || s.WasAccepted(0, 3, fleetconfig.Digest{2}) || s.WasAccepted(1, 3, fleetconfig.Digest{1}) {
		t.Error("WasAccepted must return true only for revision 3 with digest 1 on base 0")
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
	// A window older than all kept windows must not be recorded a second time.
	if apply(s, UsageReport{3, []TenantCount{{"k", 99}}}); s.AgreedUsage(3) != nil {
		t.Error("a window that was recorded and dropped is recorded again")
	}
}

// TestCopiesOfAStateDoNotChange checks that Apply does not modify earlier copies of a state.
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
			t.Errorf("windows of a copy changed from %s to %s", want, got)
		}
	}
}

// TestVoteLossesAreKeptForRetries checks that the removal or replacement of a voter is kept for limits.RemovalRetryEntries entries,
// also after the member is a voter again and after the state was encoded and decoded.
func TestVoteLossesAreKeptForRetries(t *testing.T) {
	s := &State{}
	member := func(i int) Member { return Member{ID: uint64(i + 1), Name: fmt.Sprint("k-", i), Addr: "x"} }
	apply(s, MembersChange{[]Member{member(0), member(1), member(2)}})
	apply(s, MembersChange{[]Member{member(0), member(1)}})            // 2 is removed
	apply(s, MembersChange{[]Member{member(0), member(2)}})            // 1 is replaced
	apply(s, MembersChange{[]Member{member(0), member(1), member(2)}}) // both are voters again
	got, err := DecodeState(s.Encode())
	if diff := cmp.Diff(s, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
		t.Fatalf("%v (-want +got):\n%s", err, diff)
	}
	if !got.HasLostVote("k-2") || !got.HasLostVote("k-1") || got.HasLostVote("k-0") {
		t.Errorf("vote losses %+v, want those of k-1 and k-2", got.VoteLosses)
	}
	if earlier, err := DecodeState(got.EncodeAs(secondStateVersion)); err != nil || len(earlier.VoteLosses) > 0 || len(earlier.Members) != 3 {
		t.Errorf("decoded from format 2: error %v, state %+v", err, earlier)
	}
	for range limits.RemovalRetryEntries {
		apply(got, Noop{})
	}
	if got.HasLostVote("k-1") || got.HasLostVote("k-2") {
		t.Error("vote losses are reported after limits.RemovalRetryEntries entries")
	}
	if apply(got, MembersChange{got.Members}); len(got.VoteLosses) > 0 {
		t.Errorf("expired vote losses are kept: %+v", got.VoteLosses)
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
		t.Errorf("%d names, error %v", len(got.FormerMembers), err)
	}
}

// TestFirstFormatIsReadAndWrittenUnchanged reads a state from a release that kept 64 configurations of the history. That release
// had accepted 70 configurations with odd revisions. The state must be encoded to the same bytes again.
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
		t.Error("the state is encoded to different bytes")
	}
	_, d, _ := fleetconfig.DecodeWithDigest(encodedConfig(t, 13))
	for n := 141; n < 341; n += 2 {
		apply(s, ConfigChange{s.Revision, encodedConfig(t, n)})
	}
	if !s.WasAccepted(11, 13, d) || s.Encode()[0] != secondStateVersion {
		t.Error("the history of the earlier release is lost")
	}
}

// tenantCounts returns the counts of a window with the given number of tenants.
func tenantCounts(tenants int) []TenantCount {
	counts := make([]TenantCount, tenants)
	for i := range counts {
		counts[i] = TenantCount{Tenant: fmt.Sprintf("tenant-%06d", i), Requests: uint64(i)}
	}
	return counts
}

// TestLargeUsageWindows checks that windows of up to 65,536 tenants are recorded and encoded, and that earlier formats omit the
// large ones.
func TestLargeUsageWindows(t *testing.T) {
	s := &State{}
	for number, tenants := range []int{maxCounts, maxCounts + 1, 16_384, maxLargeCounts} {
		p := UsageReport{Window: uint64(number + 1), Counts: tenantCounts(tenants)}
		encoded := Entry{Payload: p}.Encode()
		if err := Check(encoded); err != nil {
			t.Fatalf("%d tenants: %v", tenants, err)
		}
		if s.Apply(encoded); len(s.AgreedUsage(p.Window).Counts) != tenants {
			t.Fatalf("%d tenants: the recorded window has another number of tenants", tenants)
		}
		got, err := DecodeState(s.Encode())
		if diff := cmp.Diff(s, got, cmpopts.EquateEmpty()); diff != "" || err != nil {
			t.Fatalf("%d tenants: %v (-want +got):\n%s", tenants, err, diff)
		}
	}
	if len(s.UsageWindows) != 4 || s.Encode()[0] != StateVersion {
		t.Errorf("%d windows, encoded in format %d", len(s.UsageWindows), s.Encode()[0])
	}
	for _, version := range []byte{firstStateVersion, secondStateVersion} {
		b := s.EncodeAs(version)
		if got, err := DecodeState(b); err != nil || b[0] > version || len(got.UsageWindows) != 1 || got.NextIndex != s.NextIndex {
			t.Errorf("EncodeAs(%d): error %v, format %d, state %+v", version, err, b[0], got)
		}
	}
}

// TestUsageWindowsAreBounded checks that the size of the kept windows is bounded and that the newest windows are kept.
func TestUsageWindowsAreBounded(t *testing.T) {
	const last = 12
	s := &State{}
	for number := range uint64(last + 1) {
		apply(s, UsageReport{Window: number, Counts: tenantCounts(16_384)})
	}
	n := len(s.Encode())
	if n > limits.UsageBytes+1000 || s.AgreedUsage(last) == nil || s.AgreedUsage(last-4) == nil || !s.IsUsageTooOld(0) {
		t.Errorf("encoded in %d bytes, with %d windows", n, len(s.UsageWindows))
	}
}

// TestCheckRejectsEntriesThatReplicasWouldIgnore checks that Check rejects entries of every kind that exceed a limit of Decode.
func TestCheckRejectsEntriesThatReplicasWouldIgnore(t *testing.T) {
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
		t.Errorf("an unknown kind: error %v, want ErrUnknownVersion", err)
	}
}
