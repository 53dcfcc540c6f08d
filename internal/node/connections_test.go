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

// TestUpstreamConnectionHasAUserTimeout: a line to an engine ends once its machine has not even received what was sent on it for so long.
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
	raw.Control(func(fd uintptr) {
		if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || ms != int(limits.UpstreamUserTimeout.Milliseconds()) {
			t.Errorf("%d ms, %v", ms, err)
		}
	})
}

// TestDroppedIdleConnectionLimitsReuse: engines answer one request on a connection and forget it as it rests. A request that may run again
// meets that, is served all the same, and has those that may not use no line that has rested.
func TestDroppedIdleConnectionLimitsReuse(t *testing.T) {
	var used sync.Map // connections that have had their answer
	engines := make([]endpoints.Endpoint, 3)
	for i := range engines {
		engines[i] = endpointOf(fmt.Sprint("i-", i), "s", newScriptedEngine(t, func(c net.Conn, r *http.Request) bool {
			if _, again := used.LoadOrStore(c, true); again {
				c.(*net.TCPConn).SetLinger(0)
				return false
			}
			return respondWith("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 4\n\ngood")(c, r)
		}))
	}
	p := newTestPlane(t, 1, engines...)
	told := make(chan bool, 1)
	p.dataPlane.onIdleDrop = func() {
		p.dataPlane.limitIdleReuse()
		select {
		case told <- true:
		default:
		}
	}
	for i, known := 0, false; !known; i++ {
		if again := postMany(t, p.addr, "/again/", 1, 1); again.served.Load() != 1 {
			t.Fatalf("request %d, which may run again, was not served", i)
		}
		select {
		case <-told:
			known = true
		default:
		}
	}
	if d := p.dataPlane.maxIdle(); d != limits.StaleConnMaxIdle {
		t.Fatalf("a line may have rested for %v", d)
	}
}
