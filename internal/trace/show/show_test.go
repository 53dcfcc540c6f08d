package show

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/trace"
	"notchhinge/policy"
)

const ms = time.Millisecond

// operation returns a request whose first attempt was reset and whose second one timed out, and a retry that was served.
func operation() []*trace.Record {
	first := &trace.Record{
		Trace: trace.TraceID{0xab}, Span: trace.SpanID{1}, Number: 1, Router: "n1", CallID: "c1", Class: "shift-agent",
		PromptTokens: 5000, At: 1000 * time.Second, End: 1000 * ms, Outcome: trace.Failed, Why: trace.DecisionReason(policy.ReasonDeadline),
		TargetLatency: 2700 * ms, Reasons: trace.ForFailed | trace.ForAttempts,
		Attempts: []trace.Attempt{
			{
				Host: "s-1", Why: trace.DecisionReason(policy.ReasonAffinity), Sent: 0, Started: ms, Connected: 2 * ms,
				Written: 3 * ms, Reported: 400 * ms, Ended: 400 * ms,
				Result: trace.Result(policy.ResultReset), TransportResult: trace.Result(policy.ResultReset), StaleConnection: true,
			},
			{
				Host: "s-2", Why: trace.DecisionReason(policy.ReasonAffinityLost), Sent: 400 * ms, Started: 401 * ms,
				Connected: 500 * ms, NewConnection: true, Written: 501 * ms,
				Reported: 1000 * ms, Ended: 1200 * ms, Result: trace.Result(policy.ResultTimedOut),
				TransportResult: trace.Result(policy.ResultCancelled),
			},
		},
	}
	first.Phases[trace.Wait], first.Phases[trace.Connect], first.Phases[trace.Acquire] = 896*ms, 99*ms, 5*ms
	second := &trace.Record{
		Trace: trace.TraceID{0xcd}, Span: trace.SpanID{2}, Number: 2,
		Previous: trace.Link{Trace: first.Trace, Span: first.Span}, Router: "n2",
		CallID: "c2", Class: "shift-agent", PromptTokens: 5000, OutputTokens: 80, At: 1001*time.Second + 200*ms,
		FirstEvent: 200 * ms, End: 800 * ms,
		Outcome: trace.Served, TargetLatency: 2700 * ms, Reasons: trace.ForRetry,
		Attempts: []trace.Attempt{{
			Host: "s-2", Why: trace.DecisionReason(policy.ReasonAffinity), Started: ms, Connected: ms, Written: ms,
			FirstByte: 199 * ms, FirstEvent: 199 * ms,
			Bound: 200 * ms, Reported: 800 * ms, Ended: 800 * ms, TransportResult: trace.Result(policy.ResultOK),
		}},
	}
	second.Phases[trace.Wait], second.Phases[trace.Stream] = 198*ms, 602*ms
	return []*trace.Record{first, second}
}

func TestWaterfall(t *testing.T) {
	var b bytes.Buffer
	Waterfall(&b, operation(), 71)
	if err := Table(&b, operation()); err != nil {
		t.Fatal(err)
	}
	path := "testdata/waterfall.txt"
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Errorf("(-want +got; UPDATE=1 updates the file):\n%s", diff)
	}
}

func TestOperationFollowsLinks(t *testing.T) {
	all := append(operation(), &trace.Record{Trace: trace.TraceID{0xef}, At: time.Second})
	for _, id := range []trace.TraceID{{0xab}, {0xcd}} {
		if got := Operation(all, id); len(got) != 2 || got[0].CallID != "c1" || got[1].CallID != "c2" {
			t.Errorf("%v: %d records", id, len(got))
		}
	}
}

func TestFilter(t *testing.T) {
	first, second := operation()[0], operation()[1]
	for _, c := range []struct {
		f             Filter
		first, second bool
	}{
		{Filter{}, true, true},
		{Filter{Outcome: trace.Failed}, true, false},
		{Filter{SlowerThan: 300 * ms}, true, false}, // the second request had its first event after 200 ms
		{Filter{Host: "s-1"}, true, false},
		{Filter{Retried: true}, false, true},
		{Filter{Class: "chat"}, false, false},
		{Filter{Since: 1001 * time.Second}, false, true},
		{Filter{Until: 1001 * time.Second}, true, false},
	} {
		if c.f.Match(first) != c.first || c.f.Match(second) != c.second {
			t.Errorf("%+v: %v, %v", c.f, c.f.Match(first), c.f.Match(second))
		}
	}
}

func TestScanOfMissingFile(t *testing.T) {
	var warn strings.Builder
	if err := Scan(filepath.Join(t.TempDir(), "none"), &warn, func(*trace.Record) error { return nil }); !os.IsNotExist(err) {
		t.Errorf("%v", err)
	}
}
