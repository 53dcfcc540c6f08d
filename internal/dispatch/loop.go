package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/quota"
)

// Clock returns the current time. It must be monotonic.
type Clock func() time.Duration

// UnixClock returns a clock that starts at the system's Unix time and is monotonic from then on, even if the system time is
// changed.
func UnixClock() Clock {
	start := time.Now()
	unix := time.Duration(start.UnixNano())
	return func() time.Duration { return unix + time.Since(start) }
}

// eventBacklog is the number of events that may be queued before Post blocks.
const eventBacklog = 1024

// Loop runs a Dispatcher: one goroutine (Run) reduces the events in the order in which they were posted and carries out their
// effects. With several pools, requests are taken from a fair queue instead.
type Loop struct {
	dispatcher  *Dispatcher
	clock       Clock
	perform     func(Effect)
	events      chan Event
	stopped     chan struct{}
	idleWaiters chan chan struct{}

	isFair   atomic.Bool // set once there are several pools: requests go through the fair queue
	mu       sync.Mutex
	requests *quota.FairQueue[RequestReceived]
}

// requestQueued marks that a request was put into the fair queue. There is one for each queued request, and each lets the loop pop
// whichever request is next, so that the requests of one pool do not delay those of another.
type requestQueued struct{}

func (requestQueued) event() {}

// NewLoop returns a loop over a dispatcher. perform carries out an effect; it must not block and must not call Post.
func NewLoop(d *Dispatcher, clock Clock, perform func(Effect)) *Loop {
	return &Loop{
		dispatcher: d, clock: clock, perform: perform,
		events: make(chan Event, eventBacklog), stopped: make(chan struct{}), idleWaiters: make(chan chan struct{}),
		requests: quota.NewFairQueue[RequestReceived](),
	}
}

// Post queues an event. It blocks while the backlog is full. After the loop has ended, events are dropped.
func (l *Loop) Post(e Event) {
	if r, ok := e.(RequestReceived); ok && l.isFair.Load() {
		l.mu.Lock()
		l.requests.Push(int(r.Pool), r)
		l.mu.Unlock()
		e = requestQueued{}
	}
	select {
	case l.events <- e:
	case <-l.stopped:
	}
}

// Now reads the loop's clock.
func (l *Loop) Now() time.Duration { return l.clock() }

// WaitIdle blocks until no request is open and no event is queued, the loop has ended, or the context is done.
func (l *Loop) WaitIdle(ctx context.Context) {
	done := make(chan struct{})
	select {
	case l.idleWaiters <- done:
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

// handle reduces an event, or the next queued request for a requestQueued. Before that it updates the fair queue if the event
// concerns the queue.
func (l *Loop) handle(e Event) {
	switch e := e.(type) {
	case requestQueued:
		if r, ok := l.popRequest(); ok {
			l.reduce(r)
		}
		return
	case ClientLeft:
		// The request may still be in the fair queue. It is reduced first, because ClientLeft closes only a request that is
		// already open.
		if l.isFair.Load() {
			if r, ok := l.popRequestOf(e.Client); ok {
				l.reduce(r)
			}
		}
	case ConfigurePool:
		l.mu.Lock()
		l.requests.SetWeight(int(e.Pool), e.TurnWeight)
		l.mu.Unlock()
		l.reduce(e)
		l.isFair.Store(len(l.dispatcher.pools) > 1 || l.isFair.Load())
		return
	case EndPool:
		l.mu.Lock()
		l.requests.EndFlow(int(e.Pool))
		l.mu.Unlock()
	}
	l.reduce(e)
}

func (l *Loop) reduce(e Event) {
	for _, effect := range l.dispatcher.Reduce(l.clock(), e) {
		l.perform(effect)
	}
}

func (l *Loop) popRequest() (RequestReceived, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests.Pop()
}

func (l *Loop) popRequestOf(client Client) (RequestReceived, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests.PopIf(func(r RequestReceived) bool { return r.Client == client })
}

// Run runs the loop until the context is done.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var waiting []chan struct{}
	for {
		if at, ok := l.dispatcher.NextDue(); ok {
			timer.Reset(max(at-l.clock(), 0))
		}
		var e Event = Tick{}
		select {
		case <-ctx.Done():
			return
		case e = <-l.events:
		case <-timer.C:
		case done := <-l.idleWaiters:
			waiting = append(waiting, done)
		}
		l.handle(e)
		if l.dispatcher.OpenRequests() == 0 && len(l.events) == 0 {
			for _, done := range waiting {
				close(done)
			}
			waiting = nil
		}
	}
}
