package acquirer

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

// authorisation is one that is open, and the customer of the legs made for it.
type authorisation struct {
	conn *conn
	Message
	at     time.Duration // of its last byte
	reply  Reply         // the head of what is passed on
	kept   *Kept         // the last answer that was not passed on
	keptMu sync.Mutex
	origin *trace.Origin // nil where nothing is traced
	pool   hoststate.PoolID
	held   room // counted until the end
	freed  sync.Once
	last   bool // the acquirer wants the connection closed after it
	begun  bool // the head of a stream is written
	over   atomic.Bool
	keep   bool // the connection goes on after it
	done   chan struct{}
}

// UpstreamRequest implements upstream.Downstream.
func (a *authorisation) UpstreamRequest() *upstream.Request { return &a.Message.Order }

// ObserveHead implements upstream.HeadObserver.
func (a *authorisation) ObserveHead(resp *http.Response) {
	a.reply = a.conn.s.Dialect.Head(&a.Message, resp)
}

var errOver = errors.New("the authorisation is over")

// WriteBody implements upstream.Downstream: whole events leave in one write.
func (a *authorisation) WriteBody(events []byte) error {
	if a.over.Load() {
		return errOver
	}
	b := make([]byte, 0, len(events)+192)
	if !a.begun {
		a.begun = true
		a.last = a.last || a.conn.s.closing()
		b = a.head(b)
	}
	b = a.part(b, events)
	err := a.conn.write(b)
	if err != nil {
		a.conn.Close() // so that the reader of the connection ends, too
	}
	return err
}

// ReadErrorResponse implements upstream.ErrorResponseReader: a small answer that is not passed on is kept, for it may be all there is to tell.
func (a *authorisation) ReadErrorResponse(result policy.Result, resp *http.Response, line net.Conn) (whole bool) {
	const small, soon = 16 << 10, 500 * time.Millisecond
	line.SetReadDeadline(time.Now().Add(soon))
	body, err := io.ReadAll(io.LimitReader(resp.Body, small+1))
	if err != nil || len(body) > small {
		return false
	}
	if k := a.conn.s.Dialect.Keep(&a.Message, result, resp, body); k != nil {
		a.keptMu.Lock()
		a.kept = k
		a.keptMu.Unlock()
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// head writes the head of the answer that is passed on.
func (a *authorisation) head(b []byte) []byte {
	if a.reply.Head == nil {
		a.reply = a.conn.s.Dialect.Head(&a.Message, nil)
	}
	b = append(b, a.reply.Head...)
	if a.last {
		b = append(b, "Connection: close\r\n"...)
	}
	switch {
	case a.reply.Bare && a.reply.Length < 0:
		return append(b, "\r\n"...)
	case a.reply.Length < 0:
		return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, a.reply.Length, 10)
	return append(b, "\r\n\r\n"...)
}

// part writes a part of the body, as a chunk where it has no length.
func (a *authorisation) part(b, part []byte) []byte {
	if a.reply.Length >= 0 || a.reply.Bare {
		return append(b, part...)
	}
	b = strconv.AppendInt(b, int64(len(part)), 16)
	b = append(b, "\r\n"...)
	b = append(b, part...)
	return append(b, "\r\n"...)
}

// Finish implements upstream.Downstream. A broken stream closes the connection without the last chunk.
func (a *authorisation) Finish(whole bool) error {
	var err error
	if whole {
		a.over.Store(true)
		var b []byte
		if !a.begun { // it has no body
			a.begun = true
			a.last = a.last || a.conn.s.closing()
			b = a.head(b)
		}
		if a.reply.Length < 0 && !a.reply.Bare {
			b = append(b, "0\r\n\r\n"...)
		}
		if len(b) > 0 {
			err = a.conn.write(b)
		}
	}
	// A stream that began before a drain has no word of it in its head; its connection is closed all the same,
	// lest the acquirer use it for ever.
	a.end(whole && err == nil && !a.last && !a.conn.s.closing())
	return err
}

// Decline does broker.Decline where it makes no difference whether a leg may have run.
func (a *authorisation) Decline(why dispatch.Verdict, retryAfter time.Duration) {
	a.Close(why, retryAfter, false)
}

// Close does broker.Decline.
func (a *authorisation) Close(why dispatch.Verdict, retryAfter time.Duration, mayHaveRun bool) {
	a.keptMu.Lock()
	kept := a.kept
	a.keptMu.Unlock()
	d, instead := a.conn.s.Dialect.Close(&a.Message, why, retryAfter, mayHaveRun, kept)
	a.over.Store(true)
	var keep bool
	if instead != nil {
		a.reply, a.last = instead.Reply, a.last || a.conn.s.closing()
		b := a.part(a.head(nil), instead.Body)
		keep = a.conn.write(b) == nil && !a.last
	} else {
		d.Close = d.Close || a.last
		keep = a.conn.answer(d)
	}
	if a.origin != nil {
		a.conn.s.Post(dispatch.RejectionWritten{Client: a, At: a.conn.s.Now()})
	}
	a.end(keep)
}

// end lets the connection go on, or closes it.
func (a *authorisation) end(keep bool) {
	a.over.Store(true)
	a.release()
	a.keep = keep
	if keep {
		a.conn.setBusy(false)
	} else {
		a.conn.Close()
	}
	close(a.done)
}

// release gives back the room of the body.
func (a *authorisation) release() { a.freed.Do(func() { a.conn.s.release(a.held) }) }

// finished tells whether the answer is at its end, or about to be.
func (a *authorisation) finished() bool { return a.over.Load() }

// wait waits for the end and tells whether the connection goes on.
func (a *authorisation) wait() bool {
	<-a.done
	return a.keep
}

func (c *conn) write(b []byte) error {
	c.SetWriteDeadline(time.Now().Add(c.s.Lim.ClientWriteTimeout))
	_, err := c.Write(b)
	return err
}

// answer writes a short answer and tells whether the connection goes on.
func (c *conn) answer(d *Refusal) bool {
	closing := d.Close || d.unread || c.s.closing()
	b := append([]byte("HTTP/1.1 "), strconv.Itoa(d.Status)...)
	b = append(b, ' ')
	b = append(b, http.StatusText(d.Status)...)
	if d.Retry > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, d.Retry.Seconds(), 'f', 3, 64)
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
	if d.unread {
		c.linger()
	}
	return !closing
}

// linger takes in what is still coming before the connection is closed. Closing on unread bytes would reset
// the connection, and the acquirer might never see its answer.
func (c *conn) linger() {
	const long, much = 500 * time.Millisecond, 1 << 20
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(long))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, much)) // its end, however it comes, is what is waited for
	}
}
