// Command notchlab is the lab: it tries the router against stand-ins of everything around it, on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"notchhinge/internal/lab/experiment"
)

type cli struct {
	Demo         demo        `cmd:"" help:"Start discovery, boxes, a collector, two routers and clients on loopback, show requests being served through troubles, and end within a minute."`
	Fleet        fleetCmd    `cmd:"" help:"Start a whole fleet with engines, an operator, a platform and clients, show it through troubles, and end with a report."`
	Check        checkCmd    `cmd:"" help:"Walk through lives of ballots, members, founding and disks, as far as it is told."`
	Sim          simCmd      `cmd:"" help:"Play a fleet's decisions in simulated time, beside baselines, at any size."`
	Compare      compareCmd  `cmd:"" help:"Play an experiment file in simulated time: variants with the same seeds, held against one of them."`
	Capacity     capacityCmd `cmd:"" name:"capacity" help:"Play quiet days of the control plane at several sizes, and tell what its processes send."`
	Scale        scaleCmd    `cmd:"" help:"Start a control plane of hundreds of routers and of engines in thousands on loopback, most of them hollow, and tell what each kind of process costs."`
	CapacityPage pageCmd     `cmd:"" name:"capacity-page" help:"Make the tables of docs/CAPACITY.md anew from the results."`
	Hunt         huntCmd     `cmd:"" help:"Play days of the control plane in simulated time, and shrink those that break a rule."`
	Replay       replayCmd   `cmd:"" name:"replay" help:"Play a day again that hunt has written."`
	Recover      recoverCmd  `cmd:"" name:"recover" help:"Have all machines lose their power at once, and tell how long each part takes to be back."`
	Shrink       shrinkCmd   `cmd:"" help:"Take away from such a day what its broken rule does not need."`
	Run          run         `cmd:"" help:"Run an experiment file (lab/NAME.toml) and hold it to its bars."`
}

// badFile is an error of a file that was given; the program ends with exit code 2.
type usageError struct{ error }

// errShort says that a bar fell short; the program ends with exit code 1.
var errCriterionFailed = errors.New("a bar falls short")

type run struct {
	File   string `arg:"" help:"The experiment file."`
	Short  bool   `help:"Within 45 s, to see that it works."`
	Router string `help:"The router's program; else the one beside this program, else it is built." placeholder:"PATH"`
	Out    string `help:"Folder of the results; else lab/results/NAME beside the file, and none for a short run." placeholder:"DIR"`
}

// Run runs an experiment.
func (r run) Run(ctx context.Context) error {
	f, err := experiment.Load(r.File)
	if err != nil {
		return usageError{err}
	}
	result, err := experiment.Run(ctx, f, experiment.Options{Short: r.Short, Binary: r.Router, Out: os.Stdout})
	if err != nil {
		return err
	}
	out := r.Out
	if out == "" && !r.Short {
		out = filepath.Join(filepath.Dir(r.File), "results", f.Name)
	}
	if out != "" {
		if err := result.Write(out); err != nil {
			return err
		}
		fmt.Println("results in", out)
	}
	result.Print(os.Stdout)
	if _, failed := result.Passed(); failed > 0 {
		return errCriterionFailed
	}
	return nil
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("notchlab"), kong.Description("Tries the router against stand-ins, on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "notchlab:", err)
	if bad := (usageError{}); errors.As(err, &bad) {
		os.Exit(2)
	}
	os.Exit(1)
}
