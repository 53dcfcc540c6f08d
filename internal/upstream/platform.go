package upstream

import (
	"net/http"
	"strconv"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// platform is the default dialect, used by "notchhinge serve".
type platform struct{}

// rejectedHeader marks a 503 or 504 response as a rejection: the endpoint did not run the request.
const rejectedHeader = "X-Rejected"

// Classify implements Dialect.
func (platform) Classify(resp *http.Response) policy.Result {
	if resp.StatusCode == http.StatusOK {
		return policy.ResultOK
	}
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(rejectedHeader) == "1" {
			return policy.ResultFull
		}
	}
	return policy.ResultError
}

// MatchResponse implements Dialect. The platform's responses do not identify their request, so every response matches.
func (platform) MatchResponse(*Request, *http.Response) ResponseMatch { return MatchThisRequest }

// IsEventStream implements Dialect. Every forwarded response is an event stream.
func (platform) IsEventStream(*http.Response) bool { return true }

// IdleTimeout implements Dialect. The limit of the Transport applies.
func (platform) IdleTimeout(*http.Response) time.Duration { return 0 }

// MayRunTruncated implements Dialect. The platform guarantees that a request does not run before its last byte is written.
func (platform) MayRunTruncated() bool { return false }

// HealthCheckPath implements Dialect.
func (platform) HealthCheckPath(r *LoadReporting) string {
	if r.StatsPath {
		return "/stats"
	}
	return "/health/live"
}

// EncodeRequest implements Dialect. The X-Budget header is what remains of the attempt's timeout, in microseconds.
func (platform) EncodeRequest(r *Request, _ *dispatch.StartAttempt, remaining time.Duration, span *trace.Context) []byte {
	b := make([]byte, 0, 512+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\nX-Call-Id: "...)
	b = append(b, r.CallID...)
	b = append(b, "\r\nX-Budget: "...)
	b = strconv.AppendInt(b, max(remaining.Microseconds(), 1), 10)
	b = append(b, 'u')
	if span != nil {
		b = span.AppendParent(append(b, "\r\nTraceparent: "...))
		if span.State != "" {
			b = append(append(b, "\r\nTracestate: "...), span.State...)
		}
	}
	if r.ContentType != "" {
		b = append(b, "\r\nContent-Type: "...)
		b = append(b, r.ContentType...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}
