package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/lab/standin"
)

// ScheduledFault is a fault that is injected into engines at a set time of a run.
type ScheduledFault struct {
	At       time.Duration // since the start of the run
	Duration time.Duration
	Engines  []int   // indexes into Fleet.Engines
	Fault    string  // a standin.Fault, or Crash, Replace or Drain
	Share    float64 // of requests that a standin.Fault affects; 0 = all
}

// Faults that end an engine's process. A new engine starts cold at the same address after the fault's duration.
const (
	Crash   = "die"     // ends at once; the same host returns
	Replace = "replace" // ends at once; a new host returns
	Drain   = "drain"   // is announced as terminating and ends after the duration; a new host returns
)

var engineFaults = []standin.Fault{
	standin.StallFirst, standin.StallStream, standin.Reset, standin.Refuse, standin.ServerError,
	standin.SlowConnect, standin.Pause,
}

// Check returns an error if the fault is invalid in a fleet with that many engines.
func (s *ScheduledFault) Check(engines int) error {
	if !slices.Contains([]string{Crash, Replace, Drain}, s.Fault) && !slices.Contains(engineFaults, standin.Fault(s.Fault)) {
		return fmt.Errorf("what: %q is not one of %q, die, replace and drain", s.Fault, engineFaults)
	}
	if s.At < 0 || s.Duration <= 0 || s.Share < 0 || s.Share > 1 {
		return fmt.Errorf("at must be 0 or more, lasts above 0, and share between 0 and 1")
	}
	for _, engine := range s.Engines {
		if engine < 0 || engine >= engines {
			return fmt.Errorf("boxes: %d is not below the number of engines, %d", engine, engines)
		}
	}
	return nil
}

// InjectFaults injects the faults at their times, and returns once all have ended or the context is done. It returns the
// first error.
func (f *Fleet) InjectFaults(ctx context.Context, faults []ScheduledFault) error {
	start := time.Now()
	results := make(chan error, len(faults))
	for _, fault := range faults {
		go func() { results <- f.inject(ctx, start, fault) }()
	}
	var first error
	for range faults {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// inject starts a fault at its time, waits for its duration and clears it.
func (f *Fleet) inject(ctx context.Context, start time.Time, fault ScheduledFault) error {
	wait := func(at time.Duration) {
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
		}
	}
	wait(fault.At)
	for _, index := range fault.Engines {
		engine := f.Engines[index]
		switch fault.Fault {
		case Crash:
			engine.Kill()
		case Replace:
			engine.Kill()
			engine.Deregister()
		case Drain:
			engine.Drain()
		default:
			engine.SetFault(standin.Fault(fault.Fault), fault.Share)
		}
	}
	wait(fault.At + fault.Duration)
	for _, index := range fault.Engines {
		engine := f.Engines[index]
		switch fault.Fault {
		case Crash:
		case Drain:
			engine.Kill()
			engine.Deregister()
			engine.Rename(engine.Name + "-r")
		case Replace:
			engine.Rename(engine.Name + "-r")
		default:
			engine.SetFault(standin.NoFault, 0)
			continue
		}
		if err := engine.Start(engine.Addr(), true); err != nil {
			return fmt.Errorf("restart engine %s: %w", engine.Name, err)
		}
	}
	return nil
}
