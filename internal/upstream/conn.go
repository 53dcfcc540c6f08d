package upstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"notchhinge/internal/hoststate"
	"notchhinge/policy"
)

// endpoint is where a connection goes. Two hosts may follow each other at one address; a connection belongs to the one that it
// was opened to. Pools that share a host have connections of their own to it, so that each counts against one pool's share and
// a busy pool cannot use another's up.
type endpoint struct {
	host policy.ReplicaID
	addr string
	pool hoststate.PoolID
}

// conn is a connection to an endpoint. It is used by one attempt or health check at a time, or is idle in the connPool.
type conn struct {
	net.Conn
	br       *bufio.Reader
	endpoint endpoint

	idleID      uint64 // names the time that it was idle last; 0 = it was never idle
	idleSince   time.Time
	idleTimeout time.Duration // how long it may be idle; 0 = as long as the limits allow, negative = not at all
	mustClose   bool          // a response came that no request was sent for, or a request was not written whole

	closeOnce sync.Once
	onClose   func()
}

// Close closes the connection; further calls do nothing.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.Conn.Close(); c.onClose() })
	return err
}

// IdleChecker is a connection without a socket, which says itself whether it is open with nothing to read.
type IdleChecker interface{ IsIdle() bool }

// isReusable reports, without blocking, whether a connection is open and nothing waits to be read: an endpoint may have closed
// an idle connection, or sent what no request was sent for. An endpoint that closes right after the check resets the attempt.
func isReusable(c net.Conn) bool {
	if i, ok := c.(IdleChecker); ok {
		return i.IsIdle()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
