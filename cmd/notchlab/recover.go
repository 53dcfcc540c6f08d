package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"notchhinge/internal/lab/plane"
)

type recoverCmd struct {
	Routers []int         `help:"Numbers of routers; each is run in turn." default:"11,59,86,200"`
	Engines []int         `help:"Numbers of engines, one for each number of routers." default:"22,212,249,1000"`
	Keepers int           `help:"Number of replicas of the control plane." default:"5"`
	Down    time.Duration `help:"Duration of the power failure." default:"1.1s"`
	Seeds   int           `help:"Number of seeds for each size, from 1 on; the median and the maximum are printed." default:"5"`
}

// Run simulates a power failure of all machines at each size, and prints the recovery time of each part.
func (c recoverCmd) Run() error {
	if len(c.Routers) != len(c.Engines) || c.Keepers < 1 || c.Seeds < 1 || c.Down <= 0 {
		return usageError{fmt.Errorf("--routers has %d values and --engines %d, which must be equal; --keepers and --seeds must be at least 1, --down above 0", len(c.Routers), len(c.Engines))}
	}
	all := make([]plane.Recovery, len(c.Routers)*c.Seeds)
	runParallel(len(all), func(i int) {
		scenario := &plane.Scenario{
			Seed: uint64(i%c.Seeds) + 1, Replicas: c.Keepers, Routers: c.Routers[i/c.Seeds], Engines: c.Engines[i/c.Seeds],
			Tolerate: (c.Keepers - 1) / 2, Length: 10 * time.Second,
		}
		all[i] = scenario.MeasureRecovery(c.Down)
	})
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTERS\tENGINES\tKEEPERS CONNECTED\tHALF KNOWN\t95% KNOWN\tALL KNOWN\tCONFIGURATION AGREED\tDUTIES")
	for i := range c.Routers {
		recoveries := all[i*c.Seeds : (i+1)*c.Seeds]
		fmt.Fprintf(w, "%d\t%d", c.Routers[i], c.Engines[i])
		for _, durationOf := range []func(r plane.Recovery) time.Duration{
			func(r plane.Recovery) time.Duration { return r.QuorumContact }, func(r plane.Recovery) time.Duration { return r.HalfKnown },
			func(r plane.Recovery) time.Duration { return r.MostKnown }, func(r plane.Recovery) time.Duration { return r.AllKnown },
			func(r plane.Recovery) time.Duration { return r.ConfigAcked }, func(r plane.Recovery) time.Duration { return r.HolderActive },
		} {
			var times []time.Duration
			for _, r := range recoveries {
				times = append(times, durationOf(r))
			}
			slices.Sort(times)
			fmt.Fprintf(w, "\t%.2f, %.2f s", times[len(times)/2].Seconds(), times[len(times)-1].Seconds())
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
