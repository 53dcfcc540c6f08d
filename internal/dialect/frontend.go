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

// Frontend implements the client side of the dialect. Its methods are safe for concurrent use if the functions in its fields are.
type Frontend struct {
	Config     func() *CompiledConfig // returns the current configuration; nil = none yet
	Salt       uint64                 // seed of session IDs; it differs between routers, so that they choose engines independently
	OnResponse func(tenant string)    // called with the tenant of each forwarded response; may be nil
	SplitKey   func() uint64          // called for each request; its result selects one service of the route's split
	Clock      dispatch.Clock         // clock of the admission control
}

var _ frontend.Dialect = (*Frontend)(nil)

// routedRequest is the dialect's state of a request, in DialectData.
type routedRequest struct {
	config *CompiledConfig
	route  *compiledRoute
	tenant *fleetconfig.Tenant // nil if the route needs no key
	routeTarget
	deadline time.Time // when the client stops waiting
}

// Reasons of rejections in response bodies: a code, a colon and a message.
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
	overloadRetryAfter = time.Second            // Retry-After of rejections without a configuration or by admission control
	minRetryAfter      = 200 * time.Millisecond // least Retry-After of a request that no engine has run
)

// Route implements frontend.Dialect. It determines the route, tenant, deadline and service of a request from its head.
func (d *Frontend) Route(req *http.Request) (dst frontend.Destination, rejection *frontend.Rejection) {
	now := time.Now()
	config := d.Config()
	if config == nil {
		return dst, &frontend.Rejection{
			Status: http.StatusServiceUnavailable, Reason: reasonNoConfiguration, RetryAfter: overloadRetryAfter,
		}
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	found := config.routes.find(req.Host, path)
	if found == nil {
		return dst, &frontend.Rejection{Status: http.StatusNotFound, Reason: reasonNoRoute}
	}
	r := &routedRequest{config: config, route: found}
	if config.needsKey && !r.route.Public {
		if r.tenant = config.tenantOfRequest(req); r.tenant == nil {
			return dst, &frontend.Rejection{Status: http.StatusUnauthorized, Reason: reasonUnknownKey}
		}
	}
	timeout, ok := r.route.timeoutOf(req)
	if !ok {
		return dst, &frontend.Rejection{Status: http.StatusBadRequest, Reason: reasonBadDeadline}
	}
	r.deadline = now.Add(timeout)
	index := found.split.PoolFor(d.SplitKey())
	if index < 0 {
		return dst, &frontend.Rejection{
			Status: http.StatusServiceUnavailable, Reason: reasonNotRun, RetryAfter: overloadRetryAfter,
		}
	}
	r.routeTarget = found.targets[index]
	dst.Pool, dst.Target, dst.Host, dst.BodyDeadline, dst.DialectData = r.service.Pool, req.RequestURI, req.Host, r.deadline, r
	return dst, nil
}

// tenantOfRequest returns the tenant whose API key a request carries, or nil.
func (c *CompiledConfig) tenantOfRequest(req *http.Request) *fleetconfig.Tenant {
	keys := req.Header[keyHeader]
	if len(keys) != 1 {
		return nil
	}
	return c.tenantOf(keys[0])
}

// timeoutOf returns the time that remains for a request: the timeout of the route, or the remaining time in the deadline header if
// that is shorter. ok is false if the header is malformed.
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

// BuildRequest implements frontend.Dialect. It applies admission control, identifies the session and encodes the headers for the
// engine.
func (d *Frontend) BuildRequest(req *http.Request, dst *frontend.Destination, body []byte) (frontend.Request, *frontend.Rejection) {
	r := dst.DialectData.(*routedRequest)
	remaining := time.Until(r.deadline)
	if remaining <= 0 {
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
	request := frontend.Request{DialectData: r, MaxAttempts: r.route.MaxAttempts}
	request.Policy = policy.Request{Class: r.class, Timeout: min(remaining, r.route.maxSilence)}
	if prefixes := req.Header[prefixHeader]; len(prefixes) == 1 && prefixes[0] != "" && r.route.SessionAffinity {
		request.Policy.Session = r.sessionID(d.Salt, dst.Pool.Name, prefixes[0])
		request.Policy.Prefix = r.sessionID(0, dst.Pool.Name, prefixes[0])
	}
	request.Upstream = upstream.Request{
		Method: req.Method, Target: dst.Target, Host: dst.Host, Body: body, Deadline: r.deadline, Header: forwardedHeaders(req.Header, r.tenant),
		WithContentLength: req.ContentLength != 0 || len(req.TransferEncoding) > 0, CallID: req.Header.Get(idHeader),
		NonIdempotent: r.route.Type != fleetconfig.RouteIdempotent,
	}
	return request, nil
}

// sessionID returns the ID of a session, never 0: the requests of one route, service and tenant that share a prompt prefix.
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

// BuildResponseHead implements frontend.Dialect. It forwards the status and the end-to-end headers unchanged.
func (d *Frontend) BuildResponseHead(request *frontend.Request, resp *http.Response) frontend.ResponseHead {
	if resp == nil {
		return frontend.ResponseHead{Lines: []byte("HTTP/1.1 200 OK\r\n"), ContentLength: -1}
	}
	if r, ok := request.DialectData.(*routedRequest); ok {
		r.service.gate.update(func(g *admission.Gate) { g.RequestServed(d.Clock()) })
		if d.OnResponse != nil && r.tenant != nil {
			d.OnResponse(r.tenant.Name)
		}
	}
	return responseHead(request, resp)
}

// KeepErrorResponse implements frontend.Dialect. It drops an error response without the header X-Not-Executed whose status tells
// clients that the request has not run, because the engine may have run it.
func (d *Frontend) KeepErrorResponse(request *frontend.Request, result policy.Result, resp *http.Response, body []byte) *frontend.ErrorResponse {
	if result == policy.ResultError && impliesNotRun(resp.StatusCode) {
		return nil
	}
	head := responseHead(request, resp)
	head.ContentLength = int64(len(body))
	return &frontend.ErrorResponse{Result: result, ResponseHead: head, Body: body}
}

// Reject implements frontend.Dialect. It responds 503 only if no engine has run the request or will run it.
func (d *Frontend) Reject(request *frontend.Request, verdict dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *frontend.ErrorResponse) (
	*frontend.Rejection, *frontend.ErrorResponse,
) {
	if r, ok := request.DialectData.(*routedRequest); ok && !mayHaveRun {
		r.service.gate.update(func(g *admission.Gate) { g.RequestRejected(d.Clock()) })
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
