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

// openRequest is one that is open, and the customer of the legs made for it.
type openRequest struct {
	conn *conn
	Request
	receivedAt      time.Duration  // of its last byte
	head            ResponseHead   // the head of what is passed on
	errorResponse   *ErrorResponse // the last answer that was not passed on
	errorResponseMu sync.Mutex
	origin          *trace.Origin // nil where nothing is traced
	pool            hoststate.PoolID
	reservation     reservation // counted until the end
	releaseOnce     sync.Once
	closeConnection bool // the acquirer wants the connection closed after it
	headWritten     bool // the head of a stream is written
	ended           atomic.Bool
	keepAlive       bool // the connection goes on after it
	done            chan struct{}
}

var (
	_ upstream.Downstream          = (*openRequest)(nil)
	_ upstream.HeadObserver        = (*openRequest)(nil)
	_ upstream.ErrorResponseReader = (*openRequest)(nil)
)

// UpstreamRequest implements upstream.Downstream.
func (a *openRequest) UpstreamRequest() *upstream.Request { return &a.Request.Upstream }

// ObserveHead implements upstream.HeadObserver.
func (a *openRequest) ObserveHead(resp *http.Response) {
	a.head = a.conn.server.Dialect.BuildResponseHead(&a.Request, resp)
}

var errRequestEnded = errors.New("the authorisation is over")

// WriteBody implements upstream.Downstream: whole events leave in one write.
func (a *openRequest) WriteBody(events []byte) error {
	if a.ended.Load() {
		return errRequestEnded
	}
	b := make([]byte, 0, len(events)+192)
	if !a.headWritten {
		a.headWritten = true
		a.closeConnection = a.closeConnection || a.conn.server.closesAfterResponse()
		b = a.appendHead(b)
	}
	b = a.appendBody(b, events)
	err := a.conn.write(b)
	if err != nil {
		a.conn.Close() // so that the reader of the connection ends, too
	}
	return err
}

