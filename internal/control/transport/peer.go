// Package transport carries bytes between the fleet's processes: datagrams for news, and calls with an answer over TCP. It owns
// sockets, frames, their bounds and the connections kept for further calls. What the bytes mean it does not know. A call
// gets one answer or an error; an error says nothing of whether the other has done what was asked.
package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The bounds.
const (
	MaxFrameBytes = 9 << 20          // a configuration with what goes around it
	mostConns     = 1024             // from others at once: two of each of 500; then the one that was used longest ago goes
	idle          = 20 * time.Second // a connection on which nothing is asked
	keptIdle      = 15 * time.Second // the same at the caller's, who must be first
	dialWait      = 600 * time.Millisecond
	frameBytes    = 8
	version       = 1
)

// ErrRemote is an answer that is none: the other could not do what was asked, and says why.
var ErrRemote = errors.New("refused")

// Handler answers calls. It may wait; each call has a goroutine.
type Handler func(ctx context.Context, kind uint8, from netip.Addr, body []byte) ([]byte, error)

// Transport is a process's sockets.
type Transport struct {
	udp    *net.UDPConn
	ln     *net.TCPListener
	handle Handler
	// OnExchange is told of every exchange that begins here: a call's bytes both ways, or a datagram's (kind 0, with what it
	// holds). It must not wait; nil is nobody. It is set before anything is sent.
	OnExchange func(to netip.AddrPort, kind uint8, bytes int, datagram []byte)

	mu    sync.Mutex
	idle  map[netip.AddrPort][]*kept
	conns map[net.Conn]time.Time // from others, by when they were last used; zero = a call is under way
	most  int                    // of them
	shut  bool
}

// kept is a connection that can be asked again.
type kept struct {
	net.Conn
	since time.Time
}

// Open opens the sockets at an address.
func Open(addr netip.AddrPort, h Handler) (*Transport, error) {
	ln, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	if addr.Port() == 0 {
		addr = netip.AddrPortFrom(addr.Addr(), uint16(ln.Addr().(*net.TCPAddr).Port))
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("peer: %w", err)
	}
	return &Transport{udp: udp, ln: ln, handle: h, idle: map[netip.AddrPort][]*kept{}, conns: map[net.Conn]time.Time{}, most: mostConns}, nil
}

// Addr is where the sockets are.
func (n *Transport) Addr() netip.AddrPort { return n.ln.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the sockets.
func (n *Transport) Close() {
	n.udp.Close()
	n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, all := range n.idle {
		for _, c := range all {
			c.Close()
		}
	}
	clear(n.idle)
	n.shut = true
	for c := range n.conns {
		c.Close()
	}
}

// SendDatagram sends a datagram. It may get lost.
func (n *Transport) SendDatagram(to netip.AddrPort, b []byte) {
	if n.OnExchange != nil {
		n.OnExchange(to, 0, len(b), b)
	}
	n.udp.WriteToUDPAddrPort(b, to)
}

// ServeDatagrams hands datagrams to take until the socket is closed. The bytes are take's own.
func (n *Transport) ServeDatagrams(take func([]byte)) {
	buf := make([]byte, 64<<10)
	for {
		k, _, err := n.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // what another's closed port sends back
			continue
		}
		take(append([]byte(nil), buf[:k]...))
	}
}

// ServeCalls answers calls until the socket is closed.
func (n *Transport) ServeCalls(ctx context.Context) {
	for {
		c, err := n.ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		n.mu.Lock()
		full := n.shut || len(n.conns) >= n.most && !n.makeRoom()
		if !full {
			n.conns[c] = time.Now()
		}
		n.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go func() {
			defer func() {
				c.Close()
				n.mu.Lock()
				delete(n.conns, c)
				n.mu.Unlock()
			}()
			n.answer(ctx, c)
		}()
	}
}

