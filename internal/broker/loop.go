package broker

import (
	"context"
	"time"
)

// Clock reads the time; it never goes back.
type Clock func() time.Duration

// UnixClock returns a clock that starts at the system's Unix time and goes on evenly from there, whatever
// happens to the system's time afterwards.
func UnixClock() Clock {
	start := time.Now()
	unix := time.Duration(start.UnixNano())
	return func() time.Duration { return unix + time.Since(start) }
}

// Loop turns a Broker: one goroutine reduces events, in the order they were posted, and has the effects done.
type Loop struct {
	broker  *Broker
	clock   Clock
	perform func(Effect)
	events  chan Event
	stopped chan struct{}
	idle    chan chan struct{}
}

// NewLoop returns a loop over b. perform must not wait, nor post.
func NewLoop(b *Broker, clock Clock, perform func(Effect)) *Loop {
	return &Loop{
		broker: b, clock: clock, perform: perform,
		events: make(chan Event, 1024), stopped: make(chan struct{}), idle: make(chan chan struct{}),
	}
}

// Post hands an event in. After the loop's end it is dropped.
func (l *Loop) Post(e Event) {
	select {
	case l.events <- e:
	case <-l.stopped:
	}
}

// Now reads the loop's clock.
func (l *Loop) Now() time.Duration { return l.clock() }

// Idle returns once no authorisation is open, or the context is over.
func (l *Loop) Idle(ctx context.Context) {
	done := make(chan struct{})
	select {
	case l.idle <- done:
	case <-ctx.Done():
		return
	case <-l.stopped:
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-l.stopped:
	}
}

// Run turns the loop until the context is over.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var waiting []chan struct{}
	for {
		if at, ok := l.broker.Next(); ok {
			timer.Reset(max(at-l.clock(), 0))
		}
		var e Event = Tick{}
		select {
		case <-ctx.Done():
			return
		case e = <-l.events:
		case <-timer.C:
		case done := <-l.idle:
			waiting = append(waiting, done)
		}
		for _, f := range l.broker.Reduce(l.clock(), e) {
			l.perform(f)
		}
		if l.broker.Open() == 0 && len(l.events) == 0 {
			for _, done := range waiting {
				close(done)
			}
			waiting = nil
		}
	}
}
