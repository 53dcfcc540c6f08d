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

// A walk over every order of events on the legs of a router: the front, the broker, the module and the issuer's reading are the
// program's own, over connections in memory on which nothing waits. Wherever the router waits for an engine, the walk picks
// what comes next: part of an answer, one of another request, a reset, silence until the deadline, a client that goes, another
// client's request, a drain, the router's end. Two requests, mostly on one connection to the engine and one from the client,
// then a third that is answered as it should be, to see what the two have left behind.

// odometer goes through every sequence of choices; each life asks for as many as it needs.
type odometer struct {
	at, of []int
	next   int
}

func (o *odometer) pick(n int) int {
	if o.next == len(o.at) {
		o.at, o.of = append(o.at, 0), append(o.of, n)
	}
	o.next++
	return o.at[o.next-1]
}

// turn goes on to the next sequence, and tells whether there is one.
func (o *odometer) turn() bool {
	o.next = 0
	for i := len(o.at) - 1; i >= 0; i-- {
		if o.at[i]+1 < o.of[i] {
			o.at[i]++
			o.at, o.of = o.at[:i+1], o.of[:i+1]
			return true
		}
	}
	return false
}

// slips are rules that are broken on purpose, each of which must be found.
type slips struct {
	blind    bool // an answer is taken for that of whoever waits
	whole    bool // an answer that ended early is ended as a whole one
	safe     bool // what may not be repeated counts as what may
	promises bool // a refusal says that nothing has run, whatever has
	unseen   bool // a line is used again without a look at it
	lavish   bool // there is no budget for repeats
}

// asked is a request and what came of it.
type asked struct {
	id, path string
	once     bool // it may not be repeated
	from     *caller
	arrivals []*arrival
	answers  []string // that engines have given it whole and with success: seal and body
	got      []byte   // what its client was sent
	gone     bool     // its client went away
	ended    bool     // its connection ended with it
}

// arrival is a request's visit at an engine: some of it has been sent.
type arrival struct {
	refused bool // the engine has said that it has not run it
	lost    bool // it was sent on a connection that the engine had forgotten
	at      time.Duration
}

// router is one life of a router with two engines and a few clients.
type router struct {
	slips
	pick     func(n int) int
	short    bool // fewer kinds of second attempts
	fine     bool // answers are cut at every byte, and the second request is answered plainly
	now      time.Duration
	broker   *dispatch.Dispatcher
	upstream *upstream.Transport
	front    *frontend.Server
	events   []dispatch.Event
	pumping  bool
	closing  []dispatch.Reject
	legs     []func()
	asked    []*asked
	callers  []*caller
	engines  []*visit // connections to them
	repeats  int      // the budget of a life
	outside  int      // events from outside that may still come
	drains   bool
	dead     bool
	second   string   // the kind of the second request
	resting  []func() // what comes on lines at rest
	plain    bool     // engines answer as they should from now on
	story    []string
	wrong    string
}

func newRouter(pick func(int) int, breaks slips, engines, repeats int) *router {
	r := &router{slips: breaks, pick: pick, now: time.Hour, outside: 2, repeats: repeats}
	lim := limits.NewFleetRouter(limits.Machine{Cores: 1, MemoryMB: 184, Sockets: 1024})
	lim.ResponseHeadBytes, lim.RequestHeadBytes, lim.ControlReadBytes = 2<<10, 1<<10, 1<<10 // as much as is sent here
	clock := func() time.Duration { return r.now }
	c := &fleetconfig.Config{Revision: 1, Services: []fleetconfig.Service{{Name: "s"}}}
	for _, kind := range legKinds {
		c.Routes = append(c.Routes, fleetconfig.Route{
			Name: kind, Hostname: "h", PathPrefix: "/" + kind + "/", Type: fleetconfig.RouteType(kind), TimeoutMS: 5000, TargetLatencyMS: 1000, TargetService: "s", MaxAttempts: 3, Public: true,
		})
	}
	next := hoststate.PoolID(1)
	at, err := dialect.Compile(c, dialect.CompileOptions{LogIndex: 1, NextPool: &next})
	if err != nil {
		r.wrong = err.Error()
		return r
	}
	s := at.Services()["s"]
	classes := slices.Clone(s.Classes)
	for i := range classes {
		if r.safe {
			classes[i].Effect = policy.EffectSafe
		}
	}
	m, err := policy.New(dialect.PolicySettings(classes, time.Second, lim.MaxAttempts), 1)
	if err != nil {
		r.wrong = err.Error()
		return r
	}
	r.broker = dispatch.New(lim)
	r.upstream = upstream.New(upstream.Config{
		Limits: lim, Post: r.post, Now: clock, Dial: r.dial, Dialect: legDialect{blind: r.blind}, Go: func(f func()) { r.legs = append(r.legs, f) },
	})
	r.front = frontend.New(frontend.Options{
		Limits: lim, Post: r.post, Now: clock, IsReady: func() bool { return true }, Directory: func() *directory.Directory { return nil },
		Dialect: frontDialect{&dialect.Frontend{
			Config: func() *dialect.CompiledConfig { return at }, SplitKey: func() uint64 { return 1 }, Clock: clock,
		}, r.promises},
	})
	set := dispatch.ConfigurePool{Pool: s.ID, Name: "s", Module: m, SlowStart: dialect.SlowStart, SlowStartInitial: dialect.SlowStartInitial, MaxAttempts: lim.MaxAttempts}
	if !r.lavish {
		set.RetryBudget = &retrybudget.Budget{Allowance: float64(r.repeats), Window: 10 * time.Second}
	}
	r.post(set)
	l := dispatch.EndpointsListed{Pool: s.ID, Kind: policy.ListFull}
	for i := range engines {
		name := fmt.Sprint("i-", i)
		l.Hosts = append(l.Hosts, dispatch.Host{Name: name, Addr: name, Weight: 1})
	}
	r.post(l)
	return r
}

