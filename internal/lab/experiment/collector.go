package experiment

import (
	"context"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/load"
	"notchhinge/internal/lab/report"
	"notchhinge/internal/lab/standin"
)

// runCollector sends the same requests with the trace collector available, unreachable, hanging, busy and failing. It checks
// that responses do not suffer and that every trace record is accounted for.
func runCollector(ctx context.Context, r *run) error {
	type variant struct {
		name      string
		mode      standin.Mode
		reachable bool
	}
	var servedShares []float64
	chart := report.Chart{File: "first.svg", Title: "Time to first event, by the collector's state", X: "ms", Y: "share of responses"}
	unbalanced := 0
	for _, v := range []variant{
		{"takes", standin.Accepting, true},
		{"unreachable", standin.Accepting, false},
		{"hangs", standin.Hanging, true},
		{"busy (429)", standin.Throttling, true},
		{"503", standin.Unavailable, true},
	} {
		c, err := standin.StartCollector("127.0.0.1:0")
		if err != nil {
			return err
		}
		c.SetMode(v.mode)
		if !v.reachable {
			_ = c.Close() // no longer needed
		}
		settings := r.collectorSettings(c.URL())
		f, err := fleet.Start(ctx, r.fleetOptions(slices.Repeat([]string{"traced"}, r.Fleet.Routers), map[string]string{"traced": settings}))
		if err != nil {
			return err
		}
		attempts, err := r.runTraffic(ctx, f)
		if stopped := f.Stop(); err == nil {
			err = stopped
		}
		if v.reachable {
			_ = c.Close() // no longer needed
		}
		if err != nil {
			return err
		}
		ok, invalid := 0, 0
		var firstEvents []float64
		for i := range attempts {
			switch attempts[i].Outcome {
			case load.Served:
				ok++
			case load.Wrong, load.Lost:
				invalid++
			}
			if !attempts[i].First.IsZero() {
				firstEvents = append(firstEvents, attempts[i].First.Sub(attempts[i].Sent).Seconds()*1000)
			}
		}
		servedShares = append(servedShares, float64(ok)/float64(max(len(attempts), 1)))
		chart.Series = append(chart.Series, report.CDF(v.name, firstEvents))
		var enqueued, sent, lost int
		for _, router := range f.Routers {
			n, err := routerCounters(router.Tail())
			if err != nil {
				return fmt.Errorf("router %s: %w", router.Name, err)
			}
			enqueued += n["otlp_put"]
			sent += n["otlp_sent"]
			lost += n["otlp_lost"] + n["otlp_lost_kept"] + n["otlp_rejected"]
			if n["taken"] != n["kept"]+n["dropped"]+n["early"]+n["limited"] || n["kept"] != n["otlp_put"] || n["otlp_waiting"] != 0 {
				unbalanced++
			}
		}
		if enqueued != sent+lost {
			unbalanced++
		}
		r.result.Add("served, collector "+v.name, servedShares[len(servedShares)-1], "", fmt.Sprintf("%d attempts", len(attempts)))
		r.result.Add("records sent, collector "+v.name, float64(sent), "", fmt.Sprintf("%d kept, %d counted as lost", enqueued, lost))
		r.result.Criteria = append(r.result.Criteria, report.NewCriterion("lost or wrong responses, collector "+v.name, float64(invalid), "", 0, 0, ""))
		if v.mode == standin.Accepting && v.reachable != (sent > 0) {
			unbalanced++
		}
	}
	worst := slices.Min(servedShares) / servedShares[0]
	r.result.Criteria = append(r.result.Criteria,
		report.NewCriterion("share served, worst case relative to an available collector", worst, "", r.Thresholds["answers"], math.MaxFloat64, ""),
		report.NewCriterion("routers whose trace record counters do not add up", float64(unbalanced), "", 0, 0, ""))
	r.result.Charts = append(r.result.Charts, chart)
	return nil
}

var counterPattern = regexp.MustCompile(`(\w+)=(\d+)`)

// routerCounters parses the trace counters that a router logs when it exits.
func routerCounters(log string) (map[string]int, error) {
	n := map[string]int{}
	line := regexp.MustCompile(`(?m)^.*msg=traces .*$`).FindString(log)
	if line == "" {
		return nil, fmt.Errorf("the log has no line with trace counters:\n%s", log)
	}
	for _, m := range counterPattern.FindAllStringSubmatch(line, -1) {
		v, err := strconv.Atoi(m[2])
		if err != nil {
			return nil, err
		}
		n[m[1]] = v
	}
	return n, nil
}
