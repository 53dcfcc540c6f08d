package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/quota"
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
	broker  *Dispatcher
	clock   Clock
	perform func(Effect)
	events  chan Event
	stopped chan struct{}
	idle    chan chan struct{}

	fair  atomic.Bool // there are several pools, and authorisations go through lanes
	mu    sync.Mutex
	lanes *quota.FairQueue[RequestReceived]
}

// turn stands in the queue of events for an authorisation that waits in a lane: as many as wait, but whichever is next
// takes it. So what one pool has waiting does not stand before another's.
type turn struct{}

func (turn) event() {}

// NewLoop returns a loop over b. perform must not wait, nor post.
func NewLoop(b *Dispatcher, clock Clock, perform func(Effect)) *Loop {
	return &Loop{
		broker: b, clock: clock, perform: perform,
		events: make(chan Event, 1024), stopped: make(chan struct{}), idle: make(chan chan struct{}),
		lanes: quota.NewFairQueue[RequestReceived](),
	}
}

// Post hands an event in. After the loop's end it is dropped.
func (l *Loop) Post(e Event) {
	if t, ok := e.(RequestReceived); ok && l.fair.Load() {
		l.mu.Lock()
		l.lanes.Push(int(t.Pool), t)
		l.mu.Unlock()
		e = turn{}
	}
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

// take reduces an event.
func (l *Loop) take(e Event) {
	switch e := e.(type) {
	case turn:
		if t, ok := l.pop(nil); ok {
			l.reduce(t)
		}
		return
	case ClientLeft:
		// It may still wait for its turn, and must not be taken after its acquirer was thought gone.
		if l.fair.Load() {
			if t, ok := l.pop(e.Client); ok {
				l.reduce(t)
			}
		}
	case ConfigurePool:
		l.mu.Lock()
		l.lanes.SetWeight(int(e.Pool), e.TurnWeight)
		l.mu.Unlock()
		l.reduce(e)
		l.fair.Store(len(l.broker.pools) > 1 || l.fair.Load())
		return
	case EndPool:
		l.mu.Lock()
		l.lanes.EndFlow(int(e.Pool))
		l.mu.Unlock()
	}
	l.reduce(e)
}

func (l *Loop) reduce(e Event) {
	for _, f := range l.broker.Reduce(l.clock(), e) {
		l.perform(f)
	}
}

// pop takes the next authorisation out of the lanes, or that of an acquirer.
func (l *Loop) pop(from Client) (RequestReceived, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from == nil {
		return l.lanes.Pop()
	}
	return l.lanes.PopIf(func(t RequestReceived) bool { return t.Client == from })
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
		l.take(e)
		if l.broker.Open() == 0 && len(l.events) == 0 {
			for _, done := range waiting {
				close(done)
			}
			waiting = nil
		}
	}
}
