// Command reviewstandin runs the scripted cases of the review: it starts the program's processes on loopback, with stand-ins for
// engines, clients, the operator and the platform, and checks one rule from what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases holds the scripted cases. Each returns what broke the rule, or nothing if it held.
var cases = map[string]func(*record, string, string, bool) ([]string, error){
	"full":        servesNobody,
	"old-version": oldVersionAcknowledged,
	"incomplete":  incompleteAcknowledged,
	"revived":     revived,
	"slow-reader": slowReader,
}

// The exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

func main() { os.Exit(runCase(os.Args)) }

func runCase(args []string) int {
	if len(args) != 4 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin CASE BINARY RECORD")
		return exitNotRun
	}
	rec, err := openRecord(args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	binary, err := filepath.Abs(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %v", args[1], trouble)
	broken, err := cases[args[1]](rec, binary, dir, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.logf("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}
