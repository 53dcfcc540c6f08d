package router

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/admin"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/hotrestart"
	"notchhinge/internal/limits"
	"notchhinge/policy"
)

// lifecycle is the state of readiness, drains and hot restarts.
type lifecycle struct {
	adminListener net.Listener      // nil if disabled
	claim         *hotrestart.Claim // nil if hot restarts are disabled
	listReceived  chan struct{}     // closed when the first endpoint list was received from a discovery service
	listOnce      sync.Once
	listening     atomic.Bool
	stopping      atomic.Bool   // shutdown has begun
	handedOver    atomic.Bool   // the successor serves, and this process accepts no connections
	handoverDone  chan struct{} // closed when no connection is left after a handover
	claimedAt     time.Time

	mu        sync.Mutex
	stopSweep chan struct{} // closed to end the drain that an operator has started; nil if there is none
	listener  net.Listener  // of clients; closed after a handover
}

// clientListener returns the listener of clients.
func (l *lifecycle) clientListener() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener
}

// accept starts serving clients on a listener.
func (r *Router) accept(ln net.Listener, serverErrors chan<- error) {
	r.lifecycle.mu.Lock()
	r.lifecycle.listener = ln
	r.lifecycle.mu.Unlock()
	go func() {
		if err := r.frontend.Serve(ln); err != nil {
			serverErrors <- err
		}
	}()
}

// markListReceived records that an endpoint list was received from a discovery service.
func (l *lifecycle) markListReceived() { l.listOnce.Do(func() { close(l.listReceived) }) }

// EnableAdmin enables the admin API on a listener. It must be called before Serve.
func (r *Router) EnableAdmin(ln net.Listener) { r.lifecycle.adminListener = ln }

// serveAdmin serves the admin API, if it is enabled, and returns a function that stops it.
func (r *Router) serveAdmin(serverErrors chan<- error) (stop func()) {
	ln := r.lifecycle.adminListener
	if ln == nil {
		return func() {}
	}
	s := &admin.Server{State: r}
	go func() {
		if err := s.Serve(ln); err != nil {
			serverErrors <- err
		}
	}()
	return func() { ln.Close() }
}

// Serving implements admin.State. It reports whether the router is ready and, if it is not, the reason.
func (r *Router) Serving() (bool, string) {
	switch {
	case !r.lifecycle.listening.Load():
		return false, "starting: not listening yet"
	case r.lifecycle.stopping.Load():
		return false, "stopping"
	case r.frontend.IsDraining():
		return false, "draining"
	case !r.ready.Load():
		return false, "starting: no issuer host is known yet"
	case r.lifecycle.claim != nil && r.lifecycle.claim.Role() == hotrestart.RoleSuccessor && time.Since(r.lifecycle.claimedAt) < limits.TakeoverReadyTimeout:
		return false, "taking over: the process before this one has work left"
	}
	return true, "ok"
}

// StartDrain implements admin.State. It starts a drain: readiness fails, connections are closed after their next response, and after
// DrainIdleDelay idle connections are closed. Requests in flight and batch jobs go on.
func (r *Router) StartDrain() {
	r.lifecycle.mu.Lock()
	defer r.lifecycle.mu.Unlock()
	r.frontend.Drain()
	if r.lifecycle.stopSweep != nil || r.lifecycle.stopping.Load() {
		return
	}
	r.log.Info("draining on request of an operator")
	done := make(chan struct{})
	r.lifecycle.stopSweep = done
	go func() {
		wait := time.NewTimer(r.cfg.Limits.DrainIdleDelay)
		defer wait.Stop()
		for {
			select {
			case <-done:
				return
			case <-wait.C:
			}
			r.frontend.CloseIdleExceptNew()
			wait.Reset(limits.DrainSweepInterval)
		}
	}()
}

var errStopping = errors.New("the process is ending; a drain by SIGTERM has no way back")

