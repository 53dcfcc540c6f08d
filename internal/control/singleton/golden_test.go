package singleton

import (
	"net/netip"
	"testing"
	"time"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/testutil/golden"
)

func goldenReport() *Report {
	return &Report{
		Incarnation: 0x0102030405060708, Zone: "a",
		Counters: Counters{Windows: map[uint64]map[string]uint64{
			352_800_000: {"lab": 300, "shop": 1}, 352_800_001: {"": 7}, 352_800_002: {},
		}},
		Loads: []Load{{Service: "scribe", Running: 1234, Arrived: 5678, Late: 90}, {Service: "reader"}},
	}
}

// TestGoldenReports: what routers report and keepers of the counts exchange has the bytes that it had.
func TestGoldenReports(t *testing.T) {
	golden.RoundTrip(t, "report.hex", goldenReport(), (*Report).Encode, DecodeReport)
	golden.RoundTrip(t, "report-empty.hex", &Report{Incarnation: 1, Counters: Counters{Windows: map[uint64]map[string]uint64{}}}, (*Report).Encode, DecodeReport)
	golden.RoundTrip(t, "report-answer.hex", Ack{TableID: 0xfedcba9876543210, Routers: 300}, func(a Ack) []byte { return a.Encode() }, DecodeAck)

	book := &Table{}
	book.Take(time.Second, goldenReport(), true)
	book.Take(time.Second, &Report{Incarnation: 2, Zone: "b", Counters: Counters{Windows: map[uint64]map[string]uint64{352_800_001: {"lab": 5}}}}, true)
	golden.Check(t, "usage-table.hex", book.Encode(352_800_000, 352_800_002))
	golden.Check(t, "usage-table-part.hex", book.Encode(352_800_001, 352_800_002))
	other := &Table{}
	if err := other.Merge(time.Second, golden.Read(t, "usage-table.hex")); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "usage-table.hex", other.Encode(352_800_000, 352_800_002))
	golden.Equal(t, "a window's sum", map[string]uint64{"": 7, "lab": 5}, other.Sum(352_800_001))
}

// TestGoldenLeases: what is asked before a lease and for one has the bytes that it had, and so have the answers.
func TestGoldenLeases(t *testing.T) {
	golden.Equal(t, "numbers of calls", []uint8{8, 9, 11, 15}, []uint8{CallUsageReport, CallUsageTable, CallRenewLease, CallCheckCandidacy})
	k := newKeeper()
	k.Peers = func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:1")} }
	calls := func(name string, kind uint8) {
		t.Helper()
		n := 0
		for _, c := range k.calls {
			if c.Kind == kind {
				golden.Check(t, name+".hex", c.Body)
				n++
			}
		}
		if n == 0 {
			t.Fatalf("%s: not called, but %+v", name, k.calls)
		}
	}
	answer := func(name string, kind uint8, body []byte) {
		t.Helper()
		for _, f := range k.Reduce(k.now, k.wall(), &k.state, replica.CallReceived{Kind: kind, Body: body, Of: name}) {
			if r, ok := f.(replica.SendReply); ok && r.Of == name && r.Err == nil {
				golden.Check(t, name+".hex", r.Body)
				return
			}
		}
		t.Fatalf("%s: no answer", name)
	}
	for n := 0; k.want == nil && n < 60; n++ {
		k.pass(sec)
		if k.want == nil && len(k.calls) > 0 {
			calls("lease-candidacy", CallCheckCandidacy)
			k.granted(2)
		}
	}
	if k.want == nil {
		t.Fatal("it is no candidate")
	}
	k.chosen()
	calls("lease-renewal", CallRenewLease)
	k.granted(2)

	answer("lease-granted", CallRenewLease, golden.Read(t, "lease-renewal.hex"))
	w := encoding.Writer{} // as an earlier program asks, which does not say whom it knows
	w.Uvarint(k.state.FencingToken)
	w.Fixed64(1)
	answer("lease-granted-short", CallRenewLease, w.Buf)
	answer("lease-rejected", CallRenewLease, golden.Read(t, "lease-candidacy.hex"))
	answer("lease-candidacy-rejected", CallCheckCandidacy, golden.Read(t, "lease-candidacy.hex"))
	answer("report-answered", CallUsageReport, golden.Read(t, "report.hex"))

	k.calls = nil
	w = encoding.Writer{}
	w.Uvarint(352_800_000)
	w.Uvarint(352_800_002)
	golden.Check(t, "usage-table-request.hex", w.Buf)
	answer("usage-table-answered", CallUsageTable, golden.Read(t, "usage-table-request.hex"))
	k.gather(352_800_000, 352_800_002)
	for _, f := range k.out {
		if f, ok := f.(replica.SendCall); ok && f.Kind == CallUsageTable {
			golden.Check(t, "usage-table-request.hex", f.Body)
			return
		}
	}
	t.Error("others' tables are not asked for")
}
