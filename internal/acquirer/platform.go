package acquirer

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

// Lead implements Dialect: a message's pool is found by its host, path, method, class and headers.
func (p platform) Lead(req *http.Request) (w Way, d *Refusal) {
	s := p.Server
	path, query, asks := strings.Cut(req.RequestURI, "?") // as it came, for so it is passed on
	switch path {
	case readyPath, livePath:
		switch {
		case req.Method != http.MethodGet:
			return w, &Refusal{Status: http.StatusMethodNotAllowed, Reason: "only GET is served here", Allow: "GET", quiet: req.URL.Path == readyPath}
		case path == readyPath && (s.draining.Load() || !s.Ready()):
			return w, &Refusal{Status: http.StatusServiceUnavailable, Reason: "not ready", quiet: req.URL.Path == readyPath}
		}
		return w, &Refusal{Status: http.StatusOK, Reason: "ok", quiet: true}
	}
	at := s.Routes()
	w.Target, w.Host = req.RequestURI, req.Host
	q := route.Query{Path: path, Method: req.Method, Header: req.Header}
	if classes := req.Header[classHeader]; len(classes) == 1 {
		q.Class = classes[0]
	}
	if at.Strict {
		if d := w.spell(req, path, query, asks, &q); d != nil {
			return w, d
		}
	}
	to := at.Table.Lookup(&q)
	if to == nil {
		if allow := at.Table.Methods(&q); len(allow) > 0 {
			list := strings.Join(allow, ", ")
			return w, &Refusal{Status: http.StatusMethodNotAllowed, Reason: "only " + list + " is served here", Allow: list}
		}
		d := &Refusal{Status: http.StatusNotFound, Reason: "no such path"}
		if at.Strict {
			d.Reason = "no_route: no route takes " + q.Method + " " + q.Path + " at " + q.Host
		}
		return w, d
	}
	var conversation uint64
	if to.Splits() {
		if session := req.Header.Get(sessionHeader); session != "" {
			conversation = word(session)
		} else {
			conversation = route.Conversation(req.Header.Get(idHeader))
		}
	}
	w.Pool = at.Find(to, conversation)
	return w, nil
}

// spell brings host and path into their one spelling, in which they are both routed and sent on.
func (w *Way) spell(req *http.Request, path, query string, asks bool, q *route.Query) *Refusal {
	// In the absolute form the target's authority is the host, whatever the header says; so net/http has read it.
	if !strings.HasPrefix(path, "/") {
		if req.URL.Scheme != "http" && req.URL.Scheme != "https" || req.URL.User != nil {
			return &Refusal{Status: http.StatusBadRequest, Reason: "bad_target: the target has no form that is served here"}
		}
		path = req.URL.EscapedPath()
		if path == "" {
			path = "/"
		}
	}
	host, port, err := route.SplitHost(req.Host)
	if err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: "bad_host: " + err.Error()}
	}
	if path, err = route.Path(path); err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: "bad_path: " + err.Error()}
	}
	q.Host, q.Path = host, path
	w.Host, w.Target = route.JoinHost(host, port), path
	if asks {
		w.Target += "?" + query
	}
	return nil
}

// Accept implements Dialect.
func (platform) Accept(req *http.Request, w *Way, body []byte) (Message, *Refusal) {
	q, reason := parseRequest(req.Header, w.Pool.Class, w.Pool.MaxBudget)
	switch {
	case reason != "":
	case !httpguts.ValidHostHeader(w.Host), !httpguts.ValidHeaderFieldValue(req.Header.Get("Content-Type")):
		reason = "Host or Content-Type is bad" // they are passed on
	}
	if reason != "" {
		return Message{}, &Refusal{Status: http.StatusBadRequest, Reason: reason}
	}
	id := req.Header.Get(idHeader)
	return Message{Request: q, Name: id, Order: upstream.Request{
		Method: req.Method, Target: w.Target, Host: w.Host, CallID: id, ContentType: req.Header.Get("Content-Type"), Body: body,
	}}, nil
}

// Head implements Dialect: whatever the issuer host's head says beside, the answer is a stream.
func (platform) Head(*Message, *http.Response) Reply {
	return Reply{Head: []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"), Length: -1}
}

// Keep implements Dialect: nothing is kept.
func (platform) Keep(*Message, policy.Result, *http.Response, []byte) *Kept { return nil }

// Close implements Dialect.
func (platform) Close(_ *Message, why dispatch.Verdict, retryAfter time.Duration, _ bool, _ *Kept) (*Refusal, *Kept) {
	switch why {
	case dispatch.VerdictFailed:
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: "not served in time", Retry: retryAfter}, nil
	case dispatch.VerdictDuplicateID:
		return &Refusal{Status: http.StatusConflict, Reason: "this id is that of an open request", Retry: retryAfter}, nil
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: "try again", Retry: retryAfter}, nil
}
