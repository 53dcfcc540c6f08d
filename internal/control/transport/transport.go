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
	// maxInboundConns is the number of connections accepted from peers at once: two of each of 500 processes. Beyond it the
	// least recently used one is closed.
	maxInboundConns = 1024
	// inboundIdleTimeout closes a connection on which no call arrives. It also bounds the writing of a response.
	inboundIdleTimeout = 20 * time.Second
	// outboundIdleTimeout is shorter, so that the caller closes first.
	outboundIdleTimeout = 15 * time.Second
	// maxIdlePerPeer is the number of idle connections kept to one peer.
	maxIdlePerPeer = 2
	// dialTimeout bounds connecting to a peer.
	dialTimeout = 600 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, such as one for lack of descriptors.
	acceptRetryDelay = 10 * time.Millisecond
	// datagramRetryDelay is the pause after a failed read, such as the ICMP error of a peer's closed port.
	datagramRetryDelay = time.Millisecond
	// maxDatagramBytes is the size of the read buffer, which no UDP datagram exceeds.
	maxDatagramBytes = 64 << 10
)

// Handler answers calls. Each call has its own goroutine, so it may block; ctx is the one given to ServeCalls. A returned
// error reaches the caller as a [RemoteError].
type Handler func(ctx context.Context, kind rpc.Kind, from netip.Addr, body []byte) ([]byte, error)

// Transport is a process's sockets. It is safe for concurrent use.
type Transport struct {
	// OnExchange, if set, is called for every exchange that begins here: for a call with its kind and the bytes of both
	// frames, for a datagram with kind 0 and its content. It must not block, and is set before anything is sent.
	OnExchange func(to netip.AddrPort, kind rpc.Kind, bytes int, datagram []byte)

	udp     *net.UDPConn
	ln      net.Listener
	handler Handler

	mu         sync.Mutex
	idle       map[netip.AddrPort][]idleConn // outbound, the least recently used first
	inbound    map[net.Conn]time.Time        // when the last call ended; zero = a call is being handled
	maxInbound int
	closed     bool
}

// Open opens the TCP and UDP sockets at one address; port 0 chooses a free one. Call ServeCalls and ServeDatagrams to
// receive.
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

// Addr is the address of the sockets.
func (t *Transport) Addr() netip.AddrPort { return t.ln.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the sockets and all connections that no call of this process is using. ServeCalls and ServeDatagrams return.
func (t *Transport) Close() {
	_ = t.udp.Close() // nothing is left to do with a socket that fails to close
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

// SendDatagram sends a datagram, which may get lost.
func (t *Transport) SendDatagram(to netip.AddrPort, b []byte) {
	if t.OnExchange != nil {
		t.OnExchange(to, 0, len(b), b)
	}
	_, _ = t.udp.WriteToUDPAddrPort(b, to) // as good as lost
}

// ServeDatagrams calls receive with each datagram until the socket is closed. receive owns the bytes.
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
