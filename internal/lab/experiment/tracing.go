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

// traced is what the collector has of one try.
type traced struct {
	root *tracepb.Span
	legs []*tracepb.Span
}

// boxSpans keeps the boxes' own spans by the leg that they hang below.
type boxSpans struct {
	mu  sync.Mutex
	all map[string][]standin.Span // by parent span
	n   int
}

func (b *boxSpans) add(s standin.Span) {
	b.mu.Lock()
	b.all[s.Parent.String()] = append(b.all[s.Parent.String()], s)
	b.n++
	b.mu.Unlock()
}

func (r *run) options(kinds []string, settings map[string]string) fleet.Options {
	return fleet.Options{
		Binary: r.binary, Dir: r.dir, Boxes: r.Fleet.Boxes, Params: model.Default(r.Fleet.Speed), Classes: r.classes,
		Routers: kinds, Settings: settings, Cores: r.Fleet.Cores, MemoryMB: r.Fleet.MemoryMB, Sockets: r.Fleet.Sockets,
	}
}

// settings is a router's file that sends to a collector.
func (r *run) settings(url string) string {
	return fmt.Sprintf("[trace]\nshare = %g\nper_second = 0\nmargin = \"%v\"\ntell_hosts = \"all\"\n[trace.otlp]\nendpoint = %q\n"+
		"queue_mb = 16\ntimeout = \"2s\"\ndrain = \"5s\"\n", r.Trace.Share, 5*time.Millisecond, url)
}

// play has clients ask and troubles happen, and returns the ledger.
func (r *run) play(ctx context.Context, f *fleet.Fleet) ([]load.Attempt, error) {
	plan := load.Plan(r.Seed, r.classes, r.Traffic.Rate, r.length, r.Fleet.Routers, load.ClientMix{TraceShare: r.Traffic.Carry, RetryMarkShare: r.Traffic.Mark})
	r.say("%d calls in %v over %d routers and %d boxes", len(plan), r.length, len(f.Routers), len(f.Boxes))
	client := &load.Client{Routers: f.Addrs(), Retries: r.Traffic.Retries, MaxRetryDelay: 50 * time.Millisecond, Seed: r.Seed}
	ledger := &load.Ledger{}
	trouble := make(chan error, 1)
	go func() { trouble <- f.Play(ctx, r.troubles) }()
	client.Run(ctx, plan, ledger)
	if err := <-trouble; err != nil {
		return nil, err
	}
	return ledger.Attempts(), ctx.Err()
}

