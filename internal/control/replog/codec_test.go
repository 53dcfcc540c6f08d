package replog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"notchhinge/internal/control/fleetconfig"
)

func FuzzDecode(f *testing.F) {
	for _, e := range []Entry{
		{Payload: MembersChange{[]Member{{1, "a", "b"}}}},
		{Payload: ConfigChange{1, encodedConfig(f, 2)}},
		{Payload: LeaseGrant{1, "x"}},
		{Payload: UsageReport{1, []TenantCount{{"k", 2}}}},
		{Nonce: 4, Payload: Noop{}},
	} {
		f.Add(e.Encode())
	}
	f.Add(Entry{Payload: UsageReport{1, tenantCounts(maxCounts + 1)}}.Encode())
	large := State{NextIndex: 2, UsageWindows: []UsageWindow{{7, tenantCounts(maxCounts + 1)}}}
	f.Add(large.Encode())
	s := State{NextIndex: 300}
	for n := range 300 {
		s.appendHistory(AcceptedConfig{Revision: uint64(n + 1), Digest: fleetconfig.Digest{byte(n)}})
	}
	f.Add(s.Encode())
	f.Add(s.EncodeAs(firstStateVersion))
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := Decode(b); err == nil {
			again, err := Decode(e.Encode())
			if err != nil || !cmp.Equal(e, again) {
				t.Errorf("entry %+v is decoded again as %+v, error %v", e, again, err)
			}
		}
		if s, err := DecodeState(b); err == nil {
			if again, err := DecodeState(s.Encode()); err != nil || !cmp.Equal(s, again, cmpopts.EquateEmpty()) {
				t.Errorf("state %+v is decoded again as %+v, error %v", s, again, err)
			}
		}
	})
}
