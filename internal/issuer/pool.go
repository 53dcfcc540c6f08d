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
)

// line is a connection to an issuer host.
type line struct {
	net.Conn
	br     *bufio.Reader
	addr   string
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

// pool holds the lines that are idle and counts all of them.
type pool struct {
	lim  limits.Limits
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	post func(broker.Event)

	mu     sync.Mutex
	idle   map[string][]*line // by address, the latest last
	open   int
	number uint64
}

var errNoRoom = errors.New("too many lines to issuer hosts")

// get returns the line that was used last, or opens one.
func (p *pool) get(ctx context.Context, addr string, wait time.Duration) (*line, error) {
	for {
		l, err := p.take(addr)
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
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.release()
		return nil, err
	}
	return &line{Conn: conn, br: bufio.NewReaderSize(conn, p.lim.HeadBytes), addr: addr, closed: p.release}, nil
}

// take takes the latest idle line to an address. Where there is none, it makes room for a new one and counts
// it; for that an idle line to another address may have to go.
func (p *pool) take(addr string) (*line, error) {
	p.mu.Lock()
	var victim *line
	defer func() {
		p.mu.Unlock()
		if victim != nil {
			victim.Close()
		}
	}()
	if s := p.idle[addr]; len(s) > 0 {
		l := s[len(s)-1]
		p.keep(addr, s[:len(s)-1])
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

func (p *pool) keep(addr string, s []*line) {
	if len(s) == 0 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = s
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put parks a line that can serve again; the broker has it hung up before the host would.
func (p *pool) put(l *line) {
	p.mu.Lock()
	if l.br.Buffered() > 0 || len(p.idle[l.addr]) >= p.lim.IdlePerHost {
		p.mu.Unlock()
		l.Close()
		return
	}
	p.number++
	number := p.number
	l.number, l.since = number, time.Now()
	p.idle[l.addr] = append(p.idle[l.addr], l)
	p.mu.Unlock()
	p.post(broker.Parked{Line: number})
}

// hangUp closes the line that is parked under a number, if it still is.
func (p *pool) hangUp(number uint64) {
	p.mu.Lock()
	var l *line
	for addr, s := range p.idle {
		for i := range s {
			if s[i].number == number {
				l = s[i]
				p.keep(addr, append(s[:i:i], s[i+1:]...))
				break
			}
		}
	}
	p.mu.Unlock()
	if l != nil {
		l.Close()
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = map[string][]*line{}
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
