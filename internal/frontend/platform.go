package frontend

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/route"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// platform is the dialect of the platform that notchhinge serve runs on.
type platform struct{ *Server }

const (
	readyPath = "/health/ready"
	livePath  = "/health/live"
)

// Route implements Dialect: a message's pool is found by its host, path, method, class and headers.
func (p platform) Route(req *http.Request) (w Destination, d *Rejection) {
	s := p.Server
	path, query, asks := strings.Cut(req.RequestURI, "?") // as it came, for so it is passed on
	switch path {
	case readyPath, livePath:
		switch {
		case req.Method != http.MethodGet:
			return w, &Rejection{Status: http.StatusMethodNotAllowed, Reason: "only GET is served here", Allow: "GET", uncounted: req.URL.Path == readyPath}
		case path == readyPath && (s.draining.Load() || !s.IsReady()):
			return w, &Rejection{Status: http.StatusServiceUnavailable, Reason: "not ready", uncounted: req.URL.Path == readyPath}
		}
		return w, &Rejection{Status: http.StatusOK, Reason: "ok", uncounted: true}
	}
	at := s.Directory()
	w.Target, w.Host = req.RequestURI, req.Host
	q := route.Query{Path: path, Method: req.Method, Header: req.Header}
	if classes := req.Header[classHeader]; len(classes) == 1 {
		q.Class = classes[0]
	}
	if at.Strict {
		if d := w.normalize(req, path, query, asks, &q); d != nil {
			return w, d
		}
	}
	to := at.Table.Lookup(&q)
	if to == nil {
		if allow := at.Table.Methods(&q); len(allow) > 0 {
			list := strings.Join(allow, ", ")
			return w, &Rejection{Status: http.StatusMethodNotAllowed, Reason: "only " + list + " is served here", Allow: list}
		}
		d := &Rejection{Status: http.StatusNotFound, Reason: "no such path"}
		if at.Strict {
			d.Reason = "no_route: no route takes " + q.Method + " " + q.Path + " at " + q.Host
		}
		return w, d
	}
	var conversation uint64
	if to.Splits() {
		if session := req.Header.Get(sessionHeader); session != "" {
			conversation = parseHash(session)
		} else {
			conversation = route.Conversation(req.Header.Get(idHeader))
		}
	}
	w.Pool = at.Find(to, conversation)
	return w, nil
}

// normalize brings host and path into their one spelling, in which they are both routed and sent on.
func (w *Destination) normalize(req *http.Request, path, query string, asks bool, q *route.Query) *Rejection {
	// In the absolute form the target's authority is the host, whatever the header says; so net/http has read it.
	if !strings.HasPrefix(path, "/") {
		if req.URL.Scheme != "http" && req.URL.Scheme != "https" || req.URL.User != nil {
			return &Rejection{Status: http.StatusBadRequest, Reason: "bad_target: the target has no form that is served here"}
		}
		path = req.URL.EscapedPath()
		if path == "" {
			path = "/"
		}
	}
	host, port, err := route.SplitHost(req.Host)
	if err != nil {
		return &Rejection{Status: http.StatusBadRequest, Reason: "bad_host: " + err.Error()}
	}
	if path, err = route.Path(path); err != nil {
		return &Rejection{Status: http.StatusBadRequest, Reason: "bad_path: " + err.Error()}
	}
	q.Host, q.Path = host, path
	w.Host, w.Target = route.JoinHost(host, port), path
	if asks {
		w.Target += "?" + query
	}
	return nil
}

// BuildRequest implements Dialect.
func (platform) BuildRequest(req *http.Request, w *Destination, body []byte) (Request, *Rejection) {
	q, reason := parseRequest(req.Header, w.Pool.Class, w.Pool.MaxBudget)
	switch {
	case reason != "":
	case !httpguts.ValidHostHeader(w.Host), !httpguts.ValidHeaderFieldValue(req.Header.Get("Content-Type")):
		reason = "Host or Content-Type is bad" // they are passed on
	}
	if reason != "" {
		return Request{}, &Rejection{Status: http.StatusBadRequest, Reason: reason}
	}
	id := req.Header.Get(idHeader)
	return Request{Policy: q, ClientRequestID: id, Upstream: upstream.Request{
		Method: req.Method, Target: w.Target, Host: w.Host, CallID: id, ContentType: req.Header.Get("Content-Type"), Body: body,
	}}, nil
}

// BuildResponseHead implements Dialect: whatever the issuer host's head says beside, the answer is a stream.
func (platform) BuildResponseHead(*Request, *http.Response) ResponseHead {
	return ResponseHead{Lines: []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"), ContentLength: -1}
}

// KeepErrorResponse implements Dialect: nothing is kept.
func (platform) KeepErrorResponse(*Request, policy.Result, *http.Response, []byte) *ErrorResponse {
	return nil
}

// Reject implements Dialect.
func (platform) Reject(_ *Request, why dispatch.Verdict, retryAfter time.Duration, _ bool, _ *ErrorResponse) (*Rejection, *ErrorResponse) {
	switch why {
	case dispatch.VerdictFailed:
		return &Rejection{Status: http.StatusGatewayTimeout, Reason: "not served in time", RetryAfter: retryAfter}, nil
	case dispatch.VerdictDuplicateID:
		return &Rejection{Status: http.StatusConflict, Reason: "this id is that of an open request", RetryAfter: retryAfter}, nil
	}
	return &Rejection{Status: http.StatusServiceUnavailable, Reason: "try again", RetryAfter: retryAfter}, nil
}
