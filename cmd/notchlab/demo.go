package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/load"
	"notchhinge/internal/lab/model"
	"notchhinge/internal/lab/standin"
	"notchhinge/internal/trace"
	"notchhinge/internal/trace/show"
)

type demo struct {
	Seconds int     `help:"Seconds during which clients send requests." default:"24"`
	Rate    float64 `help:"Requests per second." default:"60"`
	Boxes   int     `help:"Number of engines." default:"6"`
	Seed    uint64  `help:"Seed of the clients' random draws." default:"1"`
	Router  string  `help:"Path of the router's executable. Default: the one next to this program, else it is built." placeholder:"PATH"`
}

// faultSchedule lists the faults of the demo; times are fractions of its length.
var faultSchedule = []struct {
	at, duration float64
	label        string
	fleet.ScheduledFault
}{
	{0.15, 0.15, "engine 0 accepts requests and answers none", fleet.ScheduledFault{Engines: []int{0}, Fault: string(standin.StallFirst)}},
	{0.40, 0.10, "engine 1 resets connections", fleet.ScheduledFault{Engines: []int{1}, Fault: string(standin.Reset)}},
	{0.55, 0.15, "engine 2 crashes and restarts cold", fleet.ScheduledFault{Engines: []int{2}, Fault: fleet.Crash}},
	{0.75, 0.10, "engine 3 drains and is replaced at its address", fleet.ScheduledFault{Engines: []int{3}, Fault: fleet.Drain}},
}

// Run runs the demo. It fails if a response was lost or wrong.
func (d demo) Run(ctx context.Context) error {
	if d.Seconds < 2 || d.Seconds > 45 || !(d.Rate > 0) || d.Boxes < 4 {
		return usageError{fmt.Errorf("--seconds must be from 2 to 45, --rate above 0 and --boxes at least 4")}
	}
	dir, err := os.MkdirTemp("", "notchlab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Println("building the router, unless it exists ...")
	binary, err := fleet.Binary(ctx, d.Router, dir)
	if err != nil {
		return err
	}
	const speed, size = 4, 0.25
	classes := load.Classes(speed, size)
	length := time.Duration(d.Seconds) * time.Second
	settings := map[string]string{}
	var kinds, traceFiles []string
	for i := range 2 {
		kind := fmt.Sprint("router", i)
		traceFiles = append(traceFiles, filepath.Join(dir, kind+".zst"))
		settings[kind] = fmt.Sprintf("[trace]\nshare = 0.05\n[trace.file]\npath = %q\nflush = \"200ms\"\n", traceFiles[i])
		kinds = append(kinds, kind)
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Binary: binary, Dir: dir, Engines: d.Boxes, Params: model.Default(speed), Classes: classes, Routers: kinds,
		Settings: settings, Cores: 1, MemoryMB: 96, Sockets: 768,
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	plan := load.Plan(d.Seed, classes, d.Rate, length, 2, load.ClientMix{TraceShare: 0.5, RetryMarkShare: 0.5})
	fmt.Printf("discovery %s, %d engines, routers %v; %d requests in %v (durations of a real deployment divided by %d)\n\n",
		f.Discovery.Addr(), len(f.Engines), f.Addrs(), len(plan), length, speed)
	var faults []fleet.ScheduledFault
	for _, s := range faultSchedule {
		t := s.ScheduledFault
		t.At, t.Duration = time.Duration(s.at*float64(length)), time.Duration(s.duration*float64(length))
		faults = append(faults, t)
	}
	ledger := &load.Ledger{}
	faultsDone, progressDone := make(chan error, 1), make(chan struct{})
	go func() { faultsDone <- f.InjectFaults(ctx, faults) }()
	stop := make(chan struct{})
	go func() { defer close(progressDone); printProgress(ledger, faults, stop) }()
	(&load.Client{Routers: f.Addrs(), Retries: 3, MaxRetryDelay: 50 * time.Millisecond, Seed: d.Seed}).Run(ctx, plan, ledger)
	close(stop)
	<-progressDone
	if err := <-faultsDone; err != nil {
		return err
	}
	if err := f.Stop(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return d.printSummary(ledger.Attempts(), traceFiles)
}

// printProgress prints every two seconds the outcomes since the last line and the faults that have started.
func printProgress(ledger *load.Ledger, faults []fleet.ScheduledFault, stop <-chan struct{}) {
	start, seen, next := time.Now(), 0, 0
	fmt.Printf("%6s  %7s %6s %8s %7s %7s %6s\n", "time", "served", "late", "refused", "failed", "broken", "left")
	for {
		ended := false
		select {
		case <-stop:
			ended = true
		case <-time.After(2 * time.Second):
		}
		var n [6]int
		attempts := ledger.Attempts()
		for i := range attempts[seen:] {
			attempt := &attempts[seen+i]
			switch {
			case attempt.Outcome == load.Served && attempt.Late:
				n[1]++
			case attempt.Outcome == load.Served:
				n[0]++
			default:
				if at := slices.Index([]load.Outcome{load.Refused, load.Failed, load.Broken, load.Canceled}, attempt.Outcome); at >= 0 {
					n[2+at]++
				}
			}
		}
		seen = len(attempts)
		now := time.Since(start)
		fmt.Printf("%5.0fs  %7d %6d %8d %7d %7d %6d", now.Seconds(), n[0], n[1], n[2], n[3], n[4], n[5])
		for ; next < len(faults) && faults[next].At < now; next++ {
			fmt.Printf("   %s", faultSchedule[next].label)
		}
		fmt.Println()
		if ended {
			return
		}
	}
}

// printSummary prints the totals, and the traced operation with the most attempts.
func (d demo) printSummary(attempts []load.Attempt, traceFiles []string) error {
	requests, served, invalid := map[int]bool{}, map[int]bool{}, 0
	for i := range attempts {
		requests[attempts[i].Request] = true
		switch attempts[i].Outcome {
		case load.Served:
			served[attempts[i].Request] = true
		case load.Wrong, load.Lost:
			invalid++
			fmt.Println("wrong:", attempts[i].CallID, attempts[i].Outcome, attempts[i].Detail)
		}
	}
	var traced []*trace.Record
	for _, path := range traceFiles {
		if err := show.Scan(path, os.Stderr, func(record *trace.Record) error { traced = append(traced, record); return nil }); err != nil {
			return err
		}
	}
	fmt.Printf("\n%d requests in %d attempts: %d eventually served, %d responses lost or wrong\n", len(requests), len(attempts), len(served), invalid)
	fmt.Printf("%d attempts were traced; the operation with the most attempts at routers and engines:\n\n", len(traced))
	var shown []*trace.Record
	most := 0
	for _, record := range traced {
		if len(record.Attempts) < 2 && record.Number < 2 {
			continue
		}
		operation := show.Operation(traced, record.Trace)
		n := 0
		for _, r := range operation {
			n += 1 + len(r.Attempts)
		}
		if n > most && len(operation) <= 4 {
			shown, most = operation, n
		}
	}
	show.Waterfall(os.Stdout, shown, 120)
	fmt.Println("\nnext: ./test.sh; notchlab run lab/tracing.toml --short; docs/tracing.md")
	if invalid > 0 {
		return fmt.Errorf("%d responses were lost or wrong", invalid)
	}
	return nil
}
