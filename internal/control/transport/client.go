package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"notchhinge/internal/control/rpc"
)

// ErrTimeout is returned for a call without a response before its context is done.
var ErrTimeout = errors.New("no response in time")

// RemoteError is an error that the peer's handler returned. The peer has received the call.
type RemoteError struct {
	Peer    netip.AddrPort
	Message string // the text of the handler's error
}

func (e *RemoteError) Error() string { return fmt.Sprintf("rejected by %v: %s", e.Peer, e.Message) }

// idleConn is an outbound connection that is kept for further calls.
type idleConn struct {
	net.Conn
	since time.Time
}

// Call sends a call and waits for its response until ctx is done. The bound is needed to detect a partition, because the TCP
// user timeout is longer than any call. The error is a *RemoteError if the peer's handler returned one; after any other error
// it is unknown whether the call was executed. If a reused connection turns out to be closed by the peer, the call is retried
// once on a new one.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, kind rpc.Kind, body []byte) ([]byte, error) {
	c, reused, err := t.conn(ctx, to)
	if err != nil {
		return nil, fmt.Errorf("call %v: %w", to, err)
	}
	response, err := exchange(ctx, c, to, kind, body)
	if reused && ctx.Err() == nil && isStaleConn(err) {
		if c, err = dial(ctx, to); err == nil {
			response, err = exchange(ctx, c, to, kind, body)
		}
	}
	if t.OnExchange != nil {
		t.OnExchange(to, kind, 2*frameHeaderBytes+len(body)+len(response), nil)
	}
	if err != nil && !isRemote(err) {
		return nil, fmt.Errorf("call %v: %w", to, err)
	}
	t.putIdle(to, c)
	return response, err
}

// isRemote reports whether the peer answered with an error.
func isRemote(err error) bool {
	var remote *RemoteError
	return errors.As(err, &remote)
}

// isStaleConn reports whether the error of a call may mean that the peer had already closed the connection.
func isStaleConn(err error) bool {
	return err != nil && !isRemote(err) && !errors.Is(err, ErrTimeout)
}

// exchange sends a call on a connection and reads the response. It closes the connection unless a response arrives.
func exchange(ctx context.Context, c net.Conn, to netip.AddrPort, kind rpc.Kind, body []byte) ([]byte, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(inboundIdleTimeout)
	}
	c.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	kind, response, err := roundTrip(c, kind, body)
	if err != nil {
		c.Close()
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return nil, ErrTimeout
		}
		return nil, err
	}
	if kind == kindError {
		return nil, &RemoteError{Peer: to, Message: string(response)}
	}
	return response, nil
}

// roundTrip writes a frame and reads the response frame.
func roundTrip(c net.Conn, kind rpc.Kind, body []byte) (rpc.Kind, []byte, error) {
	if err := writeFrame(c, kind, body); err != nil {
		return 0, nil, err
	}
	return readFrame(c)
}

// conn returns a connection to a peer; reused is true if it has carried an earlier call.
func (t *Transport) conn(ctx context.Context, to netip.AddrPort) (c net.Conn, reused bool, err error) {
	for {
		idle, ok := t.takeIdle(to)
		if !ok {
			c, err = dial(ctx, to)
			return c, false, err
		}
		if time.Since(idle.since) < outboundIdleTimeout {
			return idle.Conn, true, nil
		}
		idle.Close()
	}
}

// takeIdle removes and returns the most recently used idle connection to a peer.
func (t *Transport) takeIdle(to netip.AddrPort) (idleConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[to]
	if len(conns) == 0 {
		return idleConn{}, false
	}
	last := len(conns) - 1
	t.idle[to] = conns[:last]
	return conns[last], true
}

func dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp4", to.String())
}

// putIdle keeps a connection for the next call, or closes it if the peer already has maxIdlePerPeer idle connections.
func (t *Transport) putIdle(to netip.AddrPort, c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[to]) >= maxIdlePerPeer {
		c.Close()
		return
	}
	t.idle[to] = append(t.idle[to], idleConn{c, time.Now()})
}
