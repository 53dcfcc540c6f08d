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

// operations is what operators and a successor have to do with.
type operations struct {
	admin     net.Listener      // nil where it is off
	place     *hotrestart.Claim // nil where nobody succeeds
	heard     chan struct{}     // closed once a discovery has told its list
	once      sync.Once
	listening atomic.Bool
	stopping  atomic.Bool   // SIGTERM has come
	yielded   atomic.Bool   // an heir serves, and nothing is accepted here any more
	dry       chan struct{} // closed once nothing is left to do beside an heir
	began     time.Time

	mu    sync.Mutex
	sweep chan struct{} // closed at the end of the drain by call that there is; nil without one
	ln    net.Listener  // of clients; closed while an heir serves
}

// door is the clients' listener.
func (o *operations) door() net.Listener {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ln
}

// accept has the front take connections from a listener.
func (r *Router) accept(ln net.Listener, served chan<- error) {
	r.ops.mu.Lock()
	r.ops.ln = ln
	r.ops.mu.Unlock()
	go func() {
		if err := r.front.Serve(ln); err != nil {
			served <- err
		}
	}()
}

func (o *operations) hear() { o.once.Do(func() { close(o.heard) }) }

// EnableAdmin has the router answer operators at a listener. It is called before Serve.
func (r *Router) EnableAdmin(ln net.Listener) { r.ops.admin = ln }

// serveAdmin answers operators, if that is on, and returns what ends it.
func (r *Router) serveAdmin(served chan<- error) (stop func()) {
	ln := r.ops.admin
	if ln == nil {
		return func() {}
	}
	s := &admin.Server{State: r}
	go func() {
		if err := s.Serve(ln); err != nil {
			served <- err
		}
	}()
	return func() { ln.Close() }
}

// Serving implements admin.State.
func (r *Router) Serving() (bool, string) {
	switch {
	case !r.ops.listening.Load():
		return false, "starting: not listening yet"
	case r.ops.stopping.Load():
		return false, "stopping"
	case r.front.IsDraining():
		return false, "draining"
	case !r.ready.Load():
		return false, "starting: no issuer host is known yet"
	case r.ops.place != nil && r.ops.place.Role() == hotrestart.RoleSuccessor && time.Since(r.ops.began) < limits.TakeoverReadyTimeout:
		return false, "taking over: the process before this one has work left"
	}
	return true, "ok"
}

// Fail implements admin.State: readiness says no, connections go with their answers, and from DrainIdle on what is idle
// is closed. Work goes on, batches too: it is the clients' address that is drained.
func (r *Router) Fail() {
	r.ops.mu.Lock()
	defer r.ops.mu.Unlock()
	r.front.Drain()
	if r.ops.sweep != nil || r.ops.stopping.Load() {
		return
	}
	r.log.Info("drained by call")
	done := make(chan struct{})
	r.ops.sweep = done
	go func() {
		wait := time.NewTimer(r.cfg.Limits.DrainIdleDelay)
		defer wait.Stop()
		for {
			select {
			case <-done:
				return
			case <-wait.C:
			}
			r.front.CloseIdleExceptNew()
			wait.Reset(limits.DrainSweepInterval)
		}
	}()
}

var errStopping = errors.New("the process is ending; a drain by SIGTERM has no way back")

// OK implements admin.State.
func (r *Router) OK() error {
	r.ops.mu.Lock()
	defer r.ops.mu.Unlock()
	if r.ops.stopping.Load() {
		return errStopping
	}
	if r.endSweep() {
		r.log.Info("drain by call is over")
	}
	r.front.Undrain()
	return nil
}

// endSweep ends what closes idle connections, and tells whether anything did. The lock is held.
func (r *Router) endSweep() bool {
	if r.ops.sweep == nil {
		return false
	}
	close(r.ops.sweep)
	r.ops.sweep = nil
	return true
}

// toEnd says that the process ends: a drain by call goes over into that by SIGTERM.
func (r *Router) toEnd() {
	r.ops.mu.Lock()
	defer r.ops.mu.Unlock()
	r.ops.stopping.Store(true)
	r.endSweep()
}

// claim takes the router's standing at its address, where there is a folder that a successor could share.
func (r *Router) claim() error {
	if r.cfg.SharedDir == "" {
		return nil
	}
	r.ops.began = time.Now()
	p, err := hotrestart.Acquire(r.cfg.SharedDir, r.cfg.ListenAddr)
	if errors.Is(err, hotrestart.ErrAddressTaken) {
		return err
	}
	if err != nil {
		r.log.Warn("no process can take over from this one", "err", err)
		return nil
	}
	if r.ops.place = p; p.Role() == hotrestart.RoleSuccessor {
		r.resize(r.cfg.Limits.TakeoverCapacity())
	}
	return nil
}

