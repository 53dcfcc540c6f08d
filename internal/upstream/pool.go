package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"notchhinge/internal/dispatch"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/policy"
)

// conn is a connection to an issuer host.
type conn struct {
	net.Conn
	br          *bufio.Reader
	endpoint    endpoint
	idleID      uint64 // under which it is parked
	idleSince   time.Time
	idleTimeout time.Duration // so long it may wait for its next order; 0 = as the limits say
	// mustClose: an answer came on it that nobody had asked for, or a request was not written whole. It serves no other.
	mustClose bool
	once      sync.Once
	onClose   func()
}

// Close closes the line; further calls do nothing.
func (l *conn) Close() error {
	var err error
	l.once.Do(func() { err = l.Conn.Close(); l.onClose() })
	return err
}

// endpoint is where a line goes. Two hosts may follow each other at one address; a line is the one's it was opened to.
// Pools that share a host have lines of their own to it, so that each line counts against one pool's part of the
// descriptors and a busy pool cannot use another's up.
type endpoint struct {
	host policy.ReplicaID
	addr string
	pool hoststate.PoolID
}

// connPool holds the lines that are idle and counts all of them.
type connPool struct {
	limits limits.Limits
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	post   func(dispatch.Event)

	mu         sync.Mutex
	idle       map[endpoint][]*conn // the latest last
	quota      *quota.Quota         // of all lines, by pool
	open       int
	lastIdleID uint64
}

var errConnectionLimit = errors.New("too many lines to issuer hosts")

// get returns the line that was used last, or opens one. With most, one that has rested for longer is left for others.
func (p *connPool) get(ctx context.Context, to endpoint, wait, most time.Duration) (*conn, error) {
	for {
		l, err := p.takeIdle(to, most)
		if err != nil {
			return nil, err
		}
		if l == nil {
			break
		}
		if time.Since(l.idleSince) < p.idleTimeout(l) && isReusable(l.Conn) {
			return l, l.SetDeadline(time.Time{})
		}
		_ = l.Close() // nothing is under way on it
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	nc, err := p.dial(ctx, "tcp", to.addr)
	if err != nil {
		p.release(to.pool)
		return nil, err
	}
	l := &conn{Conn: nc, br: bufio.NewReaderSize(nc, p.limits.ResponseHeadBytes), endpoint: to}
	l.onClose = func() { p.release(to.pool) }
	return l, nil
}

// takeIdle takes the latest idle line to a host. Where there is none, it makes room for a new one and counts
// it; for that an idle line to another may have to go.
func (p *connPool) takeIdle(to endpoint, most time.Duration) (*conn, error) {
	var victims []*conn
	defer func() {
		for _, l := range victims {
			l.Conn.Close()
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.idle[to]; len(s) > 0 && (most == 0 || time.Since(s[len(s)-1].idleSince) < most) {
		l := s[len(s)-1]
		p.setIdle(to, s[:len(s)-1])
		return l, nil
	}
	for !p.quota.Take(int(to.pool), 1) {
		l := p.evictIdle(to.pool)
		if l == nil {
			return nil, errConnectionLimit
		}
		l.once.Do(func() { // it counts no more from now on, and closed must not count it again
			p.open--
			p.quota.Release(int(l.endpoint.pool), 1)
		})
		victims = append(victims, l)
	}
	p.open++
	return nil, nil
}

// shrink closes idle lines until there are no more than most, or none is idle.
func (p *connPool) shrink(most int64) {
	var all []*conn
	p.mu.Lock()
	for to, s := range p.idle {
		n := min(max(p.quota.Used()-most-int64(len(all)), 0), int64(len(s)))
		all = append(all, s[:n]...)
		p.setIdle(to, s[n:])
	}
	p.mu.Unlock()
	for _, l := range all {
		_ = l.Close() // nothing is under way on it
	}
}

// evictIdle takes out an idle line that may go for a new one of a pool: one of its own, or one that another pool has
// beyond its guarantee.
func (p *connPool) evictIdle(of hoststate.PoolID) *conn {
	for to, s := range p.idle {
		if to.pool == of || p.quota.IsOverGuarantee(int(to.pool)) {
			p.setIdle(to, s[1:])
			return s[0]
		}
	}
	return nil
}

func (p *connPool) setIdle(to endpoint, s []*conn) {
	if len(s) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = s
}

func (p *connPool) release(of hoststate.PoolID) {
	p.mu.Lock()
	p.open--
	p.quota.Release(int(of), 1)
	p.mu.Unlock()
}

// idleTimeout is how long a line may wait for its next order.
func (p *connPool) idleTimeout(l *conn) time.Duration {
	if l.idleTimeout == 0 {
		return p.limits.UpstreamIdleTimeout
	}
	return min(l.idleTimeout, p.limits.UpstreamIdleTimeout)
}

// put parks a line that can serve again; the broker has it hung up before the host would.
func (p *connPool) put(l *conn) {
	p.mu.Lock()
	if l.br.Buffered() > 0 || l.mustClose || l.idleTimeout < 0 || len(p.idle[l.endpoint]) >= p.limits.IdlePerEndpoint {
		p.mu.Unlock()
		_ = l.Close() // nothing is under way on it
		return
	}
	p.lastIdleID++
	number := p.lastIdleID
	l.idleID, l.idleSince = number, time.Now()
	p.idle[l.endpoint] = append(p.idle[l.endpoint], l)
	idle := p.idleTimeout(l)
	p.mu.Unlock() // from here on it may be another leg's
	p.post(dispatch.ConnectionIdle{Connection: number, Idle: idle})
}

// closeIdle closes the line that is parked under a number, if it still is.
func (p *connPool) closeIdle(number uint64) {
	p.mu.Lock()
	var l *conn
	for to, s := range p.idle {
		for i := range s {
			if s[i].idleID == number {
				l = s[i]
				p.setIdle(to, append(s[:i:i], s[i+1:]...))
				break
			}
		}
	}
	p.mu.Unlock()
	if l != nil {
		_ = l.Close() // nothing is under way on it
	}
}

// closeIdleTo closes the idle lines to the places that are picked.
func (p *connPool) closeIdleTo(pick func(endpoint) bool) {
	var all []*conn
	p.mu.Lock()
	for to, s := range p.idle {
		if pick(to) {
			all = append(all, s...)
			delete(p.idle, to)
		}
	}
	p.mu.Unlock()
	for _, l := range all {
		_ = l.Close() // nothing is under way on it
	}
}

// closeIdleToHost closes the idle lines to a host, those of other pools included: what ended one ended them all.
func (p *connPool) closeIdleToHost(to endpoint) {
	p.closeIdleTo(func(other endpoint) bool { return other.addr == to.addr && other.host == to.host })
}

// IdleChecker is a connection that is no socket and tells by itself whether it is open and nothing waits to be read.
type IdleChecker interface{ IsIdle() bool }

// isReusable looks, without waiting, whether the host has closed an idle line or sent what nobody asked for. A
// leg on such a line would be lost as a reset. What closes in the moment after is reported as it is.
func isReusable(c net.Conn) bool {
	if q, ok := c.(IdleChecker); ok {
		return q.IsIdle()
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
