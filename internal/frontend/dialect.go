package frontend

import (
	"net/http"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// Dialect defines the format of client requests and responses. Many connections call its methods concurrently.
type Dialect interface {
	// Route determines the destination of a request from its head. If it rejects the request, the body is read within the bounds
	// before the rejection is written, so that the connection can stay open.
	Route(req *http.Request) (Destination, *Rejection)
	// BuildRequest builds the request for the dispatcher from a head and a complete body, or rejects it.
	BuildRequest(req *http.Request, dst *Destination, body []byte) (Request, *Rejection)
	// BuildResponseHead builds the head of a forwarded response. resp is nil if the upstream did not report a head.
	BuildResponseHead(r *Request, resp *http.Response) ResponseHead
	// KeepErrorResponse returns what to keep of an upstream response that is not forwarded; nil = nothing.
	KeepErrorResponse(r *Request, result policy.Result, resp *http.Response, body []byte) *ErrorResponse
	// Reject builds the response to a request that no attempt answered: either a rejection or an error response. mayHaveRun
	// reports that an engine may have run the request. kept is the last result of KeepErrorResponse, or nil.
	Reject(r *Request, verdict dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool, kept *ErrorResponse) (*Rejection, *ErrorResponse)
}

// Destination is the pool and the target that a request is routed to.
type Destination struct {
	Pool         *directory.Pool // nil = the request is rejected after its body has been read
	Target, Host string          // as sent upstream
	BodyDeadline time.Time       // zero = the deadline of the head applies to the body as well
	DialectData  any             // for use by the dialect only
}

// Request is a complete client request.
type Request struct {
	Policy   policy.Request   // input of the decision module
	Upstream upstream.Request // request sent to the engine
	// MaxAttempts bounds the number of attempts in addition to the bound of the pool; 0 = no additional bound.
	MaxAttempts int
	// ClientRequestID identifies the request; a pool accepts only one open request with the same ID. "" = no ID.
	ClientRequestID string
	// DialectData is for use by the dialect only, in BuildResponseHead, KeepErrorResponse and Reject.
	DialectData any
}

// ResponseHead is the head of a response to the client.
type ResponseHead struct {
	Lines         []byte // status line and headers with line ends, without headers for connection or framing
	ContentLength int64  // of the body; -1 = chunked
	NoBody        bool   // no body follows, whatever ContentLength is
}

// ErrorResponse is a complete upstream response that was not forwarded.
type ErrorResponse struct {
	Result policy.Result
	ResponseHead
	Body []byte
}

// Rejection is a response that the frontend creates itself.
type Rejection struct {
	Status          int
	Reason          string        // the body, without the line end
	Allow           string        // value of the Allow header; "" = none
	RetryAfter      time.Duration // value of the Retry-After header; 0 = none
	CloseConnection bool          // close the connection after the response

	bodyUnread bool // the rest of the request was not read, so the connection closes
	uncounted  bool // the response to a health check, which does not count as a rejection
}
