package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"notchhinge/internal/lab/trial"
)

type compareCmd struct {
	File  string `arg:"" help:"Experiment file, for example lab/simulated/draw.toml."`
	Cores int    `help:"Number of parallel runs; 0 = one for each core. Results do not depend on it." default:"0"`
	Seeds int    `help:"Number of seeds; 0 = as in the file." default:"0"`
	Out   string `help:"Write a summary, a table, a page and charts to this directory." type:"path" placeholder:"DIR"`
}

// Run runs every variant with every seed, and prints the figures and their paired differences from the baseline.
func (c compareCmd) Run(ctx context.Context) error {
	f, err := trial.Load(c.File)
	if err != nil {
		return usageError{err}
	}
	if c.Seeds > 0 {
		f.Seeds.Count = c.Seeds
	}
	if c.Cores < 1 {
		c.Cores = runtime.GOMAXPROCS(0)
	}
	last := time.Now()
	o, err := trial.Run(ctx, f, c.Cores, func(done, of int) {
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d runs\n", done, of)
		}
	})
	if err != nil {
		return err
	}
	if err := o.Print(os.Stdout); err != nil || c.Out == "" {
		return err
	}
	return o.Report().Write(c.Out)
}