// makeRoom closes the connection that was used longest ago; its caller finds another. The lock is held.
func (n *Transport) makeRoom() bool {
	var oldest net.Conn
	for c, used := range n.conns {
		if !used.IsZero() && (oldest == nil || used.Before(n.conns[oldest])) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.Close()
	delete(n.conns, oldest)
	return true
}

// used notes that a call begins or ends on a connection.
func (n *Transport) used(c net.Conn, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, there := n.conns[c]; there {
		n.conns[c] = at
	}
}

// answer answers the calls of a connection.
func (n *Transport) answer(ctx context.Context, c *net.TCPConn) {
	from := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	for {
		c.SetReadDeadline(time.Now().Add(idle))
		kind, body, err := read(c)
		if err != nil {
			return
		}
		n.used(c, time.Time{})
		out, err := n.handle(ctx, kind, from, body)
		if err != nil {
			kind, out = 0, []byte(err.Error())
		}
		c.SetWriteDeadline(time.Now().Add(idle))
		if write(c, kind, out) != nil {
			return
		}
		n.used(c, time.Now())
	}
}

func read(r io.Reader) (kind uint8, body []byte, err error) {
	var h [frameBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(h[4:])
	if h[0] != 'n' || h[1] != 'h' || h[2] != version || size > MaxFrameBytes {
		return 0, nil, errors.New("peer: not of this format")
	}
	// Memory is taken as bytes come, lest a head that lies have much of it.
	body = make([]byte, 0, min(size, 64<<10))
	for uint32(len(body)) < size {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(2*cap(body), int(size))), body...)
		}
		k, err := r.Read(body[len(body):min(cap(body), int(size))])
		body = body[:len(body)+k]
		if err != nil && uint32(len(body)) < size {
			return 0, nil, err
		}
	}
	return h[3], body, nil
}

func write(w io.Writer, kind uint8, body []byte) error {
	if len(body) > MaxFrameBytes {
		return errors.New("peer: too long")
	}
	b := make([]byte, frameBytes, frameBytes+len(body))
	b[0], b[1], b[2], b[3] = 'n', 'h', version, kind
	binary.BigEndian.PutUint32(b[4:], uint32(len(body)))
	_, err := w.Write(append(b, body...))
	return err
}

// Call asks another and waits for its answer, within the context's time: who is cut off is noticed by that, and its
// connection is not used again. (TCP_USER_TIMEOUT would notice later than any call here may take.)
func (n *Transport) Call(ctx context.Context, to netip.AddrPort, kind uint8, body []byte) ([]byte, error) {
	c, again, err := n.get(ctx, to)
	if err != nil {
		return nil, fmt.Errorf("peer: %v: %w", to, err)
	}
	out, err := n.ask(ctx, c, kind, body)
	if err != nil && again && !errors.Is(err, ErrRemote) && ctx.Err() == nil && !errors.Is(err, errTime) {
		// A connection that was kept may have ended long ago.
		if c, err = n.dial(ctx, to); err == nil {
			out, err = n.ask(ctx, c, kind, body)
		}
	}
	if n.OnExchange != nil {
		n.OnExchange(to, kind, 2*frameBytes+len(body)+len(out), nil)
	}
	if err != nil && !errors.Is(err, ErrRemote) {
		return nil, fmt.Errorf("peer: %v: %w", to, err)
	}
	if err == nil || errors.Is(err, ErrRemote) {
		n.put(to, c)
	}
	return out, err
}

var errTime = errors.New("no answer in time")

func (n *Transport) ask(ctx context.Context, c net.Conn, kind uint8, body []byte) ([]byte, error) {
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(idle)
	}
	c.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	err := write(c, kind, body)
	var got uint8
	var out []byte
	if err == nil {
		got, out, err = read(c)
	}
	if err != nil {
		c.Close()
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return nil, errTime
		}
		return nil, err
	}
	if got == 0 {
		return nil, fmt.Errorf("%w: %s", ErrRemote, out)
	}
	return out, nil
}

// get returns a connection; again says that it was kept from before.
func (n *Transport) get(ctx context.Context, to netip.AddrPort) (c net.Conn, again bool, err error) {
	for {
		n.mu.Lock()
		all := n.idle[to]
		var k *kept
		if len(all) > 0 {
			k = all[len(all)-1]
			n.idle[to] = all[:len(all)-1]
		}
		n.mu.Unlock()
		if k == nil {
			c, err = n.dial(ctx, to)
			return c, false, err
		}
		if time.Since(k.since) < keptIdle {
			return k.Conn, true, nil
		}
		k.Close()
	}
}

func (n *Transport) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialWait, KeepAlive: -1}
	return d.DialContext(ctx, "tcp4", to.String())
}

func (n *Transport) put(to netip.AddrPort, c net.Conn) {
	const few = 2
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.idle[to]) >= few {
		c.Close()
		return
	}
	n.idle[to] = append(n.idle[to], &kept{c, time.Now()})
}
