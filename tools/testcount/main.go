// Package main is testcount, which reads what go test -json prints, passes a line on for each package and all that a failed
// test has said, and counts the tests and subtests that have run to their end: a skipped one has not. It fails if a test has
// failed, or if fewer have run than a file says, so that no test is lost without a word. With -without, so many fewer may
// have run: those of KNOWN-RED.txt.
//
//	go test -json ./... | testcount [-least FILE [-without N]]
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is a line of go test -json.
type event struct {
	Action, Package, Test, Output string
	ImportPath                    string // of a package that does not build
}

// counts are numbers of tests that have run.
type counts struct{ tests, subtests int }

var errFailed = errors.New("a test has failed")

func main() {
	file := flag.String("least", "", "a file with the least numbers, as lab/net/test-count has them")
	without := flag.Int("without", 0, "so many fewer tests and subtests may have run")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *file, *without); err != nil {
		fmt.Fprintln(os.Stderr, "testcount:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer, file string, without int) error {
	n, err := count(in, out)
	fmt.Fprintf(out, "tests %d\nsubtests %d\n", n.tests, n.subtests)
	if err != nil || file == "" {
		return err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	least := counts{}
	if _, err := fmt.Sscanf(string(text), "tests %d\nsubtests %d\n", &least.tests, &least.subtests); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if n.tests < least.tests-without || n.subtests < least.subtests-without {
		return fmt.Errorf("%d tests and %d subtests have run; %s wants %d and %d", n.tests, n.subtests, file, least.tests, least.subtests)
	}
	return nil
}

// count counts, and passes on what is worth reading.
func count(in io.Reader, out io.Writer) (n counts, err error) {
	said := map[string][]string{} // by package and test, until its end
	lines := bufio.NewReader(in)
	for {
		line, end := lines.ReadBytes('\n')
		if len(line) > 0 {
			var e event
			if json.Unmarshal(line, &e) != nil { // of the go command itself
				fmt.Fprintf(out, "%s", line)
				e = event{}
			}
			if take(&e, said, out, &n) {
				err = errFailed
			}
		}
		if errors.Is(end, io.EOF) {
			return n, err
		}
		if end != nil {
			return n, end
		}
	}
}

// take takes an event in, and tells whether something has failed.
func take(e *event, said map[string][]string, out io.Writer, n *counts) (failed bool) {
	id := e.Package + " " + e.Test
	switch e.Action {
	case "output":
		if e.Test == "" { // a package's own lines: its result, a panic, what TestMain says
			if !strings.HasPrefix(e.Output, "PASS") && !strings.Contains(e.Output, "[no test files]") {
				fmt.Fprint(out, e.Output)
			}
			return false
		}
		said[id] = append(said[id], e.Output)
	case "build-output":
		fmt.Fprint(out, e.Output)
	case "pass", "fail":
		switch {
		case e.Test == "":
		case strings.Contains(e.Test, "/"):
			n.subtests++
		default:
			n.tests++
		}
		if e.Action == "fail" {
			for _, line := range said[id] {
				fmt.Fprint(out, line)
			}
		}
		delete(said, id)
		return e.Action == "fail"
	case "build-fail":
		return true
	case "skip":
		delete(said, id)
	}
	return false
}
