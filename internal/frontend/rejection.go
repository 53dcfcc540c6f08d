package frontend

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeRejection writes a rejection and reports whether the connection stays open.
func (c *conn) writeRejection(r *Rejection) bool {
	closes := r.CloseConnection || r.bodyUnread || c.server.closesAfterResponse()
	if err := c.write(r.encode(closes)); err != nil {
		return false
	}
	if r.bodyUnread {
		c.discardUnread()
	}
	return !closes
}

// encode returns the encoded response. closes adds a Connection: close header.
func (r *Rejection) encode(closes bool) []byte {
	b := append([]byte("HTTP/1.1 "), strconv.Itoa(r.Status)...)
	b = append(b, ' ')
	b = append(b, http.StatusText(r.Status)...)
	if r.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, r.RetryAfter.Seconds(), 'f', 3, 64)
	}
	if r.Allow != "" {
		b = append(b, "\r\nAllow: "...)
		b = append(b, r.Allow...)
	}
	if closes {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Reason)+1), 10)
	b = append(b, "\r\n\r\n"...)
	b = append(b, r.Reason...)
	return append(b, '\n')
}

// discardUnread closes the write side of the connection and then discards incoming bytes, up to a maximum time and size. Closing a
// connection with unread bytes resets it, and the client could lose the response (RFC 9112, section 9.6).
func (c *conn) discardUnread() {
	const (
		maxWait  = 500 * time.Millisecond
		maxBytes = 1 << 20
	)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(maxWait))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxBytes)) // the connection is closed next in any case
	}
}
