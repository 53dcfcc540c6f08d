package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"notchhinge/internal/control/rpc"
)

const (
	// maxInboundConns is the maximum number of connections from peers: two from each of 500 processes. Beyond it the least
	// recently used connection is closed.
	maxInboundConns = 1024
	// inboundIdleTimeout is how long an inbound connection may be without a call. It also bounds the writing of a response.
	inboundIdleTimeout = 20 * time.Second
	// outboundIdleTimeout is shorter than inboundIdleTimeout, so that the caller closes first.
	outboundIdleTimeout = 15 * time.Second
	// maxIdlePerPeer is the maximum number of idle connections to one peer.
	maxIdlePerPeer = 2
	// dialTimeout bounds connecting to a peer.
	dialTimeout = 600 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example when the process is out of file descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// datagramRetryDelay is the pause after a failed read, for example after the ICMP error of a closed port at a peer.
	datagramRetryDelay = time.Millisecond
	// maxDatagramBytes is the size of the read buffer. No UDP datagram is larger.
	maxDatagramBytes = 64 << 10
)

// Handler answers calls. Each inbound connection has its own goroutine, so a handler may block. ctx is the context given to
// ServeCalls. A returned error reaches the caller as a [RemoteError].
type Handler func(ctx context.Context, kind rpc.Kind, from netip.Addr, body []byte) ([]byte, error)

// Transport contains the sockets of a process. It is safe for concurrent use.
type Transport struct {
	// OnExchange, if set, is called for every outgoing call with its kind and the bytes of both frames, and for every sent
	// datagram with kind 0 and its content. It must not block, and must be set before anything is sent.
	OnExchange func(to netip.AddrPort, kind rpc.Kind, bytes int, datagram []byte)

	udp     *net.UDPConn
	ln      net.Listener
	handler Handler

	mu         sync.Mutex
	idle       map[netip.AddrPort][]idleConn // outbound, the least recently used first
	inbound    map[net.Conn]time.Time        // when the last call ended; zero time = a call is being handled
	maxInbound int
	closed     bool
}

// Open opens the TCP and UDP sockets at one address; with port 0 it chooses a free port. The caller starts ServeCalls and
// ServeDatagrams to receive.
func Open(addr netip.AddrPort, h Handler) (*Transport, error) {
	ln, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("open transport: %w", err)
	}
	if addr.Port() == 0 {
		addr = netip.AddrPortFrom(addr.Addr(), ln.Addr().(*net.TCPAddr).AddrPort().Port())
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open transport: %w", err), ln.Close())
	}
	return &Transport{
		udp: udp, ln: ln, handler: h,
		idle: map[netip.AddrPort][]idleConn{}, inbound: map[net.Conn]time.Time{}, maxInbound: maxInboundConns,
	}, nil
}

// Addr returns the address of the sockets.
func (t *Transport) Addr() netip.AddrPort { return t.ln.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the sockets and all connections except those of outgoing calls in flight. ServeCalls and ServeDatagrams return.
func (t *Transport) Close() {
	_ = t.udp.Close() // an error leaves nothing to do
	t.ln.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, conns := range t.idle {
		for _, c := range conns {
			c.Close()
		}
	}
	clear(t.idle)
	for c := range t.inbound {
		c.Close()
	}
}

// SendDatagram sends a datagram, which may be lost.
func (t *Transport) SendDatagram(to netip.AddrPort, b []byte) {
	if t.OnExchange != nil {
		t.OnExchange(to, 0, len(b), b)
	}
	_, _ = t.udp.WriteToUDPAddrPort(b, to) // a failed write is equivalent to a lost datagram
}

// ServeDatagrams calls receive with each datagram until the socket is closed. receive may retain the bytes.
func (t *Transport) ServeDatagrams(receive func([]byte)) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := t.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(datagramRetryDelay)
			continue
		}
		receive(append([]byte(nil), buf[:n]...))
	}
}
