package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/dialect"
	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/retrybudget"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// The walk of request attempts runs the program's frontend, dispatcher, policy module and upstream transport over connections in
// memory that never block. Wherever the router waits for an engine, the walk picks the next event: a part of a response, the
// response to another request, a reset, silence until the deadline, a client that disconnects, another client's request, a
// drain, or a crash of the router. Each walk has two requests, mostly on the same connections, and a third one with a normal
// response, which shows whether the first two have left the router in a wrong state.

// choiceEnumerator enumerates every sequence of choices, depth first. Each run makes as many choices as it needs.
type choiceEnumerator struct {
	chosen, optionCounts []int // of each choice of the current run
	depth                int   // number of choices made in the current run
}

// pick returns the choice of the current run among n options.
func (e *choiceEnumerator) pick(n int) int {
	if e.depth == len(e.chosen) {
		e.chosen, e.optionCounts = append(e.chosen, 0), append(e.optionCounts, n)
	}
	e.depth++
	return e.chosen[e.depth-1]
}

// advance starts the next sequence, and returns false if there is none.
func (e *choiceEnumerator) advance() bool {
	e.depth = 0
	for i := len(e.chosen) - 1; i >= 0; i-- {
		if e.chosen[i]+1 < e.optionCounts[i] {
			e.chosen[i]++
			e.chosen, e.optionCounts = e.chosen[:i+1], e.optionCounts[:i+1]
			return true
		}
	}
	return false
}

// brokenRules selects rules of the router that a walk breaks on purpose; each must be detected.
type brokenRules struct {
	acceptsAnyResponse bool // any response is taken for that of the waiting request
	hidesTruncation    bool // a truncated response is finished as a complete one
	retriesEverything  bool // non-idempotent requests are treated as idempotent
	claimsNotExecuted  bool // a rejection says that the request was not executed, even if it may have been
	skipsIdleCheck     bool // a connection is reused without a check for unread bytes
	ignoresRetryBudget bool // retries are not limited by the retry budget
}

// clientRequest is a request with its attempts and its response.
type clientRequest struct {
	id, path        string
	isNonIdempotent bool // it must not be executed twice
	client          *clientConn
	deliveries      []*delivery
	responses       []string // complete, successful responses of engines: seal and body
	received        []byte   // by the client
	clientLeft      bool     // the client has disconnected
	isConnClosed    bool     // the router has closed the client's connection
}

// delivery is the arrival of a request, or a part of it, at an engine.
type delivery struct {
	isNotExecuted bool // the engine has responded that it did not execute the request
	isLost        bool // it was sent on a connection that the engine no longer had open
	at            time.Duration
}

// routerWalk is one run of a router with one or two engines and a few clients.
type routerWalk struct {
	brokenRules
	pick              func(n int) int
	limitsRetryEvents bool // see attemptBounds
	cutsEveryByte     bool // see attemptBounds
	now               time.Duration
	dispatcher        *dispatch.Dispatcher
	upstream          *upstream.Transport
	frontend          *frontend.Server
	events            []dispatch.Event
	isReducing        bool
	rejections        []dispatch.Reject
	attempts          []func() // started, but not yet run
	requests          []*clientRequest
	clients           []*clientConn
	engineConns       []*engineConn // connections to engines
	maxRetries        int           // allowance of the retry budget
	externalEvents    int           // number of external events that may still occur
	isDraining        bool
	hasCrashed        bool
	secondKind        string   // kind of the second request
	whenIdle          []func() // bytes that arrive on idle connections
	respondsNormally  bool     // engines send complete, correct responses from now on
	steps             []string // what has happened, for the report of a violation
	violation         string   // "" = none
}

func newRouterWalk(pick func(int) int, rules brokenRules, engines, maxRetries int) *routerWalk {
	r := &routerWalk{brokenRules: rules, pick: pick, now: time.Hour, externalEvents: 2, maxRetries: maxRetries}
	lim := limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 184, Sockets: 1024})
	lim.ResponseHeadBytes, lim.RequestHeadBytes, lim.ControlReadBytes = 2<<10, 1<<10, 1<<10 // enough for the messages of this walk
	clock := func() time.Duration { return r.now }
	c := &fleetconfig.Config{Revision: 1, Services: []fleetconfig.Service{{Name: "s"}}}
	for _, kind := range requestKinds {
		c.Routes = append(c.Routes, fleetconfig.Route{
			Name: kind, Hostname: "h", PathPrefix: "/" + kind + "/", Type: fleetconfig.RouteType(kind), TimeoutMS: 5000, TargetLatencyMS: 1000, TargetService: "s", MaxAttempts: 3, Public: true,
		})
	}
	next := hoststate.PoolID(1)
	compiled := dialect.Compile(c, dialect.CompileOptions{LogIndex: 1, NextPool: &next})
	service := compiled.Services()["s"]
	classes := slices.Clone(service.Classes)
	for i := range classes {
		if r.retriesEverything {
			classes[i].Effect = policy.EffectSafe
		}
	}
	module, err := policy.New(dialect.PolicySettings(classes, time.Second, lim.MaxAttempts), 1)
	if err != nil {
		r.violation = err.Error()
		return r
	}
	r.dispatcher = dispatch.New(lim)
	r.upstream = upstream.New(upstream.Config{
		Limits: lim, Post: r.post, Now: clock, Dial: r.dial, Dialect: upstreamDialect{acceptsAnyResponse: r.acceptsAnyResponse}, Go: func(f func()) { r.attempts = append(r.attempts, f) },
	})
	r.frontend = frontend.New(frontend.Options{
		Limits: lim, Post: r.post, Now: clock, IsReady: func() bool { return true }, Directory: func() *directory.Directory { return nil },
		Dialect: frontendDialect{&dialect.Frontend{
			Config: func() *dialect.CompiledConfig { return compiled }, SplitKey: func() uint64 { return 1 }, Clock: clock,
		}, r.claimsNotExecuted},
	})
	pool := dispatch.ConfigurePool{Pool: service.ID, Name: "s", Module: module, SlowStart: dialect.SlowStart, SlowStartInitial: dialect.SlowStartInitial, MaxAttempts: lim.MaxAttempts}
	if !r.ignoresRetryBudget {
		pool.RetryBudget = &retrybudget.Budget{Allowance: float64(r.maxRetries), Window: 10 * time.Second}
	}
	r.post(pool)
	endpoints := dispatch.EndpointsListed{Pool: service.ID, Kind: policy.ListFull}
	for i := range engines {
		name := fmt.Sprint("i-", i)
		endpoints.Hosts = append(endpoints.Hosts, dispatch.Host{Name: name, Addr: name, Weight: 1})
	}
	r.post(endpoints)
	return r
}

