package upstream

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"time"

	"notchhinge/internal/framing"
	"notchhinge/internal/limits"
)

// readResponse reads the head of the response to a request; nil = to a health check. It skips interim responses, up to a
// bound, and complete responses to other requests: a faulty endpoint may send one more than it was asked for, which comes
// where the next is due. The connection of such an endpoint is not used again.
//
// deadline bounds the wait for the response's first byte; zero = dispatch bounds it by cancelling the attempt. From there to the
// first event there is Limits.FirstEventTimeout. firstByteAt is when the first byte was there; zero if none came.
func (t *Transport) readResponse(cn *conn, req *Request, deadline time.Time) (_ *http.Response, firstByteAt time.Time, _ error) {
	for range t.cfg.Limits.MaxInterimResponses + 1 {
		if _, err := cn.br.Peek(1); err != nil {
			return nil, firstByteAt, err
		}
		firstByteAt = time.Now()
		if firstEventDeadline := firstByteAt.Add(t.cfg.Limits.FirstEventTimeout); deadline.IsZero() || firstEventDeadline.Before(deadline) {
			cn.SetReadDeadline(firstEventDeadline)
		}
		resp, err := readHead(cn.br)
		if err != nil {
			return nil, firstByteAt, err
		}
		if resp.StatusCode >= http.StatusOK {
			switch t.matchResponse(req, resp) {
			case MatchThisRequest:
				return resp, firstByteAt, nil
			case MatchOtherRequest:
				cn.mustClose = true
				if err := discardBody(resp); err != nil {
					return nil, firstByteAt, err
				}
			case MatchUnknown:
				cn.mustClose = true
				return nil, firstByteAt, errMalformedResponse
			}
		}
		cn.SetReadDeadline(deadline)
	}
	return nil, firstByteAt, errMalformedResponse
}

func (t *Transport) matchResponse(req *Request, resp *http.Response) ResponseMatch {
	if req == nil {
		return MatchThisRequest
	}
	return t.cfg.Dialect.MatchResponse(req, resp)
}

// readHead reads a response's head. It rejects one that says in two ways where its message ends, and one that holds the head
// of another response.
func readHead(br *bufio.Reader) (*http.Response, error) {
	head, err := framing.PeekHead(br)
	if err != nil {
		return nil, err
	}
	if !framing.HasUniqueFraming(head) || framing.ContainsStatusLine(head) {
		return nil, errMalformedResponse
	}
	sanitizeLoadReport(head)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedResponse, err)
	}
	return resp, nil
}

// discardBody reads the body of a response to another request. It fails where no further response can follow, or where the
// body is longer than limits.MaxDiscardedBody.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limits.MaxDiscardedBody))
	if err != nil || n == limits.MaxDiscardedBody || resp.Close {
		return cmp.Or(err, errMalformedResponse)
	}
	return nil
}
