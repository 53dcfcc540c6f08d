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
	Routers int           `help:"Routers, the real ones among them." default:"330"`
	Real    int           `help:"Routers that are processes of the program." default:"3"`
	Engines int           `help:"Engines, all hollow." default:"1500"`
	Zones   int           `help:"Zones, which belong to seven regions in turn; keepers stand in the first." default:"22"`
	Keepers int           `help:"Keepers, all processes of the program." default:"7"`
	Tenants int           `help:"Tenants in the configuration." default:"14000"`
	Routes  int           `help:"Routes in it." default:"100"`
	Rate    float64       `help:"Requests a second that all routers count at the peak." default:"10000"`
	Calm    time.Duration `help:"How long each part is measured." default:"15s"`
	Changes int           `help:"Changes of the configuration." default:"5"`
	Every   time.Duration `help:"Between two of them." default:"5s"`
	Seed    uint64        `help:"Of all that is drawn." default:"1"`
	Orders  bool          `help:"Play orders of the operator between regions, by the model, as well." default:"true" negatable:""`
	Router  string        `help:"The program; else the one beside this program, else it is built." placeholder:"PATH"`
	Keep    string        `help:"Keep settings, disks and logs in this folder." type:"path" placeholder:"DIR"`
	Out     string        `help:"Write a summary and a table into this folder." type:"path" placeholder:"DIR"`
}

// Run plays a control plane of the size on loopback, and holds it against the model's figures for it.
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
	fmt.Println("building the program, if it is not there ...")
	var err error
	if o.Binary, err = fleet.Binary(ctx, c.Router, dir); err != nil {
		return err
	}
	o.Dir = dir
	r, err := scale.Run(ctx, o)
	if err != nil {
		return err
	}
	fmt.Println("playing the model for the same size ...")
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