// tracing holds every late, failed or retried try of the ledger against the collector's traces.
func tracing(ctx context.Context, r *run) error {
	collector, err := standin.StartCollector("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer collector.Close()
	boxes := &boxSpans{all: map[string][]standin.Span{}}
	kinds := slices.Repeat([]string{"traced"}, r.Fleet.Routers)
	o := r.options(kinds, map[string]string{"traced": r.settings(collector.URL())})
	o.Spans = boxes.add
	f, err := fleet.Start(ctx, o)
	if err != nil {
		return err
	}
	tries, err := r.play(ctx, f)
	if stopped := f.Stop(); err == nil {
		err = stopped
	}
	if err != nil {
		return err
	}
	spans, bytes := collector.Spans()
	r.judge(tries, spans, boxes)
	r.result.Add("spans at the collector", float64(len(spans)), "", "")
	r.result.Add("bytes for each span", float64(bytes)/float64(max(len(spans), 1)), "", "uncompressed")
	return nil
}

// judge holds ledger and traces against each other.
func (r *run) judge(tries []load.Attempt, spans []*tracepb.Span, boxes *boxSpans) {
	byCall, doubled := map[string]*traced{}, 0
	roots := map[string]*traced{} // by span
	for _, s := range spans {
		if s.Kind == tracepb.Span_SPAN_KIND_SERVER {
			call := standin.StringAttribute(s, "notchhinge.call_id")
			if byCall[call] != nil {
				doubled++
			}
			t := &traced{root: s}
			byCall[call], roots[standin.Hex(s.SpanId)] = t, t
		}
	}
	orphans := 0
	for _, s := range spans {
		if s.Kind != tracepb.Span_SPAN_KIND_CLIENT {
			continue
		}
		if t := roots[standin.Hex(s.ParentSpanId)]; t != nil && string(t.root.TraceId) == string(s.TraceId) {
			t.legs = append(t.legs, s)
		} else {
			orphans++
		}
	}
	steps := map[int]int{}
	first := map[[2]int]int{} // number of a call's first try at each router
	for i := range tries {
		t := &tries[i]
		steps[t.Request]++
		if at := [2]int{t.Request, t.Router}; first[at] == 0 || t.Number < first[at] {
			first[at] = t.Number
		}
	}
	counts := map[load.Outcome]int{}
	var owed, missing, incomplete, wrong, ordinary, shared, linkable, linked, unseen, unsent int
	var off, begun []float64
	inLedger := map[string]bool{}
	var examples []string
	for i := range tries {
		t := &tries[i]
		counts[t.Outcome]++
		inLedger[t.CallID] = true
		if t.Outcome == load.Wrong || t.Outcome == load.Lost {
			wrong++
			examples = append(examples, fmt.Sprintf("%s %s: %s", t.Outcome, t.CallID, t.Detail))
		}
		if !t.First.IsZero() {
			begun = append(begun, t.First.Sub(t.Sent).Seconds()*1000)
		}
		got := byCall[t.CallID]
		if t.Unsent && got == nil {
			unsent++
			continue
		}
		must := t.Late || t.Outcome != load.Served
		if t.Number > 1 {
			// Routers share nothing: a retry that is not marked, at a router that has not seen its call, is a first try there.
			if seen := t.Marked || first[[2]int{t.Request, t.Router}] < t.Number; seen {
				must = true
				linkable++
				if got != nil && (len(got.root.Links) > 0 || t.Trace != [16]byte{} && string(got.root.TraceId) == string(t.Trace[:])) {
					linked++
				}
			} else {
				unseen++
			}
		}
		switch {
		case must:
			owed++
			if got == nil {
				missing++
				examples = append(examples, fmt.Sprintf("missing: %s try %d %s late %v after %v", t.CallID, t.Number, t.Outcome, t.Late, t.End.Sub(t.Sent)))
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
		if why := r.whole(t, got, boxes); why != "" {
			incomplete++
			examples = append(examples, fmt.Sprintf("incomplete: %s: %s", t.CallID, why))
		}
		seen := t.End.Sub(t.Sent)
		total := time.Duration(got.root.EndTimeUnixNano - got.root.StartTimeUnixNano)
		off = append(off, math.Abs((seen-total).Seconds()*1000))
	}
	invented := 0
	for call := range byCall {
		if !inLedger[call] {
			invented++
		}
	}
	for _, e := range examples[:min(len(examples), 8)] {
		r.say("  %s", e)
	}
	slices.Sort(off)
	quantile := func(q float64) float64 {
		if len(off) == 0 {
			return math.NaN()
		}
		return off[min(int(q*float64(len(off))), len(off)-1)]
	}
	share := float64(shared) / float64(max(ordinary, 1))
	res := r.result
	res.Add("tries", float64(len(tries)), "", "")
	for _, o := range []load.Outcome{load.Served, load.Broken, load.Refused, load.Failed, load.Canceled, load.Lost, load.Wrong} {
		res.Add("tries "+string(o), float64(counts[o]), "", "")
	}
	res.Add("tries whose trace is owed", float64(owed), "", "late, not served, or a retry")
	res.Add("ordinary tries", float64(ordinary), "", "")
	res.Add("retries that a router could tell", float64(linkable), "", "marked, or at the router of an earlier try")
	res.Add("of these, with a link or in the trace of an earlier try", float64(linked), "", "a marked one at another router has neither")
	res.Add("tries given up before they were written", float64(unsent), "", "no router took them")
	res.Add("retries that no router could tell", float64(unseen), "", "plain ones at another router: first tries there, owed only if late or not served")
	res.Add("router against client, median", quantile(0.5), "ms", "difference of the whole time of a try")
	res.Add("router against client, 99.9%", quantile(0.999), "ms", "")
	res.Add("box spans", float64(boxes.n), "", "")
	const most = math.MaxFloat64
	res.Bars = append(res.Bars,
		report.NewBar("requests", float64(len(steps)), "", r.Bars["requests"]*r.part(), most, ""),
		report.NewBar("owed traces that are missing", float64(missing), "", 0, 0, ""),
		report.NewBar("traces that are not complete", float64(incomplete), "", 0, 0, "each leg, each leg's result, the boxes' own spans below them, phases that add up"),
		report.NewBar("traces of no request, or twice", float64(invented+doubled+orphans), "", 0, 0, ""),
		report.NewBar("answers lost or invented", float64(wrong), "", 0, 0, "by the ledger"),
		report.NewBar("phases against the client, 99%", quantile(0.99), "ms", 0, r.Bars["phase_error_ms"], ""),
		report.NewBar("share of ordinary tries against the set one", share/r.Trace.Share, "", 1-r.Bars["share_error"], 1+r.Bars["share_error"],
			fmt.Sprintf("%d of %d, %g set", shared, ordinary, r.Trace.Share)),
	)
	res.Charts = append(res.Charts,
		report.Chart{
			File: "first.svg", Title: "Until the first event, by the clients", X: "ms", Y: "share of answers",
			Series: []report.Series{report.CDF("all", begun)},
		},
		report.Chart{
			File: "phases.svg", Title: "Router's account against the client's", X: "ms of difference", Y: "share of traces",
			Series: []report.Series{report.CDF("whole time", off)},
		},
		r.timeline(tries))
}

// part is the share of the whole run that this one is.
func (r *run) part() float64 { return float64(r.length) / float64(r.Traffic.Length) }

// whole says what a trace lacks.
func (r *run) whole(t *load.Attempt, got *traced, boxes *boxSpans) string {
	if n := int(standin.IntAttribute(got.root, "notchhinge.legs")); n != len(got.legs) {
		return fmt.Sprintf("%d legs of %d", len(got.legs), n)
	}
	if t.Trace != [16]byte{} && string(got.root.TraceId) != string(t.Trace[:]) {
		return "it is of another trace than the client's"
	}
	for _, l := range got.legs {
		if res := standin.StringAttribute(l, "notchhinge.result"); res == "" || res == "none" {
			return "a leg has no result"
		}
		if l.StartTimeUnixNano < got.root.StartTimeUnixNano || l.EndTimeUnixNano < l.StartTimeUnixNano {
			return "a leg's time goes back"
		}
		answered := false
		for _, e := range l.Events {
			answered = answered || e.Name == "notchhinge.first_byte"
		}
		boxes.mu.Lock()
		own := boxes.all[standin.Hex(l.SpanId)]
		boxes.mu.Unlock()
		if answered && len(own) != 1 {
			return fmt.Sprintf("a leg that was answered has %d spans of its box", len(own))
		}
		for _, s := range own {
			if s.CallID != t.CallID || s.Host != standin.StringAttribute(l, "notchhinge.host") {
				return "a box's span is of another call or host"
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
	if d := sum - total; d > 20 || d < -20 { // each phase is cut to whole microseconds
		return fmt.Sprintf("phases add up to %d µs of %d", sum, total)
	}
	served := standin.StringAttribute(got.root, "notchhinge.outcome") == "served"
	if served != (t.Outcome == load.Served) && t.Outcome != load.Canceled && t.Outcome != load.Wrong {
		return fmt.Sprintf("the client has it %s, the trace %s", t.Outcome, standin.StringAttribute(got.root, "notchhinge.outcome"))
	}
	return ""
}

// timeline draws what clients got over the run.
func (r *run) timeline(tries []load.Attempt) report.Chart {
	c := report.Chart{File: "timeline.svg", Title: "Tries by outcome", X: "s", Y: "a second", Steps: true}
	if len(tries) == 0 {
		return c
	}
	start := tries[0].Due
	for i := range tries {
		if tries[i].Due.Before(start) {
			start = tries[i].Due
		}
	}
	seconds := int(r.length.Seconds()) + 1
	for _, o := range []string{"served in time", "late", "refused", "failed", "broken", "left"} {
		s := report.Series{Name: o, Points: make([]report.Point, seconds)}
		for i := range s.Points {
			s.Points[i].X = float64(i)
		}
		for i := range tries {
			t := &tries[i]
			kind := string(t.Outcome)
			if t.Outcome == load.Served {
				kind = "served in time"
				if t.Late {
					kind = "late"
				}
			}
			if n := int(t.Due.Sub(start).Seconds()); kind == o && n < seconds {
				s.Points[n].Y++
			}
		}
		c.Series = append(c.Series, s)
	}
	return c
}
