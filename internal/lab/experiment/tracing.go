package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/load"
	"notchhinge/internal/lab/model"
	"notchhinge/internal/lab/report"
	"notchhinge/internal/lab/standin"
)

// attemptTrace holds the collected spans of one attempt: the router's root span and one span for each upstream attempt.
type attemptTrace struct {
	root      *tracepb.Span
	upstreams []*tracepb.Span
}

// engineSpans collects the engines' own spans by their parent, an upstream attempt.
type engineSpans struct {
	mu  sync.Mutex
	all map[string][]standin.Span // by id of the parent span
	n   int
}

func (e *engineSpans) add(s standin.Span) {
	e.mu.Lock()
	e.all[s.Parent.String()] = append(e.all[s.Parent.String()], s)
	e.n++
	e.mu.Unlock()
}

// fleetOptions returns the options of the experiment's fleet with the given kinds of routers and their settings.
func (r *run) fleetOptions(kinds []string, settings map[string]string) fleet.Options {
	return fleet.Options{
		Binary: r.binary, Dir: r.dir, Engines: r.Fleet.Engines, Params: model.Default(r.Fleet.Speed), Classes: r.classes,
		Routers: kinds, Settings: settings, Cores: r.Fleet.Cores, MemoryMB: r.Fleet.MemoryMB, Sockets: r.Fleet.Sockets,
	}
}

// collectorSettings returns a router's settings that export traces to the collector at url.
func (r *run) collectorSettings(url string) string {
	return fmt.Sprintf("[trace]\nshare = %g\nper_second = 0\nmargin = \"%v\"\ntell_hosts = \"all\"\n[trace.otlp]\nendpoint = %q\n"+
		"queue_mb = 16\ntimeout = \"2s\"\ndrain = \"5s\"\n", r.Trace.Share, 5*time.Millisecond, url)
}

// runTraffic sends the planned requests, injects the faults meanwhile, and returns all attempts.
func (r *run) runTraffic(ctx context.Context, f *fleet.Fleet) ([]load.Attempt, error) {
	plan := load.Plan(r.Seed, r.classes, r.Traffic.Rate, r.length, r.Fleet.Routers, load.ClientMix{TraceShare: r.Traffic.Carry, RetryMarkShare: r.Traffic.Mark})
	r.printf("%d requests in %v over %d routers and %d engines", len(plan), r.length, len(f.Routers), len(f.Engines))
	client := &load.Client{Routers: f.Addrs(), Retries: r.Traffic.Retries, MaxRetryDelay: 50 * time.Millisecond, Seed: r.Seed}
	ledger := &load.Ledger{}
	faultsDone := make(chan error, 1)
	go func() { faultsDone <- f.InjectFaults(ctx, r.faults) }()
	client.Run(ctx, plan, ledger)
	if err := <-faultsDone; err != nil {
		return nil, err
	}
	return ledger.Attempts(), ctx.Err()
}

