package node

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

func TestUsageThroughTroubles(t *testing.T) {
	// The platform is busy, then fails, then takes reports whose answer comes too late; the holder ends meanwhile, and so does
	// its successor. Each window is reported with one figure, and all of them add up to what began.
	f := newTestFleet(t, 1, 5)
	e := newEngine(t, "i-1")
	if code := put(t, f.edges[0].ctl, 0, config(3, "k")); code != 200 {
		t.Fatal(code)
	}
	f.platform.mu.Lock()
	f.platform.ill = func(call int) (int, time.Duration) {
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
	e.beat(f.keepers[0].ctl, "ready")
	until(t, "readiness", f.edges[0].isReady)
	began := uint64(0)
	asked := func(n int) {
		for range n {
			e.beat(f.edges[0].ctl, "ready")
			if resp, _ := ask(t, f.edges[0], "/read/1", "k"); resp != nil && resp.StatusCode == 200 {
				began++
			}
		}
	}
	holder := func() *machine {
		for _, m := range f.keepers {
			if m.stop == nil {
				continue
			}
			_, b := call(t, "GET", m.ctl, "/fleet/status", nil, nil)
			for _, k := range f.keepers {
				if bytes.Contains(b, fmt.Appendf(nil, `"holder":"%v"`, k.cfg["node_name"])) {
					return k
				}
			}
		}
		return nil
	}
	for range 2 {
		asked(20)
		var h *machine
		until(t, "a holder", func() bool { h = holder(); return h != nil && h.stop != nil })
		h.end()
		asked(20)
		h.again(false)
	}
	until(t, "all that began is reported", func() bool {
		e.beat(f.edges[0].ctl, "ready")
		return f.platform.reported("lab") == began
	})
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	if f.platform.other > 0 || f.platform.calls < 6 {
		t.Errorf("%d windows with two figures, in %d calls", f.platform.other, f.platform.calls)
	}
	for i := 1; i < len(f.platform.fences); i++ {
		if f.platform.fences[i] < f.platform.fences[i-1] {
			t.Errorf("fences %v", f.platform.fences)
		}
	}
}
