package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"notchhinge/internal/config/nodeconfig"
)

// startShutdown is a node that carries traffic, to be stopped.
func startShutdown(p *testPlane, grace float64) (n *Node, stopped chan time.Duration) {
	n = &Node{cfg: &nodeconfig.Config{}, log: slog.New(slog.NewTextHandler(io.Discard, nil)), dataPlane: p.dataPlane}
	n.cfg.Bounds.GracePeriodS = grace
	stopped = make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		n.shutDown(context.Background(), p.listener)
		stopped <- time.Since(began)
	}()
	waitUntil(p.t, "it stops", n.stopping.Load)
	return n, stopped
}

func TestShutdownLetsStreamsFinish(t *testing.T) {
	// SIGTERM comes in the midst of hundreds of streams: each comes to its end, what is asked before the platform's entry has
	// noticed is served, and the process ends once they have.
	t.Parallel()
	e := newRecordingEngine(t)
	p := newTestPlane(t, 1, endpointOf("i-1", "s", e.scriptedEngine))
	var running []*clientStream
	for range 300 {
		running = append(running, openStream(t, p.addr))
	}
	n, stopped := startShutdown(p, 20)
	says := httptest.NewRecorder()
	if n.serveReadiness(says, nil); says.Code != 503 {
		t.Errorf("readiness says %d", says.Code)
	}
	for i := range 20 {
		resp, _, err := post(t, p.addr, fmt.Sprint("/again/", i))
		if err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("a request on the way there: %+v %v", resp, err)
		}
	}
	select {
	case took := <-stopped:
		t.Fatalf("it ended after %v with %d streams open", took, len(running))
	default:
	}
	close(e.resume)
	for i, s := range running {
		if err := s.readRest(); err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if took := <-stopped; took > 15*time.Second {
		t.Errorf("it ended after %v", took)
	}
	if left := p.dataPlane.frontend.Conns(); left != 0 {
		t.Errorf("%d connections are left", left)
	}
	if c, err := net.Dial("tcp4", p.addr); err == nil {
		c.Close()
		t.Error("it takes connections still")
	}
}

func TestShutdownEndsWithinItsGracePeriod(t *testing.T) {
	// A stream that does not end must not hold the process until it is killed.
	t.Parallel()
	e := newRecordingEngine(t)
	p := newTestPlane(t, 1, endpointOf("i-1", "s", e.scriptedEngine))
	openStream(t, p.addr)
	const grace = 3500 * time.Millisecond
	if _, stopped := startShutdown(p, grace.Seconds()); <-stopped > grace {
		t.Error("it ended after its grace")
	}
	close(e.resume)
}
