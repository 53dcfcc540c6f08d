package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"notchhinge/internal/lab/load"
	"notchhinge/internal/lab/report"
	"notchhinge/internal/lab/standin"
	"notchhinge/internal/trace"
	"notchhinge/internal/trace/export"
	"notchhinge/policy"
)

func TestExperimentFilesOfTheRepositoryLoad(t *testing.T) {
	files, err := filepath.Glob("../../../lab/*.toml")
	if err != nil || len(files) < 3 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}

func TestParseErrors(t *testing.T) {
	text, err := os.ReadFile("../../../lab/tracing.toml")
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":       {"seed = 7", "sed = 7", ":4: unknown key [sed]"},
		"type":              {"seed = 7", "seed = \"x\"", ":4: "},
		"kind":              {"kind = \"tracing\"", "kind = \"x\"", "kind: \"x\" is not one of"},
		"trouble":           {"what = \"die\"", "what = \"dye\"", "trouble 4: what: \"dye\""},
		"engine index":      {"boxes = [7]", "boxes = [8]", "boxes: 8 is not below the number of engines, 8"},
		"missing threshold": {"share_error = 0.1", "", "\"share_error\" is missing"},
		"unknown threshold": {"share_error = 0.1", "share_error = 0.1\nx = 1", "\"x\" is not a threshold"},
		"share":             {"share = 0.2", "share = 0.0", "trace.share"},
	} {
		if _, err := Parse([]byte(strings.Replace(good, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEvaluateTracesFindsEachDefect checks that each kind of defect fails its criterion, and that a correct run fails none.
func TestEvaluateTracesFindsEachDefect(t *testing.T) {
	start := time.Unix(1000, 0)
	attempt := func(id string, o load.Outcome) load.Attempt {
		return load.Attempt{CallID: id, Number: 1, Due: start, Sent: start, First: start.Add(time.Second), End: start.Add(2 * time.Second), Outcome: o, Late: true}
	}
	record := func(id string) *trace.Record {
		y := &trace.Record{
			Trace: trace.TraceID{1}, Span: trace.SpanID{id[0]}, CallID: id, Number: 1, At: time.Duration(start.UnixNano()),
			End: 2 * time.Second, FirstEvent: time.Second, Outcome: trace.Served, Reasons: trace.ForLate,
			Attempts: []trace.Attempt{{Span: trace.SpanID{id[0], 1}, Host: "s", FirstByte: 1, Reported: 2 * time.Second, Result: trace.Result(policy.ResultOK)}},
		}
		y.Phases[trace.Stream] = y.End
		return y
	}
	failed := func(attempts []load.Attempt, records []*trace.Record, engines ...standin.Span) map[string]bool {
		b := &engineSpans{all: map[string][]standin.Span{}}
		for _, s := range engines {
			b.add(s)
		}
		var spans []*tracepb.Span
		for _, y := range records {
			spans = append(spans, export.Spans(y)...)
		}
		r := &run{File: &File{Thresholds: map[string]float64{"phase_error_ms": 5, "share_error": 1}}, opts: Options{Out: &strings.Builder{}}, result: &report.Result{}}
		r.Traffic.Length, r.length, r.Trace.Share = 1, 1, 1
		r.evaluateTraces(attempts, spans, b)
		failing := map[string]bool{}
		for _, x := range r.result.Criteria {
			if !x.Holds {
				failing[x.Name] = true
			}
		}
		return failing
	}
	engineSpan := func(id string) standin.Span {
		return standin.Span{Parent: trace.SpanID{id[0], 1}, CallID: id, Host: "s"}
	}
	good := record("a")
	if failing := failed([]load.Attempt{attempt("a", load.Served)}, []*trace.Record{good}, engineSpan("a")); len(failing) != 0 {
		t.Errorf("a correct run fails %v", failing)
	}
	slow, noResult, wrongOutcome, wrongPhases := record("a"), record("a"), record("a"), record("a")
	slow.End, slow.Phases[trace.Stream] = 3*time.Second, 3*time.Second
	noResult.Attempts[0].Result = trace.None
	wrongOutcome.Outcome = trace.Failed
	wrongPhases.Phases[trace.Pending] = time.Second
	for name, c := range map[string]struct {
		attempts  []load.Attempt
		records   []*trace.Record
		engines   []standin.Span
		criterion string
	}{
		"missing":           {[]load.Attempt{attempt("a", load.Served)}, nil, nil, "required traces that are missing"},
		"without a request": {[]load.Attempt{attempt("a", load.Served)}, []*trace.Record{good, record("b")}, []standin.Span{engineSpan("a"), engineSpan("b")}, "traces without a request, or duplicated"},
		"twice":             {[]load.Attempt{attempt("a", load.Served)}, []*trace.Record{good, good}, []standin.Span{engineSpan("a")}, "traces without a request, or duplicated"},
		"no engine span":    {[]load.Attempt{attempt("a", load.Served)}, []*trace.Record{good}, nil, "incomplete traces"},
		"no result":         {[]load.Attempt{attempt("a", load.Served)}, []*trace.Record{noResult}, []standin.Span{engineSpan("a")}, "incomplete traces"},
		"outcome":           {[]load.Attempt{attempt("a", load.Served)}, []*trace.Record{wrongOutcome}, []standin.Span{engineSpan("a")}, "incomplete traces"},
		"sum of phases":     {[]load.Attempt{attempt("a", load.Served)}, []*trace.Record{wrongPhases}, []standin.Span{engineSpan("a")}, "incomplete traces"},
		"time":              {[]load.Attempt{attempt("a", load.Served)}, []*trace.Record{slow}, []standin.Span{engineSpan("a")}, "router and client, difference at 99%"},
		"wrong answer":      {[]load.Attempt{attempt("a", load.Wrong)}, []*trace.Record{good}, []standin.Span{engineSpan("a")}, "lost or wrong responses"},
	} {
		if failing := failed(c.attempts, c.records, c.engines...); !failing[c.criterion] {
			t.Errorf("%s: the criterion is met; failing: %v", name, failing)
		}
	}
}

func TestRouterCounters(t *testing.T) {
	n, err := routerCounters("time=x level=INFO msg=counters taken=5\ntime=x level=INFO msg=traces router=n1 taken=7 kept=3 otlp_put=3\n")
	if err != nil || n["taken"] != 7 || n["otlp_put"] != 3 {
		t.Errorf("%v, %v", n, err)
	}
	if _, err := routerCounters("nothing"); err == nil {
		t.Error("routerCounters accepts a log without counters")
	}
}
