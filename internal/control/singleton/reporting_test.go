package singleton

import (
	"fmt"
	"testing"

	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/usage"
)

// holderWithUsage returns a holder with a lease, and the window for which a router has reported counts.
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

// proposals returns the number of proposals within some ticks. A majority grants each lease and no proposal is chosen.
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

// TestWindowsThatCannotBeAgreedAreGivenUp checks that a window whose entry replicas would ignore is abandoned without a proposal.
func TestWindowsThatCannotBeAgreedAreGivenUp(t *testing.T) {
	const windowTicks = 30
	h, window := holderWithUsage(t, 3, 1)
	if n := h.proposals(windowTicks); n == 0 {
		t.Error("a valid window is not proposed")
	}
	h.state.UsageWindows = []replog.UsageWindow{{Number: window + 1}}
	if n := h.proposals(windowTicks); n > 0 {
		t.Errorf("a window older than all kept windows is proposed %d times", n)
	}
	h, window = holderWithUsage(t, 9000, 250)
	if n := h.proposals(windowTicks); n > 0 || !h.finishedWindows[window] {
		t.Errorf("a window that exceeds the size of an entry is proposed %d times; %d windows are finished", n, len(h.finishedWindows))
	}
}
