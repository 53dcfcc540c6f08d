// Command testcount reads the output of go test -json, prints the result of each package and the output of failed tests, and
// counts the tests and subtests that passed or failed; skipped ones do not count. It fails if a test failed or if fewer tests
// ran than a file requires, so that no test disappears unnoticed. The flag -without lowers the required numbers by the number
// of tests in KNOWN-RED.txt.
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
	ImportPath                    string // set in build-output and build-fail events
}

// counts holds the numbers of tests and subtests that ran.
type counts struct{ tests, subtests int }

var errFailed = errors.New("a test failed")

func main() {
	file := flag.String("least", "", "file with the minimum numbers, in the format of lab/net/test-count")
	without := flag.Int("without", 0, "number by which the tests and subtests may fall below the minimum")
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
		return fmt.Errorf("%d tests and %d subtests ran; %s requires %d and %d", n.tests, n.subtests, file, least.tests, least.subtests)
	}
	return nil
}

// count counts the tests and prints package results and the output of failed tests.
func count(in io.Reader, out io.Writer) (n counts, err error) {
	output := map[string][]string{} // of running tests, by package and test
	lines := bufio.NewReader(in)
	for {
		line, end := lines.ReadBytes('\n')
		if len(line) > 0 {
			var e event
			if json.Unmarshal(line, &e) != nil { // printed by the go command itself
				fmt.Fprintf(out, "%s", line)
				e = event{}
			}
			if handleEvent(&e, output, out, &n) {
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

// handleEvent processes one event and reports whether it is a failure.
func handleEvent(e *event, output map[string][]string, out io.Writer, n *counts) (failed bool) {
	id := e.Package + " " + e.Test
	switch e.Action {
	case "output":
		if e.Test == "" { // package output: the result, a panic, output of TestMain
			if !strings.HasPrefix(e.Output, "PASS") && !strings.Contains(e.Output, "[no test files]") {
				fmt.Fprint(out, e.Output)
			}
			return false
		}
		output[id] = append(output[id], e.Output)
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
			for _, line := range output[id] {
				fmt.Fprint(out, line)
			}
		}
		delete(output, id)
		return e.Action == "fail"
	case "build-fail":
		return true
	case "skip":
		delete(output, id)
	}
	return false
}