// StopDrain implements admin.State. It ends the drain that StartDrain started.
func (r *Router) StopDrain() error {
	r.lifecycle.mu.Lock()
	defer r.lifecycle.mu.Unlock()
	if r.lifecycle.stopping.Load() {
		return errStopping
	}
	if r.endSweep() {
		r.log.Info("drain ended by an operator")
	}
	r.frontend.Undrain()
	return nil
}

// endSweep stops the goroutine that closes idle connections, and reports whether there was one. The caller holds the lock.
func (r *Router) endSweep() bool {
	if r.lifecycle.stopSweep == nil {
		return false
	}
	close(r.lifecycle.stopSweep)
	r.lifecycle.stopSweep = nil
	return true
}

// markStopping records that the shutdown has begun, which replaces a drain that an operator has started.
func (r *Router) markStopping() {
	r.lifecycle.mu.Lock()
	defer r.lifecycle.mu.Unlock()
	r.lifecycle.stopping.Store(true)
	r.endSweep()
}

// claimAddress claims the listen address as its owner or as the successor of a running process, if a shared directory is set.
func (r *Router) claimAddress() error {
	if r.cfg.SharedDir == "" {
		return nil
	}
	r.lifecycle.claimedAt = time.Now()
	c, err := hotrestart.Acquire(r.cfg.SharedDir, r.cfg.ListenAddr)
	if errors.Is(err, hotrestart.ErrAddressTaken) {
		return err
	}
	if err != nil {
		r.log.Warn("hot restart is not available", "err", err)
		return nil
	}
	if r.lifecycle.claim = c; c.Role() == hotrestart.RoleSuccessor {
		r.setCapacity(r.cfg.Limits.TakeoverCapacity())
	}
	return nil
}

