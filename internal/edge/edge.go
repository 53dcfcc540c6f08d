// Package edge is the data plane's view of the fleet's platform: what requests and answers look like there, which route,
// tenant and service a request has under one configuration, and what stands for a session. It owns no connection and
// decides nothing that the module decides. The front and the legs ask it as their Dialect.
package edge

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"notchhinge/internal/admission"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/route"
	"notchhinge/internal/service"
	"notchhinge/internal/trace"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// Headers of the platform, in their canonical form.
const (
	deadlineHeader = "X-Deadline-Remaining-Ms"
	prefixHeader   = "X-Prompt-Prefix"
	keyHeader      = "X-Credential"
	tenantHeader   = "X-Tenant"
	expectHeader   = "X-Expect-Instance"
	notRunHeader   = "X-Not-Executed"
	idHeader       = "X-Request-Id"
)

// Compiled is a configuration as requests are led by it. It does not change; a request keeps the one it began with.
type Compiled struct {
	Place    uint64
	Revision uint64
	Config   *fleetconfig.Config
	table    *route.Table
	routes   []leads
	keys     map[uint64][]*key // by hash
	tenants  bool
	services map[string]*Service
}

// leads is a route with what is worked out ahead.
type leads struct {
	*fleetconfig.Route
	class   map[hoststate.PoolID]int
	timeout time.Duration
	silence time.Duration // so long a client waits for the first sign of an answer
}

type key struct {
	text   string
	tenant *fleetconfig.Tenant
}

// Service is a pool of engines: one module instance, for as long as configurations name it.
type Service struct {
	Name    string
	ID      hoststate.PoolID
	Classes []policy.Class // it only ever grows
	// View is the service as the front sees it.
	View *service.Pool
	gate *gate
}

// gate is a service's admission.Gate, shared by all connections.
type gate struct {
	mu sync.Mutex
	g  admission.Gate
}

func (g *gate) admit(now time.Duration, of int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.g.Admit(now, of)
}

func (g *gate) note(f func(*admission.Gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.g)
}

// class finds or adds the class of a route. Classes only grow, since requests of earlier configurations may still run.
func (s *Service) class(r *fleetconfig.Route) int {
	c := Class(r)
	if i := slices.IndexFunc(s.Classes, func(o policy.Class) bool { return o == c }); i >= 0 {
		return i
	}
	s.Classes = append(s.Classes, c)
	return len(s.Classes) - 1
}

// Class is what the module knows of a route.
func Class(r *fleetconfig.Route) policy.Class {
	c := policy.Class{
		Name: fmt.Sprintf("%s/%v/%d/%d", r.Type, r.TargetLatencyMS, r.Priority, r.MaxAttempts), TargetLatency: fleetconfig.Milliseconds(cmp.Or(r.TargetLatencyMS, r.TimeoutMS)),
		Deadline: fleetconfig.Milliseconds(r.TimeoutMS), Value: math.Exp2(-float64(min(max(r.Priority, 0), 8))), LateValue: 1,
		Effect: policy.EffectUnsafe, IsStreaming: r.Type == fleetconfig.RouteStreaming, MaxAttempts: max(r.MaxAttempts, 1),
	}
	if r.Type == fleetconfig.RouteIdempotent {
		c.Effect = policy.EffectSafe
	}
	return c
}

// How long an engine may take to be as fast as others, and what share of that it has at first: what a beat says beyond that
// counts as that.
const (
	WarmUp   = 4 * time.Second
	ColdFrom = 0.4
)

// Settings are those of a service's module. grace is how long a known session may go to an engine that drains.
func Settings(classes []policy.Class, grace time.Duration, attempts int) policy.Settings {
	return policy.Settings{
		Routers: 1, Zones: 1, Classes: classes, WeightMeaning: policy.WeightUnused, DrainGrace: grace, SlowStartInitial: ColdFrom, SlowStart: WarmUp,
		Limits: policy.Limits{CanCancel: true, SendsRetryAfter: true, MaxAttempts: attempts, MaxRetryAfter: time.Second},
	}
}

// silent is how long clients of the platform wait for the next sign of a stream: two seconds, or four times the aim.
func silent(r *fleetconfig.Route) time.Duration {
	if r.Type != fleetconfig.RouteStreaming {
		return math.MaxInt64
	}
	return max(2*time.Second, 4*fleetconfig.Milliseconds(r.TargetLatencyMS))
}

