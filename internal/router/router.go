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
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"notchhinge/internal/acquirer"
	"notchhinge/internal/batch"
	"notchhinge/internal/broker"
	"notchhinge/internal/config"
	"notchhinge/internal/issuer"
	"notchhinge/internal/registry"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Router is one program's worth of parts.
type Router struct {
	cfg    *config.Config
	log    *slog.Logger
	broker *broker.Broker
	loop   *broker.Loop
	issuer *issuer.Client
	list   *registry.Client
	front  *acquirer.Server
	asked  chan struct{}
	ready  atomic.Bool
	desk   *batch.Desk // nil where the batch front is off
	door   net.Listener
	traces *traces // nil where nothing is traced
}

// Dialer opens connections.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// New makes a router out of its configuration.
func New(cfg *config.Config, log *slog.Logger, dial Dialer, clock broker.Clock) (*Router, error) {
	b, err := broker.New(cfg.Settings, cfg.Seed, cfg.Limits)
	if err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, log: log, broker: b, asked: make(chan struct{}, 1)}
	r.loop = broker.NewLoop(b, clock, r.perform)
	r.issuer = issuer.New(issuer.Config{
		Lim: cfg.Limits, Columns: cfg.Columns, Stats: len(cfg.Columns) > 0, Piggyback: cfg.Piggyback,
		Post: r.loop.Post, Now: r.loop.Now, Dial: dial,
	})
	r.list = registry.New(registry.Client{Addr: cfg.Discovery, Zones: cfg.Zones, Lim: cfg.Limits, Post: r.listed, Dial: dial})
	classes := map[string]int{}
	for i, c := range cfg.Settings.Classes {
		classes[c.Name] = i
	}
	r.front = &acquirer.Server{
		Lim: cfg.Limits, Classes: classes, Post: r.loop.Post, Now: r.loop.Now, Ready: r.ready.Load,
	}
	return r, nil
}

// Batch turns the second front on, at a listener.
func (r *Router) Batch(cfg *batch.Config, ln net.Listener) error {
	desk, err := batch.NewDesk(batch.Options{
		Config: cfg, Lim: r.cfg.Limits, Classes: r.cfg.Settings.Classes, Post: r.loop.Post, Now: r.loop.Now, Log: r.log,
		Trace: r.traces != nil,
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
		Handler: r.desk.Handler(), ReadHeaderTimeout: lim.MessageWait, IdleTimeout: lim.APIIdle, MaxHeaderBytes: lim.HeadBytes,
	}
	go func() {
		if err := web.Serve(netutil.LimitListener(r.door, lim.BatchConns)); !errors.Is(err, http.ErrServerClosed) {
			served <- err
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), lim.BatchDrain)
		defer cancel()
		if web.Shutdown(ctx) != nil {
			web.Close() // feeds stay open as long as their batch; their clients take them up again
		}
		close(halt)
		r.desk.Close()
	}
}

// listed passes news of the list on; with the first host the router is ready.
func (r *Router) listed(e broker.Event) {
	if l, ok := e.(broker.Listed); ok && len(l.Hosts) > 0 {
		r.ready.Store(true)
	}
	r.loop.Post(e)
}

// perform has an effect done by its owner. It does not wait.
func (r *Router) perform(e broker.Effect) {
	switch e := e.(type) {
	case broker.SendLeg:
		r.issuer.Send(e)
	case broker.SendTraced:
		r.issuer.SendTraced(e)
	case broker.Keep:
		r.traces.keep(e.Try)
	case broker.Bind:
		r.issuer.Bind(e.Leg)
	case broker.DropLeg:
		r.issuer.Drop(e.Leg)
	case broker.HangUp:
		r.issuer.HangUp(e.Line)
	case broker.Probe:
		r.issuer.Probe(e)
	case broker.Decline:
		go e.To.(decliner).Decline(e.Why, e.RetryAfter)
	case broker.Reminded:
		go e.Of.(reminder).Due()
	case broker.Watch:
		select {
		case r.asked <- struct{}{}:
		default: // asked already
		}
	case broker.Log:
		r.log.Info(e.Line)
	case broker.Counted:
		r.print(e.Counters)
	}
}

// decliner is what every acquirer is, whatever its front.
type decliner interface {
	Decline(why broker.Verdict, retryAfter time.Duration)
}

