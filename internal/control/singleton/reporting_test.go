package singleton

import (
	"fmt"
	"testing"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/usage"
)

// holderWithUsage returns a holder under a lease, and the first window of which routers have reported counts.
func holderWithUsage(t *testing.T, tenants, nameBytes int) (h *harness, window uint64) {
	t.Helper()
	h = newHarness()
	h.cfg.ScalesEngines = false
	h.elect(t)
	h.grant(2)
	window = usage.WindowAt(h.wall(), h.cfg.UsageWindow)
	counters := usage.Counters{}
	for tenant := range tenants {
		counters.Add(window, fmt.Sprintf("%0*d", nameBytes, tenant), 1)
	}
	h.call(t, 8, (&usage.Report{Incarnation: 9, Counters: counters}).Encode())
	return h, window
}

// proposals counts the proposals of a time in which a majority grants each lease and no proposal is chosen.
func (h *harness) proposals(ticks int) (n int) {
	for range ticks {
		h.advance(sec / 2)
		h.grant(2)
		if h.proposed == nil {
			continue
		}
		if h.proposed(&h.state) != nil {
			n++
		}
		h.proposed = nil
		h.reduce(ProposalDone{})
	}
	return n
}

// TestWindowsThatCannotBeAgreedAreGivenUp: what replicas would ignore is not proposed at all, and does not hold up later windows.
func TestWindowsThatCannotBeAgreedAreGivenUp(t *testing.T) {
	const windowTicks = 30
	h, window := holderWithUsage(t, 3, 1)
	if n := h.proposals(windowTicks); n == 0 {
		t.Error("a window that can be agreed is not proposed")
	}
	h.state.UsageWindows = []replog.UsageWindow{{Number: window + 1}}
	if n := h.proposals(windowTicks); n > 0 {
		t.Errorf("a window older than all that are kept is proposed %d times", n)
	}
	h, window = holderWithUsage(t, 9000, 250)
	if n := h.proposals(windowTicks); n > 0 || !h.finishedWindows[window] {
		t.Errorf("a window that no entry holds is proposed %d times; %d are finished", n, len(h.finishedWindows))
	}
}
