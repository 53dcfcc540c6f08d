package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// knownFailure is one line of KNOWN-RED.txt.
type knownFailure struct {
	folder string // package directory, relative to the module root
	test   string // as go test prints it, for example TestFleet/frozen
	cause  string
	issue  string
}

var linePattern = regexp.MustCompile(`^([\w./-]+)\.(Test[^,\s]+), (.*\S), (issue \d+)$`)

// parseList parses the contents of KNOWN-RED.txt. Blank lines are ignored.
func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	for l := range strings.Lines(text) {
		l = strings.TrimSpace(l)
		if l == "" {
			continue
		}
		m := linePattern.FindStringSubmatch(l)
		if m == nil {
			return nil, fmt.Errorf("%q does not have the form FOLDER.TEST, CAUSE, issue NUMBER", l)
		}
		r := knownFailure{folder: m[1], test: m[2], cause: m[3], issue: m[4]}
		if slices.ContainsFunc(list, func(o knownFailure) bool { return o.folder == r.folder && o.test == r.test }) {
			return nil, fmt.Errorf("%s.%s is listed twice", r.folder, r.test)
		}
		list = append(list, r)
	}
	if len(list) > maxKnown {
		return nil, fmt.Errorf("%d tests are listed; the maximum is %d", len(list), maxKnown)
	}
	return list, nil
}

// pattern returns a pattern for go test's -run and -skip flags that matches only r's test.
func (r knownFailure) pattern() string {
	parts := strings.Split(r.test, "/")
	for i, p := range parts {
		parts[i] = "^" + regexp.QuoteMeta(p) + "$"
	}
	return strings.Join(parts, "/")
}

// skipPattern returns the -skip pattern for the listed tests of a package directory.
func skipPattern(list []knownFailure, folder string) string {
	var all []string
	for _, r := range list {
		if r.folder == folder {
			all = append(all, r.pattern())
		}
	}
	if all == nil {
		return matchNone
	}
	return strings.Join(all, "|")
}

func printPackages(out io.Writer, list []knownFailure) error {
	var folders []string
	for _, r := range list {
		folders = append(folders, r.folder)
	}
	slices.Sort(folders)
	for _, f := range slices.Compact(folders) {
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	return nil
}

// runAll runs each listed test with runTest, prints those that fail, and returns an error for each that does not fail.
func runAll(out io.Writer, list []knownFailure, runTest func(folder, pattern string) ([]byte, error)) error {
	var errs []error
	for _, r := range list {
		events, err := runTest(r.folder, r.pattern())
		if err == nil {
			err = r.checkFailed(events)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if _, err := fmt.Fprintf(out, "known red: %s.%s: %s (%s)\n", r.folder, r.test, r.cause, r.issue); err != nil {
			return err
		}
	}
	return errors.Join(errs...)
}

// checkFailed returns nil if events, the output of go test -json, report that r's test failed.
func (r knownFailure) checkFailed(events []byte) error {
	outcome := ""
	for line := range bytes.Lines(events) { // of any length: the output of a compiler is one line
		var e struct{ Action, Test string }
		if json.Unmarshal(line, &e) != nil || e.Test != r.test {
			continue
		}
		switch e.Action {
		case "pass", "fail", "skip":
			outcome = e.Action
		}
	}
	switch outcome {
	case "fail":
		return nil
	case "pass":
		return fmt.Errorf("%s.%s passes: remove its line", r.folder, r.test)
	case "skip":
		return fmt.Errorf("%s.%s skips itself: a listed test must run and fail", r.folder, r.test)
	}
	return fmt.Errorf("%s.%s did not run: the test does not exist or its package does not build", r.folder, r.test)
}
