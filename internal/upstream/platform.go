package upstream

import (
	"net/http"
	"strconv"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// platform is the dialect of the platform that notchhinge serve runs on.
type platform struct{}

// rejectedHeader marks a 503 or 504 by which an endpoint rejected a request that it did not run.
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

// MatchResponse implements Dialect: the platform's responses do not name their request.
func (platform) MatchResponse(*Request, *http.Response) ResponseMatch { return MatchThisRequest }

// IsEventStream implements Dialect.
func (platform) IsEventStream(*http.Response) bool { return true }

// IdleTimeout implements Dialect.
func (platform) IdleTimeout(*http.Response) time.Duration { return 0 }

// MayRunTruncated implements Dialect: the platform promises that a request never runs before its last byte was written.
func (platform) MayRunTruncated() bool { return false }

// HealthCheckPath implements Dialect.
func (platform) HealthCheckPath(r *LoadReporting) string {
	if r.StatsPath {
		return "/stats"
	}
	return "/health/live"
}

// EncodeRequest implements Dialect: the budget is what is left of the attempt's time, in microseconds.
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