// reminder is what a front has itself reminded of.
type reminder interface{ Due() }

func (r *Router) print(c broker.Counters) {
	var legs []any
	for result := policy.OK; result <= policy.Moot; result++ {
		if n := c.Outcomes[result]; n > 0 {
			legs = append(legs, slog.Int(trace.Result(result).String(), n))
		}
	}
	r.log.Info("counters", "taken", c.Taken, "declined", c.Declined, "open", c.Open, "legs", c.Legs,
		slog.Group("outcomes", legs...),
		slog.Group("answers", "served", c.Served, "broken", c.Broken, "refused", c.Refused, "failed", c.Failed, "gone", c.Gone),
		"probes", c.Probes, "lists", c.Lists, "list_lines", c.Lines)
	if c.Traces != nil {
		r.log.Info("traces", r.traces.account(c.Traces)...)
	}
}

// Signals are what the outside asks of a running router.
type Signals struct {
	Stop   <-chan os.Signal // drain and return
	Audit  <-chan os.Signal // print the counters
	Reload <-chan os.Signal // read the configuration again
	Reread func() (*config.Config, error)
}

// Serve runs the router until it is stopped and owes nothing more.
func (r *Router) Serve(sig Signals) error {
	runtime.GOMAXPROCS(r.cfg.Limits.Procs)
	debug.SetMemoryLimit(r.cfg.Limits.MemoryBytes)
	ln, err := net.Listen("tcp", r.cfg.Listen)
	if err != nil {
		return err
	}
	return r.ServeOn(ln, sig)
}

// ServeOn is Serve on a listener that is already open.
func (r *Router) ServeOn(ln net.Listener, sig Signals) error {
	defer ln.Close()
	known, err := r.cfg.Known.Entries(r.cfg.Zones)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() { r.loop.Run(ctx); close(ended) }()
	r.list.Known(r.cfg.Known)
	r.listed(broker.Listed{Kind: policy.ListCached, Hosts: known})
	go r.list.Run(ctx, r.asked)
	r.log.Info("serving", "listen", ln.Addr().String(), "known_hosts", len(known))
	served := make(chan error, 2)
	stopBatch := r.serveBatch(served)
	go func() { served <- r.front.Serve(ln) }()
	for {
		select {
		case err := <-served:
			return err
		case <-sig.Audit:
			r.loop.Post(broker.Audit{})
		case <-sig.Reload:
			r.reload(sig.Reread)
		case <-sig.Stop:
			if r.desk != nil {
				r.desk.Stop()
			}
			r.loop.Post(broker.Drain{})
			r.drain(ctx, ln)
			stopBatch()
			r.issuer.Close()
			if r.traces != nil {
				r.loop.Post(broker.Flush{})
				r.loop.Idle(ctx) // the loop has come past it
				r.traces.close()
			}
			r.loop.Post(broker.Audit{})
			r.loop.Idle(ctx) // the loop has come past the audit
			cancel()
			<-ended
			return nil
		}
	}
}

// reload takes over what a running router can: discovery's address. A configuration that is bad changes nothing.
func (r *Router) reload(reread func() (*config.Config, error)) {
	cfg, err := reread()
	if err != nil {
		r.log.Error("configuration not taken over", "err", err)
		return
	}
	moved := cfg.Discovery != r.cfg.Discovery
	if moved {
		r.cfg.Discovery = cfg.Discovery
		r.list.Move(cfg.Discovery)
	}
	r.log.Info("configuration read again", "discovery", cfg.Discovery, "moved", moved)
}

// drain ends a router in order. Connections keep arriving for a while after SIGTERM, so that the listener
// outlives it; what is open on others is closed with its answer, and nothing that was taken is left behind.
func (r *Router) drain(ctx context.Context, ln net.Listener) {
	r.log.Info("draining")
	began := time.Now()
	r.front.Drain()
	time.Sleep(r.cfg.Limits.DrainIdle)
	r.front.CloseIdle()
	time.Sleep(r.cfg.Limits.DrainListen - time.Since(began))
	ln.Close()
	r.front.CloseIdle()
	r.loop.Idle(ctx)
	r.front.CloseIdle()
	r.front.Wait(ctx)
}
