package replog

import (
	"bytes"
	"fmt"
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
		checkRepeat(t, s, order{uint64(max(3*n-2, 0)), uint64(3*n + 1), d[n]}, n >= accepted-limits.ConfigHistoryEntries)
		if s.WasAccepted(uint64(max(3*n-2, 0)), uint64(3*n+1), d[(n+1)%accepted]) {
			t.Errorf("a different configuration with revision %d is reported as accepted", 3*n+1)
		}
	}
	checkHistorySize(t, s)
	if got, err := DecodeState(s.EncodeAs(1)); err != nil || !got.WasAccepted(s.Revision-3, s.Revision, d[accepted-1]) || len(got.History) != minHistory {
		t.Errorf("decoded from format 1: %v, error %v", got, err)
	}
}

// checkRepeat checks that the repeat of an order is recognised if it must be kept, and is never reported as rejected.
func checkRepeat(t *testing.T, s *State, o order, isKept bool) {
	t.Helper()
	if was := s.WasAccepted(o.base, o.revision, o.digest); was != isKept && (isKept || was != (o.revision >= s.OldestRevision())) {
		t.Errorf("revision %d (current %d, oldest kept %d): WasAccepted returns %v", o.revision, s.Revision, s.OldestRevision(), was)
	}
	if got := s.CheckConfig(o.base, o.revision, o.digest); got != ConfigAlreadyAccepted && (isKept || got != ConfigForgotten) {
		t.Errorf("revision %d (oldest kept %d): a repeat has status %d", o.revision, s.OldestRevision(), got)
	}
}

// TestOldConfigurationOnAnotherBaseIsNotAccepted guards against acknowledging an order that only has the content of an accepted one:
// the same revision and digest on another base. Repeats of the accepted orders stay recognised, also in states that were written in an
// earlier format (docs/incidents/2026-12-04-an-old-configuration-acknowledged.md).
func TestOldConfigurationOnAnotherBaseIsNotAccepted(t *testing.T) {
	for _, count := range []int{1, 2, minHistory - 1, minHistory, minHistory + 1, 2*minHistory - 1, 2 * minHistory, 5*minHistory + 7} {
		for format := byte(firstStateVersion); format <= StateVersion; format++ {
			t.Run(fmt.Sprintf("%d configurations in format %d", count, format), func(t *testing.T) {
				s, orders := acceptOrders(t, count)
				s, err := DecodeState(s.EncodeAs(format))
				if err != nil {
					t.Fatal(err)
				}
				for i, order := range orders {
					checkOrder(t, s, order)
					for _, base := range []uint64{0, order.base - 1, order.base + 1, order.revision, order.revision + 1, s.Revision, s.Revision + 9} {
						if base != order.base {
							checkOnAnotherBase(t, s, order, base, i == 0)
						}
					}
				}
			})
		}
	}
}

// order is an operator's accepted change.
type order struct {
	base, revision uint64
	digest         fleetconfig.Digest
}

// acceptOrders returns a state after a number of accepted configurations, whose revisions are 5 apart, and their orders.
func acceptOrders(t *testing.T, count int) (s *State, orders []order) {
	t.Helper()
	s = &State{}
	for n := range count {
		config := encodedConfig(t, 5*n+5)
		_, digest, _ := fleetconfig.DecodeWithDigest(config)
		orders = append(orders, order{s.Revision, uint64(5*n + 5), digest})
		apply(s, ConfigChange{s.Revision, config})
	}
	return s, orders
}

// checkOrder checks that the repeat of an accepted order is recognised, or may be if it is older than the history.
func checkOrder(t *testing.T, s *State, o order) {
	t.Helper()
	want := ConfigAlreadyAccepted
	if o.revision < s.OldestRevision() {
		want = ConfigForgotten
	}
	if got := s.CheckConfig(o.base, o.revision, o.digest); got != want {
		t.Errorf("revision %d on %d: repeat has status %d, want %d", o.revision, o.base, got, want)
	}
}

// checkOnAnotherBase checks that the content of an accepted order on another base is rejected. If the history may have been longer,
// this is unknown for lower bases of its oldest configuration and of the ones before it.
func checkOnAnotherBase(t *testing.T, s *State, o order, base uint64, isFirst bool) {
	t.Helper()
	got := s.CheckConfig(base, o.revision, o.digest)
	isUnknown := base < o.revision && o.revision <= s.OldestRevision() && (s.mayHaveDroppedHistory() || !isFirst)
	switch want := ConfigStaleBase; {
	case isUnknown && (got == ConfigAlreadyAccepted || got == ConfigForgotten):
	case base == s.Revision && got != ConfigRevisionTooLow, base != s.Revision && got != want:
		t.Errorf("revision %d on %d instead of %d: status %d (current %d, oldest %d)", o.revision, base, o.base, got, s.Revision, s.OldestRevision())
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
			s.WasAccepted(776, 777, fleetconfig.Digest{})
		}
	})
}
