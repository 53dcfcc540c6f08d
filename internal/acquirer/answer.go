package acquirer

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/broker"
	"notchhinge/internal/issuer"
	"notchhinge/internal/pool"
	"notchhinge/internal/trace"
	"notchhinge/policy"
)

// authorisation is one that is open, and the customer of the legs made for it.
type authorisation struct {
	conn    *conn
	request policy.Request
	at      time.Duration // of its last byte
	order   issuer.Order
	origin  *trace.Origin // nil where nothing is traced
	pool    pool.ID
	held    room // counted until the end
	freed   sync.Once
	last    bool // the acquirer wants the connection closed after it
	begun   bool // the head of a stream is written
	over    atomic.Bool
	keep    bool // the connection goes on after it
	done    chan struct{}
}

// Order implements issuer.Customer.
func (a *authorisation) Order() *issuer.Order { return &a.order }

var errOver = errors.New("the authorisation is over")

// Relay implements issuer.Customer: whole events leave in one write.
func (a *authorisation) Relay(events []byte) error {
	if a.over.Load() {
		return errOver
	}
	b := make([]byte, 0, len(events)+192)
	if !a.begun {
		a.begun = true
		a.last = a.last || a.conn.s.closing()
		b = append(b, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"...)
		if a.last {
			b = append(b, "Connection: close\r\n"...)
		}
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
	}
	b = strconv.AppendInt(b, int64(len(events)), 16)
	b = append(b, "\r\n"...)
	b = append(b, events...)
	b = append(b, "\r\n"...)
	err := a.conn.write(b)
	if err != nil {
		a.conn.Close() // so that the reader of the connection ends, too
	}
	return err
}

// Finish implements issuer.Customer. A broken stream closes the connection without the last chunk.
func (a *authorisation) Finish(whole bool) error {
	var err error
	if whole {
		a.over.Store(true)
		err = a.conn.write([]byte("0\r\n\r\n"))
	}
	// A stream that began before a drain has no word of it in its head; its connection is closed all the same,
	// lest the acquirer use it for ever.
	a.end(whole && err == nil && !a.last && !a.conn.s.closing())
	return err
}

// Decline does broker.Decline.
func (a *authorisation) Decline(why broker.Verdict, retryAfter time.Duration) {
	d := decline{status: http.StatusServiceUnavailable, reason: "try again", retry: retryAfter, close: a.last}
	switch why {
	case broker.Failed:
		d.status, d.reason = http.StatusGatewayTimeout, "not served in time"
	case broker.Taking:
		d.status, d.reason = http.StatusConflict, "this id is that of an open request"
	}
	a.over.Store(true)
	keep := a.conn.answer(&d)
	if a.origin != nil {
		a.conn.s.Post(broker.Answered{From: a, At: a.conn.s.Now()})
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
	c.SetWriteDeadline(time.Now().Add(c.s.Lim.WriteWait))
	_, err := c.Write(b)
	return err
}

// answer writes a short answer and tells whether the connection goes on.
func (c *conn) answer(d *decline) bool {
	closing := d.close || d.unread || c.s.closing()
	b := append([]byte("HTTP/1.1 "), strconv.Itoa(d.status)...)
	b = append(b, ' ')
	b = append(b, http.StatusText(d.status)...)
	if d.retry > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, d.retry.Seconds(), 'f', 3, 64)
	}
	if d.allow != "" {
		b = append(b, "\r\nAllow: "...)
		b = append(b, d.allow...)
	}
	if closing {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(d.reason)+1), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, d.reason...)
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
		io.Copy(io.Discard, io.LimitReader(c.Conn, much))
	}
}
