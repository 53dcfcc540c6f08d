// Command notchlab runs experiments: routers against stand-ins of their environment on loopback, and simulations.
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
	Demo         demo        `cmd:"" help:"Start discovery, engines, two routers and clients on loopback, inject faults, show how requests are served, and end within a minute."`
	Fleet        fleetCmd    `cmd:"" help:"Start a whole fleet with engines, an operator, a platform and clients, inject faults, and print a report."`
	Check        checkCmd    `cmd:"" help:"Model-check consensus, membership, bootstrap, disks and requests with exhaustive and random executions of the real code."`
	Sim          simCmd      `cmd:"" help:"Simulate the routing decisions of a fleet of any size, and compare them with baselines."`
	Compare      compareCmd  `cmd:"" help:"Run an experiment file in simulated time: variants with the same seeds, compared with a baseline."`
	Capacity     capacityCmd `cmd:"" name:"capacity" help:"Simulate idle control planes of several sizes, and print the traffic of their processes."`
	Scale        scaleCmd    `cmd:"" help:"Start a control plane of hundreds of routers and thousands of engines on loopback, most of them hollow (stubs that only exchange control-plane messages), and print the resource usage of each kind of process."`
	CapacityPage pageCmd     `cmd:"" name:"capacity-page" help:"Regenerate the tables of docs/CAPACITY.md from the results."`
	Hunt         huntCmd     `cmd:"" help:"Simulate scenarios of random faults in the control plane, and shrink those that violate a rule."`
	Replay       replayCmd   `cmd:"" name:"replay" help:"Run a scenario of the control plane from a file, for example one that hunt has written."`
	Recover      recoverCmd  `cmd:"" name:"recover" help:"Simulate a power failure of all machines, and print how long each part takes to recover."`
	Shrink       shrinkCmd   `cmd:"" help:"Reduce a scenario to the faults that are needed to violate its rule."`
	Run          run         `cmd:"" help:"Run an experiment file (lab/NAME.toml) and check its acceptance criteria."`
}

// usageError is an error in a file or flag that was given; the program exits with code 2.
type usageError struct{ error }

// errCriterionFailed is returned if an acceptance criterion is not met; the program exits with code 1.
var errCriterionFailed = errors.New("an acceptance criterion is not met")

type run struct {
	File   string `arg:"" help:"Experiment file."`
	Short  bool   `help:"Run at most 45 s, as a smoke test."`
	Router string `help:"Path of the router's executable. Default: the one next to this program, else it is built." placeholder:"PATH"`
	Out    string `help:"Directory of the results. Default: results/NAME next to the file; none for a short run." placeholder:"DIR"`
}

// Run runs an experiment, and writes and prints its result.
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
	k := kong.Parse(&c, kong.Name("notchlab"), kong.Description("Runs experiments with routers and stand-ins on loopback, and simulations."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run()
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "notchlab:", err)
	if usage := (usageError{}); errors.As(err, &usage) {
		os.Exit(2)
	}
	os.Exit(1)
}
