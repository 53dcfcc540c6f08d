package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"notchhinge/internal/lab/plane"
	"notchhinge/internal/lab/report"
)

type capacityCmd struct {
	Routers []int  `help:"Numbers of routers; each is run in turn." default:"16,32,64,128,200"`
	Engines []int  `help:"Numbers of engines, one for each number of routers." default:"64,128,256,512,1000"`
	Keepers int    `help:"Number of replicas of the control plane." default:"5"`
	Seed    uint64 `help:"Seed of all random draws." default:"1"`
	Out     string `help:"Write a summary, a table and charts to this directory." type:"path" placeholder:"DIR"`
}

// Run simulates an idle control plane of each size, and prints the bytes per second that a router and a replica send, and that
// a replica receives.
func (c capacityCmd) Run() error {
	if len(c.Routers) != len(c.Engines) || c.Keepers < 1 {
		return usageError{fmt.Errorf("--routers has %d values and --engines %d, which must be equal, and --keepers must be at least 1", len(c.Routers), len(c.Engines))}
	}
	const length, calm = 25 * time.Second, 15 * time.Second
	all := make([]plane.Costs, len(c.Routers))
	runParallel(len(all), func(i int) {
		scenario := &plane.Scenario{Seed: c.Seed, Replicas: c.Keepers, Routers: c.Routers[i], Engines: c.Engines[i], Tolerate: (c.Keepers - 1) / 2, Length: length}
		all[i] = scenario.Measure(calm)
	})
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTERS\tENGINES\tPROCESS\tCAUSE\tBYTES/S")
	result := report.Result{Name: "capacity", About: "Control-plane traffic of an idle fleet, by the simulation model.", Seed: c.Seed, Simulated: true}
	sent := report.Chart{File: "sent.svg", Title: "control-plane bytes per second", X: "routers", Y: "bytes per second", Series: []report.Series{
		{Name: "sent by a router"}, {Name: "sent by a keeper"}, {Name: "taken by a keeper"},
	}}
	for i, costs := range all {
		row := func(process, cause string, bytes float64) {
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%.0f\n", c.Routers[i], c.Engines[i], process, cause, bytes)
		}
		for _, cost := range costs.Router {
			row("router", cost.Cause, cost.Bytes)
		}
		row("router", "all", costs.Sent[0])
		for _, cost := range costs.Replica {
			row("keeper", cost.Cause, cost.Bytes)
		}
		row("keeper", "all", costs.Sent[1])
		row("keeper", "taken", costs.Received)
		row("keeper", "calls of engines (per second)", costs.Calls)
		for k, y := range []float64{costs.Sent[0], costs.Sent[1], costs.Received} {
			sent.Series[k].Points = append(sent.Series[k].Points, report.Point{X: float64(c.Routers[i]), Y: y})
			result.Add(fmt.Sprintf("%s, %d routers, %d engines", sent.Series[k].Name, c.Routers[i], c.Engines[i]), y, "B/s", "")
		}
	}
	if err := w.Flush(); err != nil || c.Out == "" {
		return err
	}
	result.Charts = append(result.Charts, sent)
	return result.Write(c.Out)
}
