package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"notchhinge/internal/lab/standin"
)

// Trouble is something that happens to boxes in a run.
type Trouble struct {
	At    time.Duration // from the run's start
	Lasts time.Duration
	Boxes []int   // by their place
	What  string  // a fault of standin, or die, replace, drain
	Share float64 // of requests that a fault strikes; 0 = all
}

// The troubles that are no faults of a running box. Die: it is gone at once, and after Lasts it is back, cold. Replace:
// likewise, but another host comes in its place, at the same address. Drain: discovery tells that it terminates, and
// after Lasts it is replaced.
const (
	Die     = "die"
	Replace = "replace"
	Drain   = "drain"
)

var faults = []standin.Fault{
	standin.StallFirst, standin.StallStream, standin.Reset, standin.Refuse, standin.ServerError,
	standin.SlowConnect, standin.Pause,
}

// Check says what is wrong with a trouble in a fleet of so many boxes.
func (t *Trouble) Check(boxes int) error {
	if !slices.Contains([]string{Die, Replace, Drain}, t.What) && !slices.Contains(faults, standin.Fault(t.What)) {
		return fmt.Errorf("what: %q is none of %q, die, replace and drain", t.What, faults)
	}
	if t.At < 0 || t.Lasts <= 0 || t.Share < 0 || t.Share > 1 {
		return fmt.Errorf("at, lasts and share: 0 or more, above 0, and from 0 to 1 are wanted")
	}
	for _, b := range t.Boxes {
		if b < 0 || b >= boxes {
			return fmt.Errorf("boxes: %d is none of the %d", b, boxes)
		}
	}
	return nil
}

// Play has the troubles happen, and returns once all are over or the context is.
func (f *Fleet) Play(ctx context.Context, troubles []Trouble) error {
	start := time.Now()
	ends := make(chan error, len(troubles))
	for _, t := range troubles {
		go func() { ends <- f.suffer(ctx, start, t) }()
	}
	var first error
	for range troubles {
		if err := <-ends; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (f *Fleet) suffer(ctx context.Context, start time.Time, t Trouble) error {
	wait := func(at time.Duration) {
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
		}
	}
	wait(t.At)
	for _, n := range t.Boxes {
		b := f.Boxes[n]
		switch t.What {
		case Die:
			b.Kill()
		case Replace:
			b.Kill()
			b.Deregister()
		case Drain:
			b.Drain()
		default:
			b.SetFault(standin.Fault(t.What), t.Share)
		}
	}
	wait(t.At + t.Lasts)
	for _, n := range t.Boxes {
		b := f.Boxes[n]
		switch t.What {
		case Die:
		case Drain:
			b.Kill()
			b.Deregister()
			b.Rename(b.Name + "-r")
		case Replace:
			b.Rename(b.Name + "-r")
		default:
			b.SetFault(standin.NoFault, 0)
			continue
		}
		if err := b.Start(b.Addr(), true); err != nil {
			return fmt.Errorf("box %s comes back: %w", b.Name, err)
		}
	}
	return nil
}
