package frontend

import (
	"net/http"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// Dialect defines what requests and responses of clients look like. Its methods are called by many connections at once.
type Dialect interface {
	// Route finds the destination of a request by its head. Where it rejects the request, the body is read first, within
	// bounds, so that the connection can go on.
	Route(req *http.Request) (Destination, *Rejection)
	// BuildRequest makes a request for the dispatcher out of a head and a complete body, or rejects it.
	BuildRequest(req *http.Request, dst *Destination, body []byte) (Request, *Rejection)
	// BuildResponseHead makes the head of a forwarded response. resp is nil where the upstream reports no head.
	BuildResponseHead(r *Request, resp *http.Response) ResponseHead
	// KeepErrorResponse makes what is kept of an upstream's response that is not forwarded; nil = nothing.
	KeepErrorResponse(r *Request, result policy.Result, resp *http.Response, body []byte) *ErrorResponse
	// Reject makes the response to a request that no attempt answered: a rejection, or an error response of an upstream.
	// kept is the last one that KeepErrorResponse made, if any.
	Reject(r *Request, verdict dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *ErrorResponse) (*Rejection, *ErrorResponse)
}

// Destination is where a request goes.
type Destination struct {
	Pool         *directory.Pool // nil: the request is rejected once its body is read
	Target, Host string          // as the upstream gets them
	BodyDeadline time.Time       // for the body; zero = the deadline of the head holds for both
	DialectData  any             // the dialect's own; no one else reads it
}

// Request is a complete request of a client.
type Request struct {
	Policy   policy.Request   // what the decision module gets
	Upstream upstream.Request // what an engine gets
	// MaxAttempts bounds its attempts; 0 = the pool's bound holds alone.
	MaxAttempts int
	// ClientRequestID names it: one request of a name may be open in a pool. "" = no name.
	ClientRequestID string
	// DialectData is the dialect's own; it comes back in BuildResponseHead, KeepErrorResponse and Reject.
	DialectData any
}

// ResponseHead is the head of a response that is forwarded.
type ResponseHead struct {
	Lines         []byte // status line and headers, each with its end of line; none of them concerns the connection
	ContentLength int64  // of the body; -1 = chunked
	NoBody        bool   // no body follows, whatever ContentLength is
}

// ErrorResponse is a complete small response of an upstream that was not forwarded.
type ErrorResponse struct {
	Result policy.Result
	ResponseHead
	Body []byte
}

// Rejection is a response that the frontend gives by itself.
type Rejection struct {
	Status          int
	Reason          string        // the body, without its end of line
	Allow           string        // the methods, with 405
	RetryAfter      time.Duration // 0 = none
	CloseConnection bool          // the connection ends after it

	bodyUnread bool // the rest of the request may still come in, so that the connection ends after it
	uncounted  bool // it answers a health check: it is no rejection in the counters
}
