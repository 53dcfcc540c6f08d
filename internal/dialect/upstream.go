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

// Upstream implements the engine side of the dialect.
type Upstream struct{ HealthPath string }

var _ upstream.Dialect = Upstream{}

// EncodeRequest implements upstream.Dialect. The deadline header holds the time that remains for the client's request, even if the
// timeout of the attempt for its first event is shorter.
func (Upstream) EncodeRequest(request *upstream.Request, attempt *dispatch.StartAttempt, _ time.Duration, _ *trace.Context) []byte {
	b := make([]byte, 0, headBytes+len(request.Header)+len(request.Body))
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, request.Host...)
	b = append(b, "\r\n"...)
	b = append(b, request.Header...)
	b = append(b, deadlineHeader+": "...)
	b = strconv.AppendInt(b, max(time.Until(request.Deadline).Milliseconds(), 1), 10)
	b = append(b, "\r\n"+expectHeader+": "...)
	b = append(b, attempt.HostName...)
	if request.WithContentLength {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(request.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, request.Body...)
}

// MatchResponse implements upstream.Dialect. Engines return the ID of the request in the response. A request without an ID gets a
// response without one (status 400).
func (Upstream) MatchResponse(request *upstream.Request, resp *http.Response) upstream.ResponseMatch {
	switch ids := resp.Header[idHeader]; {
	case len(ids) == 0 && request.CallID == "", len(ids) == 1 && ids[0] == request.CallID:
		return upstream.MatchThisRequest
	case len(ids) == 1:
		return upstream.MatchOtherRequest
	}
	return upstream.MatchUnknown
}

// Classify implements upstream.Dialect. A response with the header X-Not-Executed means that the engine was full, except with status
// 400.
func (Upstream) Classify(resp *http.Response) policy.Result {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return policy.ResultConnectFailed // another engine is at the address
	case resp.Header.Get(notRunHeader) != "" && resp.StatusCode != http.StatusBadRequest:
		return policy.ResultFull
	case resp.StatusCode >= http.StatusInternalServerError, impliesNotRun(resp.StatusCode):
		return policy.ResultError
	}
	return policy.ResultOK
}

// MayRunTruncated implements upstream.Dialect. An engine may run a request that it received only in part before a reset.
func (Upstream) MayRunTruncated() bool { return true }

// IsEventStream implements upstream.Dialect by the status and the content type.
func (Upstream) IsEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

const (
	idleSlack          = 600 * time.Millisecond // longest time that a request takes to reach the engine
	idleDefault        = 300 * time.Millisecond // for responses without a Keep-Alive timeout
	maxIdleSeconds     = 86400                  // timeouts of a day or longer are ignored
	keepAliveParameter = "timeout="
)

// IdleTimeout implements upstream.Dialect. It returns the timeout of the Keep-Alive header minus idleSlack, so that the router closes
// an idle connection before the engine does.
func (Upstream) IdleTimeout(resp *http.Response) time.Duration {
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), keepAliveParameter)
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 && seconds < maxIdleSeconds {
			return time.Duration(seconds)*time.Second - idleSlack
		}
	}
	return idleDefault
}

// HealthCheckPath implements upstream.Dialect. The path is the same for all engines.
func (u Upstream) HealthCheckPath(*upstream.LoadReporting) string { return u.HealthPath }
