package issuer

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

// Judge implements Dialect.
func (platform) Judge(resp *http.Response) policy.Result {
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

// Whose implements Dialect: the platform's answers do not say.
func (platform) Whose(*Order, *http.Response) Whose { return Own }

// Streams implements Dialect.
func (platform) Streams(*http.Response) bool { return true }

// Idle implements Dialect.
func (platform) Idle(*http.Response) time.Duration { return 0 }

// CutRuns implements Dialect: the platform promises that what was not written to its last byte never runs.
func (platform) CutRuns() bool { return false }

// Probe implements Dialect.
func (platform) Probe(r *Reports) string {
	if r.Stats {
		return "/stats"
	}
	return "/health/live"
}

// Head writes an order out, with the time that is left as its budget and the span that it belongs to, if any.
func (platform) Head(o *Order, _ *dispatch.StartAttempt, left time.Duration, span *trace.Context) []byte {
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
