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
			t.Errorf("%d ms, %v", ms, err)
		}
	})
	if err != nil {
		t.Error(err)
	}
}

// TestDroppedIdleConnectionLimitsReuse: engines answer one request on a connection and drop it while it idles. An idempotent
// request meets that and is served all the same, and from then on the others use no connection that has idled for long.
func TestDroppedIdleConnectionLimitsReuse(t *testing.T) {
	var used sync.Map // connections that have carried an answer
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
	noticed := make(chan struct{}, 1)
	p.dataPlane.onIdleDrop = func() {
		p.dataPlane.limitIdleReuse()
		select {
		case noticed <- struct{}{}:
		default:
		}
	}
	for i, isNoticed := 0, false; !isNoticed; i++ {
		if o := postMany(t, p.addr, load{prefix: "/again/", requests: 1, concurrency: 1}); o.served.Load() != 1 {
			t.Fatalf("idempotent request %d was not served", i)
		}
		select {
		case <-noticed:
			isNoticed = true
		default:
		}
	}
	if d := p.dataPlane.maxIdle(); d != limits.StaleConnMaxIdle {
		t.Fatalf("a connection may have idled for %v", d)
	}
}
