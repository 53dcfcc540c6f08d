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

// Is it safe to retry an attempt that failed? Its result says so:
//
//	ConnectFailed  safe: no connection, or too little of the request was written for it to run, or the response says that
//	               another host than the one that was meant got it
//	Full           safe: the endpoint says that it rejected the request (Dialect.Classify)
//	Reset          may have run: the connection ended after the request was written
//	Error          may have run: a response that came and cannot be read, or does not end, or is an error
//	Cancelled      not a failure: dispatch gave the attempt up, or the client left
//
// Time-outs are dispatch's, which cancels the attempt. Whether a request that may have run is retried is the policy's to decide,
// by whether it is idempotent. That a reset came on a stale connection is reported beside it (AttemptEnded.StaleConnection):
// it says nothing against the endpoint, but does not prove that the request did not run.

// errMalformedResponse is a response that cannot be read, on a connection that works: its endpoint is alive, and may have run
// the request.
var errMalformedResponse = errors.New("malformed response")

// truncatedResponseWait is how long the response is waited for to a request whose connection broke while it was written.
const truncatedResponseWait = 100 * time.Millisecond

// mayHaveRun reports whether a request may run of which so many bytes were written before its connection broke.
func (t *Transport) mayHaveRun(written int) bool {
	return written > 0 && t.cfg.Dialect.MayRunTruncated()
}

// failureResult returns the result of an attempt whose response broke off with err after the request was written. One that
// ended with its connection is a reset; one that cannot be read, or does not come to its end in time, is an error.
func failureResult(err error) policy.Result {
	var opErr *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // an OpError, too
		return policy.ResultError
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe), errors.As(err, &opErr):
		return policy.ResultReset
	default:
		return policy.ResultError
	}
}

// noteStale reports whether a connection that ended without any byte of a response had served before. Its endpoint may have
// closed it long ago, which says nothing of the endpoint now. The idle connections to it are likely dead as well, and closed.
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

// checkIdleConnectionsLost tells an endpoint that lost its idle connections from one that has ended: the first accepts a new
// connection, which is kept.
func (t *Transport) checkIdleConnectionsLost(ctx context.Context, ep endpoint) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.Limits.ConnectTimeout)
	defer cancel()
	if cn, err := t.conns.get(ctx, ep, connOptions{timeout: t.cfg.Limits.ConnectTimeout}); err == nil {
		t.conns.put(cn)
		t.cfg.OnIdleConnectionsLost()
	}
}
