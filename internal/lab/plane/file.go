package plane

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// scenarioFile is the TOML encoding of a scenario.
type scenarioFile struct {
	Seed     uint64       `toml:"seed" comment:"seed of all random draws of the simulation"`
	Replicas int          `toml:"keepers"`
	Routers  int          `toml:"routers"`
	Engines  int          `toml:"engines"`
	Tolerate int          `toml:"tolerate" comment:"replicas that may be lost at once"`
	Length   string       `toml:"length"`
	Faults   []faultEntry `toml:"trouble"`

	Overlaps           bool `toml:"overlaps,omitempty" comment:"faults may hit more replicas at once than are tolerated, but no more disks are lost"`
	Tenants            int  `toml:"tenants,omitempty" comment:"tenants with requests in each usage window, at every router; 0 = up to three"`
	LinkBytesPerSecond int  `toml:"link_bytes_per_second,omitempty" comment:"bandwidth of a link; 0 = unlimited"`
}

// faultEntry is the TOML encoding of a fault.
type faultEntry struct {
	At      string    `toml:"at" comment:"time from the end of the warm-up"`
	For     string    `toml:"for,omitempty"`
	Kind    FaultKind `toml:"kind"`
	Variant Variant   `toml:"how,omitempty"`
	On      []int     `toml:"on,omitempty" comment:"indexes of machines, replicas first; or of engines"`
}

// Encode returns the scenario as TOML.
func (s *Scenario) Encode() ([]byte, error) {
	f := scenarioFile{Seed: s.Seed, Replicas: s.Replicas, Routers: s.Routers, Engines: s.Engines, Tolerate: s.Tolerate, Length: s.Length.String(), Overlaps: s.Overlaps, Tenants: s.Tenants, LinkBytesPerSecond: s.LinkBytesPerSecond}
	for _, t := range s.Faults {
		f.Faults = append(f.Faults, faultEntry{t.At.String(), t.For.String(), t.Kind, t.Variant, t.On})
	}
	return toml.Marshal(f)
}

// Limits of a scenario that is loaded.
const (
	maxMachines = 4096
	maxEngines  = 20_000
	maxLength   = time.Hour
	maxTenants  = 1 << 17
)

// Load reads a scenario from a TOML file. Its error lists every invalid field.
func Load(path string) (*Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f scenarioFile
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: unknown fields:\n%s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(path+": "+format, args...)) }
	duration := func(field, text string, limit time.Duration) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 || d > limit {
			addError("%s: must be a duration from 0 to %v, not %q", field, limit, text)
		}
		return d
	}
	s := &Scenario{Seed: f.Seed, Replicas: f.Replicas, Routers: f.Routers, Engines: f.Engines, Tolerate: f.Tolerate, Overlaps: f.Overlaps, Tenants: f.Tenants, LinkBytesPerSecond: f.LinkBytesPerSecond}
	s.Length = duration("length", f.Length, maxLength)
	if s.Replicas < 1 || s.Routers < 1 || s.Replicas+s.Routers > maxMachines {
		addError("keepers, routers: must be at least one each and at most %d together", maxMachines)
	}
	if s.Engines < 0 || s.Engines > maxEngines || s.Tolerate < 0 || 2*s.Tolerate+1 > s.Replicas {
		addError("engines, tolerate: engines must be from 0 to %d, and tolerate less than half of keepers", maxEngines)
	}
	if s.Tenants < 0 || s.Tenants > maxTenants || s.LinkBytesPerSecond < 0 {
		addError("tenants, link_bytes_per_second: tenants must be from 0 to %d, and link_bytes_per_second must not be negative", maxTenants)
	}
	for i, entry := range f.Faults {
		at := fmt.Sprintf("trouble[%d]", i)
		fault := Fault{At: duration(at+".at", entry.At, maxLength), Kind: entry.Kind, Variant: entry.Variant, On: entry.On}
		if entry.For != "" {
			fault.For = duration(at+".for", entry.For, maxLength)
		}
		if !slices.Contains(FaultKinds, entry.Kind) {
			addError("%s.kind: must be one of %v, not %q", at, FaultKinds, entry.Kind)
		}
		if entry.Variant != "" && !slices.Contains(variants[entry.Kind], entry.Variant) {
			addError("%s.how: must be one of %v for kind %s, not %q", at, variants[entry.Kind], entry.Kind, entry.Variant)
		}
		limit := s.Replicas + s.Routers
		if entry.Kind.targetsEngines() {
			limit = s.Engines
		}
		for _, k := range entry.On {
			if k < 0 || k >= limit {
				addError("%s.on: indexes must be at least 0 and below %d, not %d", at, limit, k)
			}
		}
		s.Faults = append(s.Faults, fault)
	}
	return s, errors.Join(errs...)
}
