// Command review-case plays one case of the independent review: it starts a small deployment of the project's own processes on
// loopback, with stand-ins for clients, engines, operator and platform that follow the users' pages, and judges one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it does
// the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// maxRun bounds a run.
const maxRun = 115 * time.Second

// playFunc plays a case. It returns whether the rule was broken.
type playFunc func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]struct {
	edges int
	play  playFunc
}{
	"1": {3, playTwice},
	"2": {3, playNeverInForce},
	"3": {3, playDrain},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "number of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	keep := flag.String("keep", "", "folder for settings, logs and data; empty = a temporary one that is removed")
	flag.Parse()
	runtime.LockOSThread() // processes end with the thread that has started them
	c, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	absRoot, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	rec, err := openRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.sayf("case %s, TROUBLE=%v", *name, trouble)
	f, err := newFleet(rec, absRoot, dir, c.edges)
	if err != nil {
		rec.sayf("could not run: %v", err)
		return 2
	}
	defer f.stop()
	type result struct {
		broken bool
		err    error
	}
	// All processes start on this thread; the case runs on another one.
	starts := make(chan func(), 1)
	f.onMain = func(start func() error) error {
		done := make(chan error, 1)
		starts <- func() { done <- start() }
		return <-done
	}
	results := make(chan result, 1)
	go func() {
		broken, err := c.play(f, trouble)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	limit := time.After(maxRun)
	for {
		select {
		case start := <-starts:
			start()
		case r := <-results:
			switch {
			case r.err != nil:
				rec.sayf("could not run: %v", r.err)
				return 2
			case r.broken:
				rec.sayf("result: the rule was BROKEN")
				return 1
			}
			rec.sayf("result: the rule held")
			return 0
		case <-limit:
			rec.sayf("could not run: not done within %v", maxRun)
			return 2
		case s := <-signals:
			rec.sayf("could not run: %v", s)
			return 2
		}
	}
}
