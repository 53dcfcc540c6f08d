package dialect

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/trace"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// Upstream is the dialect of the fleet's engines.
type Upstream struct{ HealthPath string }

var _ upstream.Dialect = Upstream{}

// EncodeRequest implements upstream.Dialect. The time that is left is the client's, whatever an attempt may take for its first
// event.
func (Upstream) EncodeRequest(o *upstream.Request, e *dispatch.StartAttempt, _ time.Duration, _ *trace.Context) []byte {
	b := make([]byte, 0, headBytes+len(o.Header)+len(o.Body))
	b = append(b, o.Method...)
	b = append(b, ' ')
	b = append(b, o.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, o.Host...)
	b = append(b, "\r\n"...)
	b = append(b, o.Header...)
	b = append(b, deadlineHeader+": "...)
	b = strconv.AppendInt(b, max(time.Until(o.Deadline).Milliseconds(), 1), 10)
	b = append(b, "\r\n"+expectHeader+": "...)
	b = append(b, e.HostName...)
	if o.WithContentLength {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(o.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, o.Body...)
}

// MatchResponse implements upstream.Dialect: engines repeat the id of the request. To a request without one an engine answers 400,
// which repeats none.
func (Upstream) MatchResponse(o *upstream.Request, resp *http.Response) upstream.ResponseMatch {
	switch ids := resp.Header[idHeader]; {
	case len(ids) == 0 && o.CallID == "", len(ids) == 1 && ids[0] == o.CallID:
		return upstream.MatchThisRequest
	case len(ids) == 1:
		return upstream.MatchOtherRequest
	}
	return upstream.MatchUnknown
}

// Classify implements upstream.Dialect.
func (Upstream) Classify(resp *http.Response) policy.Result {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return policy.ResultConnectFailed // another engine is at the address
	case resp.Header.Get(notRunHeader) != "" && resp.StatusCode != http.StatusBadRequest:
		return policy.ResultFull
	case resp.StatusCode >= http.StatusInternalServerError, promisesNotRun(resp.StatusCode):
		return policy.ResultError
	}
	return policy.ResultOK
}

// MayRunTruncated implements upstream.Dialect: after a reset a request may have run, even if it had not come completely.
func (Upstream) MayRunTruncated() bool { return true }

// IsEventStream implements upstream.Dialect.
func (Upstream) IsEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

const (
	idleSlack          = 600 * time.Millisecond // what a request takes to reach its engine
	idleDefault        = 300 * time.Millisecond // where an engine announces nothing
	maxIdleSeconds     = 86400
	keepAliveParameter = "timeout="
)

// IdleTimeout implements upstream.Dialect: as long as the engine announces, less the time that a request takes to get there.
func (Upstream) IdleTimeout(resp *http.Response) time.Duration {
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), keepAliveParameter)
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s > 0 && s < maxIdleSeconds {
			return time.Duration(s)*time.Second - idleSlack
		}
	}
	return idleDefault
}

// HealthCheckPath implements upstream.Dialect.
func (u Upstream) HealthCheckPath(*upstream.LoadReporting) string { return u.HealthPath }
