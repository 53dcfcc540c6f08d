package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/trace"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// openRequest is a request that was passed to the dispatcher and is not yet answered. It is the dispatch.Client of its events and
// the upstream.Downstream of its attempts.
//
// Only the attempt that the dispatcher has bound writes the response (ObserveHead, WriteBody, Finish). Other attempts may call
// UpstreamRequest and ReadErrorResponse concurrently.
type openRequest struct {
	conn *conn
	Request
	pool       hoststate.PoolID
	receivedAt time.Duration // when the last byte was received
	origin     *trace.Origin // nil = not traced

	reservation reservation // released once, when the request ends or the client disconnects
	releaseOnce sync.Once

	head            ResponseHead // of the response
	headWritten     bool
	closeConnection bool // close the connection after the response

	errorResponseMu sync.Mutex
	errorResponse   *ErrorResponse // the last response that was not forwarded

	ended     atomic.Bool   // no further write starts
	keepAlive bool          // the connection stays open; valid once done is closed
	done      chan struct{} // closed when the response is complete
}

var (
	_ upstream.Downstream          = (*openRequest)(nil)
	_ upstream.HeadObserver        = (*openRequest)(nil)
	_ upstream.ErrorResponseReader = (*openRequest)(nil)
)

var errRequestEnded = errors.New("the request has ended")

// receivedEvent returns the event that passes the request to the dispatcher.
func (r *openRequest) receivedEvent() dispatch.RequestReceived {
	return dispatch.RequestReceived{
		Client: r, Pool: r.pool, ClientRequestID: r.ClientRequestID, ReceivedAt: r.receivedAt, Request: r.Policy,
		MaxAttempts: r.MaxAttempts, Origin: r.origin,
	}
}

// UpstreamRequest implements upstream.Downstream.
func (r *openRequest) UpstreamRequest() *upstream.Request { return &r.Upstream }

// ObserveHead implements upstream.HeadObserver.
func (r *openRequest) ObserveHead(resp *http.Response) {
	r.head = r.conn.server.Dialect.BuildResponseHead(&r.Request, resp)
}

// ReadErrorResponse implements upstream.ErrorResponseReader. It keeps a small error response, because the client receives it if no
// attempt succeeds and the dialect allows it.
func (r *openRequest) ReadErrorResponse(result policy.Result, resp *http.Response, engine net.Conn) (complete bool) {
	const (
		maxBytes = 16 << 10
		maxWait  = 500 * time.Millisecond
	)
	engine.SetReadDeadline(time.Now().Add(maxWait))
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil || len(body) > maxBytes {
		return false
	}
	if kept := r.conn.server.Dialect.KeepErrorResponse(&r.Request, result, resp, body); kept != nil {
		r.errorResponseMu.Lock()
		r.errorResponse = kept
		r.errorResponseMu.Unlock()
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// WriteBody implements upstream.Downstream. It sends each part in a single write; the first one includes the response head.
func (r *openRequest) WriteBody(part []byte) error {
	const overhead = 192 // approximate size of a head or of the framing of a chunk, in bytes
	if r.ended.Load() {
		return errRequestEnded
	}
	b := r.appendHeadOnce(make([]byte, 0, len(part)+overhead))
	b = r.appendBody(b, part)
	err := r.conn.write(b)
	if err != nil {
		r.conn.Close() // also unblocks the read in conn.serve
	}
	return err
}

// Finish implements upstream.Downstream. After an incomplete response it closes the connection without writing the last chunk.
func (r *openRequest) Finish(complete bool) error {
	var err error
	if complete {
		r.ended.Store(true)
		b := r.appendHeadOnce(nil) // not yet written if the body is empty
		if r.head.ContentLength < 0 && !r.head.NoBody {
			b = append(b, "0\r\n\r\n"...)
		}
		if len(b) > 0 {
			err = r.conn.write(b)
		}
	}
	// A response that began before a drain does not announce the close in its head. The connection is closed nevertheless,
	// because the client could otherwise keep it open indefinitely.
	r.end(complete && err == nil && !r.closeConnection && !r.conn.server.closesAfterResponse())
	return err
}

// Reject answers a request that no attempt answered. It is for dialects whose response does not depend on whether the request may
// have run; see RejectAfterAttempts.
func (r *openRequest) Reject(verdict dispatch.Verdict, retryAfter time.Duration) {
	r.RejectAfterAttempts(verdict, retryAfter, false)
}

// RejectAfterAttempts answers a request that no attempt answered. mayHaveRun reports that an engine may have run it.
func (r *openRequest) RejectAfterAttempts(verdict dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool) {
	server := r.conn.server
	r.errorResponseMu.Lock()
	kept := r.errorResponse
	r.errorResponseMu.Unlock()
	rejection, errorResponse := server.Dialect.Reject(&r.Request, verdict, retryAfter, mayHaveRun, kept)
	r.ended.Store(true)
	var keepAlive bool
	if errorResponse != nil {
		r.head, r.closeConnection = errorResponse.ResponseHead, r.closeConnection || server.closesAfterResponse()
		b := r.appendBody(r.appendHead(nil), errorResponse.Body)
		keepAlive = r.conn.write(b) == nil && !r.closeConnection
	} else {
		rejection.CloseConnection = rejection.CloseConnection || r.closeConnection
		keepAlive = r.conn.writeRejection(rejection)
	}
	if r.origin != nil {
		server.Post(dispatch.RejectionWritten{Client: r, At: server.Now()})
	}
	r.end(keepAlive)
}

// appendHeadOnce appends the head of the forwarded response unless it was already written.
func (r *openRequest) appendHeadOnce(b []byte) []byte {
	if r.headWritten {
		return b
	}
	r.headWritten = true
	r.closeConnection = r.closeConnection || r.conn.server.closesAfterResponse()
	return r.appendHead(b)
}

// appendHead appends the head of the response, including the headers for connection and framing.
func (r *openRequest) appendHead(b []byte) []byte {
	if r.head.Lines == nil {
		r.head = r.conn.server.Dialect.BuildResponseHead(&r.Request, nil)
	}
	b = append(b, r.head.Lines...)
	if r.closeConnection {
		b = append(b, "Connection: close\r\n"...)
	}
	switch {
	case r.head.NoBody && r.head.ContentLength < 0:
		return append(b, "\r\n"...)
	case r.head.ContentLength < 0:
		return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, r.head.ContentLength, 10)
	return append(b, "\r\n\r\n"...)
}

// appendBody appends a part of the body, encoded as a chunk if the length of the body is unknown.
func (r *openRequest) appendBody(b, part []byte) []byte {
	if r.head.ContentLength >= 0 || r.head.NoBody {
		return append(b, part...)
	}
	b = strconv.AppendInt(b, int64(len(part)), 16)
	b = append(b, "\r\n"...)
	b = append(b, part...)
	return append(b, "\r\n"...)
}

// end ends the request and closes its connection unless keepAlive is set.
func (r *openRequest) end(keepAlive bool) {
	r.ended.Store(true)
	r.release()
	r.keepAlive = keepAlive
	if keepAlive {
		r.conn.markIdle()
	} else {
		r.conn.Close()
	}
	close(r.done)
}

// release releases the reservation of the request. Further calls have no effect.
func (r *openRequest) release() {
	r.releaseOnce.Do(func() { r.conn.server.release(r.reservation) })
}

// wait waits until the request has ended and reports whether the connection stays open.
func (r *openRequest) wait() bool {
	<-r.done
	return r.keepAlive
}
