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

// admit registers an inbound connection. Where all are taken, the least recently used one makes way.
func (t *Transport) admit(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.inbound) >= t.maxInbound && !t.evictOldest() {
		return false
	}
	t.inbound[c] = time.Now()
	return true
}

// evictOldest closes the connection that was used least recently; its caller opens another. It reports false if all are
// handling a call. t.mu is held.
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

// release closes an inbound connection.
func (t *Transport) release(c net.Conn) {
	c.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inbound, c)
}

// markUsed notes when an inbound connection's last call ended; the zero time says that one is being handled.
func (t *Transport) markUsed(c net.Conn, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.inbound[c]; ok {
		t.inbound[c] = at
	}
}

// serveConn answers the calls of a connection, one after the other, until it fails or is idle for too long.
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
