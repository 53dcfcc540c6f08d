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
	Routers []int  `help:"Routers; several are played one after the other." default:"16,32,64,128,200"`
	Engines []int  `help:"Engines, as many figures as routers." default:"64,128,256,512,1000"`
	Keepers int    `help:"Keepers of a fleet." default:"5"`
	Seed    uint64 `help:"Of all that is drawn." default:"1"`
	Out     string `help:"Write a summary, a table and charts into this folder." type:"path" placeholder:"DIR"`
}

// Run plays quiet days of the control plane at each size, and tells what a router and a keeper send and take.
func (c capacityCmd) Run() error {
	if len(c.Routers) != len(c.Engines) || c.Keepers < 1 {
		return badFile{fmt.Errorf("--routers has %d figures and --engines %d; a keeper at least is wanted", len(c.Routers), len(c.Engines))}
	}
	const length, calm = 25 * time.Second, 15 * time.Second
	all := make([]plane.Costs, len(c.Routers))
	sideBySide(len(all), func(i int) {
		d := &plane.Scenario{Seed: c.Seed, Replicas: c.Keepers, Routers: c.Routers[i], Engines: c.Engines[i], Tolerate: (c.Keepers - 1) / 2, Length: length}
		all[i] = d.Measure(calm)
	})
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTERS\tENGINES\tPROCESS\tCAUSE\tBYTES/S")
	r := report.Result{Name: "capacity", About: "What the control plane of a fleet sends in calm, by the model.", Seed: c.Seed, Simulated: true}
	sent := report.Chart{File: "sent.svg", Title: "control bytes a second", X: "routers", Y: "bytes a second", Series: []report.Series{
		{Name: "sent by a router"}, {Name: "sent by a keeper"}, {Name: "taken by a keeper"},
	}}
	for i, x := range all {
		row := func(who, cause string, bytes float64) {
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%.0f\n", c.Routers[i], c.Engines[i], who, cause, bytes)
		}
		for _, y := range x.Router {
			row("router", y.Cause, y.Bytes)
		}
		row("router", "all", x.Sent[0])
		for _, y := range x.Replica {
			row("keeper", y.Cause, y.Bytes)
		}
		row("keeper", "all", x.Sent[1])
		row("keeper", "taken", x.Received)
		row("keeper", "calls of engines (a second)", x.Calls)
		for k, y := range []float64{x.Sent[0], x.Sent[1], x.Received} {
			sent.Series[k].Points = append(sent.Series[k].Points, report.Point{X: float64(c.Routers[i]), Y: y})
			r.Add(fmt.Sprintf("%s, %d routers, %d engines", sent.Series[k].Name, c.Routers[i], c.Engines[i]), y, "B/s", "")
		}
	}
	if err := w.Flush(); err != nil || c.Out == "" {
		return err
	}
	r.Charts = append(r.Charts, sent)
	return r.Write(c.Out)
}