// Compile works a configuration out. Services that it names and before has not are made with numbers from next on. It
// yields now and then, as fleetconfig.Decode does.
func Compile(c *fleetconfig.Config, place uint64, before map[string]*Service, next *hoststate.PoolID, pause func()) (*Compiled, error) {
	if pause == nil {
		pause = func() {}
	}
	out := &Compiled{
		Place: place, Revision: c.Revision, Config: c, keys: map[uint64][]*key{}, tenants: len(c.Tenants) > 0,
		services: map[string]*Service{},
	}
	for _, s := range c.Services {
		old := before[s.Name]
		if old == nil {
			old = &Service{Name: s.Name, ID: *next, View: &service.Pool{ID: *next, Name: s.Name}, gate: &gate{}}
			*next++
		}
		out.services[s.Name] = &Service{Name: old.Name, ID: old.ID, Classes: slices.Clone(old.Classes), View: old.View, gate: old.gate}
	}
	var services []route.Service
	var routes []route.Route
	for i := range c.Routes {
		r := &c.Routes[i]
		l := leads{Route: r, class: map[hoststate.PoolID]int{}, timeout: fleetconfig.Milliseconds(r.TimeoutMS), silence: silent(r)}
		name := strconv.Itoa(i)
		s := route.Service{Name: name}
		for _, share := range r.Targets() {
			to := out.services[share.Service]
			if to == nil {
				return nil, fmt.Errorf("route %s: there is no service %q", r.Name, share.Service)
			}
			l.class[to.ID] = to.class(r)
			s.Shares = append(s.Shares, route.Share{Pool: share.Service, Weight: share.Weight})
		}
		host, err := route.Host(r.Hostname)
		if err != nil {
			return nil, fmt.Errorf("route %s: %w", r.Name, err)
		}
		services = append(services, s)
		routes = append(routes, route.Route{Service: name, Host: host, Prefix: r.PathPrefix})
		out.routes = append(out.routes, l)
		if i%fleetconfig.YieldInterval == fleetconfig.YieldInterval-1 {
			pause()
		}
	}
	table, faults := route.New(services, routes, func(name string) (int, bool) {
		s := out.services[name]
		if s == nil {
			return 0, false
		}
		return int(s.ID), true
	})
	if len(faults) > 0 {
		return nil, faults[0]
	}
	out.table = table
	for i := range c.Tenants {
		t := &c.Tenants[i]
		if i%fleetconfig.YieldInterval == fleetconfig.YieldInterval-1 {
			pause()
		}
		for _, k := range t.APIKeys {
			h := xxhash.Sum64String(k)
			out.keys[h] = append(out.keys[h], &key{k, t})
		}
	}
	return out, nil
}

// Services lists the services by name.
func (c *Compiled) Services() map[string]*Service { return c.services }

// tenant finds whose a key is.
func (c *Compiled) tenant(text string) *fleetconfig.Tenant {
	for _, k := range c.keys[xxhash.Sum64String(text)] {
		if k.text == text {
			return k.tenant
		}
	}
	return nil
}

// Lead finds the route of a host and a path: the longest prefix that begins the path.
func (c *Compiled) Lead(host, path string) *route.Target {
	h, err := route.Host(host)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	// A table's prefixes are of whole segments, and take a path that is one without its slash; the platform's do not.
	if at := strings.LastIndexByte(path, '/'); at >= 0 {
		path = path[:at+1]
	}
	return c.table.Lookup(&route.Query{Host: h, Path: path})
}

// request is what the dialect keeps of a message.
type request struct {
	under  *Compiled
	route  *leads
	tenant *fleetconfig.Tenant
	to     *Service
	until  time.Time // when its client gives up
}

// Dialect is the platform's, for the front.
type Dialect struct {
	Now func() *Compiled // the present configuration; nil = none yet
	// Salt makes a session's number this router's own, so that routers draw by themselves.
	Salt uint64
	// Began is told of every answer that is passed on, by its tenant.
	Began func(tenant string)
	// Conversation spreads requests over a split; it is asked for each request.
	Conversation func() uint64
	// Clock is steady, for who waits when not all can be served.
	Clock dispatch.Clock
}

var _ frontend.Dialect = (*Dialect)(nil)

