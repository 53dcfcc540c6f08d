package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"notchhinge/policy"
)

// The result of a failed attempt states whether a retry is safe, that is, whether the request cannot have run:
//
//	ConnectFailed  safe: there was no connection, or too little of the request was written for it to run, or the response
//	               states that the request reached a host other than the intended one
//	Full           safe: the endpoint rejected the request without running it (Dialect.Classify)
//	Reset          may have run: the connection ended after the request was written
//	Error          may have run: the response is malformed, does not end in time, or is an error response
//	Cancelled      not a failure: dispatch cancelled the attempt, or the client disconnected
//
// Dispatch enforces the attempt's timeout by cancelling the attempt. The policy decides whether a request that may have run is
// retried, depending on whether it is idempotent. AttemptEnded.StaleConnection marks a reset on a stale connection. Such a reset
// does not count against the endpoint, but it does not prove that the request did not run.

// errMalformedResponse reports a response that violates the protocol, on a working connection. The endpoint is alive and may have
// run the request.
var errMalformedResponse = errors.New("malformed response")

// truncatedResponseWait bounds the wait for a response after the connection failed while the request was being written.
const truncatedResponseWait = 100 * time.Millisecond

// mayHaveRun reports whether a request may have run if its connection failed after this number of bytes was written.
func (t *Transport) mayHaveRun(written int) bool {
	return written > 0 && t.cfg.Dialect.MayRunTruncated()
}

// failureResult returns the result of an attempt whose request was written and whose response could not be read because of err. The
// end of the connection is a reset; a malformed or late response is an error.
func failureResult(err error) policy.Result {
	var opErr *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // checked first, because it is an OpError as well
		return policy.ResultError
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe), errors.As(err, &opErr):
		return policy.ResultReset
	default:
		return policy.ResultError
	}
}

// handleStale reports whether a connection that ended before any byte of a response is stale, that is, was reused after an idle
// period. The endpoint may have closed it long ago, which does not indicate a failure now. The other idle connections to the host
// are probably dead as well, so handleStale closes them.
func (t *Transport) handleStale(ctx context.Context, cn *conn) bool {
	if cn.idleID == 0 {
		return false
	}
	t.conns.closeIdleToHost(cn.endpoint)
	if t.cfg.OnIdleConnectionsLost != nil {
		t.cfg.Go(func() { t.checkIdleConnectionsLost(context.WithoutCancel(ctx), cn.endpoint) })
	}
	return true
}

// checkIdleConnectionsLost dials an endpoint whose idle connections ended. If it accepts a new connection, it is still running and
// only the idle connections were lost: the new connection is kept and OnIdleConnectionsLost is called.
func (t *Transport) checkIdleConnectionsLost(ctx context.Context, ep endpoint) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Limits.ConnectTimeout)
	defer cancel()
	if cn, err := t.conns.get(ctx, ep, connOptions{timeout: t.cfg.Limits.ConnectTimeout}); err == nil {
		t.conns.put(cn)
		t.cfg.OnIdleConnectionsLost()
	}
}
