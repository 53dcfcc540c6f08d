package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// red is one test of the file.
type red struct {
	folder string // of its package, from the module's root
	test   string // as go test prints it: TestFleet/frozen
	cause  string
	issue  string
}

var line = regexp.MustCompile(`^([\w./-]+)\.(Test[^,\s]+), (.*\S), (issue \d+)$`)

// parse reads the file's text. Empty lines do not count.
func parse(text string) ([]red, error) {
	var list []red
	for l := range strings.Lines(text) {
		l = strings.TrimSpace(l)
		if l == "" {
			continue
		}
		m := line.FindStringSubmatch(l)
		if m == nil {
			return nil, fmt.Errorf("%q is not FOLDER.TEST, CAUSE, issue NUMBER", l)
		}
		r := red{folder: m[1], test: m[2], cause: m[3], issue: m[4]}
		if slices.ContainsFunc(list, func(o red) bool { return o.folder == r.folder && o.test == r.test }) {
			return nil, fmt.Errorf("%s.%s is listed twice", r.folder, r.test)
		}
		list = append(list, r)
	}
	if len(list) > maxRed {
		return nil, fmt.Errorf("%d tests are listed, %d at most", len(list), maxRed)
	}
	return list, nil
}

// pattern matches r's test and no other, for go test's -run and -skip.
func (r red) pattern() string {
	parts := strings.Split(r.test, "/")
	for i, p := range parts {
		parts[i] = "^" + regexp.QuoteMeta(p) + "$"
	}
	return strings.Join(parts, "/")
}

func skipPattern(list []red, folder string) string {
	var all []string
	for _, r := range list {
		if r.folder == folder {
			all = append(all, r.pattern())
		}
	}
	if all == nil {
		return skipped
	}
	return strings.Join(all, "|")
}

func printPackages(out io.Writer, list []red) error {
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

// runAll runs each listed test with test, prints it, and returns an error for each that does not fail.
func runAll(out io.Writer, list []red, test func(folder, pattern string) ([]byte, error)) error {
	var faults []error
	for _, r := range list {
		events, err := test(r.folder, r.pattern())
		if err == nil {
			err = r.judge(events)
		}
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if _, err := fmt.Fprintf(out, "known red: %s.%s: %s (%s)\n", r.folder, r.test, r.cause, r.issue); err != nil {
			return err
		}
	}
	return errors.Join(faults...)
}

// judge returns nil if by the events of go test -json r's test has failed.
func (r red) judge(events []byte) error {
	outcome := ""
	for s := bufio.NewScanner(bytes.NewReader(events)); s.Scan(); {
		var e struct{ Action, Test string }
		if json.Unmarshal(s.Bytes(), &e) != nil || e.Test != r.test {
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
		return fmt.Errorf("%s.%s passes: take its line out", r.folder, r.test)
	case "skip":
		return fmt.Errorf("%s.%s skips itself: a listed test has to run and fail", r.folder, r.test)
	}
	return fmt.Errorf("%s.%s did not run: there is no such test, or its package does not build", r.folder, r.test)
}
