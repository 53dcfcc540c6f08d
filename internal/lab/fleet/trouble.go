package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/lab/standin"
)

// Trouble is something that happens to boxes in a run.
type ScheduledFault struct {
	At       time.Duration // from the run's start
	Duration time.Duration
	Engines  []int   // by their place
	Fault    string  // a fault of standin, or die, replace, drain
	Share    float64 // of requests that a fault strikes; 0 = all
}

// The troubles that are no faults of a running box. Die: it is gone at once, and after Lasts it is back, cold. Replace:
// likewise, but another host comes in its place, at the same address. Drain: discovery tells that it terminates, and
// after Lasts it is replaced.
const (
	Crash   = "die"
	Replace = "replace"
	Drain   = "drain"
)

var engineFaults = []standin.Fault{
	standin.StallFirst, standin.StallStream, standin.Reset, standin.Refuse, standin.ServerError,
	standin.SlowConnect, standin.Pause,
}

// Check says what is wrong with a trouble in a fleet of so many boxes.
func (fault *ScheduledFault) Check(engines int) error {
	if !slices.Contains([]string{Crash, Replace, Drain}, fault.Fault) && !slices.Contains(engineFaults, standin.Fault(fault.Fault)) {
		return fmt.Errorf("what: %q is none of %q, die, replace and drain", fault.Fault, engineFaults)
	}
	if fault.At < 0 || fault.Duration <= 0 || fault.Share < 0 || fault.Share > 1 {
		return fmt.Errorf("at, lasts and share: 0 or more, above 0, and from 0 to 1 are wanted")
	}
	for _, engine := range fault.Engines {
		if engine < 0 || engine >= engines {
			return fmt.Errorf("boxes: %d is none of the %d", engine, engines)
		}
	}
	return nil
}

// Play has the troubles happen, and returns once all are over or the context is.
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
			engine.Die()
		case Replace:
			engine.Die()
			engine.Gone()
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
			engine.Die()
			engine.Gone()
			engine.Rename(engine.Name + "-r")
		case Replace:
			engine.Rename(engine.Name + "-r")
		default:
			engine.SetFault(standin.NoFault, 0)
			continue
		}
		if err := engine.Start(engine.Addr(), true); err != nil {
			return fmt.Errorf("box %s comes back: %w", engine.Name, err)
		}
	}
	return nil
}
