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

// file is a day as it stands in TOML.
type file struct {
	Seed     uint64    `toml:"seed" comment:"of everything that is drawn while it is played"`
	Keepers  int       `toml:"keepers"`
	Routers  int       `toml:"routers"`
	Engines  int       `toml:"engines"`
	Tolerate int       `toml:"tolerate" comment:"keepers that may be lost at once"`
	Length   string    `toml:"length"`
	Troubles []trouble `toml:"trouble"`

	Overlaps           bool `toml:"overlaps,omitempty" comment:"more keepers may be lost at once than are tolerated, but no more disks"`
	Tenants            int  `toml:"tenants,omitempty" comment:"with requests in each usage window, at every router; 0 = up to three"`
	LinkBytesPerSecond int  `toml:"link_bytes_per_second,omitempty" comment:"what a link carries; 0 = any call at once"`
}

type trouble struct {
	At   string    `toml:"at" comment:"from the start of the day"`
	For  string    `toml:"for,omitempty"`
	Kind FaultKind `toml:"kind"`
	How  How       `toml:"how,omitempty"`
	On   []int     `toml:"on,omitempty" comment:"machines, keepers' seats first; or engines"`
}

// Encode writes a day as TOML.
func (d *Scenario) Encode() ([]byte, error) {
	f := file{Seed: d.Seed, Keepers: d.Replicas, Routers: d.Routers, Engines: d.Engines, Tolerate: d.Tolerate, Length: d.Length.String(), Overlaps: d.Overlaps, Tenants: d.Tenants, LinkBytesPerSecond: d.LinkBytesPerSecond}
	for _, t := range d.Faults {
		f.Troubles = append(f.Troubles, trouble{t.At.String(), t.For.String(), t.Kind, t.How, t.On})
	}
	return toml.Marshal(f)
}

// The bounds of a day that is read.
const (
	mostMachines = 4096
	mostEngines  = 20_000
	mostLength   = time.Hour
	mostTenants  = 1 << 17
)

// Load reads a day. Its error says every fault.
func Load(path string) (*Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f file
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, fmt.Errorf("%s: unknown:\n%s", path, strict.String())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var faults []error
	bad := func(format string, args ...any) { faults = append(faults, fmt.Errorf(path+": "+format, args...)) }
	span := func(field, text string, most time.Duration) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 || d > most {
			bad("%s: a time from 0 to %v is wanted, not %q", field, most, text)
		}
		return d
	}
	d := &Scenario{Seed: f.Seed, Replicas: f.Keepers, Routers: f.Routers, Engines: f.Engines, Tolerate: f.Tolerate, Overlaps: f.Overlaps, Tenants: f.Tenants, LinkBytesPerSecond: f.LinkBytesPerSecond}
	d.Length = span("length", f.Length, mostLength)
	if d.Replicas < 1 || d.Routers < 1 || d.Replicas+d.Routers > mostMachines {
		bad("keepers, routers: at least one of each and %d in all are wanted", mostMachines)
	}
	if d.Engines < 0 || d.Engines > mostEngines || d.Tolerate < 0 || 2*d.Tolerate+1 > d.Replicas {
		bad("engines, tolerate: up to %d, and fewer than half of the keepers, are wanted", mostEngines)
	}
	if d.Tenants < 0 || d.Tenants > mostTenants || d.LinkBytesPerSecond < 0 {
		bad("tenants, link_bytes_per_second: up to %d, and none below 0, are wanted", mostTenants)
	}
	for i, t := range f.Troubles {
		at := fmt.Sprintf("trouble[%d]", i)
		x := Fault{At: span(at+".at", t.At, mostLength), Kind: t.Kind, How: t.How, On: t.On}
		if t.For != "" {
			x.For = span(at+".for", t.For, mostLength)
		}
		if !slices.Contains(Kinds, t.Kind) {
			bad("%s.kind: one of %v is wanted, not %q", at, Kinds, t.Kind)
		}
		if t.How != "" && !slices.Contains(hows[t.Kind], t.How) {
			bad("%s.how: one of %v is wanted for %s, not %q", at, hows[t.Kind], t.Kind, t.How)
		}
		most := d.Replicas + d.Routers
		if t.Kind.strikesEngines() {
			most = d.Engines
		}
		for _, k := range t.On {
			if k < 0 || k >= most {
				bad("%s.on: numbers below %d are wanted, not %d", at, most, k)
			}
		}
		d.Faults = append(d.Faults, x)
	}
	return d, errors.Join(faults...)
}
