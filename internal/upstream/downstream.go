package upstream

import (
	"net"
	"net/http"
	"time"

	"notchhinge/policy"
)

// Request is the request that an attempt sends to its endpoint.
type Request struct {
	Method, Target, Host string
	CallID, ContentType  string
	Body                 []byte

	Header            []byte    // encoded header lines; unused by the platform's dialect
	WithContentLength bool      // send a Content-Length; the platform's dialect always does
	Deadline          time.Time // the client's deadline; unused by the platform's dialect
	// NonIdempotent marks a request that must not run twice. It cannot be retried after a reset, even if the connection was stale.
	NonIdempotent bool
}

// Downstream is the client side of an attempt. The dispatch.Client of each StartAttempt must implement it.
type Downstream interface {
	// UpstreamRequest returns the request to send. Several attempts may call it concurrently.
	UpstreamRequest() *Request
	// WriteBody writes a part of the response body without delay; in an event stream, a part consists of whole events. The part
	// is valid only during the call. An error means that the client has disconnected.
	WriteBody(part []byte) error
	// Finish ends the response. An incomplete one must not look complete to the client.
	Finish(complete bool) error
}

// HeadObserver is an optional interface of a Downstream. ObserveHead receives the head of the forwarded response before the first
// part of its body.
type HeadObserver interface{ ObserveHead(resp *http.Response) }

// ErrorResponseReader is an optional interface of a Downstream. It reads error responses, which are not forwarded, because the
// client may receive one of them if no attempt succeeds.
type ErrorResponseReader interface {
	// ReadErrorResponse reads the body, which arrives on conn, and reports whether it was read to its end.
	ReadErrorResponse(result policy.Result, resp *http.Response, conn net.Conn) (complete bool)
}
