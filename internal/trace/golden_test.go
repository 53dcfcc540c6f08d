package trace

import (
	"encoding/json"
	"testing"
	"time"

	"notchhinge/internal/testutil/golden"
)

// goldenTry is a record in which each field is set.
func goldenTry() *Record {
	return &Record{
		Trace: TraceID{1, 2, 15: 16}, Span: SpanID{3, 7: 4}, Parent: SpanID{5}, State: "ot=th:8", Flags: Sampled | Random, Number: 1,
		Frontend: "calls", Team: "lab", Pool: "scribe", CallID: "call-1", Class: "chat", Session: 0x0102030405060708,
		PromptTokens: 5000.5, OutputTokens: 70, CachedTokens: 64.25,
		At: 1_764_000_000_123_456_789, Reading: 1000, FirstEvent: 900_000, RejectedAt: 950_000, End: time.Millisecond, TargetLatency: 800 * time.Millisecond,
		Outcome: Refused, Why: RouterFull, RetryAfter: 2 * time.Second,
		Attempts: []Attempt{
			{
				Span: SpanID{9}, Host: "s-1", Addr: "10.0.0.5:8000", Why: 2, Sent: 1000, Started: 2000, Connected: 3000, NewConnection: true, Written: 4000,
				FirstByte: 500_000, FirstEvent: 600_000, Bound: 700_000, Reported: 800_000, Ended: 900_000, Relay: 100, Bytes: 900, Result: 1, TransportResult: 5, StaleConnection: true,
			},
			{Span: SpanID{10}, Host: "s-2", Addr: "10.0.0.6:8000", Sent: 5000, Result: None, TransportResult: None},
		},
	}
}

// TestGoldenPacked: a record that waits in memory has the bytes that it had.
func TestGoldenPacked(t *testing.T) {
	const taken = 500
	want := goldenTry()
	want.reckon(taken)
	golden.RoundTrip(t, "packed.hex", want, func(y *Record) []byte { return y.pack(nil, taken) }, unpack)
}

// TestGoldenJSON: a record in a trace file has the text that it had, with the names of outcomes, results, reasons and phases.
func TestGoldenJSON(t *testing.T) {
	y := goldenTry()
	y.reckon(500)
	y.Previous, y.Number, y.Router, y.Late = Link{Trace: TraceID{7}, Span: SpanID{8}}, 2, "n1", true
	y.Reasons = ForFailed | ForShare
	golden.RoundTrip(t, "record.json", y, func(y *Record) []byte {
		b, err := json.Marshal(y)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}, func(b []byte) (*Record, error) {
		y := &Record{}
		return y, json.Unmarshal(b, y)
	})
	names := map[string][]string{"reasons": Reason(1<<len(reasonNames) - 1).Names()}
	for o := range outcomeNames {
		names["outcomes"] = append(names["outcomes"], Outcome(o).String())
	}
	for r := range resultNames {
		names["results"] = append(names["results"], Result(r).String())
	}
	names["results"] = append(names["results"], None.String())
	for w := range whyNames {
		names["whys"] = append(names["whys"], DecisionReason(w).String())
	}
	for p := range Phases {
		names["phases"] = append(names["phases"], p.String())
	}
	b, err := json.MarshalIndent(names, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "names.json", b)
}
