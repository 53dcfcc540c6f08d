package issuer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"notchhinge/internal/broker"
	"notchhinge/internal/limits"
	"notchhinge/policy"
)

// line is a connection to an issuer host.
type line struct {
	net.Conn
	br     *bufio.Reader
	to     dest
	number uint64 // under which it is parked
	since  time.Time
	once   sync.Once
	closed func()
}

// Close closes the line; further calls do nothing.
func (l *line) Close() error {
	var err error
	l.once.Do(func() { err = l.Conn.Close(); l.closed() })
	return err
}

// dest is where a line goes. Two hosts may follow each other at one address; a line is the one's it was opened to.
type dest struct {
	host policy.ReplicaID
	addr string
}

// pool holds the lines that are idle and counts all of them.
type pool struct {
	lim  limits.Limits
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	post func(broker.Event)

	mu     sync.Mutex
	idle   map[dest][]*line // the latest last
	open   int
	number uint64
}

var errNoRoom = errors.New("too many lines to issuer hosts")

// get returns the line that was used last, or opens one.
func (p *pool) get(ctx context.Context, to dest, wait time.Duration) (*line, error) {
	for {
		l, err := p.take(to)
		if err != nil {
			return nil, err
		}
		if l == nil {
			break
		}
		if time.Since(l.since) < p.lim.IssuerIdle && alive(l.Conn) {
			return l, l.SetDeadline(time.Time{})
		}
		l.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", to.addr)
	if err != nil {
		p.release()
		return nil, err
	}
	return &line{Conn: conn, br: bufio.NewReaderSize(conn, p.lim.HeadBytes), to: to, closed: p.release}, nil
}

// take takes the latest idle line to a host. Where there is none, it makes room for a new one and counts
// it; for that an idle line to another may have to go.
func (p *pool) take(to dest) (*line, error) {
	p.mu.Lock()
	var victim *line
	defer func() {
		p.mu.Unlock()
		if victim != nil {
			victim.Close()
		}
	}()
	if s := p.idle[to]; len(s) > 0 {
		l := s[len(s)-1]
		p.keep(to, s[:len(s)-1])
		return l, nil
	}
	if p.open >= p.lim.IssuerConns {
		for other, s := range p.idle {
			victim = s[0]
			p.keep(other, s[1:])
			break
		}
		if victim == nil {
			return nil, errNoRoom
		}
	}
	p.open++
	return nil, nil
}

func (p *pool) keep(to dest, s []*line) {
	if len(s) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = s
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put parks a line that can serve again; the broker has it hung up before the host would.
func (p *pool) put(l *line) {
	p.mu.Lock()
	if l.br.Buffered() > 0 || len(p.idle[l.to]) >= p.lim.IdlePerHost {
		p.mu.Unlock()
		l.Close()
		return
	}
	p.number++
	number := p.number
	l.number, l.since = number, time.Now()
	p.idle[l.to] = append(p.idle[l.to], l)
	p.mu.Unlock()
	p.post(broker.Parked{Line: number})
}

// hangUp closes the line that is parked under a number, if it still is.
func (p *pool) hangUp(number uint64) {
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
		l.Close()
	}
}

// clear closes the idle lines to a host.
func (p *pool) clear(to dest) {
	p.mu.Lock()
	lines := p.idle[to]
	delete(p.idle, to)
	p.mu.Unlock()
	for _, l := range lines {
		l.Close()
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[dest][]*line{}
	p.mu.Unlock()
	for _, s := range all {
		for _, l := range s {
			l.Close()
		}
	}
}

// alive looks, without waiting, whether the host has closed an idle line or sent what nobody asked for. A
// leg on such a line would be lost as a reset. What closes in the moment after is reported as it is.
func alive(c net.Conn) bool {
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
