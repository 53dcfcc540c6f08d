package node

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/limits"
)

// TestUpstreamConnectionHasAUserTimeout: a connection to an engine fails once its machine has acknowledged nothing for
// limits.UpstreamUserTimeout.
func TestUpstreamConnectionHasAUserTimeout(t *testing.T) {
	e := newScriptedEngine(t, respondWith("HTTP/1.1 200 OK\nContent-Length: 0\n\n"))
	p := newTestPlane(t, 1, endpointOf("i-1", "s", e))
	c, err := p.dataPlane.dial(t.Context(), "tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || ms != int(limits.UpstreamUserTimeout.Milliseconds()) {
			t.Errorf("TCP_USER_TIMEOUT is %d ms, %v", ms, err)
		}
	})
	if err != nil {
		t.Error(err)
	}
}

// TestDroppedIdleConnectionLimitsReuse: engines answer one request per connection and reset the connection at the next one.
// An idempotent request on such a connection is retried and served; from then on, non-idempotent requests reuse only
// connections that were idle for a short time.
func TestDroppedIdleConnectionLimitsReuse(t *testing.T) {
	var used sync.Map // connections that have carried a response
	engines := make([]endpoints.Endpoint, 3)
	for i := range engines {
		engines[i] = endpointOf(fmt.Sprint("i-", i), "s", newScriptedEngine(t, func(c net.Conn, r *http.Request) bool {
			if _, isUsed := used.LoadOrStore(c, true); isUsed {
				c.(*net.TCPConn).SetLinger(0)
				return false
			}
			return respondWith("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 4\n\ngood")(c, r)
		}))
	}
	p := newTestPlane(t, 1, engines...)
	dropped := make(chan struct{}, 1)
	p.dataPlane.onIdleDrop = func() {
		p.dataPlane.limitIdleReuse()
		select {
		case dropped <- struct{}{}:
		default:
		}
	}
	for i, isDropped := 0, false; !isDropped; i++ {
		if o := postMany(t, p.addr, load{prefix: "/again/", requests: 1, concurrency: 1}); o.served.Load() != 1 {
			t.Fatalf("idempotent request %d was not served", i)
		}
		select {
		case <-dropped:
			isDropped = true
		default:
		}
	}
	if d := p.dataPlane.maxIdle(); d != limits.StaleConnMaxIdle {
		t.Fatalf("non-idempotent requests may reuse connections that were idle for %v", d)
	}
}