// The route types, as used in paths.
const (
	routeIdempotent    = string(fleetconfig.RouteIdempotent)
	routeNonIdempotent = string(fleetconfig.RouteNonIdempotent)
	routeStreaming     = string(fleetconfig.RouteStreaming)
)

var requestKinds = []string{routeNonIdempotent, routeStreaming, routeIdempotent}

// upstreamDialect is the program's dialect.Upstream, except where acceptsAnyResponse breaks a rule.
type upstreamDialect struct {
	dialect.Upstream
	acceptsAnyResponse bool
}

func (d upstreamDialect) MatchResponse(o *upstream.Request, resp *http.Response) upstream.ResponseMatch {
	if d.acceptsAnyResponse {
		return upstream.MatchThisRequest
	}
	return d.Upstream.MatchResponse(o, resp)
}

// frontendDialect is the program's dialect.Frontend, except where claimsNotExecuted breaks a rule.
type frontendDialect struct {
	*dialect.Frontend
	claimsNotExecuted bool
}

func (d frontendDialect) Reject(m *frontend.Request, why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *frontend.ErrorResponse) (
	*frontend.Rejection, *frontend.ErrorResponse,
) {
	return d.Frontend.Reject(m, why, retryAfter, mayHaveRun && !d.claimsNotExecuted, kept)
}

// downstream is the interface between a client's request and its attempts.
type downstream interface {
	upstream.Downstream
	upstream.HeadObserver
	upstream.ErrorResponseReader
}

// completeFinisher finishes every response as a complete one.
type completeFinisher struct{ downstream }

func (f completeFinisher) Finish(bool) error { return f.downstream.Finish(true) }

// post passes an event to the dispatcher and carries out the effects. Events posted meanwhile are queued.
func (r *routerWalk) post(e dispatch.Event) {
	if d, ok := e.(dispatch.ClientLeft); ok {
		if f, ok := d.Client.(completeFinisher); ok {
			d.Client = f.downstream
			e = d
		}
	}
	r.events = append(r.events, e)
	if r.isReducing {
		return
	}
	r.isReducing = true
	for len(r.events) > 0 {
		e := r.events[0]
		r.events = r.events[1:]
		for _, f := range slices.Clone(r.dispatcher.Reduce(r.now, e)) {
			r.perform(f)
		}
	}
	r.isReducing = false
	for len(r.rejections) > 0 {
		d := r.rejections[0]
		r.rejections = r.rejections[1:]
		d.Client.(interface {
			RejectAfterAttempts(dispatch.Verdict, time.Duration, bool)
		}).RejectAfterAttempts(d.Verdict, d.RetryAfter, d.MayHaveRun)
	}
}

func (r *routerWalk) perform(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.StartAttempt:
		if r.hidesTruncation {
			e.Client = completeFinisher{e.Client.(downstream)}
		}
		r.upstream.StartAttempt(e)
	case dispatch.Reject:
		r.rejections = append(r.rejections, e)
	default:
		r.upstream.Perform(e)
	}
}

// runAttempts runs all started attempts.
func (r *routerWalk) runAttempts() {
	for len(r.attempts) > 0 {
		f := r.attempts[0]
		r.attempts = r.attempts[1:]
		f()
	}
}

// logStep records a step for the report of a violation.
func (r *routerWalk) logStep(format string, args ...any) {
	r.steps = append(r.steps, fmt.Sprintf(format, args...))
}

// violate records a violation with the steps that led to it, if it is the first one.
func (r *routerWalk) violate(format string, args ...any) {
	if r.violation == "" {
		r.violation = fmt.Sprintf(format, args...) + ": " + strings.Join(r.steps, "; ")
	}
}
