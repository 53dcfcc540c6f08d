package node

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

func TestUsageIsReportedOnceThroughFaults(t *testing.T) {
	// The platform is busy, then fails, then takes reports whose answer comes too late; the holder ends meanwhile, and so does
	// its successor. Each window is reported with one figure, and all of them add up to what began.
	f := newTestFleet(t, 1, 5)
	e := newFakeEngine(t, "i-1")
	if code := replaceConfig(t, f.routers[0].control, 0, encodedConfig(3, "k")); code != 200 {
		t.Fatal(code)
	}
	f.platform.mu.Lock()
	f.platform.fault = func(call int) (int, time.Duration) {
		switch {
		case call <= 3:
			return 429, 0
		case call <= 5:
			return 503, 0
		case call <= 7:
			return 0, 2 * time.Second // it is taken, and who sent it does not know
		}
		return 0, 0
	}
	f.platform.mu.Unlock()
	e.heartbeat(f.replicas[0].control, "ready")
	waitUntil(t, "readiness", f.routers[0].isReady)
	began := uint64(0)
	asked := func(n int) {
		for range n {
			e.heartbeat(f.routers[0].control, "ready")
			if resp, _ := clientRequest(t, f.routers[0], "/read/1", "k"); resp != nil && resp.StatusCode == 200 {
				began++
			}
		}
	}
	holder := func() *testNode {
		for _, m := range f.replicas {
			if m.signals == nil {
				continue
			}
			_, b := controlCall(t, "GET", m.control, "/fleet/status", nil, nil)
			for _, k := range f.replicas {
				if bytes.Contains(b, fmt.Appendf(nil, `"holder":"%v"`, k.cfg["node_name"])) {
					return k
				}
			}
		}
		return nil
	}
	for range 2 {
		asked(20)
		var h *testNode
		waitUntil(t, "a holder", func() bool { h = holder(); return h != nil && h.signals != nil })
		h.stop()
		asked(20)
		h.again(false)
	}
	waitUntil(t, "all that began is reported", func() bool {
		e.heartbeat(f.routers[0].control, "ready")
		return f.platform.reported("lab") == began
	})
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	if f.platform.conflicting > 0 || f.platform.calls < 6 {
		t.Errorf("%d windows with two figures, in %d calls", f.platform.conflicting, f.platform.calls)
	}
	for i := 1; i < len(f.platform.fencingTokens); i++ {
		if f.platform.fencingTokens[i] < f.platform.fencingTokens[i-1] {
			t.Errorf("fences %v", f.platform.fencingTokens)
		}
	}
}
