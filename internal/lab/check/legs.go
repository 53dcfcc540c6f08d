package check

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
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

// caller is a client's connection. The front serves it in a coroutine, which stops where it waits for the client.
type caller struct {
	net.Conn
	r      *router
	in     []byte
	err    error
	asks   *asked
	closed bool
	next   func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
}

func (r *router) call() *caller {
	c := &caller{r: r}
	c.next, c.stop = iter.Pull(func(yield func(struct{}) bool) {
		c.yield = yield
		r.front.ServeConn(c)
	})
	r.callers = append(r.callers, c)
	return c
}

func (c *caller) Read(p []byte) (int, error) {
	for len(c.in) == 0 && c.err == nil && !c.closed {
		if !c.yield(struct{}{}) {
			return 0, io.EOF
		}
	}
	if len(c.in) == 0 {
		if c.closed {
			return 0, net.ErrClosed
		}
		return 0, c.err
	}
	n := copy(p, c.in)
	c.in = c.in[n:]
	return n, nil
}

func (c *caller) Write(p []byte) (int, error) {
	if c.closed || c.err != nil {
		return 0, &net.OpError{Op: "write", Err: syscall.EPIPE}
	}
	if c.asks != nil && !c.r.dead {
		c.asks.got = append(c.asks.got, p...)
	}
	return len(p), nil
}

func (c *caller) Close() error {
	c.closed = true
	if c.asks != nil {
		c.asks.ended = true
	}
	return nil
}
func (*caller) SetReadDeadline(time.Time) error  { return nil }
func (*caller) SetWriteDeadline(time.Time) error { return nil }
func (*caller) SetDeadline(time.Time) error      { return nil }

// ask has a client send a request.
func (r *router) ask(c *caller, kind string) {
	q := &asked{id: fmt.Sprintf("r%04d", len(r.asked)), once: kind != routeIdempotent, path: "/" + kind + "/x", from: c}
	r.asked = append(r.asked, q)
	c.asks = q
	c.in = fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Remaining-Ms: 5000\r\nContent-Length: 9\r\n\r\nask %s", q.path, q.id, q.id)
	r.tell("%s %s", q.id, kind)
	c.next()
}

// leave has a client go away.
func (c *caller) leave() {
	c.err = io.EOF
	if c.asks != nil {
		c.asks.gone = true
	}
	c.next()
}

// visit is a connection to an engine.
type visit struct {
	net.Conn
	r      *router
	host   string
	out    []byte // what waits to be read
	rest   []byte // of an answer that has begun
	owed   []byte // it comes where the next answer is due
	err    error  // what a read ends with
	asks   *asked
	here   *arrival
	again  bool   // the request has been at an engine before
	mute   bool   // it says nothing more
	dirty  string // why it must not be used again
	after  string // dirty, once the rest has come
	forgot bool
	closed bool
}

var errReset = &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}

func (r *router) dial(_ context.Context, _, addr string) (net.Conn, error) {
	v := &visit{r: r, host: addr}
	r.engines = append(r.engines, v)
	return v, nil
}

func (*visit) SetReadDeadline(time.Time) error  { return nil }
func (*visit) SetWriteDeadline(time.Time) error { return nil }
func (*visit) SetDeadline(time.Time) error      { return nil }
func (v *visit) Close() error                   { v.closed = true; return nil }

// IsIdle implements upstream.IdleChecker.
func (v *visit) IsIdle() bool { return v.r.unseen || len(v.out) == 0 && v.err == nil }

