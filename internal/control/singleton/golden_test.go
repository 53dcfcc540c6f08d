package singleton

import (
	"net/netip"
	"testing"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenCalls checks the encodings of the calls of this package and of their responses.
func TestGoldenCalls(t *testing.T) {
	golden.Equal(t, "numbers of calls", []rpc.Kind{8, 9, 11, 15}, []rpc.Kind{rpc.KindUsageReport, rpc.KindUsageTable, rpc.KindRenewLease, rpc.KindCheckCandidacy})
	h := newHarness()
	h.cfg.Peers = func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")} }
	checkCalls := func(name string, kind rpc.Kind) {
		t.Helper()
		n := 0
		for _, c := range h.calls {
			if c.Kind == kind {
				golden.Check(t, name+".hex", c.Body)
				n++
			}
		}
		if n == 0 {
			t.Fatalf("%s: no such call among %+v", name, h.calls)
		}
	}
	checkResponse := func(name string, kind rpc.Kind, body []byte) {
		t.Helper()
		r := h.call(t, kind, body)
		if r.Err != nil {
			t.Fatalf("%s: %v", name, r.Err)
		}
		golden.Check(t, name+".hex", r.Body)
	}
	for n := 0; h.proposed == nil && n < 60; n++ {
		h.advance(sec)
		if h.proposed == nil && len(h.calls) > 0 {
			checkCalls("lease-candidacy", rpc.KindCheckCandidacy)
			h.grant(2)
		}
	}
	if h.proposed == nil {
		t.Fatal("it does not become a candidate")
	}
	h.choose()
	checkCalls("lease-renewal", rpc.KindRenewLease)
	h.grant(2)

	checkResponse("lease-granted", rpc.KindRenewLease, golden.Read(t, "lease-renewal.hex"))
	w := encoding.Writer{} // a request of an earlier release, without VotersHash
	w.Uvarint(h.state.FencingToken)
	w.Fixed64(1)
	checkResponse("lease-granted-short", rpc.KindRenewLease, w.Buf)
	checkResponse("lease-rejected", rpc.KindRenewLease, golden.Read(t, "lease-candidacy.hex"))
	checkResponse("lease-candidacy-rejected", rpc.KindCheckCandidacy, golden.Read(t, "lease-candidacy.hex"))
	checkResponse("report-answered", rpc.KindUsageReport, golden.Read(t, "../../../usage/testdata/golden/report.hex"))

	h.calls = nil
	w = encoding.Writer{}
	w.Uvarint(352_800_000)
	w.Uvarint(352_800_002)
	golden.Check(t, "usage-table-request.hex", w.Buf)
	checkResponse("usage-table-answered", rpc.KindUsageTable, golden.Read(t, "usage-table-request.hex"))
	h.requestTables(352_800_000, 352_800_002)
	for _, f := range h.effects {
		if f, ok := f.(SendCall); ok && f.Kind == rpc.KindUsageTable {
			golden.Check(t, "usage-table-request.hex", f.Body)
			return
		}
	}
	t.Error("no tables are requested from the peers")
}
