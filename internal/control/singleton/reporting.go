package singleton

import (
	"log/slog"
	"maps"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
)

// Numbers of usage windows.
const (
	peerTableWindows    = 3   // most recent due windows, for which the tables of the peers are requested
	keptFinishedWindows = 100 // finished windows are remembered until this many later ones have passed
)

// dueWindowsEnd returns the first window that is not yet due. A window is due three tenths of UsageDelay after its end, when its last
// reports should have arrived.
func (c *Controller) dueWindowsEnd() uint64 {
	return usage.WindowAt(c.wall.Add(-c.cfg.UsageDelay*3/10), c.cfg.UsageWindow)
}

// oldestWindow returns the oldest window that is still reported.
func (c *Controller) oldestWindow() uint64 {
	return usage.WindowAt(c.wall.Add(-3*c.cfg.UsageDelay-c.cfg.UsageWindow), c.cfg.UsageWindow)
}

// reportUsage performs the next step for the oldest due window that is not finished: it requests the tables of the peers, proposes
// the counts, or sends the committed counts to the platform. It reports whether the step is in flight.
func (c *Controller) reportUsage() bool {
	end := c.dueWindowsEnd()
	tablesFrom := end - min(end, peerTableWindows)
	for window := c.oldestWindow(); window < end; window++ {
		if c.finishedWindows[window] {
			continue
		}
		if agreed := c.state.AgreedUsage(window); agreed != nil {
			c.sendUsage(agreed)
			return true
		}
		if c.state.IsUsageTooOld(window) {
			c.finishWindow(window)
			c.logLostWindow(window)
			continue
		}
		if window >= tablesFrom && !c.tablesRequested {
			c.requestTables(window, end)
			if c.tablesPending > 0 {
				return true
			}
		}
		if counts := usage.SortedCounts(c.table.Sum(window)); len(counts) > 0 { // if empty, no known request started in the window
			c.proposeUsage(window, counts)
			return c.onComplete != nil
		}
	}
	return false
}

// proposeUsage proposes the counts of a window. It abandons a window whose counts do not fit into a log entry, because that window
// would block later ones.
func (c *Controller) proposeUsage(window uint64, counts []replog.TenantCount) {
	entry := replog.Entry{Nonce: c.rnd.Uint64(), Payload: replog.UsageReport{Window: window, Counts: counts}}
	encoded, self := entry.Encode(), c.cfg.Self.ID
	if err := replog.Check(encoded); err != nil {
		c.finishWindow(window)
		c.log(slog.LevelError, "usage window cannot be agreed", "window", window, "tenants", len(counts), "err", err)
		return
	}
	next := func(s *replog.State) []byte {
		if s.AgreedUsage(window) != nil || s.IsUsageTooOld(window) || s.LeaseHolder != self {
			return nil
		}
		return encoded
	}
	c.propose(next, func(err error) { c.pausedUntilTick = err != nil })
}

// logLostWindow logs a warning if the window has requests that this process will not report. Either a later window was committed
// before these requests were known, or the committed counts were dropped before the platform accepted them.
func (c *Controller) logLostWindow(window uint64) {
	if tenants := len(c.table.Sum(window)); tenants > 0 {
		c.log(slog.LevelWarn, "usage window is too old to be agreed", "window", window, "tenants", tenants)
	}
}

// sendUsage sends the committed counts of a window to the platform.
func (c *Controller) sendUsage(w *replog.UsageWindow) {
	counts := map[string]uint64{}
	for _, count := range w.Counts {
		counts[count.Tenant] = count.Requests
	}
	number := w.Number
	c.onComplete = func(err error) { c.handleUsageResult(number, err) }
	timeout, _ := c.callTimeout()
	c.emit(ReportUsage{FencingToken: c.state.FencingToken, Window: number, Counts: counts, Timeout: timeout})
}

// handleUsageResult handles the platform's response to the counts of a window. After an error, the next tick allows a retry.
func (c *Controller) handleUsageResult(window uint64, err error) {
	if err != nil {
		c.pausedUntilTick = true
		c.log(slog.LevelWarn, "usage report failed", "window", window, "err", err)
		return
	}
	c.finishWindow(window)
}

// finishWindow marks a window as finished and forgets the windows that are long past.
func (c *Controller) finishWindow(window uint64) {
	c.finishedWindows[window] = true
	maps.DeleteFunc(c.finishedWindows, func(earlier uint64, _ bool) bool { return earlier+keptFinishedWindows < window })
}

// requestTables requests the counters of the windows in [from, to) from all peers and merges their responses.
func (c *Controller) requestTables(from, to uint64) {
	c.tablesRequested = true
	w := encoding.Writer{}
	w.Uvarint(from)
	w.Uvarint(to)
	for _, peer := range c.cfg.Peers() {
		c.tablesPending++
		c.call(peer, rpc.KindUsageTable, w.Buf, func(body []byte, err error) {
			c.tablesPending--
			if err != nil {
				return
			}
			if err := c.table.Merge(body); err != nil {
				c.log(slog.LevelWarn, "usage table cannot be decoded", "peer", peer.String(), "err", err)
			}
		})
	}
}
