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
	Routers int     `help:"Routers; three replicas come to them." default:"3"`
	Engines int     `help:"Engines." default:"6"`
	Rate    float64 `help:"Requests a second." default:"40"`
	Seconds int     `help:"How long clients ask." default:"20"`
	Seed    uint64  `help:"Of the clients' draws." default:"1"`
	Calm    bool    `help:"Without troubles."`
	Keep    string  `help:"Keep settings, disks and logs in this folder." type:"path" placeholder:"DIR"`
	Router  string  `help:"The program; else the one beside this program, else it is built." placeholder:"PATH"`
	Mixed   string  `help:"Another build of the program, which every second process runs." type:"existingfile" placeholder:"PATH"`

	Exchange bool `help:"With --mixed: what starts again runs the build that it has not run before."`
}

var errBroken = errors.New("a rule is broken")

// Run plays a fleet; a rule that is broken fails it.
func (f fleetCmd) Run(ctx context.Context) error {
	if f.Routers < 1 || f.Routers > 40 || f.Engines < 3 || f.Engines > 200 || !(f.Rate > 0) || f.Seconds < 5 || f.Seconds > 3600 {
		return badFile{fmt.Errorf("--routers from 1 to 40, --engines from 3 to 200, --rate above 0 and --seconds from 5 to 3600 are wanted")}
	}
	dir := f.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "notchlab-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if left, err := filepath.Glob(filepath.Join(dir, "*")); err != nil || len(left) > 0 {
		return badFile{fmt.Errorf("--keep: %s is not empty: a fleet's first start needs disks without a state", dir)}
	}
	fmt.Println("building the program, if it is not there ...")
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

// printFleet prints what a fleet's run came to, and returns errBroken if a rule was broken.
func printFleet(r *system.Report) error {
	fmt.Printf("\nasked %d: served %d, late %d, refused %d, failed %d; p50 %v, p99 %v\n", r.Asked, r.Served, r.Late, r.Refused, r.Failed,
		r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond))
	fmt.Printf("usage: %d windows reported, %d with two figures\n", r.Windows, r.ConflictingReports)
	fmt.Println("what it cost, by cause: kB sent and taken, and between zones (of the processes that are left)")
	for _, cause := range slices.Sorted(maps.Keys(r.Traffic)) {
		fmt.Printf("  %-16s %8.1f %8.1f\n", cause, float64(r.Traffic[cause][0])/1e3, float64(r.Traffic[cause][1])/1e3)
	}
	for _, b := range r.Violations() {
		fmt.Println("BROKEN:", b)
	}
	if len(r.Violations()) > 0 {
		return errBroken
	}
	fmt.Println("no rule was broken: nothing ran twice that may not, nothing reached an engine past its drain")
	return nil
}
