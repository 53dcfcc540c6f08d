// Package router assembles the frontends, the dispatcher, the upstream transport and the endpoint list feeds of a router
// process, applies configuration plans, and runs the process until it is stopped or replaced.
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

// Router runs all components of a router process.
type Router struct {
	cfg             *platformconfig.Config
	log             *slog.Logger
	dial            Dialer
	dispatcher      *dispatch.Dispatcher
	loop            *dispatch.Loop
	upstream        *upstream.Transport
	frontend        *frontend.Server
	directory       atomic.Pointer[directory.Directory]
	ready           atomic.Bool
	batch           *batch.Service // nil if the batch API is disabled
	batchListener   net.Listener
	controlListener net.Listener // nil if disabled
	traces          *traces      // nil if tracing is disabled
	lifecycle       lifecycle

	applying sync.Mutex      // serializes changes of the plan and removals of pools
	plan     *reconcile.Plan // the running plan; nil before Serve

	generation  atomic.Int64    // number of plans applied
	initialPlan *reconcile.Plan // applied at the start
	mu          sync.Mutex      // guards feeds and poolFeeds; not held while an event is posted, since the loop acquires it
	feeds       map[string]*listwatch.Feed
	poolFeeds   map[hoststate.PoolID]*listwatch.Feed
}

// Dialer opens a connection to an address, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a router for a configuration and its first plan.
func New(cfg *platformconfig.Config, p *reconcile.Plan, log *slog.Logger, dial Dialer, clock dispatch.Clock) *Router {
	r := &Router{
		cfg: cfg, log: log, dial: dial, dispatcher: dispatch.New(cfg.Limits), initialPlan: p,
		feeds: map[string]*listwatch.Feed{}, poolFeeds: map[hoststate.PoolID]*listwatch.Feed{},
		lifecycle: lifecycle{listReceived: make(chan struct{}), handoverDone: make(chan struct{})},
	}
	r.directory.Store(p.Directory)
	r.loop = dispatch.NewLoop(r.dispatcher, clock, r.perform)
	r.upstream = upstream.New(upstream.Config{Limits: cfg.Limits, Post: r.loop.Post, Now: r.loop.Now, Dial: dial})
	r.frontend = frontend.New(frontend.Options{
		Limits: cfg.Limits, Directory: r.directory.Load, Post: r.loop.Post, Now: r.loop.Now, IsReady: r.ready.Load,
	})
	return r
}

// EnableBatch enables the batch API on a listener. It must be called before Serve.
func (r *Router) EnableBatch(cfg *batch.Config, ln net.Listener) error {
	service, err := batch.New(batch.Options{
		Config: cfg, Limits: r.cfg.Limits, Directory: r.directory.Load, Post: r.loop.Post, Now: r.loop.Now, Log: r.log,
		IsTracing: r.traces != nil,
	})
	r.batch, r.batchListener = service, ln
	return err
}

// serveBatch serves the batch API, if it is enabled, and returns a function that stops it.
func (r *Router) serveBatch(serverErrors chan<- error) (stop func()) {
	if r.batch == nil {
		return func() {}
	}
	halt := make(chan struct{})
	go r.batch.Run(halt)
	lim := r.cfg.Limits
	server := &http.Server{
		Handler: r.batch.Handler(), ReadHeaderTimeout: lim.RequestReadTimeout, IdleTimeout: lim.BatchIdleTimeout, MaxHeaderBytes: lim.RequestHeadBytes,
	}
	go func() {
		if err := server.Serve(netutil.LimitListener(r.batchListener, lim.BatchConns)); !errors.Is(err, http.ErrServerClosed) {
			serverErrors <- err
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), lim.BatchDrainTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			server.Close() // event streams stay open as long as their batch; clients reconnect
		}
		close(halt)
		r.batch.Close()
	}
}

// postEndpoints posts an update of an endpoint list to the loop. The first update with a host makes the router ready.
func (r *Router) postEndpoints(e dispatch.Event) {
	if l, ok := e.(dispatch.EndpointsListed); ok && len(l.Hosts) > 0 {
		r.ready.Store(true)
	}
	if l, ok := e.(dispatch.EndpointsListed); ok && l.Kind != policy.ListCached && l.Kind != policy.ListFailed {
		r.lifecycle.markListReceived()
	}
	r.loop.Post(e)
}

// perform passes an effect of the dispatcher to the component that executes it. It does not block.
func (r *Router) perform(e dispatch.Effect) {
	if r.upstream.Perform(e) {
		return
	}
	switch e := e.(type) {
	case dispatch.ExportTrace:
		r.traces.put(e.Trace)
	case dispatch.Reject:
		go e.Client.(rejecter).Reject(e.Verdict, e.RetryAfter)
	case dispatch.ReminderDue:
		go e.Token.(reminder).Due()
	case dispatch.WatchEndpoints:
		if f := r.feed(e.Pool); f != nil {
			f.RequestWatch(e.Pool)
		}
	case dispatch.PoolEnded:
		go r.removePool(e.Pool)
	case dispatch.Log:
		if e.Pool != "" {
			r.log.Info(e.Message, "pool", e.Pool)
		} else {
			r.log.Info(e.Message)
		}
	case dispatch.Snapshots:
		e.ReplyTo.(chan map[string]*policy.Snapshot) <- e.Pools // buffered
	case dispatch.CountersReport:
		if to, ok := e.ReplyTo.(chan dispatch.CountersReport); ok {
			to <- e // buffered
			return
		}
		r.logCounters("counters", nil, &e.Counters)
		for i := range e.Pools {
			if p := &e.Pools[i]; p.Name != "" {
				r.logCounters("pool", []any{"pool", p.Name, "hosts", p.Hosts, "ready", p.Ready, "leaving", p.IsEnding}, &p.Counters)
			}
		}
	}
}

