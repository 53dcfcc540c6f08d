package upstream

import (
	"net/http"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Dialect defines the format of requests to endpoints and of their responses. The default is the dialect of the platform.
type Dialect interface {
	// EncodeRequest returns the bytes of a request, including its body. remaining is what remains of the attempt's timeout; span
	// is nil if the attempt is not traced.
	EncodeRequest(r *Request, e *dispatch.StartAttempt, remaining time.Duration, span *trace.Context) []byte
	// MatchResponse determines which request a response belongs to, since a faulty endpoint may send an extra response.
	MatchResponse(r *Request, resp *http.Response) ResponseMatch
	// Classify returns the result of an attempt with this response head. A response is forwarded if the result is policy.ResultOK.
	Classify(resp *http.Response) policy.Result
	// IsEventStream reports whether the body of a forwarded response is a stream of server-sent events.
	IsEventStream(resp *http.Response) bool
	// IdleTimeout returns how long the connection of the response may stay idle; 0 = the limit of the Transport, negative = the
	// connection must not be reused.
	IdleTimeout(resp *http.Response) time.Duration
	// HealthCheckPath returns the request path of a health check.
	HealthCheckPath(r *LoadReporting) string
	// MayRunTruncated reports whether an endpoint may run a request that was written only in part.
	MayRunTruncated() bool
}

// ResponseMatch states which request a response belongs to.
type ResponseMatch uint8

// Values of ResponseMatch.
const (
	MatchThisRequest  ResponseMatch = iota // the response is used
	MatchOtherRequest                      // the response is discarded; the response to this request may follow
	MatchUnknown                           // the response does not identify its request
)
