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
	Routers  []int     `help:"Routers; several are played one after the other." default:"11"`
	Engines  []int     `help:"Engines, as many figures as routers." default:"22"`
	Load     []float64 `help:"Of what engines can serve with prompts' beginnings kept." default:"0.5"`
	Skew     []float64 `help:"Of the beginnings' popularity: 0 = all alike, 1 = a few have most." default:"0.5"`
	Seconds  float64   `help:"Of arrivals, in simulated time." default:"20"`
	Zones    int       `help:"Zones." default:"3"`
	Crash    float64   `help:"Share of the engines that crash without a word in the middle." default:"0"`
	Cold     bool      `help:"Engines are cold at the start."`
	Seeds    []uint64  `help:"Every variant is played with each." default:"1,2,3"`
	Variants []string  `help:"What decides: the program's design, and baselines." default:"design,random,least,two,hash,oracle"`
	Output   string    `help:"Form: ${enum}." enum:"table,json" default:"table"`
	Out      string    `help:"Write a summary, a table and charts into this folder." type:"path" placeholder:"DIR"`
}

// played is a run and what came of it.
type played struct {
	sim.Options
	sim.Figures
}

// Run plays every combination; runs stand beside each other on as many cores as there are, which changes no figure.
func (c simCmd) Run() error {
	if len(c.Routers) != len(c.Engines) {
		return badFile{fmt.Errorf("--routers has %d figures and --engines %d", len(c.Routers), len(c.Engines))}
	}
	all := c.combinations()
	errs := make([]error, len(all))
	sideBySide(len(all), func(i int) { all[i].Figures, errs[i] = sim.Run(all[i].Options) })
	for _, err := range errs {
		if err != nil {
			return badFile{err}
		}
	}
	if c.Output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(all)
	}
	return c.table(all)
}

// combinations are the runs that are asked for, those of a variant with all seeds beside each other.
func (c simCmd) combinations() (all []*played) {
	for i := range c.Routers {
		for _, load := range c.Load {
			for _, skew := range c.Skew {
				for _, v := range c.Variants {
					for _, seed := range c.Seeds {
						all = append(all, &played{Options: sim.Options{
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

// table prints the means over the seeds, and writes the report if a folder is named.
func (c simCmd) table(all []*played) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTERS\tENGINES\tLOAD\tSKEW\tVARIANT\tASKED\tIN AIM\tLATE\tREFUSED\tFAILED\tP50 MS\tP99 MS\tKEPT\tBUSIEST\tLEGS")
	r := report.Result{Name: "sim", About: "The data plane in simulated time, beside baselines on the same requests.", Seed: c.Seeds[0], Simulated: true}
	lines := map[string]*report.Series{}
	for _, some := range slices.Collect(slices.Chunk(all, len(c.Seeds))) {
		m := mean(some)
		fmt.Fprintf(w, "%d\t%d\t%.2f\t%.2f\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.2f\t%.2f\n", m.Routers, m.Engines, m.Load, m.Skew,
			m.Variant, m.Requests, m.WithinTarget, m.Late, m.Rejected, m.Failed, m.P50, m.P99, m.CachedShare, m.Busiest, m.Attempts)
		r.Add(fmt.Sprintf("in aim: %s, %d routers, %d engines, load %.2f, skew %.2f", m.Variant, m.Routers, m.Engines, m.Load, m.Skew), m.WithinTarget, "", "")
		x := m.Load
		switch {
		case len(c.Routers) > 1:
			x = float64(m.Engines)
		case len(c.Skew) > 1:
			x = m.Skew
		}
		if lines[m.Variant] == nil {
			lines[m.Variant] = &report.Series{Name: m.Variant}
		}
		lines[m.Variant].Points = append(lines[m.Variant].Points, report.Point{X: x, Y: m.WithinTarget})
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
	chart := report.Chart{File: "in_aim.svg", Title: "first tokens within the aim", X: x, Y: "share"}
	for _, v := range c.Variants {
		chart.Series = append(chart.Series, *lines[v])
	}
	r.Charts = append(r.Charts, chart)
	return r.Write(c.Out)
}

// sideBySide does so many things on as many cores as there are.
func sideBySide(n int, do func(i int)) {
	var wait sync.WaitGroup
	turn := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		turn <- struct{}{}
		wait.Go(func() {
			do(i)
			<-turn
		})
	}
	wait.Wait()
}

// mean of runs that differ in their seed.
func mean(some []*played) played {
	m := *some[0]
	n := float64(len(some))
	m.Figures = sim.Figures{}
	for _, p := range some {
		m.Requests += p.Requests / len(some)
		for _, x := range []struct {
			to *float64
			of float64
		}{
			{&m.WithinTarget, p.WithinTarget},
			{&m.Late, p.Late},
			{&m.Rejected, p.Rejected},
			{&m.Failed, p.Failed},
			{&m.P50, p.P50},
			{&m.P99, p.P99},
			{&m.CachedShare, p.CachedShare},
			{&m.Busiest, p.Busiest},
			{&m.Attempts, p.Attempts},
		} {
			*x.to += x.of / n
		}
	}
	return m
}
