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

// endpoint identifies the destination of a connection. The host is part of it because a new host may reuse the address of an
// earlier one. The pool is part of it because pools that share a host have separate connections: each connection counts against
// the quota of one pool, and a busy pool cannot use up the quota of another.
type endpoint struct {
	host policy.ReplicaID
	addr string
	pool hoststate.PoolID
}

// conn is a connection to an endpoint. One attempt or health check uses it at a time; otherwise it is idle in the connPool.
type conn struct {
	net.Conn
	br       *bufio.Reader
	endpoint endpoint

	idleID      uint64 // identifies its last idle period; 0 = it has never been idle
	idleSince   time.Time
	idleTimeout time.Duration // 0 = the limit of the connPool, negative = the connection must not be reused
	mustClose   bool          // an unsolicited response arrived, or a request was written only in part

	closeOnce sync.Once
	onClose   func()
}

// Close closes the connection and releases its quota. Further calls have no effect.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.Conn.Close(); c.onClose() })
	return err
}

// IdleChecker is implemented by connections without a socket. IsIdle reports whether the connection is open without bytes to read.
type IdleChecker interface{ IsIdle() bool }

// isReusable reports, without blocking, whether a connection is open and has no bytes to read. An endpoint may have closed an idle
// connection or sent an unsolicited response. If it closes the connection just after this check, the attempt ends with a reset.
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
