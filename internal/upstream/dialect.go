package upstream

import (
	"net/http"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// Dialect is what requests to endpoints and their responses look like. A Transport without one speaks the platform's.
type Dialect interface {
	// EncodeRequest returns the bytes of a request, its body included. left is what is left of the attempt's time; span is nil
	// where nothing is traced.
	EncodeRequest(r *Request, e *dispatch.StartAttempt, remaining time.Duration, span *trace.Context) []byte
	// MatchResponse says which request a response belongs to: a faulty endpoint may send one more than it was asked for.
	MatchResponse(r *Request, resp *http.Response) ResponseMatch
	// Classify returns the attempt's result by the response's head. A response that is policy.ResultOK is forwarded.
	Classify(resp *http.Response) policy.Result
	// IsEventStream reports whether the body of a forwarded response is a stream of server-sent events.
	IsEventStream(resp *http.Response) bool
	// IdleTimeout is how long the response's connection may stay idle; 0 = as long as the limits allow, negative = not at all.
	IdleTimeout(resp *http.Response) time.Duration
	// HealthCheckPath is the path of a health check.
	HealthCheckPath(r *LoadReporting) string
	// MayRunTruncated reports whether an endpoint may run a request of which only a part was written.
	MayRunTruncated() bool
}

// ResponseMatch says which request a response belongs to.
type ResponseMatch uint8

// The matches.
const (
	MatchThisRequest  ResponseMatch = iota
	MatchOtherRequest               // discarded; the response to this one may follow
	MatchUnknown                    // it does not say, so that it may belong to either
)
