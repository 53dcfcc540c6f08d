package rpc

import (
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestKindsKeepTheirNumbersAndOwners: kind numbers are part of the wire format.
func TestKindsKeepTheirNumbersAndOwners(t *testing.T) {
	for owner, want := range map[Owner][]Kind{
		OwnerReplica:   {1, 2, 3, 4, 10, 14, 16},
		OwnerConfigs:   {5},
		OwnerSingleton: {8, 9, 11, 15},
		OwnerNone:      nil,
	} {
		if diff := cmp.Diff(want, Kinds(owner)); diff != "" {
			t.Errorf("owner %d (-want +got):\n%s", owner, diff)
		}
	}
}

// TestEveryKindIsDescribed: a listed kind has a timeout, and a number that is not listed has no owner.
func TestEveryKindIsDescribed(t *testing.T) {
	for number := range 256 {
		kind := Kind(number)
		spec := Lookup(kind)
		isListed := slices.Contains(Kinds(spec.Owner), kind)
		if spec.Timeout <= 0 || isListed != (spec.Owner != OwnerNone) {
			t.Errorf("kind %d: %+v, listed %v", kind, spec, isListed)
		}
	}
}

// TestHandlerMismatchesAreReported: a missing kind of the owner and a kind of another owner are both reported.
func TestHandlerMismatchesAreReported(t *testing.T) {
	handlers := Handlers[func()]{KindFetchConfig: func() {}}
	if mismatches := handlers.Mismatches(OwnerConfigs); len(mismatches) > 0 {
		t.Errorf("mismatches %v", mismatches)
	}
	handlers[KindJoin] = func() {}
	delete(handlers, KindFetchConfig)
	if diff := cmp.Diff([]Kind{KindFetchConfig, KindJoin}, handlers.Mismatches(OwnerConfigs)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if _, err := handlers.Lookup(7); !errors.Is(err, UnknownKindError(7)) {
		t.Errorf("lookup of an unknown kind: %v", err)
	}
}