// The route types as they stand in paths and in the names of walks.
const (
	routeIdempotent    = string(fleetconfig.RouteIdempotent)
	routeNonIdempotent = string(fleetconfig.RouteNonIdempotent)
	routeStreaming     = string(fleetconfig.RouteStreaming)
)

var legKinds = []string{routeNonIdempotent, routeStreaming, routeIdempotent}

// legDialect is the legs' own, but for a rule that may be broken.
type legDialect struct {
	dialect.Upstream
	blind bool
}

func (d legDialect) MatchResponse(o *upstream.Request, resp *http.Response) upstream.ResponseMatch {
	if d.blind {
		return upstream.MatchThisRequest
	}
	return d.Upstream.MatchResponse(o, resp)
}

// frontDialect is the front's own, but for a rule that may be broken.
type frontDialect struct {
	*dialect.Frontend
	promises bool
}

func (d frontDialect) Reject(m *frontend.Request, why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *frontend.ErrorResponse) (
	*frontend.Rejection, *frontend.ErrorResponse,
) {
	return d.Frontend.Reject(m, why, retryAfter, mayHaveRun && !d.promises, kept)
}

// customer is all that an authorisation is to a leg.
type customer interface {
	upstream.Downstream
	upstream.HeadObserver
	upstream.ErrorResponseReader
}

// finisher ends every answer as a whole one.
type finisher struct{ customer }

func (f finisher) Finish(bool) error { return f.customer.Finish(true) }

// post reduces an event, and has done what follows from it.
func (r *router) post(e dispatch.Event) {
	if d, ok := e.(dispatch.ClientLeft); ok {
		if f, ok := d.Client.(finisher); ok {
			d.Client = f.customer
			e = d
		}
	}
	r.events = append(r.events, e)
	if r.pumping {
		return
	}
	r.pumping = true
	for len(r.events) > 0 {
		e := r.events[0]
		r.events = r.events[1:]
		for _, f := range slices.Clone(r.broker.Reduce(r.now, e)) {
			r.perform(f)
		}
	}
	r.pumping = false
	for len(r.closing) > 0 {
		d := r.closing[0]
		r.closing = r.closing[1:]
		d.Client.(interface {
			RejectAfterAttempts(dispatch.Verdict, time.Duration, bool)
		}).RejectAfterAttempts(d.Verdict, d.RetryAfter, d.MayHaveRun)
	}
}

func (r *router) perform(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.StartAttempt:
		if r.whole {
			e.Client = finisher{e.Client.(customer)}
		}
		r.upstream.StartAttempt(e)
	case dispatch.Reject:
		r.closing = append(r.closing, e)
	default:
		r.upstream.Perform(e)
	}
}

// run runs all legs that are to begin.
func (r *router) run() {
	for len(r.legs) > 0 {
		f := r.legs[0]
		r.legs = r.legs[1:]
		f()
	}
}

func (r *router) tell(format string, args ...any) {
	r.story = append(r.story, fmt.Sprintf(format, args...))
}

func (r *router) fault(format string, args ...any) {
	if r.wrong == "" {
		r.wrong = fmt.Sprintf(format, args...) + ": " + strings.Join(r.story, "; ")
	}
}
