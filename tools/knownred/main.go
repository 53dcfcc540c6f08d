// Command knownred excludes the known failing tests in KNOWN-RED.txt from the main test run and verifies that they still fail.
//
// The file has one line for each test that fails because of an unfixed defect: the test, the cause and the issue, separated
// by commas. The test is written as its package's directory, a dot and its name.
//
//	internal/node.TestFleet/frozen, the lease is not taken over while a replica is frozen, issue 39
//
// The file has at most three lines and may be missing. "knownred skip PACKAGE" prints the pattern for go test's -skip flag that
// excludes the listed tests of PACKAGE. "knownred packages" prints the directories with listed tests. "knownred run" runs each
// listed test alone and fails unless the test exists and fails.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

const (
	path      = "KNOWN-RED.txt"
	maxKnown  = 3
	matchNone = "^$" // matches no test name
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read: %w", err)
	}
	list, err := parseList(string(text))
	if err != nil {
		return err
	}
	switch {
	case len(args) == 1 && args[0] == "packages":
		return printPackages(out, list)
	case len(args) == 2 && args[0] == "skip":
		_, err := fmt.Fprintln(out, skipPattern(list, args[1]))
		return err
	case len(args) == 1 && args[0] == "run":
		return runAll(out, list, goTest)
	}
	return errors.New("usage: knownred packages | skip PACKAGE | run")
}

// goTest runs one test of a package and returns the events of go test -json. A failing test is not an error.
func goTest(folder, pattern string) ([]byte, error) {
	cmd := exec.CommandContext(context.Background(), "go", "test", "-race", "-count=1", "-json", "-run", pattern, "./"+folder)
	cmd.Stderr = os.Stderr
	events, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return events, nil
	}
	return events, err
}
