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

const (
	loadHeader     = "X-Load-Report"
	rejectedHeader = "X-Rejected"
)

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

// MatchResponse implements Dialect: the platform's answers do not say.
func (platform) MatchResponse(*Request, *http.Response) ResponseMatch { return MatchThisRequest }

// IsEventStream implements Dialect.
func (platform) IsEventStream(*http.Response) bool { return true }

// IdleTimeout implements Dialect.
func (platform) IdleTimeout(*http.Response) time.Duration { return 0 }

// MayRunTruncated implements Dialect: the platform promises that what was not written to its last byte never runs.
func (platform) MayRunTruncated() bool { return false }

// HealthCheckPath implements Dialect.
func (platform) HealthCheckPath(r *LoadReporting) string {
	if r.OnStatsPath {
		return "/stats"
	}
	return "/health/live"
}

// EncodeRequest writes an order out, with the time that is left as its budget and the span that it belongs to, if any.
func (platform) EncodeRequest(o *Request, _ *dispatch.StartAttempt, left time.Duration, span *trace.Context) []byte {
	b := make([]byte, 0, 512+len(o.Body))
	b = append(b, o.Method...)
	b = append(b, ' ')
	b = append(b, o.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, o.Host...)
	b = append(b, "\r\nX-Call-Id: "...)
	b = append(b, o.CallID...)
	b = append(b, "\r\nX-Budget: "...)
	b = strconv.AppendInt(b, max(left.Microseconds(), 1), 10)
	b = append(b, 'u')
	if span != nil {
		b = span.AppendParent(append(b, "\r\nTraceparent: "...))
		if span.State != "" {
			b = append(append(b, "\r\nTracestate: "...), span.State...)
		}
	}
	if o.ContentType != "" {
		b = append(b, "\r\nContent-Type: "...)
		b = append(b, o.ContentType...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(o.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, o.Body...)
}
