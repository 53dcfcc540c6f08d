// Package main is knownred, the part of CI that passes over the tests in KNOWN-RED.txt.
//
// The file has one line for each test that fails for a real fault which is not mended yet: the test, its cause and its
// issue, parted by commas, where the test is its package's folder, a dot and its name.
//
//	internal/node.TestFleet/frozen, the lease is not taken over while a replica is frozen, issue 39
//
// It has three lines at most, and need not exist. "knownred skip PACKAGE" prints the pattern for go test's -skip that leaves
// out PACKAGE's listed tests, "knownred packages" the folders that have any, and "knownred run" runs each listed test alone: it
// must exist and fail.
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
	path    = "KNOWN-RED.txt"
	maxRed  = 3
	skipped = "^$" // matches no test: tests have names
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
	list, err := parse(string(text))
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

// goTest runs one test of a package alone and returns go test's events. That the test fails is no error.
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
