package export

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"notchhinge/internal/testutil/golden"
	"notchhinge/internal/trace"
)

// goldenRecords returns an ordinary record and one in which each field is set.
func goldenRecords() []*trace.Record {
	full := record(2, trace.ForFailed|trace.ForRetry)
	full.Parent, full.State, full.Flags, full.Number = trace.SpanID{5}, "ot=th:8", trace.Sampled, 2
	full.Previous = trace.Link{Trace: trace.TraceID{7}, Span: trace.SpanID{8}}
	full.Team, full.Pool, full.Session, full.PromptTokens, full.OutputTokens, full.CachedTokens = "lab", "scribe", 300, 5000, 70, 64
	full.Reading, full.TargetLatency, full.Late, full.Outcome, full.Why, full.RetryAfter =
		1000, time.Second, true, trace.Refused, trace.RouterFull, time.Second
	full.Phases[trace.Pending], full.Phases[trace.Stream] = time.Millisecond, time.Second-time.Millisecond
	full.Attempts = append(full.Attempts, trace.Attempt{
		Span: trace.SpanID{9}, Host: "s-2", Addr: "10.0.0.6:8000", Why: 2, Sent: 1000, Started: 2000, Connected: 3000,
		NewConnection: true, Written: 4000,
		FirstByte: 500_000, FirstEvent: 600_000, Bound: 700_000, Reported: 800_000, Ended: 900_000, Relay: 100, Bytes: 900,
		Result: 1, TransportResult: 5, StaleConnection: true,
	})
	return []*trace.Record{record(1, trace.ForShare), full}
}

// TestGoldenFile checks the encoding of a trace file, and that it is decoded to the same records. A newer compressor may
// write other bytes, but must still read those of the golden file.
func TestGoldenFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces.zst")
	f, err := NewFile(FileOptions{Path: path, Max: 1 << 20, Files: 3, Flush: time.Hour, Queue: 1 << 20, Log: discardLog()})
	if err != nil {
		t.Fatal(err)
	}
	for _, rec := range goldenRecords() {
		f.Put(rec)
		f.flush() // one frame per record
	}
	f.Close(context.Background())
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "file.zst.hex", b)
	var got []*trace.Record
	damage, err := Read(bytes.NewReader(golden.Read(t, "file.zst.hex")),
		func(rec *trace.Record) error { got = append(got, rec); return nil })
	if err != nil || damage != (Damage{}) {
		t.Errorf("%v %v", damage, err)
	}
	golden.Equal(t, "the records", goldenRecords(), got)
}

// TestGoldenOTLP checks the encoding of the message that is sent to a collector.
func TestGoldenOTLP(t *testing.T) {
	e := &OTLP{options: OTLPOptions{Router: "n1", Version: "1"}}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&tracepb.TracesData{ResourceSpans: e.resource(goldenRecords())})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "otlp.hex", b)
}
