package trace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestPackedIsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
		s := func(name string) string { return rapid.String().Draw(t, name) }
		want := &Record{
			Number: 1, Trace: TraceID{1, 2}, Span: SpanID{3}, Parent: SpanID{4}, State: s("state"), Flags: 3, Frontend: s("front"), Team: s("team"),
			CallID: s("call"), Class: s("class"), Session: rapid.Uint64().Draw(t, "session"), PromptTokens: 5000, CachedTokens: 64, OutputTokens: 7,
			At: d("at"), Reading: d("reading"), FirstEvent: d("first"), End: d("end"), TargetLatency: d("aim"), Outcome: Served, Why: RouterFull,
		}
		for range rapid.IntRange(0, 3).Draw(t, "legs") {
			want.Attempts = append(want.Attempts, Attempt{
				Span: SpanID{9}, Host: s("host"), Addr: s("dial"), Sent: d("sent"), Reported: d("told"),
				Relay: d("relay"), Bytes: 900, Result: None, TransportResult: 2, NewConnection: true,
			})
		}
		taken := d("taken")
		b := want.pack(nil, taken)
		want.reckon(taken)
		got, err := unpack(b)
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Fatalf("%v (-want +got):\n%s", err, diff)
		}
		if _, err := unpack(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("a cut record is read")
		}
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add((&Record{CallID: "x", Attempts: []Attempt{{Host: "h"}}}).pack(nil, 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		if y, err := unpack(b); err == nil && y == nil {
			t.Error("nothing, and no error")
		}
	})
}
