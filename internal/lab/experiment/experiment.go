// Package experiment loads and runs experiments that TOML files describe. It starts a fleet, sends requests, injects faults,
// and checks the clients' ledger and the collected traces against the acceptance criteria of the experiment's kind.
package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"notchhinge/internal/config/tomlfile"

	"github.com/pelletier/go-toml/v2"

	"notchhinge/internal/lab/fleet"
	"notchhinge/internal/lab/load"
	"notchhinge/internal/lab/report"
)

// File is an experiment file.
type File struct {
	Name  string `toml:"name"`
	About string `toml:"about"`
	Kind  string `toml:"kind"` // a key of runners
	Seed  uint64 `toml:"seed"`

	Fleet struct {
		Routers  int     `toml:"routers"`
		Engines  int     `toml:"boxes"`
		Speed    float64 `toml:"speed"` // time scale: durations of a real deployment are divided by this
		Size     float64 `toml:"size"`  // token counts of a real deployment are multiplied by this
		Cores    float64 `toml:"cores"` // of each router
		MemoryMB int     `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
	} `toml:"fleet"`
	Traffic struct {
		Rate    float64           `toml:"rate"` // requests per second
		Length  tomlfile.Duration `toml:"length"`
		Carry   float64           `toml:"carry"` // share of sessions that send a trace context
		Mark    float64           `toml:"mark"`  // share of sessions that mark retries
		Retries int               `toml:"retries"`
		Clients int               `toml:"clients"` // kind cost only: connections, each with one request at a time
	} `toml:"traffic"`
	Trace struct {
		Share float64 `toml:"share"`
	} `toml:"trace"`
	Services struct {
		Rate float64 `toml:"rate"` // requests per second that saturate the second service's engines
	} `toml:"services"` // kinds services, reloads and shared only: the second service; Fleet and Traffic describe the first
	Rounds int              `toml:"rounds"` // kinds cost and services: pairs; kind reloads: reloads
	Faults []ScheduledFault `toml:"trouble"`
	Short  struct {
		Length tomlfile.Duration `toml:"length"`
		Rounds int               `toml:"rounds"`
	} `toml:"short"` // replaces length and rounds under --short; times of faults are scaled to the length
	Thresholds map[string]float64 `toml:"bars"`
}

// ScheduledFault is a [[trouble]] table of the file.
type ScheduledFault struct {
	At       tomlfile.Duration `toml:"at"`
	Duration tomlfile.Duration `toml:"lasts"`
	Engines  []int             `toml:"boxes"`
	Fault    string            `toml:"what"`
	Share    float64           `toml:"share"`
}

// Load reads and validates a file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s%w", path, err)
	}
	return f, nil
}

// Parse parses and validates the text of a file. Its errors begin with ":LINE: ", or ": " if no line is known.
func Parse(text []byte) (*File, error) {
	f := &File{}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(f); err != nil {
		var unknown *toml.StrictMissingError
		var wrong *toml.DecodeError
		switch {
		case errors.As(err, &unknown) && len(unknown.Errors) > 0:
			line, _ := unknown.Errors[0].Position()
			return nil, fmt.Errorf(":%d: unknown key %v", line, unknown.Errors[0].Key())
		case errors.As(err, &wrong):
			line, _ := wrong.Position()
			return nil, fmt.Errorf(":%d: %w", line, err)
		}
		return nil, fmt.Errorf(": %w", err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf(": %w", err)
	}
	return f, nil
}

// check returns the first error in the file.
func (f *File) check() error {
	switch {
	case f.Name == "" || f.About == "":
		return errors.New("name and about must be set")
	case runners[f.Kind] == nil:
		return fmt.Errorf("kind: %q is not one of %q", f.Kind, slices.Sorted(maps.Keys(thresholdNames)))
	case f.Fleet.Routers < 1 || f.Fleet.Engines < 1 || !(f.Fleet.Speed > 0) || !(f.Fleet.Size > 0):
		return errors.New("fleet: routers, boxes, speed and size must be above 0")
	case !(f.Fleet.Cores > 0) || f.Fleet.MemoryMB < 16 || f.Fleet.Sockets < 64:
		return errors.New("fleet: cores must be above 0, memory_mb at least 16 and sockets at least 64")
	case f.Traffic.Length <= 0 || f.Short.Length <= 0:
		return errors.New("traffic.length and short.length must be above 0")
	case f.Kind == "cost" && (f.Traffic.Clients < 1 || f.Rounds < 1 || f.Short.Rounds < 1):
		return errors.New("cost: traffic.clients, rounds and short.rounds must be at least 1")
	case f.twoServices() && !(f.Services.Rate > 0):
		return errors.New("services.rate must be above 0")
	case (f.Kind == "services" || f.Kind == "reloads") && (f.Rounds < 1 || f.Short.Rounds < 1):
		return fmt.Errorf("%s: rounds and short.rounds must be at least 1", f.Kind)
	case !(f.Traffic.Rate > 0):
		return errors.New("traffic.rate must be above 0")
	case !f.twoServices() && !(f.Trace.Share > 0 && f.Trace.Share <= 1):
		return errors.New("trace.share must be above 0 and at most 1")
	}
	for i, t := range f.Faults {
		if err := t.scheduled(1).Check(f.Fleet.Engines); err != nil {
			return fmt.Errorf("trouble %d: %w", i+1, err)
		}
	}
	for name := range f.Thresholds {
		if !thresholdNames[f.Kind][name] {
			return fmt.Errorf("bars: %q is not a threshold of kind %s", name, f.Kind)
		}
	}
	for name := range thresholdNames[f.Kind] {
		if _, ok := f.Thresholds[name]; !ok {
			return fmt.Errorf("bars: %q is missing", name)
		}
	}
	return nil
}

// twoServices reports whether the experiment runs two services on one router.
func (f *File) twoServices() bool {
	return f.Kind == "services" || f.Kind == "reloads" || f.Kind == "shared"
}

// runners run each kind of experiment.
var runners = map[string]func(context.Context, *run) error{
	"tracing": runTracing, "cost": runCost, "collector": runCollector,
	"services": runServices, "reloads": runReloads, "shared": runShared,
}

// thresholdNames are the thresholds that a file of each kind must set under bars.
var thresholdNames = map[string]map[string]bool{
	"tracing":   {"requests": true, "phase_error_ms": true, "share_error": true},
	"cost":      {"throughput": true, "memory_mb": true},
	"collector": {"answers": true},
	"services":  {"worth": true},
	"reloads":   {"memory_mb": true},
	"shared":    {"drain_ms": true},
}

// scheduled returns the fault with its times multiplied by scale.
func (t *ScheduledFault) scheduled(scale float64) *fleet.ScheduledFault {
	return &fleet.ScheduledFault{
		At: time.Duration(float64(t.At) * scale), Duration: time.Duration(float64(t.Duration) * scale), Engines: t.Engines, Fault: t.Fault,
		Share: t.Share,
	}
}

// Options are the caller's options of a run.
type Options struct {
	Short  bool
	Binary string // path of the router's executable; "" = found or built, as by fleet.Binary
	Out    io.Writer
}

// run is the state of a running experiment.
type run struct {
	*File
	opts    Options
	binary  string
	dir     string
	length  time.Duration
	rounds  int
	faults  []fleet.ScheduledFault
	classes []load.Class
	result  *report.Result
}

// printf prints a line of progress.
func (r *run) printf(format string, args ...any) { fmt.Fprintf(r.opts.Out, format+"\n", args...) }

// Run runs an experiment. It returns an error only if the run could not be completed; the result lists the criteria that are not met.
func Run(ctx context.Context, f *File, opts Options) (*report.Result, error) {
	dir, err := os.MkdirTemp("", "notchlab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{
		File: f, opts: opts, dir: dir, length: time.Duration(f.Traffic.Length), rounds: f.Rounds,
		classes: load.Classes(f.Fleet.Speed, f.Fleet.Size),
		result:  &report.Result{Name: f.Name, About: f.About, Seed: f.Seed, Short: opts.Short},
	}
	scale := 1.0
	if opts.Short {
		scale = float64(f.Short.Length) / float64(f.Traffic.Length)
		r.length, r.rounds = time.Duration(f.Short.Length), f.Short.Rounds
	}
	for _, t := range f.Faults {
		r.faults = append(r.faults, *t.scheduled(scale))
	}
	if r.binary, err = fleet.Binary(ctx, opts.Binary, dir); err != nil {
		return nil, err
	}
	if err := runners[f.Kind](ctx, r); err != nil {
		return nil, err
	}
	return r.result, nil
}
