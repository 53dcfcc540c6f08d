package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"notchhinge/internal/lab/plane"
)

type huntCmd struct {
	Days     int    `help:"Days to play." default:"1000"`
	First    uint64 `help:"Seed of the first; each further one has the next." default:"1"`
	Keepers  int    `help:"Keepers of a fleet." default:"5"`
	Tolerate int    `help:"Keepers that may be lost at once." default:"2"`
	Routers  int    `help:"Routers." default:"15"`
	Engines  int    `help:"Engines." default:"20"`
	Out      string `help:"Folder for days that break a rule, shrunk; else they are printed." placeholder:"DIR"`
}

// Run hunts; what is found is shrunk, and fails it.
func (c huntCmd) Run(ctx context.Context) error {
	s := plane.Size{Replicas: c.Keepers, Routers: c.Routers, Engines: c.Engines, Tolerate: c.Tolerate}
	if c.Days < 1 || c.Routers < 1 || c.Engines < 1 || c.Tolerate < 1 || 2*c.Tolerate+1 > c.Keepers || c.Keepers+c.Routers > 4000 {
		return badFile{errors.New("at least one day, router, engine and keeper that may be lost are wanted, and fewer than half of the keepers; 4000 machines at the most")}
	}
	began, last := time.Now(), time.Now()
	days, met := plane.Plan(c.First, c.Days, s)
	played, broken := plane.Hunt(ctx, days, func(done int) {
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d days\n", done, c.Days)
		}
	})
	fmt.Printf("%d days of %d machines and %d engines in %v, in which %d pairs of troubles have met: %d break a rule\n", played, c.Keepers+c.Routers,
		c.Engines, time.Since(began).Round(time.Second), len(met), len(broken))
	if c.Out != "" && len(broken) > 0 {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
	}
	for _, d := range broken {
		if err := shrunk(d, c.Out); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return errBroken
	}
	return ctx.Err()
}

// shrunk prints what is left of a day that breaks a rule, or writes it into a folder.
func shrunk(d *plane.Scenario, out string) error {
	r := d.Run("")
	if len(r.Violations) == 0 {
		return nil
	}
	rule := r.Violations[0].Rule
	small := d.Shrink("", rule)
	f := small.Run("").Violations[0]
	text, err := small.Encode()
	if err != nil {
		return err
	}
	fmt.Printf("\n# seed %d: %s at %v: %s\n", d.Seed, f.Rule, f.At.Round(time.Millisecond), f.Message)
	if out == "" {
		fmt.Printf("%s", text)
		return nil
	}
	path := filepath.Join(out, fmt.Sprintf("%d-%s.toml", d.Seed, rule))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	fmt.Println("# shrunk to", path)
	return nil
}

type shrinkCmd struct {
	File string `arg:"" help:"A day that breaks a rule."`
}

// Run takes away from a day what its broken rule does not need, and prints the rest. A day that breaks none is left as it is.
func (c shrinkCmd) Run() error {
	d, err := plane.Load(c.File)
	if err != nil {
		return badFile{err}
	}
	return shrunk(d, "")
}

type replayCmd struct {
	File string `arg:"" help:"A day, as hunt writes it."`
}

// Run plays a day again.
func (c replayCmd) Run() error {
	d, err := plane.Load(c.File)
	if err != nil {
		return badFile{err}
	}
	r := d.Run("")
	fmt.Printf("configurations %d, acknowledged %d, %d of them with all keepers lost that may be, the slowest in calm %v, read back %d; engines that drained %d; usage windows %d, not reported %d; orders %d; events %d\n", r.Changes, r.Acked, r.AckedAtMaxLoss,
		r.Slowest.Round(time.Millisecond), r.Revision, r.Drained, r.Windows, r.Unreported, r.Orders, r.Events)
	for _, f := range r.Violations {
		fmt.Printf("%s at %v: %s\n", f.Rule, f.At.Round(time.Millisecond), f.Message)
	}
	if len(r.Violations) > 0 {
		return errBroken
	}
	return nil
}
