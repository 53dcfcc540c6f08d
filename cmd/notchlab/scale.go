package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/scale"
)

type scaleCmd struct {
	Routers int           `help:"Number of routers, including the real ones." default:"330"`
	Real    int           `help:"Number of real routers, each a process of its own; the others are hollow: stubs that only exchange control-plane messages." default:"3"`
	Engines int           `help:"Number of engines, all hollow." default:"1500"`
	Zones   int           `help:"Number of zones, assigned to seven regions in turn; replicas run in the first ones." default:"22"`
	Keepers int           `help:"Number of replicas of the control plane, each a process of its own." default:"7"`
	Tenants int           `help:"Number of tenants in the configuration." default:"14000"`
	Routes  int           `help:"Number of routes in the configuration." default:"100"`
	Rate    float64       `help:"Requests per second that all routers together count at the peak." default:"10000"`
	Calm    time.Duration `help:"Duration of the measurement of each part." default:"15s"`
	Changes int           `help:"Number of configuration changes." default:"5"`
	Every   time.Duration `help:"Interval between configuration changes." default:"5s"`
	Seed    uint64        `help:"Seed of all random draws." default:"1"`
	Orders  bool          `help:"Also simulate the operator's orders between regions." default:"true" negatable:""`
	Router  string        `help:"Path of the notchhinge executable. Default: the one next to this program, else it is built." placeholder:"PATH"`
	Keep    string        `help:"Keep settings, data directories and logs in this directory." type:"path" placeholder:"DIR"`
	Out     string        `help:"Write a summary and a table to this directory." type:"path" placeholder:"DIR"`
}

// Run measures a control plane of the given size on loopback, and compares it with the simulation model's figures.
func (c scaleCmd) Run(ctx context.Context) error {
	o := scale.Options{
		Keepers: c.Keepers, Real: c.Real, Routers: c.Routers, Engines: c.Engines, Zones: c.Zones, Tenants: c.Tenants, Routes: c.Routes, Rate: c.Rate,
		Calm: c.Calm, Changes: c.Changes, Every: c.Every, Seed: c.Seed, Out: os.Stdout,
	}
	if err := o.Check(); err != nil {
		return usageError{err}
	}
	dir := c.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "notchlab-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	fmt.Println("building the executable, unless it exists ...")
	var err error
	if o.Binary, err = fleet.Binary(ctx, c.Router, dir); err != nil {
		return err
	}
	o.Dir = dir
	r, err := scale.Run(ctx, o)
	if err != nil {
		return err
	}
	fmt.Println("simulating the same size with the model ...")
	result := r.Report(scale.Model(&r.Options))
	if c.Orders {
		scale.Orders(r.Text, result)
	}
	if c.Out != "" {
		if err := result.Write(c.Out); err != nil {
			return err
		}
		fmt.Println("results in", c.Out)
	}
	result.Print(os.Stdout)
	return nil
}
