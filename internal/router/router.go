// Package router puts the parts of the program together and runs them.
package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"notchhinge/internal/batch"
	"notchhinge/internal/config/platformconfig"
	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/listwatch"
	"notchhinge/internal/reconcile"
	"notchhinge/internal/trace"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// Router is one program's worth of parts.
type Router struct {
	cfg      *platformconfig.Config
	log      *slog.Logger
	dial     Dialer
	broker   *dispatch.Dispatcher
	loop     *dispatch.Loop
	upstream *upstream.Transport
	front    *frontend.Server
	at       atomic.Pointer[directory.Directory]
	ready    atomic.Bool
	desk     *batch.Service // nil where the batch front is off
	door     net.Listener
	control  net.Listener // nil where it is off
	traces   *traces      // nil where nothing is traced
	ops      operations

	applying sync.Mutex      // one change of the plan, or end of a pool, at a time
	plan     *reconcile.Plan // that is carried out; nil before Serve

	generation atomic.Int64    // plans carried out
	first      *reconcile.Plan // the one to begin with
	mu         sync.Mutex      // never held while an event is posted: the loop takes it
	feeds      map[string]*listwatch.Feed
	feedOf     map[hoststate.PoolID]*listwatch.Feed
}

// Dialer opens connections.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// New makes a router out of its configuration and of the plan that it is to carry out.
func New(cfg *platformconfig.Config, p *reconcile.Plan, log *slog.Logger, dial Dialer, clock dispatch.Clock) *Router {
	r := &Router{
		cfg: cfg, log: log, dial: dial, broker: dispatch.New(cfg.Limits), first: p,
		feeds: map[string]*listwatch.Feed{}, feedOf: map[hoststate.PoolID]*listwatch.Feed{},
		ops: operations{heard: make(chan struct{}), dry: make(chan struct{})},
	}
	r.at.Store(p.Directory)
	r.loop = dispatch.NewLoop(r.broker, clock, r.perform)
	r.upstream = upstream.New(upstream.Config{Limits: cfg.Limits, Post: r.loop.Post, Now: r.loop.Now, Dial: dial})
	r.front = frontend.New(frontend.Options{
		Limits: cfg.Limits, Directory: r.at.Load, Post: r.loop.Post, Now: r.loop.Now, IsReady: r.ready.Load,
	})
	return r
}

// Batch turns the second front on, at a listener.
func (r *Router) Batch(cfg *batch.Config, ln net.Listener) error {
	desk, err := batch.New(batch.Options{
		Config: cfg, Limits: r.cfg.Limits, Directory: r.at.Load, Post: r.loop.Post, Now: r.loop.Now, Log: r.log,
		IsTracing: r.traces != nil,
	})
	r.desk, r.door = desk, ln
	return err
}

// serveBatch runs the second front, if it is on, and returns what ends it.
func (r *Router) serveBatch(served chan<- error) (stop func()) {
	if r.desk == nil {
		return func() {}
	}
	halt := make(chan struct{})
	go r.desk.Run(halt)
	lim := r.cfg.Limits
	web := &http.Server{
		Handler: r.desk.Handler(), ReadHeaderTimeout: lim.RequestReadTimeout, IdleTimeout: lim.BatchIdleTimeout, MaxHeaderBytes: lim.RequestHeadBytes,
	}
	go func() {
		if err := web.Serve(netutil.LimitListener(r.door, lim.BatchConns)); !errors.Is(err, http.ErrServerClosed) {
			served <- err
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), lim.BatchDrainTimeout)
		defer cancel()
		if web.Shutdown(ctx) != nil {
			web.Close() // feeds stay open as long as their batch; their clients take them up again
		}
		close(halt)
		r.desk.Close()
	}
}

// listed passes news of the list on; with the first host the router is ready.
func (r *Router) listed(e dispatch.Event) {
	if l, ok := e.(dispatch.EndpointsListed); ok && len(l.Hosts) > 0 {
		r.ready.Store(true)
	}
	if l, ok := e.(dispatch.EndpointsListed); ok && l.Kind != policy.ListCached && l.Kind != policy.ListFailed {
		r.ops.hear()
	}
	r.loop.Post(e)
}

// perform has an effect done by its owner. It does not wait.
func (r *Router) perform(e dispatch.Effect) {
	if r.upstream.Perform(e) {
		return
	}
	switch e := e.(type) {
	case dispatch.ExportTrace:
		r.traces.keep(e.Trace)
	case dispatch.Reject:
		go e.Client.(rejecter).Reject(e.Verdict, e.RetryAfter)
	case dispatch.ReminderDue:
		go e.Token.(reminder).Due()
	case dispatch.WatchEndpoints:
		if f := r.feed(e.Pool); f != nil {
			f.RequestWatch(e.Pool)
		}
	case dispatch.PoolEnded:
		go r.gone(e.Pool)
	case dispatch.Log:
		if e.Pool != "" {
			r.log.Info(e.Message, "pool", e.Pool)
		} else {
			r.log.Info(e.Message)
		}
	case dispatch.Snapshots:
		e.ReplyTo.(chan map[string]*policy.Snapshot) <- e.Pools // it has room
	case dispatch.CountersReport:
		if to, ok := e.ReplyTo.(chan dispatch.CountersReport); ok {
			to <- e // it has room
			return
		}
		r.print("counters", nil, &e.Counters)
		for i := range e.Pools {
			if p := &e.Pools[i]; p.Name != "" {
				r.print("pool", []any{"pool", p.Name, "hosts", p.Hosts, "ready", p.Ready, "leaving", p.IsEnding}, &p.Counters)
			}
		}
	}
}