// rejecter is a client of either frontend whose request can be rejected.
type rejecter interface {
	Reject(why dispatch.Verdict, retryAfter time.Duration)
}

// reminder is the token that a frontend passes in SetReminder.
type reminder interface{ Due() }

func (r *Router) logCounters(message string, args []any, c *dispatch.Counters) {
	var results []any
	for result := policy.ResultOK; result <= policy.ResultNotSent; result++ {
		if n := c.Outcomes[result]; n > 0 {
			results = append(results, slog.Int(trace.Result(result).String(), n))
		}
	}
	r.log.Info(message, append(args, "taken", c.Received, "declined", c.RejectedBeforeModule, "open", c.Open, "legs", c.Attempts,
		slog.Group("outcomes", results...),
		slog.Group("answers", "served", c.Served, "broken", c.Broken, "refused", c.Rejected, "failed", c.Failed, "gone", c.ClientsLeft),
		"probes", c.Probes, "lists", c.Lists, "list_lines", c.ListEntries)...)
	if c.Traces != nil {
		r.log.Info("traces", r.traces.counterArgs(c.Traces)...)
	}
}

// Signals are the channels on which a running router receives process signals.
type Signals struct {
	Stop          <-chan os.Signal // shut down gracefully and return
	PrintCounters <-chan os.Signal // log the counters
	Reload        <-chan os.Signal // load and apply the configuration again
	// LoadPlan loads the configuration and returns it with the plan that follows the running one.
	LoadPlan func(running *reconcile.Plan) (*platformconfig.Config, *reconcile.Plan, error)
}

// Serve runs the router until it is stopped and has answered every accepted request, or until a successor has taken over.
func (r *Router) Serve(sig Signals) error {
	runtime.GOMAXPROCS(r.cfg.Limits.Procs)
	debug.SetMemoryLimit(r.cfg.Limits.HeapBytes)
	if r.cfg.AdminAddr != "" {
		ln, err := net.Listen("tcp", r.cfg.AdminAddr)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		r.EnableAdmin(ln)
	}
	if err := r.claimAddress(); err != nil {
		return err
	}
	return r.serve(r.listen, sig)
}

// ServeOn is like Serve, on an open listener. It sets no limits of the process, opens no admin listener and claims no address.
func (r *Router) ServeOn(ln net.Listener, sig Signals) error {
	return r.serve(func(context.Context, Signals) (net.Listener, error) { return ln, nil }, sig)
}

// serve runs the router. It calls open for the listener of clients once the event loop and the admin API run and the initial plan is
// applied.
func (r *Router) serve(open func(context.Context, Signals) (net.Listener, error), sig Signals) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loopDone := make(chan struct{})
	go func() { r.loop.Run(ctx); close(loopDone) }()
	if err := r.apply(ctx, r.initialPlan); err != nil {
		return err
	}
	serverErrors := make(chan error, 4)
	defer r.serveAdmin(serverErrors)()
	ln, err := open(ctx, sig)
	if err != nil || ln == nil {
		return err
	}
	defer func() { r.lifecycle.clientListener().Close() }()
	r.log.Info("serving", "listen", ln.Addr().String(), "known_hosts", len(r.cfg.InitialEndpoints.Hosts))
	r.lifecycle.listening.Store(true)
	stopBatch := r.serveBatch(serverErrors)
	defer r.serveControl(serverErrors)()
	r.accept(ln, serverErrors)
	stopWatching := r.watchClaim(ctx, serverErrors)
	defer stopWatching()
	for {
		select {
		case err := <-serverErrors:
			return err
		case <-sig.PrintCounters:
			r.loop.Post(dispatch.GetCounters{})
		case <-sig.Reload:
			r.reload(ctx, sig.LoadPlan)
		case <-r.lifecycle.handoverDone:
			r.log.Info("all connections are closed; the successor serves")
			r.shutDown(ctx, stopBatch)
			cancel()
			<-loopDone
			return nil
		case <-sig.Stop:
			r.shutDown(ctx, stopBatch)
			cancel()
			<-loopDone
			return nil
		}
	}
}

// shutDown stops all components in order: batch jobs, requests in flight, upstream connections, traces.
func (r *Router) shutDown(ctx context.Context, stopBatch func()) {
	r.markStopping()
	if r.batch != nil {
		r.batch.Stop()
	}
	r.loop.Post(dispatch.StartDrain{})
	r.drain(ctx)
	stopBatch()
	r.upstream.Close()
	if r.traces != nil {
		r.loop.Post(dispatch.FlushTraces{})
		r.loop.WaitIdle(ctx) // the loop has processed FlushTraces
		r.traces.close()
	}
	r.loop.Post(dispatch.GetCounters{})
	r.loop.WaitIdle(ctx) // the loop has processed GetCounters
}

// drain closes the client connections and waits for the requests in flight. The listener stays open for DrainListenerDelay,
// since the load balancer opens connections for a while after SIGTERM. Every accepted request is answered.
func (r *Router) drain(ctx context.Context) {
	r.log.Info("draining")
	start := time.Now()
	r.frontend.Drain()
	if !r.lifecycle.handedOver.Load() { // after a handover the successor listens, and idle connections have had time to close
		time.Sleep(r.cfg.Limits.DrainIdleDelay)
		r.frontend.CloseIdle()
		time.Sleep(r.cfg.Limits.DrainListenerDelay - time.Since(start))
	}
	r.lifecycle.clientListener().Close()
	r.frontend.CloseIdle()
	r.loop.WaitIdle(ctx)
	r.frontend.CloseIdle()
	r.frontend.Wait(ctx)
}
