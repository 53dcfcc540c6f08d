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
	Days     int    `help:"Number of scenarios." default:"1000"`
	First    uint64 `help:"Seed of the first scenario; the others have the following seeds." default:"1"`
	Keepers  int    `help:"Number of replicas of the control plane." default:"5"`
	Tolerate int    `help:"Number of replicas that may fail at once." default:"2"`
	Routers  int    `help:"Number of routers." default:"15"`
	Engines  int    `help:"Number of engines." default:"20"`
	Out      string `help:"Write the shrunk scenarios that violate a rule to this directory. Default: print them." placeholder:"DIR"`
}

// Run simulates scenarios, and shrinks those that violate a rule. It fails if there are any.
func (c huntCmd) Run(ctx context.Context) error {
	size := plane.Size{Replicas: c.Keepers, Routers: c.Routers, Engines: c.Engines, Tolerate: c.Tolerate}
	if c.Days < 1 || c.Routers < 1 || c.Engines < 1 || c.Tolerate < 1 || 2*c.Tolerate+1 > c.Keepers || c.Keepers+c.Routers > 4000 {
		return usageError{errors.New("--days, --routers, --engines and --tolerate must be at least 1, --tolerate below half of --keepers, and the sum of --keepers and --routers at most 4000")}
	}
	began, last := time.Now(), time.Now()
	scenarios, pairs := plane.Plan(c.First, c.Days, size)
	completed, violating := plane.Hunt(ctx, scenarios, func(done int) {
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d scenarios\n", done, c.Days)
		}
	})
	fmt.Printf("%d scenarios with %d machines and %d engines in %v, with %d pairs of overlapping faults: %d violate a rule\n", completed, c.Keepers+c.Routers,
		c.Engines, time.Since(began).Round(time.Second), len(pairs), len(violating))
	if c.Out != "" && len(violating) > 0 {
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
	}
	for _, scenario := range violating {
		if err := printShrunk(scenario, c.Out); err != nil {
			return err
		}
	}
	if len(violating) > 0 {
		return errRuleBroken
	}
	return ctx.Err()
}

// printShrunk shrinks a scenario that violates a rule, and prints it or writes it to a directory.
func printShrunk(scenario *plane.Scenario, out string) error {
	report := scenario.Run("")
	if len(report.Violations) == 0 {
		return nil
	}
	rule := report.Violations[0].Rule
	shrunk := scenario.Shrink("", rule)
	violation := shrunk.Run("").Violations[0]
	text, err := shrunk.Encode()
	if err != nil {
		return err
	}
	fmt.Printf("\n# seed %d: %s at %v: %s\n", scenario.Seed, violation.Rule, violation.At.Round(time.Millisecond), violation.Message)
	if out == "" {
		fmt.Printf("%s", text)
		return nil
	}
	path := filepath.Join(out, fmt.Sprintf("%d-%s.toml", scenario.Seed, rule))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	fmt.Println("# shrunk to", path)
	return nil
}

type shrinkCmd struct {
	File string `arg:"" help:"File of a scenario that violates a rule."`
}

// Run shrinks a scenario that violates a rule, and prints it. It prints nothing for any other scenario.
func (c shrinkCmd) Run() error {
	scenario, err := plane.Load(c.File)
	if err != nil {
		return usageError{err}
	}
	return printShrunk(scenario, "")
}

type replayCmd struct {
	File string `arg:"" help:"File of a scenario, for example one that hunt has written."`
}

// Run runs a scenario from a file, and fails if it violates a rule.
func (c replayCmd) Run() error {
	scenario, err := plane.Load(c.File)
	if err != nil {
		return usageError{err}
	}
	report := scenario.Run("")
	fmt.Printf("configurations %d, acknowledged %d, %d of them with as many replicas down as may fail, slowest without faults %v, read back %d; engines drained %d; usage windows %d, not reported %d; orders %d; events %d\n", report.Changes, report.Acked, report.AckedAtMaxLoss,
		report.Slowest.Round(time.Millisecond), report.Revision, report.Drained, report.Windows, report.Unreported, report.Orders, report.Events)
	for _, violation := range report.Violations {
		fmt.Printf("%s at %v: %s\n", violation.Rule, violation.At.Round(time.Millisecond), violation.Message)
	}
	if len(report.Violations) > 0 {
		return errRuleBroken
	}
	return nil
}
