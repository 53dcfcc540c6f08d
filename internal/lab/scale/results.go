package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"notchhinge/internal/lab/report"
)

// Results are what the page is made of: summaries of runs and benchmarks' lines, as they lie in lab/results.
type Results struct {
	dir  string
	runs map[string]map[string]report.Row // by folder and by name
	// Benchmarks are the least of all times of a benchmark, by its package and its name without its
	// suffix of cores, and by unit.
	Benchmarks map[string]map[string]float64
	missing    []string
}

// Load reads the results in a folder.
func Load(dir string) (*Results, error) {
	r := &Results{dir: dir, runs: map[string]map[string]report.Row{}, Benchmarks: map[string]map[string]float64{}}
	for _, run := range []string{"capacity", "scale", "scale-homes", "scale-100", "scale-30", "scale-trial-1", "scale-trial-2", "scale-trial-3", "scale-homes-trial", "scale-mended-trial", "chunks"} {
		text, err := os.ReadFile(filepath.Join(dir, run, "summary.json"))
		if err != nil {
			return nil, err
		}
		var one report.Result
		if err := json.Unmarshal(text, &one); err != nil {
			return nil, fmt.Errorf("%s: %w", run, err)
		}
		r.runs[run] = map[string]report.Row{}
		for _, row := range one.Rows {
			r.runs[run][row.Name] = row
		}
	}
	f, err := os.Open(filepath.Join(dir, "benchmarks", "benchmarks.txt"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return r, r.benchmarks(bufio.NewScanner(f))
}

// benchmarks reads what go test -bench has printed; of several times of one benchmark the least of each figure counts.
func (r *Results) benchmarks(s *bufio.Scanner) error {
	of := ""
	for s.Scan() {
		f := strings.Fields(s.Text())
		if len(f) == 2 && f[0] == "pkg:" {
			of = f[1][strings.LastIndexByte(f[1], '/')+1:] + "."
		}
		if len(f) < 4 || !strings.HasPrefix(f[0], "Benchmark") {
			continue
		}
		name := f[0]
		if at := strings.LastIndexByte(name, '-'); at > 0 {
			if _, err := strconv.Atoi(name[at+1:]); err == nil {
				name = name[:at]
			}
		}
		name = currentName(of + strings.TrimPrefix(name, "Benchmark"))
		if r.Benchmarks[name] == nil {
			r.Benchmarks[name] = map[string]float64{}
		}
		for i := 2; i+1 < len(f); i += 2 {
			x, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				return fmt.Errorf("benchmarks: %q: %w", s.Text(), err)
			}
			if least, known := r.Benchmarks[name][f[i+1]]; !known || x < least {
				r.Benchmarks[name][f[i+1]] = x
			}
		}
	}
	return s.Err()
}

// renamedBenchmarks are benchmarks that recorded results have under an earlier name.
var renamedBenchmarks = map[string]string{
	"duty.Book": "usage.Table", "news.Engines/beat": "discovery.Endpoints/heartbeat", "news.Engines/tick": "discovery.Endpoints/tick",
}

// currentName returns the name that a benchmark of a recorded result has today.
func currentName(recorded string) string {
	for earlier, current := range renamedBenchmarks {
		if sub, ok := strings.CutPrefix(recorded, earlier+"/"); ok {
			return current + "/" + sub
		}
	}
	return recorded
}

// row is a figure of a run.
func (r *Results) row(run, name string) report.Row {
	x, ok := r.runs[run][name]
	if !ok {
		r.missing = append(r.missing, run+": "+name)
	}
	return x
}

func (r *Results) at(run, name string) float64 { return r.row(run, name).Figure }

// bench is a benchmark's figure.
func (r *Results) bench(name, unit string) float64 {
	x, ok := r.Benchmarks[name][unit]
	if !ok {
		r.missing = append(r.missing, "benchmark "+name+" "+unit)
	}
	return x
}

// Missing tells of figures that a table wanted and no result holds.
func (r *Results) Missing() error {
	if len(r.missing) == 0 {
		return nil
	}
	return fmt.Errorf("no result holds: %s", strings.Join(r.missing, "; "))
}

// Fit is a power law through points: y = A x^Exponent. Residual is the largest part by which a point lies off it.
type Fit struct{ A, Exponent, Residual float64 }

// FitPower fits by least squares of the logarithms. Points must be above 0.
func FitPower(xs, ys []float64) (f Fit) {
	n, sx, sy, sxx, sxy := float64(len(xs)), 0.0, 0.0, 0.0, 0.0
	for i := range xs {
		x, y := math.Log(xs[i]), math.Log(ys[i])
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	f.Exponent = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.A = math.Exp((sy - f.Exponent*sx) / n)
	for i := range xs {
		f.Residual = max(f.Residual, math.Abs(ys[i]/f.At(xs[i])-1))
	}
	return f
}

// At is the law's figure.
func (f Fit) At(x float64) float64 { return f.A * math.Pow(x, f.Exponent) }

// sweep is what was read off `fleetbench sweep`, by hand or by a parser, in lab/results/sweep/SITE.json.
type sweep struct {
	Command string     `json:"command"`
	Sizes   []float64  `json:"sizes"`
	Rows    []sweepRow `json:"rows"`
	Says    string     `json:"says"` // what was not measured, or went wrong
}

type sweepRow struct {
	Role    string    `json:"role"`
	Figure  string    `json:"figure"` // with its unit
	At      []float64 `json:"at"`     // at the sizes
	Target  float64   `json:"target"` // what the bench itself reckons at its target; 0 = nothing
	Against string    `json:"against,omitempty"`
}

// readSweep reads one; nil = it has not been run.
func (r *Results) readSweep(site string) (*sweep, error) {
	text, err := os.ReadFile(filepath.Join(r.dir, "sweep", site+".json"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	s := &sweep{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("sweep of %s: %w", site, err)
	}
	for _, row := range s.Rows {
		if len(row.At) != len(s.Sizes) {
			return nil, fmt.Errorf("sweep of %s: %s %s has %d figures for %d sizes", site, row.Role, row.Figure, len(row.At), len(s.Sizes))
		}
	}
	return s, nil
}
