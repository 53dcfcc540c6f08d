package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/system"
)

type fleetCmd struct {
	Routers int     `help:"Number of routers, besides three replicas." default:"3"`
	Engines int     `help:"Number of engines." default:"6"`
	Rate    float64 `help:"Requests per second." default:"40"`
	Seconds int     `help:"Seconds during which clients send requests." default:"20"`
	Seed    uint64  `help:"Seed of the clients' random draws." default:"1"`
	Calm    bool    `help:"Inject no faults."`
	Keep    string  `help:"Keep settings, data directories and logs in this directory." type:"path" placeholder:"DIR"`
	Router  string  `help:"Path of the notchhinge executable. Default: the one next to this program, else it is built." placeholder:"PATH"`
	Mixed   string  `help:"Another build of the executable, which every second process runs." type:"existingfile" placeholder:"PATH"`

	Exchange bool `help:"With --mixed: a restarted process switches to the other build."`
}

// errRuleBroken is returned if a run broke a rule; the program exits with code 1.
var errRuleBroken = errors.New("a rule was broken")

// Run runs a fleet under faults. It fails if the fleet broke a rule.
func (f fleetCmd) Run(ctx context.Context) error {
	if f.Routers < 1 || f.Routers > 40 || f.Engines < 3 || f.Engines > 200 || !(f.Rate > 0) || f.Seconds < 5 || f.Seconds > 3600 {
		return usageError{fmt.Errorf("--routers must be from 1 to 40, --engines from 3 to 200, --rate above 0 and --seconds from 5 to 3600")}
	}
	dir := f.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "notchlab-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if left, err := filepath.Glob(filepath.Join(dir, "*")); err != nil || len(left) > 0 {
		return usageError{fmt.Errorf("--keep: %s is not empty: the first start of a fleet needs empty data directories", dir)}
	}
	fmt.Println("building the executable, unless it exists ...")
	binary, err := fleet.Binary(ctx, f.Router, dir)
	if err != nil {
		return err
	}
	r, err := system.Run(ctx, system.Options{
		Binary: binary, OtherBinary: f.Mixed, SwapBinaries: f.Exchange && f.Mixed != "", Dir: dir, Routers: f.Routers, Engines: f.Engines,
		Rate: f.Rate, Length: time.Duration(f.Seconds) * time.Second, Seed: f.Seed, InjectFaults: !f.Calm, Out: os.Stdout,
	})
	if err != nil {
		return err
	}
	return printFleet(r)
}

// printFleet prints the results of a fleet's run, and returns errRuleBroken if a rule was broken.
func printFleet(report *system.Report) error {
	fmt.Printf("\nasked %d: served %d, late %d, refused %d, failed %d; p50 %v, p99 %v\n", report.Asked, report.Served, report.Late, report.Refused, report.Failed,
		report.P50.Round(time.Millisecond), report.P99.Round(time.Millisecond))
	fmt.Printf("usage: %d windows reported, %d with conflicting values\n", report.Windows, report.ConflictingReports)
	fmt.Println("traffic of the remaining processes, by cause: kB in total, and kB between zones")
	for _, cause := range slices.Sorted(maps.Keys(report.Traffic)) {
		fmt.Printf("  %-16s %8.1f %8.1f\n", cause, float64(report.Traffic[cause][0])/1e3, float64(report.Traffic[cause][1])/1e3)
	}
	for _, violation := range report.Violations() {
		fmt.Println("BROKEN:", violation)
	}
	if len(report.Violations()) > 0 {
		return errRuleBroken
	}
	fmt.Println("no rule was broken: no request ran twice that must not, none reached an engine after its drain")
	return nil
}
