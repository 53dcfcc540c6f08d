package upstream

import (
	"net"
	"net/http"
	"time"

	"notchhinge/policy"
)

// Request is what an attempt sends to its endpoint.
type Request struct {
	Method, Target, Host string
	CallID, ContentType  string
	Body                 []byte

	Header            []byte    // header lines as they are sent; not of the platform's dialect
	WithContentLength bool      // it has a Content-Length; the platform's dialect always sends one
	Deadline          time.Time // when its client gives up; not of the platform's dialect
	// NonIdempotent requests must not run twice: one whose connection turns out to be dead cannot be retried.
	NonIdempotent bool
}

// Downstream is the client's side of an attempt. A dispatch.Client that is given to an attempt has to implement it.
type Downstream interface {
	// UpstreamRequest returns what is to be sent. It may be called by several attempts at once.
	UpstreamRequest() *Request
	// WriteBody passes a part of the response's body on at once; of an event stream, whole events. The part is valid during the
	// call only. An error says that the client has gone.
	WriteBody(part []byte) error
	// Finish ends the response. An incomplete one must not look complete to the client.
	Finish(complete bool) error
}

// HeadObserver is a Downstream that wants the head of the response that it gets, before the first part of its body.
type HeadObserver interface{ ObserveHead(resp *http.Response) }

// ErrorResponseReader is a Downstream that wants to read responses that it does not get: if no attempt does better, one of
// them may be all that there is to say to the client.
type ErrorResponseReader interface {
	// ReadErrorResponse reads the body off conn and reports whether it came to its end.
	ReadErrorResponse(result policy.Result, resp *http.Response, conn net.Conn) (complete bool)
}
