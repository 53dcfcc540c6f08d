package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"notchhinge/internal/config/nodeconfig"
)

// startShutdown starts the shutdown of a node with the data plane of p. stopped receives the duration of the shutdown.
func startShutdown(p *testPlane, gracePeriod time.Duration) (n *Node, stopped chan time.Duration) {
	n = &Node{cfg: &nodeconfig.Config{}, log: slog.New(slog.NewTextHandler(io.Discard, nil)), dataPlane: p.dataPlane}
	n.cfg.Bounds.GracePeriodS = gracePeriod.Seconds()
	stopped = make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		n.shutDown(context.Background(), p.listener)
		stopped <- time.Since(began)
	}()
	waitUntil(p.t, "the start of the shutdown", n.stopping.Load)
	return n, stopped
}

// TestShutdownLetsStreamsFinish: the process shuts down while hundreds of streams are open. All streams complete, requests
// that arrive before the load balancer notices are served, and the process ends once all are answered.
func TestShutdownLetsStreamsFinish(t *testing.T) {
	t.Parallel()
	e := newRecordingEngine(t)
	p := newTestPlane(t, 1, endpointOf("i-1", "s", e.scriptedEngine))
	var running []*clientStream
	for range 300 {
		running = append(running, openStream(t, p.addr))
	}
	n, stopped := startShutdown(p, 20*time.Second)
	readiness := httptest.NewRecorder()
	if n.serveReadiness(readiness, nil); readiness.Code != http.StatusServiceUnavailable {
		t.Errorf("readiness: status %d, want 503", readiness.Code)
	}
	for i := range 20 {
		resp, _, err := post(t, p.addr, fmt.Sprint("/again/", i))
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("request during the shutdown: %+v %v", resp, err)
		}
	}
	select {
	case took := <-stopped:
		t.Fatalf("the shutdown ended after %v with %d streams open", took, len(running))
	default:
	}
	close(e.resume)
	for i, s := range running {
		if err := s.readRest(); err != nil {
			t.Errorf("stream %d: %v", i, err)
		}
	}
	if took := <-stopped; took > 15*time.Second {
		t.Errorf("the shutdown took %v after all streams were complete", took)
	}
	if open := p.dataPlane.frontend.Connections(); open != 0 {
		t.Errorf("%d connections are still open", open)
	}
	if c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", p.addr); err == nil {
		c.Close()
		t.Error("the process still accepts connections")
	}
}

// TestShutdownEndsWithinItsGracePeriod: a stream that does not end must not delay the shutdown beyond the grace period.
func TestShutdownEndsWithinItsGracePeriod(t *testing.T) {
	t.Parallel()
	e := newRecordingEngine(t)
	p := newTestPlane(t, 1, endpointOf("i-1", "s", e.scriptedEngine))
	openStream(t, p.addr)
	const gracePeriod = 3500 * time.Millisecond
	if _, stopped := startShutdown(p, gracePeriod); <-stopped > gracePeriod {
		t.Error("the shutdown exceeded the grace period")
	}
	close(e.resume)
}
