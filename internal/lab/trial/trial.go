package trial

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"notchhinge/internal/lab/report"
	"notchhinge/internal/lab/sim"
)

// metrics are the figures of a run, in the order of the tables.
var metrics = []struct {
	name, unit string
	of         func(*sim.Figures) float64
}{
	{"in aim", "", func(f *sim.Figures) float64 { return f.WithinTarget }},
	{"late", "", func(f *sim.Figures) float64 { return f.Late }},
	{"refused", "", func(f *sim.Figures) float64 { return f.Rejected }},
	{"failed", "", func(f *sim.Figures) float64 { return f.Failed }},
	{"p50", "ms", func(f *sim.Figures) float64 { return f.P50 }},
	{"p99", "ms", func(f *sim.Figures) float64 { return f.P99 }},
	{"kept", "", func(f *sim.Figures) float64 { return f.CachedShare }},
	{"busiest", "", func(f *sim.Figures) float64 { return f.Busiest }},
	{"legs", "", func(f *sim.Figures) float64 { return f.Attempts }},
}

// Figure is a mean over seeds with half of its 95% confidence interval.
type Figure struct{ Mean, Spread float64 }

// Cell holds the figures of one variant with one value of the sweep.
type Cell struct {
	Value       float64 // of the sweep; 0 without a sweep
	Variant     string
	Figures     []Figure // in the order of metrics
	Differences []Figure // paired differences from the baseline; nil for the baseline itself
}

// Outcome holds the results of an experiment, by value of the sweep, then by variant.
type Outcome struct {
	File  *File
	Cells []Cell
}

// Run runs an experiment on the given number of cores. It calls progress after each run.
func Run(ctx context.Context, f *File, cores int, progress func(done, of int)) (*Outcome, error) {
	values := []float64{0}
	if f.Sweep != nil {
		values = f.Sweep.Values
	}
	n := f.Seeds.Count
	total := len(values) * len(f.Variants) * n
	results := make([]sim.Figures, total)
	errs := make([]error, total)
	var wait sync.WaitGroup
	var mu sync.Mutex
	done := 0
	next := make(chan int)
	for range max(cores, 1) {
		wait.Go(func() {
			for i := range next {
				results[i], errs[i] = sim.Run(f.options(i/n%len(f.Variants), values[i/n/len(f.Variants)], f.Seeds.First+uint64(i%n)))
				mu.Lock()
				done++
				progress(done, total)
				mu.Unlock()
			}
		})
	}
	for i := 0; i < total && ctx.Err() == nil; i++ {
		next <- i
	}
	close(next)
	wait.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return f.compare(values, results), nil
}

// compare aggregates the figures of all runs, which are ordered by value, variant and seed, and computes the paired
// differences from the baseline.
func (f *File) compare(values []float64, results []sim.Figures) *Outcome {
	n := f.Seeds.Count
	out := &Outcome{File: f}
	baseline := 0
	for i, v := range f.Variants {
		if v.Name == f.Baseline {
			baseline = i
		}
	}
	for k, value := range values {
		of := func(variant int) []sim.Figures { return results[(k*len(f.Variants)+variant)*n:][:n] }
		for i, v := range f.Variants {
			c := Cell{Value: value, Variant: v.Name}
			for _, x := range metrics {
				values, differences := make([]float64, n), make([]float64, n)
				for s := range n {
					values[s] = x.of(&of(i)[s])
					differences[s] = values[s] - x.of(&of(baseline)[s])
				}
				c.Figures = append(c.Figures, mean(values))
				if i != baseline {
					c.Differences = append(c.Differences, mean(differences))
				}
			}
			out.Cells = append(out.Cells, c)
		}
	}
	return out
}

// mean returns the mean of samples with half of its 95% confidence interval by Student's t distribution, 0 for one sample.
func mean(all []float64) Figure {
	f := Figure{Mean: stat.Mean(all, nil)}
	if n := float64(len(all)); n > 1 {
		f.Spread = distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(all, nil) / math.Sqrt(n)
	}
	return f
}

// String formats the mean and half of its interval, for example "0.95 ± 0.01".
func (f Figure) String() string { return fmt.Sprintf("%.4g ± %.2g", f.Mean, f.Spread) }

// Print writes two tables: the figures of each variant, and the differences from the baseline. A difference whose interval
// includes 0 is in parentheses.
func (o *Outcome) Print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	head := func(label string) {
		if o.File.Sweep != nil {
			fmt.Fprint(w, o.File.Sweep.Field, "\t")
		}
		fmt.Fprint(w, label)
		for _, x := range metrics {
			fmt.Fprint(w, "\t", x.name)
			if x.unit != "" {
				fmt.Fprint(w, ", ", x.unit)
			}
		}
		fmt.Fprintln(w)
	}
	row := func(c *Cell, all []Figure, parentheses bool) {
		if o.File.Sweep != nil {
			fmt.Fprintf(w, "%g\t", c.Value)
		}
		fmt.Fprint(w, c.Variant)
		for _, x := range all {
			text := x.String()
			if parentheses && math.Abs(x.Mean) <= x.Spread {
				text = "(" + text + ")"
			}
			fmt.Fprint(w, "\t", text)
		}
		fmt.Fprintln(w)
	}
	head("variant")
	for i := range o.Cells {
		row(&o.Cells[i], o.Cells[i].Figures, false)
	}
	fmt.Fprintln(w)
	head("difference from " + o.File.Baseline)
	for i := range o.Cells {
		if c := &o.Cells[i]; c.Differences != nil {
			row(c, c.Differences, true)
		}
	}
	return w.Flush()
}

// Report returns the outcome as a result; with a sweep it has a chart of the requests within the latency target.
func (o *Outcome) Report() *report.Result {
	r := &report.Result{Name: o.File.Name, About: o.File.About, Seed: o.File.Seeds.First, Simulated: true}
	chart := report.Chart{File: "in_aim.svg", Title: "first tokens within the latency target", Y: "share"}
	at := map[string]int{}
	for i := range o.Cells {
		c := &o.Cells[i]
		where := c.Variant
		if s := o.File.Sweep; s != nil {
			where += fmt.Sprintf(", %s %g", s.Field, c.Value)
			chart.X = s.Field
			k, known := at[c.Variant]
			if !known {
				k = len(chart.Series)
				at[c.Variant] = k
				chart.Series = append(chart.Series, report.Series{Name: c.Variant})
			}
			chart.Series[k].Points = append(chart.Series[k].Points, report.Point{X: c.Value, Y: c.Figures[0].Mean})
		}
		for k, x := range metrics {
			row := report.Row{Name: x.name + ": " + where, Figure: c.Figures[k].Mean, Spread: c.Figures[k].Spread, Unit: x.unit}
			if c.Differences != nil {
				row.Note = "difference from " + o.File.Baseline + ": " + c.Differences[k].String()
			}
			r.Rows = append(r.Rows, row)
		}
	}
	if o.File.Sweep != nil {
		r.Charts = append(r.Charts, chart)
	}
	return r
}
