package issuer

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

// line is a connection to an issuer host.
type line struct {
	net.Conn
	br     *bufio.Reader
	to     dest
	number uint64 // under which it is parked
	since  time.Time
	idle   time.Duration // so long it may wait for its next order; 0 = as the limits say
	// unclean: an answer came on it that nobody had asked for, or a request was not written whole. It serves no other.
	unclean bool
	once    sync.Once
	closed  func()
}

// Close closes the line; further calls do nothing.
func (l *line) Close() error {
	var err error
	l.once.Do(func() { err = l.Conn.Close(); l.closed() })
	return err
}

// dest is where a line goes. Two hosts may follow each other at one address; a line is the one's it was opened to.
// Pools that share a host have lines of their own to it, so that each line counts against one pool's part of the
// descriptors and a busy pool cannot use another's up.
type dest struct {
	host policy.ReplicaID
	addr string
	pool hoststate.PoolID
}

// lines holds the lines that are idle and counts all of them.
type lines struct {
	lim  limits.Limits
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	post func(dispatch.Event)

	mu     sync.Mutex
	idle   map[dest][]*line // the latest last
	stock  *quota.Quota     // of all lines, by pool
	open   int
	number uint64
}

var errNoRoom = errors.New("too many lines to issuer hosts")

// get returns the line that was used last, or opens one. With most, one that has rested for longer is left for others.
func (p *lines) get(ctx context.Context, to dest, wait, most time.Duration) (*line, error) {
	for {
		l, err := p.take(to, most)
		if err != nil {
			return nil, err
		}
		if l == nil {
			break
		}
		if time.Since(l.since) < p.idleOf(l) && alive(l.Conn) {
			return l, l.SetDeadline(time.Time{})
		}
		_ = l.Close() // nothing is under way on it
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", to.addr)
	if err != nil {
		p.release(to.pool)
		return nil, err
	}
	l := &line{Conn: conn, br: bufio.NewReaderSize(conn, p.lim.ResponseHeadBytes), to: to}
	l.closed = func() { p.release(to.pool) }
	return l, nil
}

// take takes the latest idle line to a host. Where there is none, it makes room for a new one and counts
// it; for that an idle line to another may have to go.
func (p *lines) take(to dest, most time.Duration) (*line, error) {
	var victims []*line
	defer func() {
		for _, l := range victims {
			l.Conn.Close()
		}
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.idle[to]; len(s) > 0 && (most == 0 || time.Since(s[len(s)-1].since) < most) {
		l := s[len(s)-1]
		p.keep(to, s[:len(s)-1])
		return l, nil
	}
	for !p.stock.Take(int(to.pool), 1) {
		l := p.victim(to.pool)
		if l == nil {
			return nil, errNoRoom
		}
		l.once.Do(func() { // it counts no more from now on, and closed must not count it again
			p.open--
			p.stock.Release(int(l.to.pool), 1)
		})
		victims = append(victims, l)
	}
	p.open++
	return nil, nil
}

// shrink closes idle lines until there are no more than most, or none is idle.
func (p *lines) shrink(most int64) {
	var all []*line
	p.mu.Lock()
	for to, s := range p.idle {
		n := min(max(p.stock.Used()-most-int64(len(all)), 0), int64(len(s)))
		all = append(all, s[:n]...)
		p.keep(to, s[n:])
	}
	p.mu.Unlock()
	for _, l := range all {
		_ = l.Close() // nothing is under way on it
	}
}

// victim takes out an idle line that may go for a new one of a pool: one of its own, or one that another pool has
// beyond its guarantee.
func (p *lines) victim(of hoststate.PoolID) *line {
	for to, s := range p.idle {
		if to.pool == of || p.stock.IsOverGuarantee(int(to.pool)) {
			p.keep(to, s[1:])
			return s[0]
		}
	}
	return nil
}

func (p *lines) keep(to dest, s []*line) {
	if len(s) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = s
}

func (p *lines) release(of hoststate.PoolID) {
	p.mu.Lock()
	p.open--
	p.stock.Release(int(of), 1)
	p.mu.Unlock()
}

// idleOf is how long a line may wait for its next order.
func (p *lines) idleOf(l *line) time.Duration {
	if l.idle == 0 {
		return p.lim.UpstreamIdleTimeout
	}
	return min(l.idle, p.lim.UpstreamIdleTimeout)
}

// put parks a line that can serve again; the broker has it hung up before the host would.
func (p *lines) put(l *line) {
	p.mu.Lock()
	if l.br.Buffered() > 0 || l.unclean || l.idle < 0 || len(p.idle[l.to]) >= p.lim.IdlePerEndpoint {
		p.mu.Unlock()
		_ = l.Close() // nothing is under way on it
		return
	}
	p.number++
	number := p.number
	l.number, l.since = number, time.Now()
	p.idle[l.to] = append(p.idle[l.to], l)
	idle := p.idleOf(l)
	p.mu.Unlock() // from here on it may be another leg's
	p.post(dispatch.ConnectionIdle{Connection: number, Idle: idle})
}

// hangUp closes the line that is parked under a number, if it still is.
func (p *lines) hangUp(number uint64) {
	p.mu.Lock()
	var l *line
	for to, s := range p.idle {
		for i := range s {
			if s[i].number == number {
				l = s[i]
				p.keep(to, append(s[:i:i], s[i+1:]...))
				break
			}
		}
	}
	p.mu.Unlock()
	if l != nil {
		_ = l.Close() // nothing is under way on it
	}
}

// closeIf closes the idle lines to the places that are picked.
func (p *lines) closeIf(pick func(dest) bool) {
	var all []*line
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

// clear closes the idle lines to a host, those of other pools included: what ended one ended them all.
func (p *lines) clear(to dest) {
	p.closeIf(func(other dest) bool { return other.addr == to.addr && other.host == to.host })
}

// Quieter is a connection that is no socket and tells by itself whether it is open and nothing waits to be read.
type Quieter interface{ Quiet() bool }

// alive looks, without waiting, whether the host has closed an idle line or sent what nobody asked for. A
// leg on such a line would be lost as a reset. What closes in the moment after is reported as it is.
func alive(c net.Conn) bool {
	if q, ok := c.(Quieter); ok {
		return q.Quiet()
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
