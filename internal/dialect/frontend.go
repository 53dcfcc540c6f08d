package dialect

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"notchhinge/internal/admission"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// Frontend is the dialect of the fleet's frontend.
type Frontend struct {
	Config     func() *CompiledConfig // in force now; nil = none yet
	Salt       uint64                 // makes the numbers of sessions this router's own, so that each router draws by itself
	OnResponse func(tenant string)    // called with the tenant of every answer that is passed on
	SplitKey   func() uint64          // called for each request: chooses among the services of a route
	Clock      dispatch.Clock         // of admission
}

var _ frontend.Dialect = (*Frontend)(nil)

// routedRequest is what the dialect keeps of a request.
type routedRequest struct {
	config   *CompiledConfig
	route    *compiledRoute
	tenant   *fleetconfig.Tenant // nil where no key is needed
	service  *Service
	deadline time.Time // when its client gives up
}

// Reasons of rejections, as clients get them: a word, a colon, a sentence.
const (
	reasonNoConfiguration = "no_configuration: there is none yet"
	reasonNoRoute         = "no_route: no route takes this host and path"
	reasonUnknownKey      = "unknown_key: " + keyHeader + " names no tenant"
	reasonBadDeadline     = "bad_deadline: " + deadlineHeader + " is no number above 0"
	reasonTooLate         = "too_late: its time was over before it was read"
	reasonShed            = "yields: not all can be served, and others come first"
	reasonNotRun          = "not_run: no engine could take it"
	reasonNoAnswerYet     = "no_answer: an engine has it and has not answered"
	reasonNoAnswer        = "no_answer: an engine has had it"
)

const (
	overloadRetryAfter = time.Second            // with a rejection for want of a configuration, or by admission
	minRetryAfter      = 200 * time.Millisecond // with a rejection of the decision module
)

