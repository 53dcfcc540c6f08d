// Package report writes the results of experiments: measured figures, acceptance criteria, a table, charts and a page. It
// is independent of how the figures were measured.
package report

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Criterion is an acceptance criterion: a figure and the bounds that it must lie within.
type Criterion struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Unit   string  `json:"unit,omitempty"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
	Holds  bool    `json:"holds"`
	Note   string  `json:"note,omitempty"`
}

// NewCriterion checks a figure against two inclusive bounds. NaN never meets a criterion.
func NewCriterion(name string, figure float64, unit string, lower, upper float64, note string) Criterion {
	return Criterion{Name: name, Figure: figure, Unit: unit, Min: lower, Max: upper, Holds: figure >= lower && figure <= upper, Note: note}
}

// Row is one measured figure in the table of results.
type Row struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Unit   string  `json:"unit,omitempty"`
	Spread float64 `json:"spread,omitempty"` // half of the 95% interval, where the figure is a mean
	Note   string  `json:"note,omitempty"`
}

// Series is a line of a chart.
type Series struct {
	Name   string
	Points []Point
}

// Point is a data point of a series.
type Point struct{ X, Y float64 }

// Chart is a line chart, drawn into a file.
type Chart struct {
	File, Title, X, Y string
	Steps             bool // draws step functions instead of connecting the points
	Series            []Series
}

// Result holds the figures, criteria and charts of one experiment.
type Result struct {
	Name   string `json:"name"`
	About  string `json:"about"`
	Seed   uint64 `json:"seed"`
	Short  bool   `json:"short"`
	Commit string `json:"commit,omitempty"`
	Cores  int    `json:"cores,omitempty"` // of the machine; 0 for simulated runs
	// Simulated is set for runs in simulated time, whose results do not depend on the machine; Cores and Commit stay empty.
	Simulated bool        `json:"simulated,omitempty"`
	Rows      []Row       `json:"figures"`
	Criteria  []Criterion `json:"bars"`
	Charts    []Chart     `json:"-"`
}

// Add adds a row.
func (r *Result) Add(name string, figure float64, unit, note string) {
	r.Rows = append(r.Rows, Row{Name: name, Figure: figure, Unit: unit, Note: note})
}

// Mean adds a row with the mean of samples and half of its 95% confidence interval, and returns the mean.
func (r *Result) Mean(name string, samples []float64, unit, note string) float64 {
	mean := stat.Mean(samples, nil)
	spread := 0.0
	if len(samples) > 1 {
		spread = 1.96 * stat.StdDev(samples, nil) / math.Sqrt(float64(len(samples)))
	}
	r.Rows = append(r.Rows, Row{Name: name, Figure: mean, Unit: unit, Spread: spread, Note: note})
	return mean
}

// Ratio adds a row with the geometric mean of ratios and half of its 95% confidence interval, and returns the mean. The
// arithmetic mean of scattered ratios is biased upwards, and so is that of their inverses.
func (r *Result) Ratio(name string, samples []float64, note string) float64 {
	logs := make([]float64, len(samples))
	for i, s := range samples {
		logs[i] = math.Log(s)
	}
	mean, spread := stat.Mean(logs, nil), 0.0
	if len(logs) > 1 {
		spread = 1.96 * stat.StdDev(logs, nil) / math.Sqrt(float64(len(logs)))
	}
	r.Rows = append(r.Rows, Row{Name: name, Figure: math.Exp(mean), Spread: math.Exp(mean) * spread, Note: note})
	return math.Exp(mean)
}

// Passed returns how many criteria are met and how many are not.
func (r *Result) Passed() (passed, failed int) {
	for _, c := range r.Criteria {
		if c.Holds {
			passed++
		} else {
			failed++
		}
	}
	return passed, failed
}

// Print writes the figures, then the criteria, then a line with the number of criteria that passed and failed.
func (r *Result) Print(w io.Writer) {
	for _, row := range r.Rows {
		fmt.Fprintf(w, "  %-44s %s\n", row.Name, row.text())
	}
	for _, c := range r.Criteria {
		fmt.Fprintf(w, "%-46s %s\n", c.Name, c.text())
	}
	passed, failed := r.Passed()
	fmt.Fprintf(w, "%d passed, %d failed\n", passed, failed)
}

func formatValue(v float64) string {
	switch a := math.Abs(v); {
	case v == math.Trunc(v) && a < 1e9:
		return fmt.Sprintf("%.0f", v)
	case a >= 100:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

func (r Row) text() string {
	s := formatValue(r.Figure)
	if r.Spread > 0 {
		s += " ± " + formatValue(r.Spread)
	}
	return strings.TrimSpace(s + " " + r.Unit)
}

func (c Criterion) text() string {
	var required string
	switch {
	case c.Min == c.Max:
		required = formatValue(c.Min)
	case math.IsInf(c.Max, 1) || c.Max == math.MaxFloat64:
		required = formatValue(c.Min) + " or more"
	case c.Min == -math.MaxFloat64:
		required = formatValue(c.Max) + " or less"
	default:
		required = formatValue(c.Min) + " to " + formatValue(c.Max)
	}
	verdict := "does not hold"
	if c.Holds {
		verdict = "holds"
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s", formatValue(c.Figure), c.Unit)) + " of " + required + ": " + verdict
}

// Write writes summary.json, table.md, the charts and report.html into a directory, which it creates.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if r.Cores = runtime.NumCPU(); r.Simulated {
		r.Cores = 0
	}
	if info, ok := debug.ReadBuildInfo(); ok && r.Commit == "" && !r.Simulated {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				r.Commit = s.Value
			}
		}
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "summary.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "table.md"), []byte(r.table()), 0o644); err != nil {
		return err
	}
	for _, c := range r.Charts {
		if err := c.draw(filepath.Join(dir, c.File)); err != nil {
			return fmt.Errorf("chart %s: %w", c.File, err)
		}
	}
	return r.writePage(dir)
}

// table renders the result as Markdown, without the charts.
func (r *Result) table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\nSeed %d", r.Name, r.About, r.Seed)
	if r.Cores > 0 {
		fmt.Fprintf(&b, ", %d cores", r.Cores)
	}
	if r.Short {
		b.WriteString(", short run")
	}
	b.WriteString(".\n\n| criterion | figure, required, verdict |\n| --- | --- |\n")
	for _, x := range r.Criteria {
		fmt.Fprintf(&b, "| %s | %s |\n", withNote(x.Name, x.Note), x.text())
	}
	b.WriteString("\n| figure | |\n| --- | --- |\n")
	for _, x := range r.Rows {
		fmt.Fprintf(&b, "| %s | %s |\n", withNote(x.Name, x.Note), x.text())
	}
	return b.String()
}

// page is the template of report.html, which needs no other files.
var page = template.Must(template.New("report").Funcs(template.FuncMap{"text": func(x interface{ text() string }) string { return x.text() }}).Parse(
	`<!doctype html><html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px/1.4 sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1><p>{{.About}}</p><p>Seed {{.Seed}}{{if .Cores}}, {{.Cores}} cores{{end}}{{if .Short}}, short run{{end}}.</p>
{{range .Pictures}}{{.}}{{end}}
{{if .Criteria}}<table><tr><th>criterion<th>figure, required, verdict<th></tr>{{range .Criteria}}<tr><td>{{.Name}}<td>{{text .}}<td>{{.Note}}</tr>{{end}}</table>{{end}}
<table><tr><th>figure<th><th></tr>{{range .Rows}}<tr><td>{{.Name}}<td>{{text .}}<td>{{.Note}}</tr>{{end}}</table></html>
`))

// writePage writes report.html and embeds the charts that draw has written into the directory.
func (r *Result) writePage(dir string) error {
	p := struct {
		*Result
		Pictures []template.HTML
	}{Result: r}
	for _, c := range r.Charts {
		text, err := os.ReadFile(filepath.Join(dir, c.File))
		if err != nil {
			return err
		}
		if i := strings.Index(string(text), "<svg"); i >= 0 && strings.HasSuffix(c.File, ".svg") {
			p.Pictures = append(p.Pictures, template.HTML(text[i:])) // written by the plot library, which escapes its labels
		}
	}
	var b strings.Builder
	if err := page.Execute(&b, p); err != nil {
		return fmt.Errorf("report.html: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), []byte(b.String()), 0o644)
}

func withNote(name, note string) string {
	if note == "" {
		return name
	}
	return name + " (" + note + ")"
}

func (c Chart) draw(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range c.Series {
		var points plotter.XYs
		for _, at := range s.Points {
			if !math.IsNaN(at.Y) && !math.IsInf(at.Y, 0) {
				points = append(points, plotter.XY{X: at.X, Y: at.Y})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		if c.Steps {
			line.StepStyle = plotter.PostStep
		}
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, path)
}

// CDF returns the empirical cumulative distribution of samples, thinned to about 200 points.
func CDF(name string, samples []float64) Series {
	sorted := slices.Sorted(slices.Values(samples))
	s := Series{Name: name}
	step := max(len(sorted)/200, 1)
	for i := 0; i < len(sorted); i += step {
		s.Points = append(s.Points, Point{X: sorted[i], Y: float64(i+1) / float64(len(sorted))})
	}
	return s
}