// rejecter is a client, of either frontend, that can be rejected.
type rejecter interface {
	Reject(why dispatch.Verdict, retryAfter time.Duration)
}

// reminder is what a frontend gave SetReminder as its token.
type reminder interface{ Due() }

func (r *Router) print(what string, args []any, c *dispatch.Counters) {
	var legs []any
	for result := policy.ResultOK; result <= policy.ResultMoot; result++ {
		if n := c.Outcomes[result]; n > 0 {
			legs = append(legs, slog.Int(trace.Result(result).String(), n))
		}
	}
	r.log.Info(what, append(args, "taken", c.Received, "declined", c.RejectedBeforeModule, "open", c.Open, "legs", c.Attempts,
		slog.Group("outcomes", legs...),
		slog.Group("answers", "served", c.Served, "broken", c.Broken, "refused", c.Rejected, "failed", c.Failed, "gone", c.ClientsLeft),
		"probes", c.Probes, "lists", c.Lists, "list_lines", c.ListEntries)...)
	if c.Traces != nil {
		r.log.Info("traces", r.traces.account(c.Traces)...)
	}
}

// Signals are what the outside asks of a running router.
type Signals struct {
	Stop   <-chan os.Signal // drain and return
	Audit  <-chan os.Signal // print the counters
	Reload <-chan os.Signal // read the configuration again
	// Reread makes the plan that is to follow the running one.
	Reread func(running *reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error)
}

// Serve runs the router until it is stopped and owes nothing more.
func (r *Router) Serve(sig Signals) error {
	runtime.GOMAXPROCS(r.cfg.Limits.Procs)
	debug.SetMemoryLimit(r.cfg.Limits.HeapBytes)
	if r.cfg.AdminAddr != "" {
		ln, err := net.Listen("tcp", r.cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		r.Admin(ln)
	}
	if err := r.claim(); err != nil {
		return err
	}
	return r.serve(r.listen, sig)
}

// ServeOn is Serve on a listener that is already open.
func (r *Router) ServeOn(ln net.Listener, sig Signals) error {
	return r.serve(func(context.Context, Signals) (net.Listener, error) { return ln, nil }, sig)
}

// serve runs the router. Its listener is opened once all else runs.
func (r *Router) serve(open func(context.Context, Signals) (net.Listener, error), sig Signals) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() { r.loop.Run(ctx); close(ended) }()
	if err := r.apply(ctx, r.first); err != nil {
		return err
	}
	served := make(chan error, 4)
	defer r.serveAdmin(served)()
	ln, err := open(ctx, sig)
	if err != nil || ln == nil {
		return err
	}
	defer func() { r.ops.door().Close() }()
	r.log.Info("serving", "listen", ln.Addr().String(), "known_hosts", len(r.cfg.InitialEndpoints.Hosts))
	r.ops.listening.Store(true)
	stopBatch := r.serveBatch(served)
	defer r.serveControl(served)()
	r.accept(ln, served)
	stopWatch := r.watchPlace(ctx, served)
	defer stopWatch()
	for {
		select {
		case err := <-served:
			return err
		case <-sig.Audit:
			r.loop.Post(dispatch.GetCounters{})
		case <-sig.Reload:
			r.reload(ctx, sig.Reread)
		case <-r.ops.dry:
			r.log.Info("nothing is left to do here, and the heir serves")
			r.end(ctx, stopBatch)
			cancel()
			<-ended
			return nil
		case <-sig.Stop:
			r.end(ctx, stopBatch)
			cancel()
			<-ended
			return nil
		}
	}
}

// end ends what runs, in order.
func (r *Router) end(ctx context.Context, stopBatch func()) {
	r.toEnd()
	if r.desk != nil {
		r.desk.Stop()
	}
	r.loop.Post(dispatch.StartDrain{})
	r.drain(ctx)
	stopBatch()
	r.upstream.Close()
	if r.traces != nil {
		r.loop.Post(dispatch.FlushTraces{})
		r.loop.WaitIdle(ctx) // the loop has come past it
		r.traces.close()
	}
	r.loop.Post(dispatch.GetCounters{})
	r.loop.WaitIdle(ctx) // the loop has come past the audit
}

// drain ends a router in order. Connections keep arriving for a while after SIGTERM, so that the listener
// outlives it; what is open on others is closed with its answer, and nothing that was taken is left behind.
func (r *Router) drain(ctx context.Context) {
	r.log.Info("draining")
	began := time.Now()
	r.front.Drain()
	if !r.ops.yielded.Load() { // else the heir listens, and what was idle here has had its time
		time.Sleep(r.cfg.Limits.DrainIdleDelay)
		r.front.CloseIdle()
		time.Sleep(r.cfg.Limits.DrainListenerDelay - time.Since(began))
	}
	r.ops.door().Close()
	r.front.CloseIdle()
	r.loop.WaitIdle(ctx)
	r.front.CloseIdle()
	r.front.Wait(ctx)
}
