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

// collector plays the same calls with a collector that takes, one that is not there, one that hangs and one that is
// busy, and holds the answers and the routers' account of every record against each other.
func runCollector(ctx context.Context, r *run) error {
	type variant struct {
		name      string
		mode      standin.Mode
		reachable bool
	}
	var servedShares []float64
	chart := report.Chart{File: "first.svg", Title: "Until the first event, by the collector's state", X: "ms", Y: "share of answers"}
	unbalanced := 0
	for _, v := range []variant{
		{"takes", standin.Takes, true},
		{"not there", standin.Takes, false},
		{"hangs", standin.Hangs, true},
		{"busy (429)", standin.Busy, true},
		{"503", standin.Down, true},
	} {
		c, err := standin.StartCollector("127.0.0.1:0")
		if err != nil {
			return err
		}
		c.Be(v.mode)
		if !v.reachable {
			_ = c.Close() // a collector of this program, which is done with
		}
		settings := r.collectorSettings(c.URL())
		f, err := fleet.Start(ctx, r.fleetOptions(slices.Repeat([]string{"traced"}, r.Fleet.Routers), map[string]string{"traced": settings}))
		if err != nil {
			return err
		}
		attempts, err := r.play(ctx, f)
		if stopped := f.Stop(); err == nil {
			err = stopped
		}
		if v.reachable {
			_ = c.Close() // a collector of this program, which is done with
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
		r.result.Add("served, collector "+v.name, servedShares[len(servedShares)-1], "", fmt.Sprintf("%d tries", len(attempts)))
		r.result.Add("records sent, collector "+v.name, float64(sent), "", fmt.Sprintf("%d kept, %d lost and counted", enqueued, lost))
		r.result.Criteria = append(r.result.Criteria, report.NewCriterion("answers lost or invented, collector "+v.name, float64(invalid), "", 0, 0, ""))
		if v.mode == standin.Takes && v.reachable != (sent > 0) {
			unbalanced++
		}
	}
	worst := slices.Min(servedShares) / servedShares[0]
	r.result.Criteria = append(r.result.Criteria,
		report.NewCriterion("share served, worst against a collector that takes", worst, "", r.Thresholds["answers"], math.MaxFloat64, ""),
		report.NewCriterion("routers whose account of records does not close", float64(unbalanced), "", 0, 0, ""))
	r.result.Charts = append(r.result.Charts, chart)
	return nil
}

var counterPattern = regexp.MustCompile(`(\w+)=(\d+)`)

// account reads the counters that a router prints at its end.
func routerCounters(log string) (map[string]int, error) {
	n := map[string]int{}
	line := regexp.MustCompile(`(?m)^.*msg=traces .*$`).FindString(log)
	if line == "" {
		return nil, fmt.Errorf("the log has no line of traces:\n%s", log)
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
