package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCounts(t *testing.T) {
	const good = `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestA/one"}
{"Action":"output","Package":"p","Test":"TestA/one","Output":"    a_test.go:1: heard\n"}
{"Action":"pass","Package":"p","Test":"TestA/one"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"skip","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Output":"PASS\n"}
{"Action":"output","Package":"p","Output":"ok  \tp\t0.1s\n"}
{"Action":"pass","Package":"p"}
`
	bad := strings.NewReplacer(`"pass","Package":"p","Test":"TestA/one"`, `"fail","Package":"p","Test":"TestA/one"`).Replace(good)
	built := `{"ImportPath":"q","Action":"build-output","Output":"q.go:1: wrong\n"}` + "\n" + `{"ImportPath":"q","Action":"build-fail"}` + "\n"
	for name, c := range map[string]struct {
		in, least, output string
		without           int
		err               string // part of the error; "" = no error
	}{
		"good":              {good, "tests 1\nsubtests 1\n", "ok  \tp\t0.1s\ntests 1\nsubtests 1\n", 0, ""},
		"a test is lost":    {good, "tests 2\nsubtests 1\n", "ok  \tp\t0.1s\ntests 1\nsubtests 1\n", 0, "2 and 1"},
		"a known failure":   {good, "tests 2\nsubtests 1\n", "ok  \tp\t0.1s\ntests 1\nsubtests 1\n", 1, ""},
		"a subtest":         {good, "tests 1\nsubtests 2\n", "ok  \tp\t0.1s\ntests 1\nsubtests 1\n", 0, "1 and 2"},
		"bad format":        {good, "1 1", "ok  \tp\t0.1s\ntests 1\nsubtests 1\n", 0, "least"},
		"one fails":         {bad, "tests 1\nsubtests 1\n", "    a_test.go:1: heard\nok  \tp\t0.1s\ntests 1\nsubtests 1\n", 0, errFailed.Error()},
		"it does not build": {built, "tests 0\nsubtests 0\n", "q.go:1: wrong\ntests 0\nsubtests 0\n", 0, errFailed.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "least")
			if err := os.WriteFile(file, []byte(c.least), 0o600); err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			err := run(strings.NewReader(c.in), &out, file, c.without)
			if out.String() != c.output {
				t.Errorf("got output %q, want %q", out.String(), c.output)
			}
			if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
				t.Errorf("got error %v, want %q", err, c.err)
			}
			if name == "one fails" && !errors.Is(err, errFailed) {
				t.Errorf("got error %v, want errFailed", err)
			}
		})
	}
}