// runTracing checks that the collector has a complete trace of every late, failed or retried attempt in the clients' ledger.
func runTracing(ctx context.Context, r *run) error {
	collector, err := standin.StartCollector("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer collector.Close()
	engines := &engineSpans{all: map[string][]standin.Span{}}
	kinds := slices.Repeat([]string{"traced"}, r.Fleet.Routers)
	o := r.fleetOptions(kinds, map[string]string{"traced": r.collectorSettings(collector.URL())})
	o.OnSpan = engines.add
	f, err := fleet.Start(ctx, o)
	if err != nil {
		return err
	}
	attempts, err := r.runTraffic(ctx, f)
	if stopped := f.Stop(); err == nil {
		err = stopped
	}
	if err != nil {
		return err
	}
	spans, bytes := collector.Spans()
	r.evaluateTraces(attempts, spans, engines)
	r.result.Add("spans at the collector", float64(len(spans)), "", "")
	r.result.Add("bytes for each span", float64(bytes)/float64(max(len(spans), 1)), "", "uncompressed")
	return nil
}

// evaluateTraces compares the attempts in the ledger with the collected traces, and adds figures, criteria and charts.
func (r *run) evaluateTraces(attempts []load.Attempt, spans []*tracepb.Span, engines *engineSpans) {
	byCall, duplicated := map[string]*attemptTrace{}, 0
	roots := map[string]*attemptTrace{} // by span id
	for _, s := range spans {
		if s.Kind == tracepb.Span_SPAN_KIND_SERVER {
			call := standin.StringAttribute(s, "notchhinge.call_id")
			if byCall[call] != nil {
				duplicated++
			}
			t := &attemptTrace{root: s}
			byCall[call], roots[standin.Hex(s.SpanId)] = t, t
		}
	}
	orphans := 0
	for _, s := range spans {
		if s.Kind != tracepb.Span_SPAN_KIND_CLIENT {
			continue
		}
		if t := roots[standin.Hex(s.ParentSpanId)]; t != nil && string(t.root.TraceId) == string(s.TraceId) {
			t.upstreams = append(t.upstreams, s)
		} else {
			orphans++
		}
	}
	requests := map[int]int{}
	first := map[[2]int]int{} // by request and router: number of the first attempt there
	for i := range attempts {
		attempt := &attempts[i]
		requests[attempt.Request]++
		if at := [2]int{attempt.Request, attempt.Router}; first[at] == 0 || attempt.Number < first[at] {
			first[at] = attempt.Number
		}
	}
	counts := map[load.Outcome]int{}
	var required, missing, incomplete, invalid, ordinary, shared, recognizable, linked, unrecognizable, unwritten int
	var differences, firstEvents []float64
	inLedger := map[string]bool{}
	var examples []string
	for i := range attempts {
		attempt := &attempts[i]
		counts[attempt.Outcome]++
		inLedger[attempt.CallID] = true
		if attempt.Outcome == load.Wrong || attempt.Outcome == load.Lost {
			invalid++
			examples = append(examples, fmt.Sprintf("%s %s: %s", attempt.Outcome, attempt.CallID, attempt.Detail))
		}
		if !attempt.First.IsZero() {
			firstEvents = append(firstEvents, attempt.First.Sub(attempt.Sent).Seconds()*1000)
		}
		got := byCall[attempt.CallID]
		if attempt.Unsent && got == nil {
			unwritten++
			continue
		}
		isRequired := attempt.Late || attempt.Outcome != load.Served
		if attempt.Number > 1 {
			// Routers share no state: an unmarked retry at a router that has not seen the request counts as a first attempt there.
			if seen := attempt.Marked || first[[2]int{attempt.Request, attempt.Router}] < attempt.Number; seen {
				isRequired = true
				recognizable++
				if got != nil && (len(got.root.Links) > 0 || attempt.Trace != [16]byte{} && string(got.root.TraceId) == string(attempt.Trace[:])) {
					linked++
				}
			} else {
				unrecognizable++
			}
		}
		switch {
		case isRequired:
			required++
			if got == nil {
				missing++
				examples = append(examples, fmt.Sprintf("missing: %s attempt %d %s late %v after %v", attempt.CallID, attempt.Number, attempt.Outcome, attempt.Late, attempt.End.Sub(attempt.Sent)))
				continue
			}
		case got == nil:
			ordinary++
			continue
		case slices.Equal(standin.StringsAttribute(got.root, "notchhinge.kept_for"), []string{"share"}):
			ordinary++
			shared++
		}
		if got == nil {
			continue
		}
		if defect := r.traceDefect(attempt, got, engines); defect != "" {
			incomplete++
			examples = append(examples, fmt.Sprintf("incomplete: %s: %s", attempt.CallID, defect))
		}
		seen := attempt.End.Sub(attempt.Sent)
		total := time.Duration(got.root.EndTimeUnixNano - got.root.StartTimeUnixNano)
		differences = append(differences, math.Abs((seen-total).Seconds()*1000))
	}
	unknown := 0
	for call := range byCall {
		if !inLedger[call] {
			unknown++
		}
	}
	for _, e := range examples[:min(len(examples), 8)] {
		r.printf("  %s", e)
	}
	slices.Sort(differences)
	quantile := func(q float64) float64 {
		if len(differences) == 0 {
			return math.NaN()
		}
		return differences[min(int(q*float64(len(differences))), len(differences)-1)]
	}
	share := float64(shared) / float64(max(ordinary, 1))
	res := r.result
	res.Add("tries", float64(len(attempts)), "", "")
	for _, o := range []load.Outcome{load.Served, load.Broken, load.Refused, load.Failed, load.Canceled, load.Lost, load.Wrong} {
		res.Add("tries "+string(o), float64(counts[o]), "", "")
	}
	res.Add("attempts that require a trace", float64(required), "", "late, not served, or a retry")
	res.Add("ordinary attempts", float64(ordinary), "", "")
	res.Add("retries that a router could recognize", float64(recognizable), "", "marked, or at the router of an earlier attempt")
	res.Add("of these, linked to or in the trace of an earlier attempt", float64(linked), "", "a marked retry at another router has neither")
	res.Add("attempts abandoned before they were written", float64(unwritten), "", "no router received them")
	res.Add("retries that no router could recognize", float64(unrecognizable), "", "unmarked, at another router: first attempts there, traced only if late or not served")
	res.Add("router and client, median difference", quantile(0.5), "ms", "of the duration of an attempt")
	res.Add("router and client, difference at 99.9%", quantile(0.999), "ms", "")
	res.Add("engine spans", float64(engines.n), "", "")
	const unbounded = math.MaxFloat64
	res.Criteria = append(res.Criteria,
		report.NewCriterion("requests", float64(len(requests)), "", r.Thresholds["requests"]*r.lengthFraction(), unbounded, ""),
		report.NewCriterion("required traces that are missing", float64(missing), "", 0, 0, ""),
		report.NewCriterion("incomplete traces", float64(incomplete), "", 0, 0, "a complete one has all upstream attempts with results, their engine spans, and phases that add up"),
		report.NewCriterion("traces without a request, or duplicated", float64(unknown+duplicated+orphans), "", 0, 0, ""),
		report.NewCriterion("lost or wrong responses", float64(invalid), "", 0, 0, "by the clients' ledger"),
		report.NewCriterion("router and client, difference at 99%", quantile(0.99), "ms", 0, r.Thresholds["phase_error_ms"], ""),
		report.NewCriterion("sampled share of ordinary attempts, relative to the configured share", share/r.Trace.Share, "", 1-r.Thresholds["share_error"], 1+r.Thresholds["share_error"],
			fmt.Sprintf("%d of %d, configured %g", shared, ordinary, r.Trace.Share)),
	)
	res.Charts = append(res.Charts,
		report.Chart{
			File: "first.svg", Title: "Time to first event, measured by the clients", X: "ms", Y: "share of responses",
			Series: []report.Series{report.CDF("all", firstEvents)},
		},
		report.Chart{
			File: "phases.svg", Title: "Duration of attempts: router and client", X: "difference in ms", Y: "share of traces",
			Series: []report.Series{report.CDF("duration of attempts", differences)},
		},
		r.timeline(attempts))
}

// lengthFraction returns the length of this run as a fraction of the full run.
func (r *run) lengthFraction() float64 { return float64(r.length) / float64(r.Traffic.Length) }

// traceDefect describes the first defect of an attempt's trace, or returns "" if the trace is complete and consistent.
func (r *run) traceDefect(attempt *load.Attempt, got *attemptTrace, engines *engineSpans) string {
	if n := int(standin.IntAttribute(got.root, "notchhinge.legs")); n != len(got.upstreams) {
		return fmt.Sprintf("%d upstream attempts of %d", len(got.upstreams), n)
	}
	if attempt.Trace != [16]byte{} && string(got.root.TraceId) != string(attempt.Trace[:]) {
		return "its trace id is not the client's"
	}
	for _, upstream := range got.upstreams {
		if res := standin.StringAttribute(upstream, "notchhinge.result"); res == "" || res == "none" {
			return "an upstream attempt has no result"
		}
		if upstream.StartTimeUnixNano < got.root.StartTimeUnixNano || upstream.EndTimeUnixNano < upstream.StartTimeUnixNano {
			return "an upstream attempt starts before its parent or ends before it starts"
		}
		answered := false
		for _, e := range upstream.Events {
			answered = answered || e.Name == "notchhinge.first_byte"
		}
		engines.mu.Lock()
		ownSpans := engines.all[standin.Hex(upstream.SpanId)]
		engines.mu.Unlock()
		if answered && len(ownSpans) != 1 {
			return fmt.Sprintf("an answered upstream attempt has %d engine spans", len(ownSpans))
		}
		for _, s := range ownSpans {
			if s.CallID != attempt.CallID || s.Host != standin.StringAttribute(upstream, "notchhinge.host") {
				return "an engine span belongs to another request or host"
			}
		}
	}
	var sum int64
	for _, a := range got.root.Attributes {
		if len(a.Key) > 17 && a.Key[:17] == "notchhinge.phase." {
			sum += a.Value.GetIntValue()
		}
	}
	total := int64(got.root.EndTimeUnixNano-got.root.StartTimeUnixNano) / 1000
	if d := sum - total; d > 20 || d < -20 { // each phase is truncated to whole microseconds
		return fmt.Sprintf("phases add up to %d µs of %d", sum, total)
	}
	served := standin.StringAttribute(got.root, "notchhinge.outcome") == "served"
	if served != (attempt.Outcome == load.Served) && attempt.Outcome != load.Canceled && attempt.Outcome != load.Wrong {
		return fmt.Sprintf("the client recorded %s, the trace %s", attempt.Outcome, standin.StringAttribute(got.root, "notchhinge.outcome"))
	}
	return ""
}

// timeline returns a chart of the attempts' outcomes over the run.
func (r *run) timeline(attempts []load.Attempt) report.Chart {
	c := report.Chart{File: "timeline.svg", Title: "Attempts by outcome", X: "s", Y: "per second", Steps: true}
	if len(attempts) == 0 {
		return c
	}
	start := attempts[0].Due
	for i := range attempts {
		if attempts[i].Due.Before(start) {
			start = attempts[i].Due
		}
	}
	seconds := int(r.length.Seconds()) + 1
	for _, outcome := range []string{"served in time", "late", "refused", "failed", "broken", "left"} {
		s := report.Series{Name: outcome, Points: make([]report.Point, seconds)}
		for i := range s.Points {
			s.Points[i].X = float64(i)
		}
		for i := range attempts {
			attempt := &attempts[i]
			kind := string(attempt.Outcome)
			if attempt.Outcome == load.Served {
				kind = "served in time"
				if attempt.Late {
					kind = "late"
				}
			}
			if n := int(attempt.Due.Sub(start).Seconds()); kind == outcome && n < seconds {
				s.Points[n].Y++
			}
		}
		c.Series = append(c.Series, s)
	}
	return c
}
