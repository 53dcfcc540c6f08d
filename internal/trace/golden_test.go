package trace

import (
	"encoding/json"
	"testing"
	"time"

	"notchhinge/internal/testutil/golden"
)

// goldenRecord returns a record in which each field is set.
func goldenRecord() *Record {
	return &Record{
		Trace: TraceID{1, 2, 15: 16}, Span: SpanID{3, 7: 4}, Parent: SpanID{5}, State: "ot=th:8", Flags: Sampled | Random,
		Number: 1, Frontend: "calls", Team: "lab", Pool: "scribe", CallID: "call-1", Class: "chat", Session: 0x0102030405060708,
		PromptTokens: 5000.5, OutputTokens: 70, CachedTokens: 64.25,
		At: 1_764_000_000_123_456_789, Reading: 1000, FirstEvent: 900_000, RejectedAt: 950_000, End: time.Millisecond,
		TargetLatency: 800 * time.Millisecond, Outcome: Refused, Why: RouterFull, RetryAfter: 2 * time.Second,
		Attempts: []Attempt{
			{
				Span: SpanID{9}, Host: "s-1", Addr: "10.0.0.5:8000", Why: 2, Sent: 1000, Started: 2000, Connected: 3000,
				NewConnection: true, Written: 4000,
				FirstByte: 500_000, FirstEvent: 600_000, Bound: 700_000, Reported: 800_000, Ended: 900_000, Relay: 100, Bytes: 900,
				Result: 1, TransportResult: 5, StaleConnection: true,
			},
			{Span: SpanID{10}, Host: "s-2", Addr: "10.0.0.6:8000", Sent: 5000, Result: None, TransportResult: None},
		},
	}
}

// TestGoldenPacked checks the encoding of a pending record in memory.
func TestGoldenPacked(t *testing.T) {
	const queueTime = 500
	want := goldenRecord()
	want.computePhases(queueTime)
	golden.RoundTrip(t, "packed.hex", want, func(record *Record) []byte { return record.pack(nil, queueTime) }, unpack)
}

// TestGoldenJSON checks the encoding of a record in a trace file, with the names of outcomes, results, reasons and phases.
func TestGoldenJSON(t *testing.T) {
	record := goldenRecord()
	record.computePhases(500)
	record.Previous, record.Number, record.Router, record.Late = Link{Trace: TraceID{7}, Span: SpanID{8}}, 2, "n1", true
	record.Reasons = ForFailed | ForShare
	golden.RoundTrip(t, "record.json", record, func(record *Record) []byte {
		b, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}, func(b []byte) (*Record, error) {
		record := &Record{}
		return record, json.Unmarshal(b, record)
	})
	names := map[string][]string{"reasons": KeepReason(1<<len(keepReasonNames) - 1).Names()}
	for o := range outcomeNames {
		names["outcomes"] = append(names["outcomes"], Outcome(o).String())
	}
	for r := range resultNames {
		names["results"] = append(names["results"], Result(r).String())
	}
	names["results"] = append(names["results"], None.String())
	for w := range decisionReasonNames {
		names["whys"] = append(names["whys"], DecisionReason(w).String())
	}
	for p := range NumPhases {
		names["phases"] = append(names["phases"], p.String())
	}
	b, err := json.MarshalIndent(names, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "names.json", b)
}
