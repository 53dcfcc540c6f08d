package trial

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const smallExperiment = `name = "small"
about = "whether it works"
against = "design"
seeds = { first = 3, count = 3 }
fleet = { routers = 3, engines = 8, zones = 2, load = 0.5, skew = 0.5, seconds = 3 }
sweep = { field = "skew", values = [0.0, 1.0] }
[[variant]]
name = "design"
[[variant]]
name = "chance"
decides = "random"
[[variant]]
name = "the same"
`

func load(t *testing.T, text string) (*File, error) {
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

// render returns an outcome's tables and its HTML page, which must contain a chart.
func render(t *testing.T, o *Outcome) (text, page string) {
	t.Helper()
	var b bytes.Buffer
	if err := o.Print(&b); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := o.Report().Write(dir); err != nil {
		t.Fatal(err)
	}
	html, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil || !bytes.Contains(html, []byte("<svg")) {
		t.Fatal("the page contains no chart", err)
	}
	return b.String(), string(html)
}

// TestSameOutcomeOnAnyNumberOfCores checks that tables and page are byte-identical on any number of cores, that a variant
// equal to the baseline has zero differences, and that random choice reuses fewer cached prefixes than the baseline.
func TestSameOutcomeOnAnyNumberOfCores(t *testing.T) {
	f, err := load(t, smallExperiment)
	if err != nil {
		t.Fatal(err)
	}
	var texts, reports []string
	for _, cores := range []int{1, 4} {
		last := 0
		o, err := Run(t.Context(), f, cores, func(done, of int) { last = of - done })
		if err != nil || last != 0 {
			t.Fatal(err, last)
		}
		text, page := render(t, o)
		texts, reports = append(texts, text), append(reports, page)
		for _, c := range o.Cells {
			for k, d := range c.Differences {
				if c.Variant == "the same" && d != (Figure{}) {
					t.Errorf("%s: difference between equal variants: %v", metrics[k].name, d)
				}
			}
			if c.Variant == "chance" && c.Differences[6].Mean >= 0 {
				t.Errorf("random choice reuses as much cache as the baseline: %v", c.Differences[6])
			}
		}
	}
	if texts[0] != texts[1] || reports[0] != reports[1] {
		t.Error(cmp.Diff(texts[0], texts[1]))
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(canceled, f, 2, func(int, int) {}); err == nil {
		t.Error("Run succeeds with a canceled context")
	}
}

func TestLoadErrors(t *testing.T) {
	for text, want := range map[string][]string{
		strings.Replace(smallExperiment, "about", "abuot", 1):                    {"abuot"},
		strings.Replace(smallExperiment, `"random"`, `"dice"`, 1):                {`"dice"`},
		strings.Replace(smallExperiment, `against = "design"`, "", 1):            {"against"},
		strings.Replace(smallExperiment, `field = "skew"`, `field = "sky"`, 1):   {"sky"},
		strings.Replace(smallExperiment, "count = 3", "count = 0", 1):            {"seeds.count"},
		strings.Replace(smallExperiment, `name = "the same"`, `name = ""`, 1):    {"a unique name"},
		strings.Replace(smallExperiment, "load = 0.5", "load = 0", 1):            {"load must be above 0"},
		strings.Replace(smallExperiment, "engines = 8", "engines = 1", 1):        {"engines"},
		strings.Replace(smallExperiment, "values = [0.0, 1.0]", "values = 1", 1): {":6"},
		`name = "x"`: {"about", "seeds.count", "against"},
	} {
		_, err := load(t, text)
		for _, s := range want {
			if err == nil || !strings.Contains(err.Error(), s) {
				t.Errorf("%q is not in the error: %v", s, err)
			}
		}
	}
}

func TestSimulatedExperimentFilesLoad(t *testing.T) {
	files, err := filepath.Glob("../../../lab/simulated/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}
