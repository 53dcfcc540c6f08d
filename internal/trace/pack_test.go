package trace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
		text := func(name string) string { return rapid.String().Draw(t, name) }
		want := &Record{
			Number: 1, Trace: TraceID{1, 2}, Span: SpanID{3}, Parent: SpanID{4}, State: text("state"), Flags: 3,
			Frontend: text("front"), Team: text("team"),
			CallID: text("call"), Class: text("class"), Session: rapid.Uint64().Draw(t, "session"), PromptTokens: 5000,
			CachedTokens: 64, OutputTokens: 7,
			At: duration("at"), Reading: duration("reading"), FirstEvent: duration("first"), End: duration("end"),
			TargetLatency: duration("aim"), Outcome: Served, Why: RouterFull,
		}
		for range rapid.IntRange(0, 3).Draw(t, "legs") {
			want.Attempts = append(want.Attempts, Attempt{
				Span: SpanID{9}, Host: text("host"), Addr: text("dial"), Sent: duration("sent"), Reported: duration("told"),
				Relay: duration("relay"), Bytes: 900, Result: None, TransportResult: 2, NewConnection: true,
			})
		}
		queueTime := duration("taken")
		b := want.pack(nil, queueTime)
		want.computePhases(queueTime)
		got, err := unpack(b)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Fatalf("%v (-want +got):\n%s", err, diff)
		}
		if _, err := unpack(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("unpack accepted a truncated record")
		}
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add((&Record{CallID: "x", Attempts: []Attempt{{Host: "h"}}}).pack(nil, 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		if record, err := unpack(b); err == nil && record == nil {
			t.Error("unpack returned neither a record nor an error")
		}
	})
}