// ReadErrorResponse implements upstream.ErrorResponseReader: a small answer that is not passed on is kept, for it may be all there is to tell.
func (a *openRequest) ReadErrorResponse(result policy.Result, resp *http.Response, line net.Conn) (whole bool) {
	const small, soon = 16 << 10, 500 * time.Millisecond
	line.SetReadDeadline(time.Now().Add(soon))
	body, err := io.ReadAll(io.LimitReader(resp.Body, small+1))
	if err != nil || len(body) > small {
		return false
	}
	if k := a.conn.server.Dialect.KeepErrorResponse(&a.Request, result, resp, body); k != nil {
		a.errorResponseMu.Lock()
		a.errorResponse = k
		a.errorResponseMu.Unlock()
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// appendHead writes the head of the answer that is passed on.
func (a *openRequest) appendHead(b []byte) []byte {
	if a.head.Lines == nil {
		a.head = a.conn.server.Dialect.BuildResponseHead(&a.Request, nil)
	}
	b = append(b, a.head.Lines...)
	if a.closeConnection {
		b = append(b, "Connection: close\r\n"...)
	}
	switch {
	case a.head.NoBody && a.head.ContentLength < 0:
		return append(b, "\r\n"...)
	case a.head.ContentLength < 0:
		return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, a.head.ContentLength, 10)
	return append(b, "\r\n\r\n"...)
}

// appendBody writes a part of the body, as a chunk where it has no length.
func (a *openRequest) appendBody(b, part []byte) []byte {
	if a.head.ContentLength >= 0 || a.head.NoBody {
		return append(b, part...)
	}
	b = strconv.AppendInt(b, int64(len(part)), 16)
	b = append(b, "\r\n"...)
	b = append(b, part...)
	return append(b, "\r\n"...)
}

// Finish implements upstream.Downstream. A broken stream closes the connection without the last chunk.
func (a *openRequest) Finish(whole bool) error {
	var err error
	if whole {
		a.ended.Store(true)
		var b []byte
		if !a.headWritten { // it has no body
			a.headWritten = true
			a.closeConnection = a.closeConnection || a.conn.server.closesAfterResponse()
			b = a.appendHead(b)
		}
		if a.head.ContentLength < 0 && !a.head.NoBody {
			b = append(b, "0\r\n\r\n"...)
		}
		if len(b) > 0 {
			err = a.conn.write(b)
		}
	}
	// A stream that began before a drain has no word of it in its head; its connection is closed all the same,
	// lest the acquirer use it for ever.
	a.end(whole && err == nil && !a.closeConnection && !a.conn.server.closesAfterResponse())
	return err
}

// Reject does broker.Decline where it makes no difference whether a leg may have run.
func (a *openRequest) Reject(why dispatch.Verdict, retryAfter time.Duration) {
	a.RejectAfterAttempts(why, retryAfter, false)
}

// RejectAfterAttempts does broker.Decline.
func (a *openRequest) RejectAfterAttempts(why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool) {
	a.errorResponseMu.Lock()
	kept := a.errorResponse
	a.errorResponseMu.Unlock()
	d, instead := a.conn.server.Dialect.Reject(&a.Request, why, retryAfter, mayHaveRun, kept)
	a.ended.Store(true)
	var keep bool
	if instead != nil {
		a.head, a.closeConnection = instead.ResponseHead, a.closeConnection || a.conn.server.closesAfterResponse()
		b := a.appendBody(a.appendHead(nil), instead.Body)
		keep = a.conn.write(b) == nil && !a.closeConnection
	} else {
		d.CloseConnection = d.CloseConnection || a.closeConnection
		keep = a.conn.writeRejection(d)
	}
	if a.origin != nil {
		a.conn.server.Post(dispatch.RejectionWritten{Client: a, At: a.conn.server.Now()})
	}
	a.end(keep)
}

// end lets the connection go on, or closes it.
func (a *openRequest) end(keep bool) {
	a.ended.Store(true)
	a.release()
	a.keepAlive = keep
	if keep {
		a.conn.setBusy(false)
	} else {
		a.conn.Close()
	}
	close(a.done)
}

// release gives back the room of the body.
func (a *openRequest) release() { a.releaseOnce.Do(func() { a.conn.server.release(a.reservation) }) }

// finished tells whether the answer is at its end, or about to be.
func (a *openRequest) finished() bool { return a.ended.Load() }

// wait waits for the end and tells whether the connection goes on.
func (a *openRequest) wait() bool {
	<-a.done
	return a.keepAlive
}

func (c *conn) write(b []byte) error {
	c.SetWriteDeadline(time.Now().Add(c.server.Limits.ClientWriteTimeout))
	_, err := c.Write(b)
	return err
}

// writeRejection writes a short answer and tells whether the connection goes on.
func (c *conn) writeRejection(d *Rejection) bool {
	closing := d.CloseConnection || d.bodyUnread || c.server.closesAfterResponse()
	b := append([]byte("HTTP/1.1 "), strconv.Itoa(d.Status)...)
	b = append(b, ' ')
	b = append(b, http.StatusText(d.Status)...)
	if d.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, d.RetryAfter.Seconds(), 'f', 3, 64)
	}
	if d.Allow != "" {
		b = append(b, "\r\nAllow: "...)
		b = append(b, d.Allow...)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(d.Reason)+1), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, d.Reason...)
	b = append(b, '\n')
	if err := c.write(b); err != nil {
		return false
	}
	if d.bodyUnread {
		c.discardUnread()
	}
	return !closing
}

// discardUnread takes in what is still coming before the connection is closed. Closing on unread bytes would reset
// the connection, and the acquirer might never see its answer.
func (c *conn) discardUnread() {
	const long, much = 500 * time.Millisecond, 1 << 20
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(long))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, much)) // its end, however it comes, is what is waited for
	}
}