// Route implements acquirer.Dialect.
func (d *Dialect) Route(req *http.Request) (w frontend.Destination, no *frontend.Rejection) {
	now := time.Now()
	at := d.Now()
	if at == nil {
		return w, &frontend.Rejection{Status: http.StatusServiceUnavailable, Reason: "no_configuration: there is none yet", RetryAfter: time.Second}
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	to := at.Lead(req.Host, path)
	if to == nil {
		return w, &frontend.Rejection{Status: http.StatusNotFound, Reason: "no_route: no route takes this host and path"}
	}
	r := &request{under: at, route: &at.routes[to.Route]}
	if at.tenants && !r.route.Public {
		if keys := req.Header[keyHeader]; len(keys) == 1 {
			r.tenant = at.tenant(keys[0])
		}
		if r.tenant == nil {
			return w, &frontend.Rejection{Status: http.StatusUnauthorized, Reason: "unknown_key: " + keyHeader + " names no tenant"}
		}
	}
	left := r.route.timeout
	if ms := req.Header[deadlineHeader]; len(ms) == 1 {
		v, err := strconv.ParseFloat(ms[0], 64)
		if err != nil || !(v > 0) {
			return w, &frontend.Rejection{Status: http.StatusBadRequest, Reason: "bad_deadline: " + deadlineHeader + " is no number above 0"}
		}
		left = min(left, fleetconfig.Milliseconds(v))
	}
	r.until = now.Add(left)
	number := to.Pool(d.Conversation())
	for _, s := range at.services {
		if int(s.ID) == number {
			w.Pool, r.to = s.View, s
		}
	}
	w.Target, w.Host, w.BodyDeadline, w.DialectData = req.RequestURI, req.Host, r.until, r
	return w, nil
}

// BuildRequest implements acquirer.Dialect.
func (d *Dialect) BuildRequest(req *http.Request, w *frontend.Destination, body []byte) (frontend.Request, *frontend.Rejection) {
	r := w.DialectData.(*request)
	left := time.Until(r.until)
	if left <= 0 {
		return frontend.Request{}, &frontend.Rejection{Status: http.StatusServiceUnavailable, Reason: "too_late: its time was over before it was read"}
	}
	of := 0
	if r.tenant != nil {
		of = r.tenant.Priority
	}
	if !r.to.gate.admit(d.Clock(), admission.Priority(of, r.route.Priority)) {
		return frontend.Request{}, &frontend.Rejection{
			Status: http.StatusServiceUnavailable, Reason: "yields: not all can be served, and others come first", RetryAfter: time.Second,
		}
	}
	m := frontend.Request{DialectData: r, MaxAttempts: r.route.MaxAttempts}
	m.Policy = policy.Request{Class: r.route.class[w.Pool.ID], Timeout: min(left, r.route.silence)}
	prefix := ""
	if p := req.Header[prefixHeader]; len(p) == 1 {
		prefix = p[0]
	}
	if r.route.SessionAffinity && prefix != "" {
		m.Policy.Session, m.Policy.Prefix = d.session(d.Salt, r, w.Pool.Name, prefix), d.session(0, r, w.Pool.Name, prefix)
	}
	m.Upstream = upstream.Request{
		Method: req.Method, Target: w.Target, Host: w.Host, Body: body, Deadline: r.until, Header: passedOn(req.Header, r.tenant),
		WithContentLength: req.ContentLength != 0 || len(req.TransferEncoding) > 0, CallID: req.Header.Get(idHeader),
		NonIdempotent: r.route.Type != fleetconfig.RouteIdempotent,
	}
	return m, nil
}

// session is what stands for one: requests of a route, service and tenant that share the beginning of their prompt.
func (d *Dialect) session(salt uint64, r *request, service, prefix string) uint64 {
	h := xxhash.NewWithSeed(salt)
	for _, s := range []string{r.route.Hostname, r.route.PathPrefix, service, "", prefix} {
		h.WriteString(s)
		h.Write([]byte{0})
	}
	if r.tenant != nil {
		h.WriteString(r.tenant.Name)
	}
	return max(h.Sum64(), 1)
}

// hop lists the headers that concern one connection only.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// named lists what a Connection header names: these concern the connection too.
func named(h http.Header) map[string]bool {
	var all map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if all == nil {
				all = map[string]bool{}
			}
			all[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return all
}

// passedOn writes the headers that an engine is shown.
func passedOn(h http.Header, tenant *fleetconfig.Tenant) []byte {
	b := make([]byte, 0, 512)
	also := named(h)
	for name, values := range h {
		switch {
		case hop[name], also[name], name == "Host", name == keyHeader, name == tenantHeader, name == expectHeader, name == deadlineHeader:
			continue
		}
		for _, v := range values {
			b = field(b, name, v)
		}
	}
	if tenant != nil {
		b = field(b, tenantHeader, tenant.Name)
	}
	return b
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// BuildResponseHead implements acquirer.Dialect: status and headers go back as they came.
func (d *Dialect) BuildResponseHead(m *frontend.Request, resp *http.Response) frontend.ResponseHead {
	if resp == nil {
		return frontend.ResponseHead{Lines: []byte("HTTP/1.1 200 OK\r\n"), ContentLength: -1}
	}
	if r, ok := m.DialectData.(*request); ok {
		r.to.gate.note(func(g *admission.Gate) { g.RequestServed(d.Clock()) })
		if d.Began != nil && r.tenant != nil {
			d.Began(r.tenant.Name)
		}
	}
	return d.head(m, resp)
}

func (d *Dialect) head(m *frontend.Request, resp *http.Response) frontend.ResponseHead {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = append(b, resp.Status...)
	b = append(b, "\r\n"...)
	also := named(resp.Header)
	for name, values := range resp.Header {
		if hop[name] || also[name] {
			continue
		}
		for _, v := range values {
			b = field(b, name, v)
		}
	}
	reply := frontend.ResponseHead{Lines: b, ContentLength: resp.ContentLength}
	switch {
	case m.Upstream.Method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		reply.NoBody = true
	}
	return reply
}

// promises tells whether a status promises a client that its request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// KeepErrorResponse makes what is kept of an answer that is not passed on: nothing of one whose status promises what its engine has not said.
func (d *Dialect) KeepErrorResponse(m *frontend.Request, result policy.Result, resp *http.Response, body []byte) *frontend.ErrorResponse {
	if result == policy.ResultError && promises(resp.StatusCode) {
		return nil
	}
	reply := d.head(m, resp)
	reply.ContentLength = int64(len(body))
	return &frontend.ErrorResponse{Result: result, ResponseHead: reply, Body: body}
}

// Reject implements acquirer.Dialect. 429 and 503 promise that the request has not run and never will.
func (d *Dialect) Reject(m *frontend.Request, why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *frontend.ErrorResponse) (
	*frontend.Rejection, *frontend.ErrorResponse,
) {
	const least = 200 * time.Millisecond
	if r, ok := m.DialectData.(*request); ok && !mayHaveRun {
		r.to.gate.note(func(g *admission.Gate) { g.RequestRejected(d.Clock()) })
	}
	switch {
	case !mayHaveRun:
		return &frontend.Rejection{Status: http.StatusServiceUnavailable, Reason: "not_run: no engine could take it", RetryAfter: max(retryAfter, least)}, nil
	case kept != nil && kept.Result == policy.ResultError:
		return nil, kept
	case why == dispatch.VerdictFailed:
		return &frontend.Rejection{Status: http.StatusGatewayTimeout, Reason: "no_answer: an engine has it and has not answered"}, nil
	}
	return &frontend.Rejection{Status: http.StatusBadGateway, Reason: "no_answer: an engine has had it"}, nil
}

// Legs is the platform's dialect for legs.
type Legs struct{ HealthPath string }

var _ upstream.Dialect = Legs{}

// EncodeRequest implements upstream.Dialect. The time that is left is the client's, whatever a leg may take for its first sign.
func (Legs) EncodeRequest(o *upstream.Request, e *dispatch.StartAttempt, _ time.Duration, _ *trace.Context) []byte {
	b := make([]byte, 0, 512+len(o.Header)+len(o.Body))
	b = append(b, o.Method...)
	b = append(b, ' ')
	b = append(b, o.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, o.Host...)
	b = append(b, "\r\n"...)
	b = append(b, o.Header...)
	b = append(b, deadlineHeader+": "...)
	b = strconv.AppendInt(b, max(time.Until(o.Deadline).Milliseconds(), 1), 10)
	b = append(b, "\r\n"+expectHeader+": "...)
	b = append(b, e.HostName...)
	if o.WithContentLength {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(o.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, o.Body...)
}

// MatchResponse implements upstream.Dialect: engines repeat the id of the request. One that came without any has an engine's word of
// that (400), which repeats none.
func (Legs) MatchResponse(o *upstream.Request, resp *http.Response) upstream.ResponseMatch {
	switch ids := resp.Header[idHeader]; {
	case len(ids) == 0 && o.CallID == "", len(ids) == 1 && ids[0] == o.CallID:
		return upstream.MatchThisRequest
	case len(ids) == 1:
		return upstream.MatchOtherRequest
	}
	return upstream.MatchUnknown
}

// Classify implements upstream.Dialect.
func (Legs) Classify(resp *http.Response) policy.Result {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return policy.ResultConnectFailed // another engine is at the address
	case resp.Header.Get(notRunHeader) != "" && resp.StatusCode != http.StatusBadRequest:
		return policy.ResultFull
	case resp.StatusCode >= 500, promises(resp.StatusCode):
		return policy.ResultError
	}
	return policy.ResultOK
}

// MayRunTruncated implements upstream.Dialect: after a reset a request may have run, and nothing says that it must have come whole.
func (Legs) MayRunTruncated() bool { return true }

// IsEventStream implements upstream.Dialect.
func (Legs) IsEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// IdleTimeout implements upstream.Dialect: as long as the engine says, less what a request takes to get there.
func (Legs) IdleTimeout(resp *http.Response) time.Duration {
	const slack, unsaid = 600 * time.Millisecond, 300 * time.Millisecond
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s > 0 && s < 86400 {
				return time.Duration(s)*time.Second - slack
			}
		}
	}
	return unsaid
}

// HealthCheckPath implements upstream.Dialect.
func (l Legs) HealthCheckPath(*upstream.LoadReporting) string { return l.HealthPath }
