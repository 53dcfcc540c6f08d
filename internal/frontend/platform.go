package frontend

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/route"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// platform is the default dialect, used by "notchhinge serve".
type platform struct{ *Server }

// Paths of the health checks of the platform.
const (
	readyPath = "/health/ready"
	livePath  = "/health/live"
)

// Route implements Dialect. A request's pool depends on its host, path, method, class and headers.
func (p platform) Route(req *http.Request) (Destination, *Rejection) {
	path, rawQuery, hasQuery := strings.Cut(req.RequestURI, "?") // not decoded, because it is forwarded as received
	if path == readyPath || path == livePath {
		return Destination{}, p.checkHealth(req.Method, path)
	}
	dir := p.Directory()
	dst := Destination{Target: req.RequestURI, Host: req.Host}
	q := route.Query{Path: path, Method: req.Method, Header: req.Header}
	if classes := req.Header[classHeader]; len(classes) == 1 {
		q.Class = classes[0]
	}
	if dir.NormalizesRequests {
		if rejection := dst.normalize(req, &q); rejection != nil {
			return dst, rejection
		}
		if hasQuery {
			dst.Target += "?" + rawQuery
		}
	}
	target := dir.Table.Lookup(&q)
	if target == nil {
		return dst, rejectUnroutable(dir, &q)
	}
	dst.Pool = dir.PoolFor(target, conversationHash(target, req.Header))
	return dst, nil
}

// checkHealth returns the response to a health check of the platform.
func (p platform) checkHealth(method, path string) *Rejection {
	switch {
	case method != http.MethodGet:
		return &Rejection{Status: http.StatusMethodNotAllowed, Reason: "only GET is served here", Allow: "GET", uncounted: path == readyPath}
	case path == readyPath && (p.IsDraining() || !p.IsReady()):
		return &Rejection{Status: http.StatusServiceUnavailable, Reason: "not ready", uncounted: true}
	}
	return &Rejection{Status: http.StatusOK, Reason: "ok", uncounted: true}
}

// rejectUnroutable returns the rejection of a request that no route matches.
func rejectUnroutable(d *directory.Directory, q *route.Query) *Rejection {
	if allow := d.Table.AllowedMethods(q); len(allow) > 0 {
		list := strings.Join(allow, ", ")
		return &Rejection{Status: http.StatusMethodNotAllowed, Reason: "only " + list + " is served here", Allow: list}
	}
	if d.NormalizesRequests {
		return &Rejection{Status: http.StatusNotFound, Reason: "no_route: no route takes " + q.Method + " " + q.Path + " at " + q.Host}
	}
	return &Rejection{Status: http.StatusNotFound, Reason: "no such path"}
}

// conversationHash returns the hash by which a route that splits over several pools selects one. Requests of a session have the same
// hash. It returns 0 if the route does not split.
func conversationHash(target *route.Target, h http.Header) uint64 {
	if !target.IsSplit() {
		return 0
	}
	if session := h.Get(sessionHeader); session != "" {
		return parseHash(session)
	}
	return route.HashConversation(h.Get(idHeader))
}

// normalize sets Host and Target, and Host and Path of q, to the normalized host and path, so that a request is forwarded exactly as
// it was routed. Target does not include the query string.
func (d *Destination) normalize(req *http.Request, q *route.Query) *Rejection {
	path := q.Path
	// If the target is in absolute form, its authority takes precedence over the Host header (RFC 9112, section 3.2.2). net/http
	// has already set req.Host to it.
	if !strings.HasPrefix(path, "/") {
		if req.URL.Scheme != "http" && req.URL.Scheme != "https" || req.URL.User != nil {
			return &Rejection{Status: http.StatusBadRequest, Reason: "bad_target: the target has no form that is served here"}
		}
		path = req.URL.EscapedPath()
		if path == "" {
			path = "/"
		}
	}
	host, port, err := route.SplitHostPort(req.Host)
	if err != nil {
		return &Rejection{Status: http.StatusBadRequest, Reason: "bad_host: " + err.Error()}
	}
	if path, err = route.NormalizePath(path); err != nil {
		return &Rejection{Status: http.StatusBadRequest, Reason: "bad_path: " + err.Error()}
	}
	q.Host, q.Path = host, path
	d.Host, d.Target = route.JoinHostPort(host, port), path
	return nil
}

// BuildRequest implements Dialect.
func (platform) BuildRequest(req *http.Request, dst *Destination, body []byte) (Request, *Rejection) {
	q, reason := parseRequest(req.Header, dst.Pool.ClassIndex, dst.Pool.MaxBudget)
	contentType := req.Header.Get("Content-Type")
	if reason == "" && !(httpguts.ValidHostHeader(dst.Host) && httpguts.ValidHeaderFieldValue(contentType)) {
		reason = "Host or Content-Type is bad" // both are forwarded
	}
	if reason != "" {
		return Request{}, &Rejection{Status: http.StatusBadRequest, Reason: reason}
	}
	id := req.Header.Get(idHeader)
	return Request{Policy: q, ClientRequestID: id, Upstream: upstream.Request{
		Method: req.Method, Target: dst.Target, Host: dst.Host, CallID: id, ContentType: contentType, Body: body,
	}}, nil
}

// BuildResponseHead implements Dialect. Every response is an event stream, regardless of the head that the engine sent.
func (platform) BuildResponseHead(*Request, *http.Response) ResponseHead {
	return ResponseHead{
		Lines: []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"), ContentLength: -1,
	}
}

// KeepErrorResponse implements Dialect. The platform keeps no error responses.
func (platform) KeepErrorResponse(*Request, policy.Result, *http.Response, []byte) *ErrorResponse {
	return nil
}

// Reject implements Dialect. It always returns a rejection.
func (platform) Reject(_ *Request, verdict dispatch.Verdict, retryAfter time.Duration, _ bool, _ *ErrorResponse) (*Rejection, *ErrorResponse) {
	switch verdict {
	case dispatch.VerdictFailed:
		return &Rejection{Status: http.StatusGatewayTimeout, Reason: "not served in time", RetryAfter: retryAfter}, nil
	case dispatch.VerdictDuplicateID:
		return &Rejection{Status: http.StatusConflict, Reason: "this id is that of an open request", RetryAfter: retryAfter}, nil
	}
	return &Rejection{Status: http.StatusServiceUnavailable, Reason: "try again", RetryAfter: retryAfter}, nil
}
