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
func collector(ctx context.Context, r *run) error {
	type variant struct {
		name  string
		mode  standin.Mode
		there bool
	}
	var served []float64
	chart := report.Chart{File: "first.svg", Title: "Until the first event, by the collector's state", X: "ms", Y: "share of answers"}
	unaccounted := 0
	for _, v := range []variant{
		{"takes", standin.Accepting, true},
		{"not there", standin.Accepting, false},
		{"hangs", standin.Hanging, true},
		{"busy (429)", standin.Throttling, true},
		{"503", standin.Unavailable, true},
	} {
		c, err := standin.StartCollector("127.0.0.1:0")
		if err != nil {
			return err
		}
		c.SetMode(v.mode)
		if !v.there {
			_ = c.Close() // a collector of this program, which is done with
		}
		text := r.settings(c.URL())
		f, err := fleet.Start(ctx, r.options(slices.Repeat([]string{"traced"}, r.Fleet.Routers), map[string]string{"traced": text}))
		if err != nil {
			return err
		}
		tries, err := r.play(ctx, f)
		if stopped := f.Stop(); err == nil {
			err = stopped
		}
		if v.there {
			_ = c.Close() // a collector of this program, which is done with
		}
		if err != nil {
			return err
		}
		ok, wrong := 0, 0
		var first []float64
		for i := range tries {
			switch tries[i].Outcome {
			case load.Served:
				ok++
			case load.Wrong, load.Lost:
				wrong++
			}
			if !tries[i].First.IsZero() {
				first = append(first, tries[i].First.Sub(tries[i].Sent).Seconds()*1000)
			}
		}
		served = append(served, float64(ok)/float64(max(len(tries), 1)))
		chart.Series = append(chart.Series, report.CDF(v.name, first))
		var put, sent, lost int
		for _, router := range f.Routers {
			n, err := account(router.Tail())
			if err != nil {
				return fmt.Errorf("router %s: %w", router.Name, err)
			}
			put += n["otlp_put"]
			sent += n["otlp_sent"]
			lost += n["otlp_lost"] + n["otlp_lost_kept"] + n["otlp_rejected"]
			if n["taken"] != n["kept"]+n["dropped"]+n["early"]+n["limited"] || n["kept"] != n["otlp_put"] || n["otlp_waiting"] != 0 {
				unaccounted++
			}
		}
		if put != sent+lost {
			unaccounted++
		}
		r.result.Add("served, collector "+v.name, served[len(served)-1], "", fmt.Sprintf("%d tries", len(tries)))
		r.result.Add("records sent, collector "+v.name, float64(sent), "", fmt.Sprintf("%d kept, %d lost and counted", put, lost))
		r.result.Bars = append(r.result.Bars, report.NewBar("answers lost or invented, collector "+v.name, float64(wrong), "", 0, 0, ""))
		if v.mode == standin.Accepting && v.there != (sent > 0) {
			unaccounted++
		}
	}
	least := slices.Min(served) / served[0]
	r.result.Bars = append(r.result.Bars,
		report.NewBar("share served, worst against a collector that takes", least, "", r.Bars["answers"], math.MaxFloat64, ""),
		report.NewBar("routers whose account of records does not close", float64(unaccounted), "", 0, 0, ""))
	r.result.Charts = append(r.result.Charts, chart)
	return nil
}

var pair = regexp.MustCompile(`(\w+)=(\d+)`)

// account reads the counters that a router prints at its end.
func account(log string) (map[string]int, error) {
	n := map[string]int{}
	line := regexp.MustCompile(`(?m)^.*msg=traces .*$`).FindString(log)
	if line == "" {
		return nil, fmt.Errorf("the log has no line of traces:\n%s", log)
	}
	for _, m := range pair.FindAllStringSubmatch(line, -1) {
		v, err := strconv.Atoi(m[2])
		if err != nil {
			return nil, err
		}
		n[m[1]] = v
	}
	return n, nil
}
