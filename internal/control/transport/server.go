package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// ServeCalls answers calls until the socket is closed.
func (t *Transport) ServeCalls(ctx context.Context) {
	for {
		c, err := t.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !t.admit(c) {
			c.Close()
			continue
		}
		go func() {
			defer t.release(c)
			t.serveConn(ctx, c)
		}()
	}
}

// admit registers an inbound connection. At the limit, it evicts the least recently used one. It returns false if the
// connection must be closed.
func (t *Transport) admit(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.inbound) >= t.maxInbound && !t.evictOldest() {
		return false
	}
	t.inbound[c] = time.Now()
	return true
}

// evictOldest closes the least recently used inbound connection; its caller then opens another one. It returns false if all
// connections are handling a call. t.mu is held.
func (t *Transport) evictOldest() bool {
	var oldest net.Conn
	for c, used := range t.inbound {
		if !used.IsZero() && (oldest == nil || used.Before(t.inbound[oldest])) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.Close()
	delete(t.inbound, oldest)
	return true
}

// release closes and unregisters an inbound connection.
func (t *Transport) release(c net.Conn) {
	c.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inbound, c)
}

// markUsed records when the last call on an inbound connection ended; the zero time means that a call is being handled.
func (t *Transport) markUsed(c net.Conn, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.inbound[c]; ok {
		t.inbound[c] = at
	}
}

// serveConn handles the calls on a connection, one after another, until the connection fails or inboundIdleTimeout passes
// without a call.
func (t *Transport) serveConn(ctx context.Context, c net.Conn) {
	from := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	for {
		c.SetReadDeadline(time.Now().Add(inboundIdleTimeout))
		kind, body, err := readFrame(c)
		if err != nil {
			return
		}
		t.markUsed(c, time.Time{})
		response, err := t.handler(ctx, kind, from, body)
		if err != nil {
			kind, response = kindError, []byte(err.Error())
		}
		c.SetWriteDeadline(time.Now().Add(inboundIdleTimeout))
		if writeFrame(c, kind, response) != nil {
			return
		}
		t.markUsed(c, time.Now())
	}
}