// Write is a request on its way.
func (v *visit) Write(b []byte) (int, error) {
	r := v.r
	if v.closed || r.dead {
		return 0, net.ErrClosed
	}
	_, id, _ := bytes.Cut(b, []byte("X-Request-Id: "))
	id, _, _ = bytes.Cut(id, []byte("\r\n"))
	i := slices.IndexFunc(r.asked, func(q *asked) bool { return q.id == string(id) })
	if i < 0 {
		r.fault("%q is sent, which nobody asked", b)
		return len(b), nil
	}
	q := r.asked[i]
	if v.dirty != "" {
		r.fault("%s is sent on a line that is not clean (%s)", q.id, v.dirty)
	}
	v.asks, v.again, v.dirty = q, len(q.arrivals) > 0, "its answer has not come whole"
	arrives := func() {
		if q.once && slices.ContainsFunc(q.arrivals, func(a *arrival) bool { return !a.refused }) {
			r.fault("%s may not be repeated, and is sent again", q.id)
		}
		v.here = &arrival{lost: v.forgot, at: r.now}
		q.arrivals = append(q.arrivals, v.here)
	}
	if v.forgot {
		arrives()
		v.err = errReset
		r.tell("%s goes to %s on a forgotten line", q.id, v.host)
		return len(b), nil
	}
	how := 0
	if !r.plain && !v.again {
		how = r.pick(5)
	}
	part := []int{len(b), 0, 40, len(b) - 3, len(b) - 3}[how]
	r.tell("%s goes to %s: %s", q.id, v.host, []string{
		"whole", "reset before it", "reset within its head", "answered before its end and reset", "turned away before its end and reset",
	}[how])
	if how == 0 {
		arrives()
		return len(b), nil
	}
	v.err = errReset
	if how > 1 {
		arrives()
	}
	if how == 3 {
		v.out = v.answer(q, "")
	}
	if how == 4 {
		v.out = v.turns(q, "503 Service Unavailable", true)
	}
	return part, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

// Read gives what has come, or has the walk pick what comes next.
func (v *visit) Read(p []byte) (int, error) {
	for {
		switch {
		case v.closed, v.r.dead:
			return 0, net.ErrClosed
		case len(v.out) > 0:
			n := copy(p, v.out)
			v.out = v.out[n:]
			return n, nil
		case v.err != nil:
			return 0, v.err
		}
		v.moment()
	}
}

// answer is a whole answer to a request; head are headers beside the usual.
func (v *visit) answer(q *asked, head string) []byte {
	n := len(q.answers)
	seal := fmt.Sprintf("seal-%s-%d", q.id, n)
	body := fmt.Sprintf("id: 0\ndata: %s %d\n\nid: 1\ndata: end of %s\n\n", q.id, n, q.id)
	q.answers = append(q.answers, seal+" "+body)
	start := "HTTP/1.1 200 OK\r\nX-Response-Seal: " + seal + "\r\nX-Request-Id: " + q.id + "\r\nKeep-Alive: timeout=10\r\n" + head
	if strings.Contains(q.path, routeStreaming) {
		at := strings.Index(body, "\n\n") + 2
		return fmt.Appendf(nil, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", start, at, body[:at], len(body)-at, body[at:])
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", start, len(body), body)
}

// turns is an answer of another status.
func (v *visit) turns(q *asked, status string, notRun bool) []byte {
	head := ""
	if notRun {
		head = "X-Not-Executed: 1\r\n"
	}
	if v.here != nil && (notRun || strings.HasPrefix(status, "421")) {
		v.here.refused = true
	}
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: 6\r\n\r\n%s.", status, q.id, head, q.id)
}

// comes has an answer come whole, behind what is owed of an earlier one.
func (v *visit) comes(b []byte) {
	v.dirty = ""
	if len(v.owed) > 0 {
		v.dirty = "it stutters"
	}
	v.out, v.owed = slices.Concat(v.owed, b), nil
}

// option is something that may come next.
type option struct {
	name string
	do   func()
}

// moment picks what comes next on a connection that the router waits at.
func (v *visit) moment() {
	q, r := v.asks, v.r
	if r.plain {
		v.comes(v.answer(q, ""))
		return
	}
	var all []option
	may := func(name string, do func()) { all = append(all, option{name, do}) }
	ends := func(err error) { v.err, v.dirty = err, "it has ended" }
	switch {
	case v.mute:
	case v.rest != nil:
		may("the rest", func() { v.out, v.rest, v.dirty = v.rest, nil, v.after })
		may("a reset", func() { ends(errReset) })
		may("its end", func() { ends(io.EOF) })
	case v.again && r.short:
		v.few(may, ends)
	default:
		v.few(may, ends)
		v.many(may, ends)
	}
	if r.outside > 0 {
		v.others(may)
	}
	// Silence lasts until the deadline, or a client that has its answer's beginning has had enough.
	may("the deadline", func() {
		r.now += 6 * time.Second
		r.post(dispatch.Tick{})
		if !v.closed {
			q.from.leave()
		}
		if !v.closed {
			r.fault("a leg of %s goes on for nobody", q.id)
			v.closed = true
		}
	})
	o := all[r.pick(len(all))]
	r.tell("%s at %s: %s", q.id, v.host, o.name)
	o.do()
}

// few are what comes mostly.
func (v *visit) few(may func(string, func()), ends func(error)) {
	q := v.asks
	may("an answer", func() { v.comes(v.answer(q, "")) })
	may("503, not executed", func() { v.comes(v.turns(q, "503 Service Unavailable", true)) })
	may("421", func() { v.comes(v.turns(q, "421 Misdirected Request", false)) })
	may("500", func() { v.comes(v.turns(q, "500 Internal Server Error", false)) })
	may("a reset", func() { ends(errReset) })
}

// many are what may come beside these.
func (v *visit) many(may func(string, func()), ends func(error)) {
	q, r := v.asks, v.r
	begins := func(name string, upTo func(b []byte) int) {
		may(name, func() {
			b := v.answer(q, "")
			at := upTo(b)
			v.comes(b[:at])
			v.rest, v.after, v.dirty = b[at:], v.dirty, "its answer has not come whole"
		})
	}
	begins("an answer's first byte", func([]byte) int { return 1 })
	begins("half a head", func([]byte) int { return 50 })
	begins("a head", func(b []byte) int { return bytes.Index(b, []byte("\r\n\r\n")) + 4 })
	begins("an answer but for its last bytes", func(b []byte) int { return len(b) - 3 })
	begins("an answer's first event", func(b []byte) int { return bytes.Index(b, []byte("\n\n")) + 2 })
	may("an answer, Connection: close", func() {
		v.comes(v.answer(q, "Connection: close\r\n"))
		ends(io.EOF)
	})
	may("an answer without a length", func() {
		b := v.answer(q, "")
		at := bytes.Index(b, []byte("Content-Length"))
		if at < 0 {
			at = bytes.Index(b, []byte("Transfer-Encoding"))
		}
		v.comes(append(b[:at:at], "X-No: length\r\n\r\nid: 0\ndata: x\n\n"...))
		q.answers = q.answers[:len(q.answers)-1] // it was not whole
		ends(io.EOF)
	})
	surplus := func() []byte {
		b := v.answer(q, "")
		q.answers = q.answers[:len(q.answers)-1] // the same once more
		return b
	}
	may("an answer and a second", func() {
		more := surplus()
		v.comes(append(v.answer(q, ""), more...))
		v.dirty = "it stutters"
	})
	may("an answer and half a second", func() {
		more := surplus()
		v.comes(append(v.answer(q, ""), more[:50]...))
		v.dirty = "it stutters"
	})
	may("an answer, and a second as the line rests", func() {
		more := surplus()
		v.comes(v.answer(q, ""))
		v.rests(more)
	})
	may("an answer, and a second where the next is due", func() {
		more := surplus()
		v.comes(v.answer(q, ""))
		v.owed = more
	})
	may("an answer, and some of a second where the next is due", func() {
		more := surplus()
		v.comes(v.answer(q, ""))
		head := bytes.Index(more, []byte("\r\n\r\n")) + 4
		if r.fine {
			v.owed = more[:r.pick(len(more)-1)+1]
			return
		}
		v.owed = more[:[]int{9, 17, 19, 40, head - 4, head, head + 5, len(more) - 3}[r.pick(8)]]
	})
	may("an answer to another and this", func() {
		v.comes(append(v.answer(&asked{id: "r9999", path: q.path}, ""), v.answer(q, "")...))
		v.dirty = "it stutters"
	})
	may("an answer to another", func() {
		v.comes(v.answer(&asked{id: "r9999", path: q.path}, ""))
		v.dirty, v.mute = "it stutters", true
	})
	may("an answer to nobody", func() {
		v.comes(bytes.Replace(v.answer(q, ""), []byte("X-Request-Id"), []byte("X-Else"), 1))
		q.answers, v.dirty = q.answers[:len(q.answers)-1], "it stutters"
	})
	may("103 and an answer", func() { v.comes(append([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), v.answer(q, "")...)) })
	may("nonsense", func() { v.comes([]byte("\x00\xff nonsense\r\n\r\n")); v.dirty = "it stutters" })
	for _, status := range []string{"429 Too Many Requests", "408 Request Timeout"} {
		may(status+", not executed", func() { v.comes(v.turns(q, status, true)) })
	}
	for _, status := range []string{
		"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "504 Gateway Timeout", "404 Not Found",
	} {
		may(status, func() { v.comes(v.turns(q, status, false)) })
	}
	may("400, not executed", func() { v.comes(v.turns(q, "400 Bad Request", true)) })
	may("half of 503, not executed", func() { v.comes([]byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n")); ends(errReset) })
	may("its end", func() { ends(io.EOF) })
}

// rests has bytes come that nobody asked for, once the answer has been read: a look at the line shows them.
func (v *visit) rests(more []byte) {
	r := v.r
	r.resting = append(r.resting, func() { v.out, v.dirty = append(v.out, more...), "bytes wait that nobody asked for" })
}

// others are events from outside, each at most once and two in a life.
func (v *visit) others(may func(string, func())) {
	q, r := v.asks, v.r
	once := func(name string, do func()) {
		may(name, func() { r.outside--; do() })
	}
	if q.from.err == nil {
		once("its client goes", func() { q.from.leave() })
	}
	if !r.drains {
		once("a drain", func() { r.drains = true; r.front.Drain() })
	}
	if len(r.asked) < 2 {
		once("another client's request", func() {
			r.plain = r.fine
			r.ask(r.call(), r.second)
			r.run()
			r.plain = false
		})
	}
	once("the router's end", func() { r.dead = true })
}

// between picks what becomes of lines at rest.
func (r *router) between() {
	for _, f := range r.resting {
		f()
	}
	r.resting = nil
	var rest []*visit
	for _, v := range r.engines {
		if !v.closed {
			rest = append(rest, v)
		}
	}
	if len(rest) == 0 || r.dead {
		return
	}
	switch r.pick(4) {
	case 1:
		r.tell("lines are closed")
		for _, v := range rest {
			v.err, v.dirty = io.EOF, "it has ended"
		}
	case 2:
		r.tell("lines are forgotten")
		for _, v := range rest {
			v.forgot = true
		}
	case 3:
		r.tell("lines rest for long")
		r.now += 20 * time.Second
		r.post(dispatch.Tick{})
		for _, v := range rest {
			if v.dirty = "it has rested for too long"; !v.closed {
				r.fault("a line to %s rests on", v.host)
			}
		}
	}
}

// life plays a life: two requests and one that is answered plainly.
func (r *router) life(first, second string) {
	r.second = second
	r.ask(r.call(), first)
	r.run()
	r.between()
	if len(r.asked) < 2 && !r.dead {
		c := r.callers[0]
		if c.closed || c.err != nil {
			c = r.call()
		}
		r.plain = r.fine
		r.ask(c, second)
		r.run()
	}
	for _, f := range r.resting {
		f()
	}
	r.resting, r.plain = nil, true
	if !r.dead {
		r.ask(r.call(), routeNonIdempotent)
		r.run()
	}
	for _, c := range r.callers {
		c.stop()
	}
	for _, q := range r.asked {
		r.judge(q)
	}
	r.count()
}

// count looks for a window with more repeats than there may be.
func (r *router) count() {
	const window = 10 * time.Second
	var repeats []time.Duration
	for _, q := range r.asked {
		first := true
		for _, a := range q.arrivals {
			if !first && !a.lost {
				repeats = append(repeats, a.at)
			}
			first = first && a.lost
		}
	}
	for _, end := range repeats {
		n := 0
		for _, at := range repeats {
			if at > end-window && at <= end {
				n++
			}
		}
		if n > r.repeats {
			r.fault("%d repeats of %d allowed in a window", n, r.repeats)
		}
	}
}

// judge says what is wrong with what a client was sent.
func (r *router) judge(q *asked) {
	for _, o := range append(slices.Clone(r.asked), &asked{id: "r9999"}) {
		if o != q && bytes.Contains(q.got, []byte(o.id)) {
			r.fault("%s was sent what belongs to %s: %q", q.id, o.id, q.got)
		}
	}
	if len(q.got) == 0 {
		if !q.gone && !q.ended && !r.dead {
			r.fault("%s was never answered", q.id)
		}
		return
	}
	br := bufio.NewReader(bytes.NewReader(q.got))
	resp, err := http.ReadResponse(br, nil) //nolint:bodyclose // read from memory
	if err != nil {
		if !q.gone && !r.dead {
			r.fault("%s was sent what is no answer: %q", q.id, q.got)
		}
		return
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if br.Buffered() > 0 {
		r.fault("%s was sent more than an answer: %q", q.id, q.got)
	}
	if err != nil || !framed {
		if framed && !q.gone && !q.ended && !r.dead {
			r.fault("the answer to %s ends early on a connection that goes on", q.id)
		}
		return
	}
	ran := slices.ContainsFunc(q.arrivals, func(a *arrival) bool { return !a.refused })
	switch resp.StatusCode {
	case http.StatusOK:
		if !slices.Contains(q.answers, resp.Header.Get("X-Response-Seal")+" "+string(body)) {
			r.fault("%s was sent a success that no engine gave it: %q", q.id, q.got)
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if ran {
			r.fault("%s was told %d and may have run", q.id, resp.StatusCode)
		}
	}
}

// depth says how far a walk goes.
type depth struct {
	engines, repeats int
	short            bool // second attempts meet an answer, a refusal, 421, 500, a reset and what comes from outside only
	fine             bool // a surplus answer is cut at every byte, and the second request is answered plainly; one event from outside
}

// everyLeg plays every life of two requests of given kinds at one engine or two, and returns the first fault and how many there were.
func everyLeg(breaks slips, d depth, first, second string) (found string, met int) {
	o := &odometer{}
	for {
		r := newRouter(o.pick, breaks, d.engines, d.repeats)
		if r.short, r.fine = d.short, d.fine; r.fine {
			r.outside = 1
		}
		r.life(first, second)
		met++
		if r.wrong != "" {
			return r.wrong, met
		}
		if !o.turn() {
			return "", met
		}
	}
}

// legs walks pairs of kinds of requests, at one engine and at two, with room for one repeat and for all.
func legs(breaks slips, pairs [][2]string, depths ...depth) (found string, met int) {
	for _, d := range depths {
		for _, p := range pairs {
			found, n := everyLeg(breaks, d, p[0], p[1])
			if met += n; found != "" {
				return found, met
			}
		}
	}
	return "", met
}

// legPairs are all pairs of kinds.
func legPairs() (all [][2]string) {
	for _, a := range legKinds {
		for _, b := range legKinds {
			all = append(all, [2]string{a, b})
		}
	}
	return all
}

// legsFine has the first request meet everything and the second only an answer.
func legsFine() []depth {
	return []depth{{engines: 2, fine: true}, {engines: 1, repeats: 9, fine: true}}
}

// legsShort has both meet everything.
func legsShort() []depth {
	return []depth{{engines: 1, repeats: 9, short: true}, {engines: 2, repeats: 1, short: true}}
}

// legSome are pairs in which each kind is once first and once second.
func legSome() [][2]string {
	all := legPairs()
	return [][2]string{all[1], all[5], all[6]}
}

// legsBroken are walks with a rule of the legs broken.
func legsBroken() (all []Walk) {
	for _, b := range []struct {
		name, first string
		slips
	}{
		{"an answer is taken for that of whoever waits", routeIdempotent, slips{blind: true}},
		{"an answer that broke off is ended as whole", routeStreaming, slips{whole: true}},
		{"what may not be repeated counts as what may", routeNonIdempotent, slips{safe: true}},
		{"a refusal promises, whatever has run", routeNonIdempotent, slips{promises: true}},
		{"a line is used again without a look at it", routeIdempotent, slips{unseen: true}},
		{"there is no budget for repeats", routeIdempotent, slips{lavish: true}},
	} {
		all = append(all, Walk{b.name, func(int) (string, int) { return legs(b.slips, [][2]string{{b.first, b.first}}, legsFine()...) }})
	}
	return all
}

// everyTwo walks two requests that both meet everything. It is long: the lives that it is told allow one pair of kinds, or all
// pairs, or all with second attempts that meet everything as well.
func everyTwo(lives int) (found string, met int) {
	pairs, depths := legSome()[:1], legsShort()[:1]
	if lives >= 100_000 {
		pairs, depths = legPairs(), legsShort()
	}
	if lives >= 10_000_000 {
		depths = []depth{{engines: 2, repeats: 9}}
	}
	return legs(slips{}, pairs, depths...)
}
