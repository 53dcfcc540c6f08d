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
	Days     int    `help:"Number of days (simulated runs)." default:"1000"`
	First    uint64 `help:"Seed of the first day; later days have the following seeds." default:"1"`
	Keepers  int    `help:"Number of keepers, the voters of the control plane." default:"5"`
	Tolerate int    `help:"Number of keepers that may fail at once." default:"2"`
	Routers  int    `help:"Number of routers." default:"15"`
	Engines  int    `help:"Number of engines." default:"20"`
	Out      string `help:"Write shrunk days that break a rule to this directory. Default: print them." placeholder:"DIR"`
}

// Run simulates days, and shrinks those that break a rule. It fails if there are any.
func (c huntCmd) Run(ctx context.Context) error {
	s := plane.Size{Replicas: c.Keepers, Routers: c.Routers, Engines: c.Engines, Tolerate: c.Tolerate}
	if c.Days < 1 || c.Routers < 1 || c.Engines < 1 || c.Tolerate < 1 || 2*c.Tolerate+1 > c.Keepers || c.Keepers+c.Routers > 4000 {
		return usageError{errors.New("--days, --routers, --engines and --tolerate must be at least 1, --tolerate below half of --keepers, and keepers and routers together at most 4000")}
	}
	began, last := time.Now(), time.Now()
	days, met := plane.Plan(c.First, c.Days, s)
	played, broken := plane.Hunt(ctx, days, func(done int) {
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d days\n", done, c.Days)
		}
	})
	fmt.Printf("%d days of %d machines and %d engines in %v, with %d pairs of overlapping faults: %d break a rule\n", played, c.Keepers+c.Routers,
		c.Engines, time.Since(began).Round(time.Second), len(met), len(broken))
	if c.Out != "" && len(broken) > 0 {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
	}
	for _, d := range broken {
		if err := printShrunk(d, c.Out); err != nil {
			return err
		}
	}
	if len(broken) > 0 {
		return errRuleBroken
	}
	return ctx.Err()
}

// printShrunk shrinks a day that breaks a rule, and prints it or writes it to a directory.
func printShrunk(d *plane.Scenario, out string) error {
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
	File string `arg:"" help:"File of a day that breaks a rule."`
}

// Run shrinks a day that breaks a rule, and prints it. It prints nothing for a day that breaks none.
func (c shrinkCmd) Run() error {
	d, err := plane.Load(c.File)
	if err != nil {
		return usageError{err}
	}
	return printShrunk(d, "")
}

type replayCmd struct {
	File string `arg:"" help:"File of a day that hunt has written."`
}

// Run replays a day, and fails if it breaks a rule.
func (c replayCmd) Run() error {
	d, err := plane.Load(c.File)
	if err != nil {
		return usageError{err}
	}
	r := d.Run("")
	fmt.Printf("configurations %d, acknowledged %d, %d of them with as many keepers down as may fail, slowest without faults %v, read back %d; engines drained %d; usage windows %d, not reported %d; orders %d; events %d\n", r.Changes, r.Acked, r.AckedAtMaxLoss,
		r.Slowest.Round(time.Millisecond), r.Revision, r.Drained, r.Windows, r.Unreported, r.Orders, r.Events)
	for _, f := range r.Violations {
		fmt.Printf("%s at %v: %s\n", f.Rule, f.At.Round(time.Millisecond), f.Message)
	}
	if len(r.Violations) > 0 {
		return errRuleBroken
	}
	return nil
}
