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

// readResponse reads the head of the response to a request; req is nil for a health check. It skips a bounded number of interim
// responses and of complete responses to other requests: an extra response of a faulty endpoint arrives in place of the next one.
// A connection that carried an extra response is not reused.
//
// deadline bounds the wait for the first byte of the response; zero means that dispatch bounds it by cancelling the attempt. After
// the first byte, the first event must arrive within Limits.FirstEventTimeout. firstByteAt is the time of the first byte, or zero
// if none arrived.
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

// readHead reads and parses the head of a response. It rejects a head with ambiguous framing and a head that contains the status
// line of another response.
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

// discardBody reads and discards the body of a response to another request. It returns an error if no further response can follow
// or if the body reaches limits.MaxDiscardedBody bytes.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limits.MaxDiscardedBody))
	if err != nil || n == limits.MaxDiscardedBody || resp.Close {
		return cmp.Or(err, errMalformedResponse)
	}
	return nil
}
