package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/policy"
)

// forwardEventStream waits for the first event and for the attempt to be bound, and then forwards the stream.
func (a *attempt) forwardEventStream(ctx context.Context, resp *http.Response) policy.Result {
	lim := &a.transport.cfg.Limits
	events := &eventReader{body: resp.Body, maxBytes: lim.StreamEventBytes, buf: make([]byte, 0, lim.ControlReadBytes)}
	part, err := events.next()
	if len(part) == 0 {
		if errors.Is(err, io.EOF) {
			return policy.ResultError // a complete body without any event
		}
		return failureResult(err)
	}
	if a.times != nil {
		a.stamp(&a.times.FirstEvent, time.Now())
	}
	if !a.waitForBind(ctx) {
		return policy.ResultCancelled
	}
	a.observeHead(resp)
	readErr, writeErr := a.copyEvents(events, part, err)
	if writeErr != nil {
		return a.clientLeft()
	}
	return a.finish(resp, readErr)
}

// copyEvents forwards the events of a stream until a read or a write returns an error; the read error at the end of the stream is
// io.EOF. part and readErr are the result of the first read, which precedes the call.
func (a *attempt) copyEvents(events *eventReader, part []byte, readErr error) (_, writeErr error) {
	var writingSince time.Time // set for traced attempts only
	if a.times != nil {
		writingSince = time.Now()
		a.stamp(&a.times.Bound, writingSince)
	}
	for {
		a.inspect(part)
		if err := a.downstream.WriteBody(part); err != nil {
			return nil, err
		}
		if readErr != nil {
			return readErr, nil
		}
		now := time.Now()
		a.conn.SetReadDeadline(now.Add(a.transport.cfg.Limits.StreamIdleTimeout))
		if a.times != nil {
			a.times.Relay += now.Sub(writingSince)
		}
		part, readErr = events.next()
		if len(part) == 0 && readErr != nil {
			return readErr, nil
		}
		if a.times != nil {
			writingSince = time.Now()
		}
	}
}

// forwardBody forwards a response that is not an event stream. It fills its buffer before the attempt waits to be bound: if the
// response is truncated within that part, dispatch can still try another endpoint.
func (a *attempt) forwardBody(ctx context.Context, resp *http.Response) policy.Result {
	lim := &a.transport.cfg.Limits
	a.conn.SetReadDeadline(time.Now().Add(lim.FirstEventTimeout))
	size := int64(2 * lim.ControlReadBytes) // for a body of unknown length
	if resp.ContentLength >= 0 {
		size = min(resp.ContentLength+1, int64(lim.StreamEventBytes))
	}
	buf := make([]byte, size)
	n, complete, err := readAhead(resp, buf)
	if err != nil {
		return failureResult(err)
	}
	if !a.waitForBind(ctx) {
		a.reusable = complete && !resp.Close
		return policy.ResultCancelled
	}
	a.observeHead(resp)
	if complete {
		err = io.EOF
	}
	for {
		if n > 0 {
			if err := a.downstream.WriteBody(buf[:n]); err != nil {
				return a.clientLeft()
			}
		}
		if err != nil {
			return a.finish(resp, err)
		}
		a.conn.SetReadDeadline(time.Now().Add(lim.StreamIdleTimeout))
		n, err = resp.Body.Read(buf)
	}
}

// readAhead reads a body until buf is full or the body is complete.
func readAhead(resp *http.Response, buf []byte) (n int, complete bool, _ error) {
	chunked := len(resp.TransferEncoding) > 0
	n, err := io.ReadFull(resp.Body, buf)
	switch {
	case err == nil:
		return n, false, nil
	case errors.Is(err, io.EOF) && n == 0: // no body
		return 0, true, nil
	case !errors.Is(err, io.ErrUnexpectedEOF):
		return n, false, err
	case resp.ContentLength >= 0 && int64(n) < resp.ContentLength:
		return n, false, err
	case resp.ContentLength < 0 && !chunked: // the end of the connection does not prove that the body is complete
		return n, false, io.ErrUnexpectedEOF
	}
	// io.ReadFull returns ErrUnexpectedEOF for a short body, and net/http for a truncated chunked body. A second read returns EOF
	// only for the complete one.
	if _, err := resp.Body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return n, false, io.ErrUnexpectedEOF
	}
	return n, true, nil
}

// finish ends a forwarded response after reading it ended with readErr, and returns the attempt's result.
func (a *attempt) finish(resp *http.Response, readErr error) policy.Result {
	// A response that ends with its connection may have been truncated; only explicit framing proves that it is complete.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	complete := framed && errors.Is(readErr, io.EOF)
	a.reusable = complete && !resp.Close
	writeErr := a.downstream.Finish(complete)
	switch {
	case !complete && errors.Is(readErr, os.ErrDeadlineExceeded):
		return policy.ResultReset // the response began and then stalled
	case !complete:
		return failureResult(readErr)
	case writeErr != nil:
		return a.clientLeft()
	default:
		return policy.ResultOK
	}
}

// clientLeft reports to dispatch that a write to the client failed. The attempt counts as cancelled: the endpoint is not at fault.
func (a *attempt) clientLeft() policy.Result {
	a.transport.cfg.Post(dispatch.ClientLeft{Client: a.start.Client})
	return policy.ResultCancelled
}

func (a *attempt) observeHead(resp *http.Response) {
	if o, ok := a.downstream.(HeadObserver); ok {
		o.ObserveHead(resp)
	}
}
