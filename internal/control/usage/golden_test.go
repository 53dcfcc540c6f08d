package usage

import (
	"testing"
	"time"

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

// TestGoldenReports checks the encodings of reports, acknowledgements and tables.
func TestGoldenReports(t *testing.T) {
	golden.RoundTrip(t, "report.hex", goldenReport(), (*Report).Encode, DecodeReport)
	golden.RoundTrip(t, "report-empty.hex", &Report{Incarnation: 1, Counters: Counters{Windows: map[uint64]map[string]uint64{}}}, (*Report).Encode, DecodeReport)
	golden.RoundTrip(t, "report-answer.hex", Ack{TableID: 0xfedcba9876543210, Routers: 300}, func(a Ack) []byte { return a.Encode() }, DecodeAck)

	table := &Table{}
	table.Record(time.Second, goldenReport())
	table.Record(time.Second, &Report{Incarnation: 2, Zone: "b", Counters: Counters{Windows: map[uint64]map[string]uint64{352_800_001: {"lab": 5}}}})
	golden.Check(t, "usage-table.hex", table.Encode(352_800_000, 352_800_002))
	golden.Check(t, "usage-table-part.hex", table.Encode(352_800_001, 352_800_002))
	other := &Table{}
	if err := other.Merge(golden.Read(t, "usage-table.hex")); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "usage-table.hex", other.Encode(352_800_000, 352_800_002))
	golden.Equal(t, "a window's sum", map[string]uint64{"": 7, "lab": 5}, other.Sum(352_800_001))
}
