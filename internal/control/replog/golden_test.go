package replog

import (
	"bytes"
	"crypto/sha256"
	"testing"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/testutil/golden"
)

// goldenEntries returns a log with entries of every kind.
func goldenEntries() []Entry {
	members := []Member{{ID: 0x0102030405060708, Name: "k-1", Addr: "10.0.0.1:7000"}, {ID: 2, Name: "k-2", Addr: "10.0.0.2:7000"}}
	return []Entry{
		{Nonce: 1, Payload: MembersChange{Members: members}},
		{Nonce: 0xfedcba9876543210, Payload: ConfigChange{BaseRevision: 0, Config: []byte("\xa3\x68revision\x05\x66routes\x80\x68services\x80")}},
		{Nonce: 3, Payload: LeaseGrant{HolderID: 2, HolderName: "k-2"}},
		{Nonce: 4, Payload: UsageReport{Window: 352_800_000, Counts: []TenantCount{{"lab", 300}, {"shop", 1}}}},
		{Nonce: 5, Payload: Noop{}},
		{Nonce: 6, Payload: MembersChange{Members: []Member{members[0], {ID: 3, Name: "k-3", Addr: "10.0.0.3:7000"}}}},
	}
}

var goldenNames = []string{"members", "configuration", "lease-holder", "usage", "no-op", "members-replaced"}

// TestGoldenEntries checks that entries of every kind are encoded as in their golden files.
func TestGoldenEntries(t *testing.T) {
	for i, e := range goldenEntries() {
		t.Run(goldenNames[i], func(t *testing.T) {
			golden.RoundTrip(t, "entry-"+goldenNames[i]+".hex", e, Entry.Encode, Decode)
		})
	}
}

// TestGoldenStates checks that the entries of the golden files produce the expected state, and that the state is encoded as in the
// golden file of each format.
func TestGoldenStates(t *testing.T) {
	s := &State{}
	for i, name := range goldenNames {
		s.Apply(golden.Read(t, "entry-"+name+".hex"))
		if i == len(goldenNames)-2 {
			first := *s
			golden.RoundTrip(t, "state-format-1.hex", &first, (*State).Encode, DecodeState)
		}
	}
	golden.RoundTrip(t, "state-format-3.hex", s, (*State).Encode, DecodeState)
	golden.Check(t, "state-format-2.hex", s.EncodeAs(secondStateVersion))
	golden.Check(t, "state-format-2-as-1.hex", s.EncodeAs(1))
	second := *s
	second.VoteLosses = nil
	golden.RoundTrip(t, "state-format-2.hex", &second, (*State).Encode, DecodeState)
	if b := golden.Read(t, "state-format-1.hex"); b[0] != 1 {
		t.Errorf("format %d", b[0])
	}
	if b := golden.Read(t, "state-format-2.hex"); b[0] != 2 {
		t.Errorf("format %d", b[0])
	}
	want := &State{
		NextIndex: 6, Members: goldenEntries()[5].Payload.(MembersChange).Members, Config: goldenEntries()[1].Payload.(ConfigChange).Config, Revision: 5, ConfigIndex: 1,
		LeaseHolder: 2, LeaseHolderName: "k-2", FencingToken: 2, FormerMembers: []string{"k-2"}, VoteLosses: []VoteLoss{{"k-2", 5}},
		UsageWindows: []UsageWindow{{Number: 352_800_000, Counts: []TenantCount{{"lab", 300}, {"shop", 1}}}},
	}
	_, want.Digest, _ = fleetconfig.DecodeWithDigest(want.Config)
	want.History = []AcceptedConfig{{5, want.Digest}}
	golden.Equal(t, "the state", want, s)
}

// TestGoldenHistory checks the encoding of a state whose history exceeds the limit of format 1.
func TestGoldenHistory(t *testing.T) {
	s := &State{}
	s.Apply(Entry{Payload: MembersChange{Members: []Member{{1, "a", "10.0.0.1:1"}}}}.Encode())
	for n := range 2 * minHistory {
		config := append(append([]byte("\xa3\x68revision\x18"), byte(n+24)), "\x66routes\x80\x68services\x80"...)
		s.Apply(Entry{Payload: ConfigChange{BaseRevision: s.Revision, Config: config}}.Encode())
	}
	if len(s.CompactedHistory) == 0 || s.Revision != 2*minHistory+23 {
		t.Fatalf("%d compacted, revision %d", len(s.CompactedHistory), s.Revision)
	}
	golden.RoundTrip(t, "state-long-history.hex", s, (*State).Encode, DecodeState)
	golden.Check(t, "state-long-history-as-1.hex", s.EncodeAs(1))
	if got, err := DecodeState(golden.Read(t, "state-long-history-as-1.hex")); err != nil || !bytes.Equal(got.Config, s.Config) {
		t.Errorf("%v", err)
	}
}

// TestGoldenLargeUsage checks the encodings of an entry and a state with a large usage window. The golden file has digests of the
// encodings, which are long.
func TestGoldenLargeUsage(t *testing.T) {
	s := &State{}
	apply(s, MembersChange{[]Member{{1, "k-1", "10.0.0.1:1"}, {2, "k-2", "10.0.0.2:1"}}})
	entry := Entry{Nonce: 7, Payload: UsageReport{Window: 352_800_000, Counts: tenantCounts(maxCounts + 1)}}.Encode()
	s.Apply(entry)
	entryDigest, stateDigest := sha256.Sum256(entry), sha256.Sum256(s.Encode())
	golden.Check(t, "large-usage-digests.hex", append(entryDigest[:], stateDigest[:]...))
}
