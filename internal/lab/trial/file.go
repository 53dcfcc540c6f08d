// Package trial runs experiments of the data plane in simulated time. A TOML file describes the fleet, the variants and the
// seeds. Every variant runs with the same seeds, hence on the same requests, and is compared with the baseline variant by
// paired differences. The outcome depends on the file alone, not on the machine or the number of cores.
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

// File is an experiment file.
type File struct {
	Name     string    `toml:"name"`
	About    string    `toml:"about"`
	Seeds    Seeds     `toml:"seeds"`
	Baseline string    `toml:"against"` // name of the variant that the others are compared with
	Fleet    Overrides `toml:"fleet"`   // shared by all variants
	Variants []Variant `toml:"variant"`
	Sweep    *Sweep    `toml:"sweep"`
}

// Seeds are Count consecutive seeds from First on.
type Seeds struct {
	First uint64 `toml:"first"`
	Count int    `toml:"count"`
}

// Overrides are options of a run that a file sets; nil leaves the option unchanged.
type Overrides struct {
	Policy  *string  `toml:"decides"` // one of sim.Variants
	Routers *int     `toml:"routers"`
	Engines *int     `toml:"engines"`
	Zones   *int     `toml:"zones"`
	Load    *float64 `toml:"load"`    // share of the engines' capacity with a warm prefix cache
	Skew    *float64 `toml:"skew"`    // of the prefixes' popularity
	Seconds *float64 `toml:"seconds"` // duration of arrivals
	Crash   *float64 `toml:"crash"`   // share of engines that crash in the middle of the run
	News    *float64 `toml:"news"`    // seconds until every router has detected the crashes
	Cold    *bool    `toml:"cold"`    // engines start with empty prefix caches
}

// Variant is a named set of overrides of the fleet.
type Variant struct {
	Name string `toml:"name"`
	Overrides
}

// Sweep repeats the experiment with each value of one field of the fleet.
type Sweep struct {
	Field  string    `toml:"field"`
	Values []float64 `toml:"values"`
}

// Limits of a file, so that a developer's machine runs it within minutes.
const (
	maxRouters = 1000
	maxEngines = 20_000
	maxSeconds = 600
	maxRuns    = 10_000
)

// apply copies the overrides that are set into the options.
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

// applySweep sets the field of a sweep; it returns false if a field of that name cannot be swept.
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

// Load reads and validates a file. Its error lists every invalid field.
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
				all = append(all, fmt.Errorf("%s:%d: unknown key %v", path, line, e.Key()))
			}
			return nil, errors.Join(all...)
		case errors.As(err, &wrong):
			line, _ := wrong.Position()
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if errs := f.validate(); len(errs) > 0 {
		for i, err := range errs {
			errs[i] = fmt.Errorf("%s: %w", path, err)
		}
		return nil, errors.Join(errs...)
	}
	return f, nil
}

// validate returns all errors in the file.
func (f *File) validate() (all []error) {
	report := func(format string, args ...any) { all = append(all, fmt.Errorf(format, args...)) }
	if f.Name == "" || f.About == "" {
		report("name and about must be set")
	}
	if f.Seeds.Count < 1 {
		report("seeds.count must be at least 1")
	}
	var names []string
	for _, v := range f.Variants {
		if v.Name == "" || slices.Contains(names, v.Name) {
			report("variant: each needs a unique name; %q is empty or occurs twice", v.Name)
		}
		names = append(names, v.Name)
	}
	if !slices.Contains(names, f.Baseline) {
		report("against: %q is not one of the variants %q", f.Baseline, names)
	}
	values := []float64{0}
	if f.Sweep != nil {
		if values = f.Sweep.Values; len(values) == 0 || !applySweep(&sim.Options{}, f.Sweep.Field, 1) {
			report("sweep: values must not be empty, and field must be routers, engines, load, skew, crash or news, not %q", f.Sweep.Field)
			return all
		}
	}
	if runs := len(values) * len(names) * f.Seeds.Count; runs > maxRuns {
		report("%d runs exceed the limit of %d", runs, maxRuns)
	}
	return append(all, f.optionErrors(values)...)
}

// optionErrors returns the errors in the runs' options, by value and variant.
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

// checkOptions returns the first error in a run's options.
func checkOptions(at string, o sim.Options) error {
	within := func(x, least, most float64) bool { return least <= x && x <= most }
	counts := within(float64(o.Routers), 1, maxRouters) && within(float64(o.Engines), 2, maxEngines) &&
		within(float64(o.Zones), 1, float64(o.Routers))
	shares := o.Load > 0 && within(o.Load, 0, 10) && within(o.Skew, 0, 4) && within(o.Crash, 0, 1) && o.News >= 0
	switch {
	case !slices.Contains(sim.Variants, o.Variant):
		return fmt.Errorf("%s: decides: %q is not one of %q", at, o.Variant, sim.Variants)
	case !counts:
		return fmt.Errorf("%s: routers must be 1 to %d, engines 2 to %d, and zones at most one for each router", at, maxRouters, maxEngines)
	case !shares:
		return fmt.Errorf("%s: load must be above 0 and at most 10, skew 0 to 4, crash 0 to 1, and news 0 or more", at)
	case o.Length <= 0 || o.Length > maxSeconds*time.Second:
		return fmt.Errorf("%s: seconds must be above 0 and at most %d", at, maxSeconds)
	}
	return nil
}

// options returns the options of the run of a variant with a value of the sweep and a seed.
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