// listen opens the listener of clients. A successor first waits for the endpoint list, since it receives all new connections as
// soon as it listens. It returns a nil listener if the router was stopped meanwhile.
func (r *Router) listen(ctx context.Context, sig Signals) (net.Listener, error) {
	c := r.lifecycle.claim
	if c == nil {
		return net.Listen("tcp", r.cfg.ListenAddr)
	}
	if c.Role() == hotrestart.RoleOwner {
		return hotrestart.Listen(context.Background(), r.cfg.ListenAddr, false)
	}
	r.log.Info("another process serves this address; taking over when the endpoint list is received")
	for _, f := range r.allFeeds() {
		f.RequestWatchNow()
	}
	timeout := time.NewTimer(limits.TakeoverListTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(limits.TakeoverPollInterval)
	defer poll.Stop()
wait:
	for {
		select {
		case <-r.lifecycle.listReceived:
			break wait
		case <-timeout.C:
			r.log.Warn("no endpoint list was received; taking over with the initial list")
			break wait
		case <-poll.C:
			if c.TryTakeOver() {
				r.log.Info("the other process has exited")
				r.setCapacity(r.cfg.Limits.FullCapacity())
				return hotrestart.Listen(context.Background(), r.cfg.ListenAddr, false)
			}
		case <-sig.Stop:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	r.restoreState(ctx, c)
	ln, err := hotrestart.Listen(context.Background(), r.cfg.ListenAddr, true)
	if ln == nil {
		return nil, err
	}
	if err != nil {
		// Not every kernel can direct all new connections to the successor. Both processes accept connections until the owner
		// closes its listener.
		r.log.Info("taking over", "err", err)
	}
	return ln, c.AnnounceReady()
}

// restoreState waits for the state of the owner and restores it into the decision modules.
func (r *Router) restoreState(ctx context.Context, c *hotrestart.Claim) {
	for deadline := time.Now().Add(limits.TakeoverStateTimeout); ; time.Sleep(limits.TakeoverPollInterval / 10) {
		b, ok := c.TakeState()
		if !ok && ctx.Err() == nil && time.Now().Before(deadline) {
			continue
		}
		if !ok {
			r.log.Warn("the previous process has handed over no state")
			return
		}
		state, err := decodeHandoverState(b)
		if err != nil {
			r.log.Warn("inheriting", "err", err)
			return
		}
		sessions := 0
		for _, pool := range r.plan.Pools {
			if snapshot := state.Pools[pool.Name]; snapshot != nil {
				r.loop.Post(dispatch.RestoreSnapshot{Pool: pool.ID, Snapshot: snapshot})
				sessions += len(snapshot.Sessions)
			}
		}
		r.log.Info("restored the state of the previous process", "bytes", len(b), "sessions", sessions)
		return
	}
}

// handOverState writes the snapshots of the decision modules for the successor.
func (r *Router) handOverState(ctx context.Context) {
	reply := make(chan map[string]*policy.Snapshot, 1)
	r.loop.Post(dispatch.GetSnapshots{ReplyTo: reply})
	select {
	case snapshots := <-reply:
		b, err := (&handoverState{snapshots}).encode()
		if err == nil {
			err = r.lifecycle.claim.WriteState(b)
		}
		if err != nil {
			r.log.Warn("failed to hand over state to the successor", "err", err)
		}
	case <-ctx.Done():
	}
}

// watchClaim reacts to the start and exit of the other process at the address, if hot restarts are enabled. It returns a function
// that ends the watch.
func (r *Router) watchClaim(ctx context.Context, serverErrors chan<- error) (stop func()) {
	c := r.lifecycle.claim
	if c == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	stopHandover := func() {}
	go c.Watch(ctx, limits.TakeoverPollInterval, func(s hotrestart.SuccessorState) {
		if r.lifecycle.stopping.Load() {
			return
		}
		switch s {
		case hotrestart.SuccessorStarting:
			r.log.Info("a successor has started; reducing the capacity by half")
			r.setCapacity(r.cfg.Limits.TakeoverCapacity())
			r.handOverState(ctx)
		case hotrestart.SuccessorReady:
			r.log.Info("the successor is ready; closing the listener, and connections after their next response")
			r.setCapacity(r.cfg.Limits.TakeoverCapacity())
			stopHandover = r.handOverAddress(ctx)
		case hotrestart.SuccessorNone:
			r.log.Warn("the successor has exited; serving alone")
			stopHandover()
			r.resumeListening(serverErrors)
			r.setCapacity(r.cfg.Limits.FullCapacity())
		}
	}, func() {
		r.log.Info("the previous process has exited; serving alone")
		r.setCapacity(r.cfg.Limits.FullCapacity())
	})
	return cancel
}

// handOverAddress leaves the address to the successor: it accepts what is in the accept queue, closes the listener, and closes
// connections after their next response. When no connection is left the process shuts down, unless stop was called.
func (r *Router) handOverAddress(ctx context.Context) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	r.frontend.StartHandover()
	time.Sleep(limits.AcceptQueueDrainTime)
	r.lifecycle.clientListener().Close()
	r.lifecycle.handedOver.Store(true)
	go func() {
		for r.frontend.Connections() > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(limits.DrainSweepInterval):
			}
		}
		if ctx.Err() == nil && r.batch == nil { // a process with the batch API runs until SIGTERM
			close(r.lifecycle.handoverDone)
		}
	}()
	return stop
}

// resumeListening undoes handOverAddress.
func (r *Router) resumeListening(serverErrors chan<- error) {
	r.frontend.CancelHandover()
	if !r.lifecycle.handedOver.Swap(false) {
		return
	}
	ln, err := hotrestart.Listen(context.Background(), r.cfg.ListenAddr, false)
	if err != nil {
		serverErrors <- err
		return
	}
	r.accept(ln, serverErrors)
}

// setCapacity sets the limits on memory and connections of the process.
func (r *Router) setCapacity(c limits.Capacity) {
	debug.SetMemoryLimit(c.HeapBytes)
	r.frontend.SetMaxConnections(c.ClientConns)
	r.upstream.SetMaxConnections(c.UpstreamConns)
}
