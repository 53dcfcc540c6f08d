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
	File  string `arg:"" help:"The experiment (lab/simulated/draw.toml is one)."`
	Cores int    `help:"Runs side by side; 0 = as many as there are cores. It changes no figure." default:"0"`
	Seeds int    `help:"In place of the file's number of seeds; 0 = as the file says." default:"0"`
	Out   string `help:"Write a summary, a table, a page and charts into this folder." type:"path" placeholder:"DIR"`
}

// Run plays every variant with every seed, and tells by how much they differ.
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
