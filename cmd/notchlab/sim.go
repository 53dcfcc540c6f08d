package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"notchhinge/internal/lab/report"
	"notchhinge/internal/lab/sim"
)

type simCmd struct {
	Routers  []int     `help:"Numbers of routers; each is run in turn." default:"11"`
	Engines  []int     `help:"Numbers of engines, one for each number of routers." default:"22"`
	Load     []float64 `help:"Load, as a fraction of the engines' capacity with a warm prefix cache." default:"0.5"`
	Skew     []float64 `help:"Skew of the popularity of prefixes: 0 = uniform, 1 = a few get most requests." default:"0.5"`
	Seconds  float64   `help:"Duration of arrivals, in simulated time." default:"20"`
	Zones    int       `help:"Number of zones." default:"3"`
	Crash    float64   `help:"Share of the engines that crash in the middle of the run." default:"0"`
	Cold     bool      `help:"Start engines with empty prefix caches."`
	Seeds    []uint64  `help:"Seeds; every variant runs with each." default:"1,2,3"`
	Variants []string  `help:"Decision policies: the router's own (design) and baselines." default:"design,random,least,two,hash,oracle"`
	Output   string    `help:"Output format: ${enum}." enum:"table,json" default:"table"`
	Out      string    `help:"Write a summary, a table and charts to this directory." type:"path" placeholder:"DIR"`
}

// simRun holds the options and the figures of one run.
type simRun struct {
	sim.Options
	sim.Figures
}

// Run runs every combination of the flags, in parallel on all cores. The figures do not depend on the number of cores.
func (c simCmd) Run() error {
	if len(c.Routers) != len(c.Engines) {
		return usageError{fmt.Errorf("--routers has %d values and --engines %d", len(c.Routers), len(c.Engines))}
	}
	all := c.combinations()
	errs := make([]error, len(all))
	runParallel(len(all), func(i int) { all[i].Figures, errs[i] = sim.Run(all[i].Options) })
	for _, err := range errs {
		if err != nil {
			return usageError{err}
		}
	}
	if c.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(all)
	}
	return c.table(all)
}

// combinations returns a run for each combination of the flags. The runs of a variant with different seeds are adjacent.
func (c simCmd) combinations() (all []*simRun) {
	for i := range c.Routers {
		for _, load := range c.Load {
			for _, skew := range c.Skew {
				for _, v := range c.Variants {
					for _, seed := range c.Seeds {
						all = append(all, &simRun{Options: sim.Options{
							Variant: v, Seed: seed, Routers: c.Routers[i], Engines: c.Engines[i], Zones: c.Zones, Load: load, Skew: skew, Crash: c.Crash,
							Cold: c.Cold, Length: time.Duration(c.Seconds * float64(time.Second)), News: 1200 * time.Millisecond,
						}})
					}
				}
			}
		}
	}
	return all
}

// table prints the means over the seeds, and writes a report if --out is set.
func (c simCmd) table(all []*simRun) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTERS\tENGINES\tLOAD\tSKEW\tVARIANT\tASKED\tIN AIM\tLATE\tREFUSED\tFAILED\tP50 MS\tP99 MS\tKEPT\tBUSIEST\tLEGS")
	result := report.Result{Name: "sim", About: "The data plane in simulated time, compared with baselines on the same requests.", Seed: c.Seeds[0], Simulated: true}
	series := map[string]*report.Series{}
	for _, runs := range slices.Collect(slices.Chunk(all, len(c.Seeds))) {
		m := mean(runs)
		fmt.Fprintf(w, "%d\t%d\t%.2f\t%.2f\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.2f\t%.2f\n", m.Routers, m.Engines, m.Load, m.Skew,
			m.Variant, m.Requests, m.WithinTarget, m.Late, m.Rejected, m.Failed, m.P50, m.P99, m.CachedShare, m.Busiest, m.Attempts)
		result.Add(fmt.Sprintf("in aim: %s, %d routers, %d engines, load %.2f, skew %.2f", m.Variant, m.Routers, m.Engines, m.Load, m.Skew), m.WithinTarget, "", "")
		x := m.Load
		switch {
		case len(c.Routers) > 1:
			x = float64(m.Engines)
		case len(c.Skew) > 1:
			x = m.Skew
		}
		if series[m.Variant] == nil {
			series[m.Variant] = &report.Series{Name: m.Variant}
		}
		series[m.Variant].Points = append(series[m.Variant].Points, report.Point{X: x, Y: m.WithinTarget})
	}
	if err := w.Flush(); err != nil || c.Out == "" {
		return err
	}
	x := "load"
	if len(c.Routers) > 1 {
		x = "engines"
	} else if len(c.Skew) > 1 {
		x = "skew"
	}
	chart := report.Chart{File: "in_aim.svg", Title: "first tokens within the latency target", X: x, Y: "share"}
	for _, v := range c.Variants {
		chart.Series = append(chart.Series, *series[v])
	}
	result.Charts = append(result.Charts, chart)
	return result.Write(c.Out)
}

// runParallel calls do for each i below n, with one call at a time on each core.
func runParallel(n int, do func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			do(i)
			<-slots
		})
	}
	wait.Wait()
}

// mean returns the mean of runs that differ only in their seed.
func mean(runs []*simRun) simRun {
	m := *runs[0]
	n := float64(len(runs))
	m.Figures = sim.Figures{}
	for _, run := range runs {
		m.Requests += run.Requests / len(runs)
		for _, field := range []struct {
			to *float64
			of float64
		}{
			{&m.WithinTarget, run.WithinTarget},
			{&m.Late, run.Late},
			{&m.Rejected, run.Rejected},
			{&m.Failed, run.Failed},
			{&m.P50, run.P50},
			{&m.P99, run.P99},
			{&m.CachedShare, run.CachedShare},
			{&m.Busiest, run.Busiest},
			{&m.Attempts, run.Attempts},
		} {
			*field.to += field.of / n
		}
	}
	return m
}