// listen opens the clients' address. An heir first hears the list, since it gets all new connections from then on. A nil
// listener says that the router was stopped before.
func (r *Router) listen(ctx context.Context, sig Signals) (net.Listener, error) {
	p := r.ops.place
	if p == nil {
		return net.Listen("tcp", r.cfg.ListenAddr)
	}
	if p.Role() == hotrestart.RoleOwner {
		return hotrestart.Listen(context.Background(), r.cfg.ListenAddr, false)
	}
	r.log.Info("another process serves here; taking over from it once the list is there")
	for _, f := range r.allFeeds() {
		f.RequestWatchNow()
	}
	limit := time.NewTimer(limits.TakeoverListTimeout)
	defer limit.Stop()
	look := time.NewTicker(limits.TakeoverPollInterval)
	defer look.Stop()
wait:
	for {
		select {
		case <-r.ops.heard:
			break wait
		case <-limit.C:
			r.log.Warn("no list came; taking over with the one known at the start")
			break wait
		case <-look.C:
			if p.TryTakeOver() {
				r.log.Info("the other process has ended")
				r.resize(r.cfg.Limits.FullCapacity())
				return hotrestart.Listen(context.Background(), r.cfg.ListenAddr, false)
			}
		case <-sig.Stop:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	r.inherit(ctx, p)
	ln, err := hotrestart.Listen(context.Background(), r.cfg.ListenAddr, true)
	if ln == nil {
		return nil, err
	}
	if err != nil {
		// Not every kernel can. Both get their part then, until the owner stops listening.
		r.log.Info("taking over", "err", err)
	}
	return ln, p.AnnounceReady()
}

// inherit waits for what the owner has learnt, and teaches it to the modules.
func (r *Router) inherit(ctx context.Context, p *hotrestart.Claim) {
	for until := time.Now().Add(limits.TakeoverStateTimeout); ; time.Sleep(limits.TakeoverPollInterval / 10) {
		b, ok := p.TakeState()
		if !ok && ctx.Err() == nil && time.Now().Before(until) {
			continue
		}
		if !ok {
			r.log.Warn("the process before this one has left nothing of what it has learnt")
			return
		}
		l, err := decodeLegacy(b)
		if err != nil {
			r.log.Warn("inheriting", "err", err)
			return
		}
		pins := 0
		for _, q := range r.plan.Pools {
			if k := l.Pools[q.Name]; k != nil {
				r.loop.Post(dispatch.RestoreSnapshot{Pool: q.ID, Snapshot: k})
				pins += len(k.Sessions)
			}
		}
		r.log.Info("inherited from the process before", "bytes", len(b), "sessions", pins)
		return
	}
}

// bequeath leaves what the modules have learnt to the heir.
func (r *Router) bequeath(ctx context.Context) {
	to := make(chan map[string]*policy.Snapshot, 1)
	r.loop.Post(dispatch.GetSnapshots{ReplyTo: to})
	select {
	case all := <-to:
		b, err := (&legacy{all}).encode()
		if err == nil {
			err = r.ops.place.WriteState(b)
		}
		if err != nil {
			r.log.Warn("the heir learns nothing from here", "err", err)
		}
	case <-ctx.Done():
	}
}

// watchPlace follows what becomes of the other process, if there is one, and returns what ends that.
func (r *Router) watchPlace(ctx context.Context, served chan<- error) (stop func()) {
	p := r.ops.place
	if p == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	yield := func() {}
	go p.Watch(ctx, limits.TakeoverPollInterval, func(s hotrestart.SuccessorState) {
		if r.ops.stopping.Load() {
			return
		}
		switch s {
		case hotrestart.SuccessorStarting:
			r.log.Info("an heir has come; it gets half of the room")
			r.resize(r.cfg.Limits.TakeoverCapacity())
			r.bequeath(ctx)
		case hotrestart.SuccessorReady:
			r.log.Info("the heir is ready; nothing more is accepted here, and connections end with their answers")
			r.resize(r.cfg.Limits.TakeoverCapacity())
			yield = r.yield(ctx)
		case hotrestart.SuccessorNone:
			r.log.Warn("the heir has gone; serving on alone")
			yield()
			r.resume(served)
			r.resize(r.cfg.Limits.FullCapacity())
		}
	}, func() {
		r.log.Info("the process before this one has ended; serving alone")
		r.resize(r.cfg.Limits.FullCapacity())
	})
	return cancel
}

// yield leaves the address to the heir: what waits in the queue is accepted still, the listener closes, connections go
// with their answers, and once nothing is left the process ends by itself. The stop it returns keeps it from that.
func (r *Router) yield(ctx context.Context) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	r.front.StartHandover()
	time.Sleep(limits.AcceptQueueDrainTime)
	r.ops.door().Close()
	r.ops.yielded.Store(true)
	go func() {
		for r.front.Connections() > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(limits.DrainSweepInterval):
			}
		}
		if ctx.Err() == nil && r.desk == nil { // batches end with SIGTERM alone
			close(r.ops.dry)
		}
	}()
	return stop
}

// resume takes the address back.
func (r *Router) resume(served chan<- error) {
	r.front.CancelHandover()
	if !r.ops.yielded.Swap(false) {
		return
	}
	ln, err := hotrestart.Listen(context.Background(), r.cfg.ListenAddr, false)
	if err != nil {
		served <- err
		return
	}
	r.accept(ln, served)
}

// resize changes what the process may use.
func (r *Router) resize(m limits.Capacity) {
	debug.SetMemoryLimit(m.HeapBytes)
	r.front.SetMaxConnections(m.ClientConns)
	r.upstream.SetMaxConnections(m.UpstreamConns)
}
