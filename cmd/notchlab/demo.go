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
	Seconds int     `help:"How long clients ask." default:"24"`
	Rate    float64 `help:"Calls a second." default:"60"`
	Boxes   int     `help:"Boxes of the fleet." default:"6"`
	Seed    uint64  `help:"Of the clients' draws." default:"1"`
	Router  string  `help:"The router's program; else the one beside this program, else it is built." placeholder:"PATH"`
}

// story is what happens in the demo, by parts of its length.
var story = []struct {
	at, lasts float64
	says      string
	fleet.Trouble
}{
	{0.15, 0.15, "box 0 takes requests and answers none", fleet.Trouble{Boxes: []int{0}, What: string(standin.StallFirst)}},
	{0.40, 0.10, "box 1 resets connections", fleet.Trouble{Boxes: []int{1}, What: string(standin.Reset)}},
	{0.55, 0.15, "box 2 dies, and comes back cold", fleet.Trouble{Boxes: []int{2}, What: fleet.Die}},
	{0.75, 0.10, "box 3 drains, and another takes its address", fleet.Trouble{Boxes: []int{3}, What: fleet.Drain}},
}

// Run plays the demo; an answer that was lost or invented fails it.
func (d demo) Run(ctx context.Context) error {
	if d.Seconds < 2 || d.Seconds > 45 || !(d.Rate > 0) || d.Boxes < 4 {
		return badFile{fmt.Errorf("--seconds from 2 to 45, --rate above 0 and --boxes of 4 at least are wanted")}
	}
	dir, err := os.MkdirTemp("", "notchlab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	fmt.Println("building the router, if it is not there ...")
	binary, err := fleet.Binary(ctx, d.Router, dir)
	if err != nil {
		return err
	}
	const speed, size = 4, 0.25
	classes := load.Classes(speed, size)
	length := time.Duration(d.Seconds) * time.Second
	settings := map[string]string{}
	var kinds, sinks []string
	for i := range 2 {
		kind := fmt.Sprint("router", i)
		sinks = append(sinks, filepath.Join(dir, kind+".zst"))
		settings[kind] = fmt.Sprintf("[trace]\nshare = 0.05\n[trace.file]\npath = %q\nflush = \"200ms\"\n", sinks[i])
		kinds = append(kinds, kind)
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Binary: binary, Dir: dir, Boxes: d.Boxes, Params: model.Default(speed), Classes: classes, Routers: kinds,
		Settings: settings, Cores: 1, MemoryMB: 96, Sockets: 768,
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	plan := load.Plan(d.Seed, classes, d.Rate, length, 2, load.ClientMix{TraceShare: 0.5, RetryMarkShare: 0.5})
	fmt.Printf("discovery %s, %d boxes, routers %v; %d calls in %v (times of a real deployment divided by %d)\n\n",
		f.Discovery.Addr(), len(f.Boxes), f.Addrs(), len(plan), length, speed)
	var troubles []fleet.Trouble
	for _, s := range story {
		t := s.Trouble
		t.At, t.Lasts = time.Duration(s.at*float64(length)), time.Duration(s.lasts*float64(length))
		troubles = append(troubles, t)
	}
	ledger := &load.Ledger{}
	trouble, told := make(chan error, 1), make(chan struct{})
	go func() { trouble <- f.Play(ctx, troubles) }()
	stop := make(chan struct{})
	go func() { defer close(told); tell(ledger, troubles, stop) }()
	(&load.Client{Routers: f.Addrs(), Retries: 3, MaxRetryDelay: 50 * time.Millisecond, Seed: d.Seed}).Run(ctx, plan, ledger)
	close(stop)
	<-told
	if err := <-trouble; err != nil {
		return err
	}
	if err := f.Stop(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return d.after(ledger.Attempts(), sinks)
}

// tell prints what clients got, every two seconds, and what happens meanwhile.
func tell(ledger *load.Ledger, troubles []fleet.Trouble, stop <-chan struct{}) {
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
		tries := ledger.Attempts()
		for i := range tries[seen:] {
			t := &tries[seen+i]
			switch {
			case t.Outcome == load.Served && t.Late:
				n[1]++
			case t.Outcome == load.Served:
				n[0]++
			default:
				if at := slices.Index([]load.Outcome{load.Refused, load.Failed, load.Broken, load.Canceled}, t.Outcome); at >= 0 {
					n[2+at]++
				}
			}
		}
		seen = len(tries)
		now := time.Since(start)
		fmt.Printf("%5.0fs  %7d %6d %8d %7d %7d %6d", now.Seconds(), n[0], n[1], n[2], n[3], n[4], n[5])
		for ; next < len(troubles) && troubles[next].At < now; next++ {
			fmt.Printf("   %s", story[next].says)
		}
		fmt.Println()
		if ended {
			return
		}
	}
}

// after shows what became of it all, and one step that took several legs or tries.
func (d demo) after(tries []load.Attempt, sinks []string) error {
	calls, served, wrong := map[int]bool{}, map[int]bool{}, 0
	for i := range tries {
		calls[tries[i].Request] = true
		switch tries[i].Outcome {
		case load.Served:
			served[tries[i].Request] = true
		case load.Wrong, load.Lost:
			wrong++
			fmt.Println("wrong:", tries[i].CallID, tries[i].Outcome, tries[i].Detail)
		}
	}
	var kept []*trace.Try
	for _, s := range sinks {
		if err := show.Scan(s, os.Stderr, func(t *trace.Try) error { kept = append(kept, t); return nil }); err != nil {
			return err
		}
	}
	fmt.Printf("\n%d calls in %d tries: %d served in the end, %d answers lost or invented\n", len(calls), len(tries), len(served), wrong)
	fmt.Printf("%d tries were traced; the step with most tries and legs:\n\n", len(kept))
	var best []*trace.Try
	most := 0
	for _, t := range kept {
		if len(t.Legs) < 2 && t.Number < 2 {
			continue
		}
		step := show.Step(kept, t.Trace)
		n := 0
		for _, s := range step {
			n += 1 + len(s.Legs)
		}
		if n > most && len(step) <= 4 {
			best, most = step, n
		}
	}
	show.Waterfall(os.Stdout, best, 120)
	fmt.Println("\nnext: ./test.sh; notchlab run lab/tracing.toml --short; docs/tracing.md")
	if wrong > 0 {
		return fmt.Errorf("%d answers were lost or invented", wrong)
	}
	return nil
}
