package main

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"testing"
)

const frozen = "internal/node.TestFleet/frozen, the lease, once lost, is not taken over, issue 39\n"

func TestParse(t *testing.T) {
	list, err := parseList("\n" + frozen)
	if err != nil {
		t.Fatal(err)
	}
	want := knownFailure{folder: "internal/node", test: "TestFleet/frozen", cause: "the lease, once lost, is not taken over", issue: "issue 39"}
	if len(list) != 1 || list[0] != want {
		t.Errorf("got %+v, want %+v", list, want)
	}
	for name, text := range map[string]string{
		"no issue":     "internal/node.TestFleet, cause\n",
		"no cause":     "internal/node.TestFleet, issue 39\n",
		"no package":   "TestFleet, cause, issue 39\n",
		"all tests":    "internal/node.Test, cause, issue 39\n",
		"a pattern":    "internal/node.Test.* .*, cause, issue 39\n",
		"twice":        frozen + frozen,
		"more than 3":  "a.TestA, c, issue 1\na.TestB, c, issue 1\na.TestC, c, issue 1\na.TestD, c, issue 1\n",
		"a whole file": "a, b\n" + frozen,
	} {
		if list, err := parseList(text); err == nil {
			t.Errorf("%s: parsed as %+v, want an error", name, list)
		}
	}
}

func TestSkipPattern(t *testing.T) {
	list, err := parseList(frozen + "internal/node.TestA.b, cause, issue 1\ninternal/other.TestC, cause, issue 1\n")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := skipPattern(list, "internal/node"), `^TestFleet$/^frozen$|^TestA\.b$`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if regexp.MustCompile(skipPattern(list, "internal/third")).MatchString("TestC") {
		t.Error("the pattern for an unlisted package skips a test")
	}
	var out bytes.Buffer
	if err := printPackages(&out, list); err != nil || out.String() != "internal/node\ninternal/other\n" {
		t.Errorf("packages: got %q, %v", out.String(), err)
	}
}

func TestRunAll(t *testing.T) {
	list, err := parseList(frozen)
	if err != nil {
		t.Fatal(err)
	}
	parent := `{"Action":"fail","Test":"TestFleet"}` + "\n"
	for name, c := range map[string]struct {
		events string
		err    error
		want   string // part of the error; "" = no error
	}{
		"fails":         {events: parent + `{"Action":"fail","Test":"TestFleet/frozen"}`},
		"long output":   {events: `{"Action":"build-output","Output":"` + strings.Repeat("x", 1<<20) + "\"}\n" + `{"Action":"fail","Test":"TestFleet/frozen"}`},
		"passes":        {events: `{"Action":"pass","Test":"TestFleet/frozen"}`, want: "passes"},
		"skips":         {events: `{"Action":"skip","Test":"TestFleet/frozen"}`, want: "skips itself"},
		"only a parent": {events: parent, want: "did not run"},
		"does not run":  {events: `{"Action":"pass","Package":"p"}`, want: "did not run"},
		"no go test":    {err: errors.New("no go"), want: "no go"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			err := runAll(&out, list, func(folder, pattern string) ([]byte, error) {
				if folder != "internal/node" || pattern != "^TestFleet$/^frozen$" {
					t.Errorf("ran %s in %s", pattern, folder)
				}
				return []byte(c.events), c.err
			})
			if c.want == "" {
				if err != nil || !strings.HasPrefix(out.String(), "known red: internal/node.TestFleet/frozen: the lease") {
					t.Errorf("got error %v and output %q", err, out.String())
				}
			} else if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}