// Route implements frontend.Dialect: route, tenant, deadline and service of a request, by its head.
func (d *Frontend) Route(req *http.Request) (to frontend.Destination, rejection *frontend.Rejection) {
	now := time.Now()
	config := d.Config()
	if config == nil {
		return to, &frontend.Rejection{
			Status: http.StatusServiceUnavailable, Reason: reasonNoConfiguration, RetryAfter: overloadRetryAfter,
		}
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	target := config.Route(req.Host, path)
	if target == nil {
		return to, &frontend.Rejection{Status: http.StatusNotFound, Reason: reasonNoRoute}
	}
	r := &routedRequest{config: config, route: &config.routes[target.RouteIndex]}
	if config.needsKey && !r.route.Public {
		if r.tenant = config.tenantOfRequest(req); r.tenant == nil {
			return to, &frontend.Rejection{Status: http.StatusUnauthorized, Reason: reasonUnknownKey}
		}
	}
	timeout, ok := r.route.timeoutOf(req)
	if !ok {
		return to, &frontend.Rejection{Status: http.StatusBadRequest, Reason: reasonBadDeadline}
	}
	r.deadline = now.Add(timeout)
	pool := target.PoolFor(d.SplitKey())
	for _, s := range config.services {
		if int(s.ID) == pool {
			to.Pool, r.service = s.Pool, s
		}
	}
	to.Target, to.Host, to.BodyDeadline, to.DialectData = req.RequestURI, req.Host, r.deadline, r
	return to, nil
}

// tenantOfRequest returns the tenant whose key a request has, or nil.
func (c *CompiledConfig) tenantOfRequest(req *http.Request) *fleetconfig.Tenant {
	keys := req.Header[keyHeader]
	if len(keys) != 1 {
		return nil
	}
	return c.tenantOf(keys[0])
}

// timeoutOf returns the time that is left for a request: the route's timeout, or less if its client says so; ok is false if what
// the client says is malformed.
func (r *compiledRoute) timeoutOf(req *http.Request) (timeout time.Duration, ok bool) {
	values := req.Header[deadlineHeader]
	if len(values) != 1 {
		return r.timeout, true
	}
	ms, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	return min(r.timeout, fleetconfig.Milliseconds(ms)), true
}

// BuildRequest implements frontend.Dialect: admission, session, and what engines are sent.
func (d *Frontend) BuildRequest(req *http.Request, to *frontend.Destination, body []byte) (frontend.Request, *frontend.Rejection) {
	r := to.DialectData.(*routedRequest)
	left := time.Until(r.deadline)
	if left <= 0 {
		return frontend.Request{}, &frontend.Rejection{Status: http.StatusServiceUnavailable, Reason: reasonTooLate}
	}
	tenantPriority := 0
	if r.tenant != nil {
		tenantPriority = r.tenant.Priority
	}
	if !r.service.gate.admit(d.Clock(), admission.Priority(tenantPriority, r.route.Priority)) {
		return frontend.Request{}, &frontend.Rejection{
			Status: http.StatusServiceUnavailable, Reason: reasonShed, RetryAfter: overloadRetryAfter,
		}
	}
	out := frontend.Request{DialectData: r, MaxAttempts: r.route.MaxAttempts}
	out.Policy = policy.Request{Class: r.route.classes[to.Pool.ID], Timeout: min(left, r.route.maxSilence)}
	if prefixes := req.Header[prefixHeader]; len(prefixes) == 1 && prefixes[0] != "" && r.route.SessionAffinity {
		out.Policy.Session = r.sessionID(d.Salt, to.Pool.Name, prefixes[0])
		out.Policy.Prefix = r.sessionID(0, to.Pool.Name, prefixes[0])
	}
	out.Upstream = upstream.Request{
		Method: req.Method, Target: to.Target, Host: to.Host, Body: body, Deadline: r.deadline, Header: forwardedHeaders(req.Header, r.tenant),
		WithContentLength: req.ContentLength != 0 || len(req.TransferEncoding) > 0, CallID: req.Header.Get(idHeader),
		NonIdempotent: r.route.Type != fleetconfig.RouteIdempotent,
	}
	return out, nil
}

// sessionID identifies a session: the requests of a route, service and tenant that share a prefix of their prompt.
func (r *routedRequest) sessionID(salt uint64, service, prefix string) uint64 {
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

// BuildResponseHead implements frontend.Dialect: status and headers are passed on as they came.
func (d *Frontend) BuildResponseHead(m *frontend.Request, resp *http.Response) frontend.ResponseHead {
	if resp == nil {
		return frontend.ResponseHead{Lines: []byte("HTTP/1.1 200 OK\r\n"), ContentLength: -1}
	}
	if r, ok := m.DialectData.(*routedRequest); ok {
		r.service.gate.note(func(g *admission.Gate) { g.RequestServed(d.Clock()) })
		if d.OnResponse != nil && r.tenant != nil {
			d.OnResponse(r.tenant.Name)
		}
	}
	return responseHead(m, resp)
}

// KeepErrorResponse returns what is kept of a response that is not passed on at once. A status that promises that the request has
// not run is not kept: its engine has not said so.
func (d *Frontend) KeepErrorResponse(m *frontend.Request, result policy.Result, resp *http.Response, body []byte) *frontend.ErrorResponse {
	if result == policy.ResultError && promisesNotRun(resp.StatusCode) {
		return nil
	}
	head := responseHead(m, resp)
	head.ContentLength = int64(len(body))
	return &frontend.ErrorResponse{Result: result, ResponseHead: head, Body: body}
}

// Reject implements frontend.Dialect. 429 and 503 promise that the request has not run and never will.
func (d *Frontend) Reject(m *frontend.Request, verdict dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *frontend.ErrorResponse) (
	*frontend.Rejection, *frontend.ErrorResponse,
) {
	if r, ok := m.DialectData.(*routedRequest); ok && !mayHaveRun {
		r.service.gate.note(func(g *admission.Gate) { g.RequestRejected(d.Clock()) })
	}
	switch {
	case !mayHaveRun:
		return &frontend.Rejection{
			Status: http.StatusServiceUnavailable, Reason: reasonNotRun, RetryAfter: max(retryAfter, minRetryAfter),
		}, nil
	case kept != nil && kept.Result == policy.ResultError:
		return nil, kept
	case verdict == dispatch.VerdictFailed:
		return &frontend.Rejection{Status: http.StatusGatewayTimeout, Reason: reasonNoAnswerYet}, nil
	}
	return &frontend.Rejection{Status: http.StatusBadGateway, Reason: reasonNoAnswer}, nil
}
