// Package trial plays experiments of the data plane in simulated time that are described by files: a fleet, what is varied,
// and seeds. Every variant is played with the same seeds, on the very same requests, and is held against one of them by the
// differences seed by seed. The same file has the same outcome on any machine and on any number of cores.
package trial

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"notchhinge/internal/lab/sim"
)

// File is an experiment as it stands in TOML.
type File struct {
	Name     string    `toml:"name"`
	About    string    `toml:"about"`
	Seeds    Seeds     `toml:"seeds"`
	Baseline string    `toml:"against"` // the variant that the others are held against
	Fleet    Overrides `toml:"fleet"`   // of all variants
	Variants []Variant `toml:"variant"`
	Sweep    *Sweep    `toml:"sweep"`
}

// Seeds are those from the first on.
type Seeds struct {
	First uint64 `toml:"first"`
	Count int    `toml:"count"`
}

// Setting is what a run is told; what is not said stays as it is.
type Overrides struct {
	Policy  *string  `toml:"decides"` // one of sim.Variants
	Routers *int     `toml:"routers"`
	Engines *int     `toml:"engines"`
	Zones   *int     `toml:"zones"`
	Load    *float64 `toml:"load"`    // of what the engines can serve with beginnings kept
	Skew    *float64 `toml:"skew"`    // of the beginnings' popularity
	Seconds *float64 `toml:"seconds"` // of arrivals
	Crash   *float64 `toml:"crash"`   // share of engines that end without a word in the middle
	News    *float64 `toml:"news"`    // seconds until the last router has heard of that
	Cold    *bool    `toml:"cold"`    // engines have read nothing at the start
}

// Variant is a fleet with something changed.
type Variant struct {
	Name string `toml:"name"`
	Overrides
}

// Sweep plays everything once with each value of a number of the fleet.
type Sweep struct {
	Field  string    `toml:"field"`
	Values []float64 `toml:"values"`
}

// The bounds of a file: what a machine of a developer plays in minutes.
const (
	maxRouters = 1000
	maxEngines = 20_000
	maxSeconds = 600
	maxRuns    = 10_000
)

// apply sets what is said.
func (s *Overrides) apply(o *sim.Options) {
	set(&o.Variant, s.Policy)
	set(&o.Routers, s.Routers)
	set(&o.Engines, s.Engines)
	set(&o.Zones, s.Zones)
	set(&o.Load, s.Load)
	set(&o.Skew, s.Skew)
	set(&o.Crash, s.Crash)
	set(&o.Cold, s.Cold)
	for _, x := range []struct {
		to *time.Duration
		of *float64
	}{{&o.Length, s.Seconds}, {&o.News, s.News}} {
		if x.of != nil {
			*x.to = time.Duration(*x.of * float64(time.Second))
		}
	}
}

func set[T any](to, of *T) {
	if of != nil {
		*to = *of
	}
}

// swept sets the field of a sweep.
func applySweep(o *sim.Options, field string, v float64) bool {
	n := int(v)
	var s Overrides
	switch field {
	case "routers":
		s.Routers = &n
	case "engines":
		s.Engines = &n
	case "load":
		s.Load = &v
	case "skew":
		s.Skew = &v
	case "crash":
		s.Crash = &v
	case "news":
		s.News = &v
	default:
		return false
	}
	s.apply(o)
	return true
}

// Load reads a file. Its error says every fault.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(f); err != nil {
		var unknown *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case errors.As(err, &unknown):
			var all []error
			for _, e := range unknown.Errors {
				line, _ := e.Position()
				all = append(all, fmt.Errorf("%s:%d: %v is no key of an experiment", path, line, e.Key()))
			}
			return nil, errors.Join(all...)
		case errors.As(err, &wrong):
			line, _ := wrong.Position()
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if faults := f.validate(); len(faults) > 0 {
		for i, err := range faults {
			faults[i] = fmt.Errorf("%s: %w", path, err)
		}
		return nil, errors.Join(faults...)
	}
	return f, nil
}

func (f *File) validate() (all []error) {
	report := func(format string, args ...any) { all = append(all, fmt.Errorf(format, args...)) }
	if f.Name == "" || f.About == "" {
		report("name and about are wanted")
	}
	if f.Seeds.Count < 1 {
		report("seeds.count: one at least is wanted")
	}
	var names []string
	for _, v := range f.Variants {
		if v.Name == "" || slices.Contains(names, v.Name) {
			report("variant: each has a name of its own; %q is none or stands twice", v.Name)
		}
		names = append(names, v.Name)
	}
	if !slices.Contains(names, f.Baseline) {
		report("against: %q is none of the variants %q", f.Baseline, names)
	}
	values := []float64{0}
	if f.Sweep != nil {
		if values = f.Sweep.Values; len(values) == 0 || !applySweep(&sim.Options{}, f.Sweep.Field, 1) {
			report("sweep: values are wanted, of routers, engines, load, skew, crash or news, not of %q", f.Sweep.Field)
			return all
		}
	}
	if runs := len(values) * len(names) * f.Seeds.Count; runs > maxRuns {
		report("%d runs are more than %d", runs, maxRuns)
	}
	return append(all, f.optionErrors(values)...)
}

// optionFaults are those of the runs' options, by value and variant.
func (f *File) optionErrors(values []float64) (all []error) {
	for _, value := range values {
		for i := range f.Variants {
			o := f.options(i, value, f.Seeds.First)
			at := fmt.Sprintf("variant %q", f.Variants[i].Name)
			if f.Sweep != nil {
				at += fmt.Sprintf(", %s %g", f.Sweep.Field, value)
			}
			if err := checkOptions(at, o); err != nil {
				all = append(all, err)
			}
		}
	}
	return all
}

// checkOptions returns the first fault of a run's options.
func checkOptions(at string, o sim.Options) error {
	within := func(x, least, most float64) bool { return least <= x && x <= most }
	counts := within(float64(o.Routers), 1, maxRouters) && within(float64(o.Engines), 2, maxEngines) &&
		within(float64(o.Zones), 1, float64(o.Routers))
	shares := o.Load > 0 && within(o.Load, 0, 10) && within(o.Skew, 0, 4) && within(o.Crash, 0, 1) && o.News >= 0
	switch {
	case !slices.Contains(sim.Variants, o.Variant):
		return fmt.Errorf("%s: decides: %q is none of %q", at, o.Variant, sim.Variants)
	case !counts:
		return fmt.Errorf("%s: 1 to %d routers, 2 to %d engines and a zone for each router at the most are wanted", at, maxRouters, maxEngines)
	case !shares:
		return fmt.Errorf("%s: load above 0 to 10, skew 0 to 4, crash 0 to 1 and news from 0 are wanted", at)
	case o.Length <= 0 || o.Length > maxSeconds*time.Second:
		return fmt.Errorf("%s: seconds above 0 to %d are wanted", at, maxSeconds)
	}
	return nil
}

// options are those of a variant with a value of the sweep and a seed.
func (f *File) options(variant int, value float64, seed uint64) sim.Options {
	o := sim.Options{Variant: "design", Zones: 1, News: 1200 * time.Millisecond, Length: 20 * time.Second}
	f.Fleet.apply(&o)
	if f.Sweep != nil {
		applySweep(&o, f.Sweep.Field, value)
	}
	f.Variants[variant].apply(&o)
	o.Seed = seed
	return o
}
