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

// figures are what a run comes to, in the order in which they are told.
var figures = []struct {
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

// Figure is a mean over seeds with half of its 95% interval.
type Figure struct{ Mean, Spread float64 }

// Cell is what a variant came to with a value of the sweep.
type Cell struct {
	Value   float64 // of the sweep; 0 where there is none
	Variant string
	Figures []Figure // as figures has them
	Against []Figure // less those of the variant it is held against, seed by seed; nil of that one itself
}

// Outcome is what an experiment came to: by value, then by variant.
type Outcome struct {
	File  *File
	Cells []Cell
}

// Run plays an experiment on so many cores. progress is told how many runs are done.
func Run(ctx context.Context, f *File, cores int, progress func(done, of int)) (*Outcome, error) {
	values := []float64{0}
	if f.Sweep != nil {
		values = f.Sweep.Values
	}
	n := f.Seeds.Count
	total := len(values) * len(f.Variants) * n
	got := make([]sim.Figures, total)
	errs := make([]error, total)
	var wait sync.WaitGroup
	var mu sync.Mutex
	done := 0
	next := make(chan int)
	for range max(cores, 1) {
		wait.Go(func() {
			for i := range next {
				got[i], errs[i] = sim.Run(f.options(i/n%len(f.Variants), values[i/n/len(f.Variants)], f.Seeds.First+uint64(i%n)))
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
	return f.compare(values, got), nil
}

// compare puts together what the runs of each value, variant and seed came to, in this order.
func (f *File) compare(values []float64, got []sim.Figures) *Outcome {
	n := f.Seeds.Count
	out := &Outcome{File: f}
	base := 0
	for i, v := range f.Variants {
		if v.Name == f.Against {
			base = i
		}
	}
	for k, value := range values {
		of := func(variant int) []sim.Figures { return got[(k*len(f.Variants)+variant)*n:][:n] }
		for i, v := range f.Variants {
			c := Cell{Value: value, Variant: v.Name}
			for _, x := range figures {
				mine, less := make([]float64, n), make([]float64, n)
				for s := range n {
					mine[s] = x.of(&of(i)[s])
					less[s] = mine[s] - x.of(&of(base)[s])
				}
				c.Figures = append(c.Figures, mean(mine))
				if i != base {
					c.Against = append(c.Against, mean(less))
				}
			}
			out.Cells = append(out.Cells, c)
		}
	}
	return out
}

// mean is that of samples, with half of its interval by Student's distribution. One sample has none.
func mean(all []float64) Figure {
	f := Figure{Mean: stat.Mean(all, nil)}
	if n := float64(len(all)); n > 1 {
		f.Spread = distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(all, nil) / math.Sqrt(n)
	}
	return f
}

func (f Figure) String() string { return fmt.Sprintf("%.4g ± %.2g", f.Mean, f.Spread) }

// Print writes the outcome as tables: what each variant came to, and how the others differ from the one they are held
// against. A difference that its interval does not tell from none is in brackets.
func (o *Outcome) Print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	head := func(says string) {
		if o.File.Sweep != nil {
			fmt.Fprint(w, o.File.Sweep.Field, "\t")
		}
		fmt.Fprint(w, says)
		for _, x := range figures {
			fmt.Fprint(w, "\t", x.name)
			if x.unit != "" {
				fmt.Fprint(w, ", ", x.unit)
			}
		}
		fmt.Fprintln(w)
	}
	row := func(c *Cell, all []Figure, brackets bool) {
		if o.File.Sweep != nil {
			fmt.Fprintf(w, "%g\t", c.Value)
		}
		fmt.Fprint(w, c.Variant)
		for _, x := range all {
			text := x.String()
			if brackets && math.Abs(x.Mean) <= x.Spread {
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
	head("less " + o.File.Against)
	for i := range o.Cells {
		if c := &o.Cells[i]; c.Against != nil {
			row(c, c.Against, true)
		}
	}
	return w.Flush()
}

// Report is the outcome with a chart of what is in time.
func (o *Outcome) Report() *report.Result {
	r := &report.Result{Name: o.File.Name, About: o.File.About, Seed: o.File.Seeds.First, Simulated: true}
	chart := report.Chart{File: "in_aim.svg", Title: "first tokens within the aim", Y: "share"}
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
		for k, x := range figures {
			row := report.Row{Name: x.name + ": " + where, Figure: c.Figures[k].Mean, Spread: c.Figures[k].Spread, Unit: x.unit}
			if c.Against != nil {
				row.Note = "less " + o.File.Against + ": " + c.Against[k].String()
			}
			r.Rows = append(r.Rows, row)
		}
	}
	if o.File.Sweep != nil {
		r.Charts = append(r.Charts, chart)
	}
	return r
}
