package replog

import (
	"bytes"
	"testing"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/limits"
)

// TestLateRepeatsAreRecognised checks that a configuration is recognised as accepted after thousands of others, also after the state
// was encoded and decoded, and that a different configuration with the same revision is not. The size of the history is bounded.
func TestLateRepeatsAreRecognised(t *testing.T) {
	const accepted = limits.ConfigHistoryEntries + 1000
	s := &State{}
	d := make([]fleetconfig.Digest, accepted)
	for n := range accepted {
		config := encodedConfig(t, 3*n+1)
		_, d[n], _ = fleetconfig.DecodeWithDigest(config)
		apply(s, ConfigChange{s.Revision, config})
		if n%700 == 0 { // as on a replica that restarts or catches up
			b := s.Encode()
			got, err := DecodeState(b)
			if err != nil || !bytes.Equal(got.Encode(), b) {
				t.Fatalf("after %d: %v", n, err)
			}
			s = got
		}
	}
	for n := range accepted {
		revision, isKept := uint64(3*n+1), n >= accepted-limits.ConfigHistoryEntries
		if was := s.WasAccepted(revision, d[n]); was != isKept && (isKept || was != (revision >= s.OldestRevision())) {
			t.Errorf("revision %d (current %d, oldest kept %d): WasAccepted returns %v", revision, s.Revision, s.OldestRevision(), was)
		}
		if s.WasAccepted(revision, d[(n+1)%accepted]) {
			t.Errorf("a different configuration with revision %d is reported as accepted", revision)
		}
	}
	checkHistorySize(t, s)
	if got, err := DecodeState(s.EncodeAs(1)); err != nil || !got.WasAccepted(s.Revision, d[accepted-1]) || len(got.History) != minHistory {
		t.Errorf("decoded from format 1: %v, error %v", got, err)
	}
}

// checkHistorySize checks the length of a full history and the size of its encoding in formats 1 and 2.
func checkHistorySize(t *testing.T, s *State) {
	t.Helper()
	b := s.Encode()
	if len(b) > 80<<10 || len(s.History)+len(s.CompactedHistory) > limits.ConfigHistoryEntries+2*minHistory {
		t.Errorf("%d bytes, %d configurations and %d compacted ones", len(b), len(s.History), len(s.CompactedHistory))
	}
	first := s.EncodeAs(1)
	if b[0] != secondStateVersion || first[0] != firstStateVersion || len(first) > 4<<10 {
		t.Errorf("Encode: format %d, %d bytes; EncodeAs(1): format %d, %d bytes", b[0], len(b), first[0], len(first))
	}
}

// BenchmarkHistory measures appending a configuration, encoding the state, and a lookup, each with a full history.
func BenchmarkHistory(b *testing.B) {
	s := &State{}
	for n := range limits.ConfigHistoryEntries + 200 {
		s.appendHistory(AcceptedConfig{Revision: uint64(n + 1)})
	}
	b.Run("append", func(b *testing.B) {
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			s.appendHistory(AcceptedConfig{Revision: uint64(n + 9000)})
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			s.Encode()
		}
		b.ReportMetric(float64(len(s.Encode())), "bytes")
	})
	b.Run("was_accepted", func(b *testing.B) {
		for b.Loop() {
			s.WasAccepted(777, fleetconfig.Digest{})
		}
	})
}
