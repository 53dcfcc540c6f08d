package singleton

import (
	"log/slog"
	"maps"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
)

// Which windows are handled.
const (
	gatheredWindows   = 3   // the newest ones, for which the tables of the peers are read; of earlier ones this voter knows them already
	rememberedWindows = 100 // a window that is finished is remembered for so many further ones
)

// newestWindow returns the window from which on usage is not due yet. A window is due three tenths of the delay after its end,
// when the last reports of it have come in.
func (c *Controller) newestWindow() uint64 {
	return usage.WindowAt(c.wall.Add(-c.cfg.UsageDelay*3/10), c.cfg.UsageWindow)
}

// oldestWindow returns the oldest window that is still reported.
func (c *Controller) oldestWindow() uint64 {
	return usage.WindowAt(c.wall.Add(-3*c.cfg.UsageDelay-c.cfg.UsageWindow), c.cfg.UsageWindow)
}

// reportUsage takes the next step of the oldest window that is over and not reported: it reads the tables of the peers, has the
// figures agreed, or sends them. It reports whether something is in flight.
func (c *Controller) reportUsage() bool {
	newest := c.newestWindow()
	gatherFrom := newest - min(newest, gatheredWindows)
	for window := c.oldestWindow(); window < newest; window++ {
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
		if window >= gatherFrom && !c.tablesRequested {
			c.requestTables(window, newest)
			if c.tablesPending > 0 {
				return true
			}
		}
		if counts := usage.SortedCounts(c.table.Sum(window)); len(counts) > 0 { // else no request began in it, as far as is known
			c.proposeUsage(window, counts)
			return c.onComplete != nil
		}
	}
	return false
}

// proposeUsage has the figures of a window agreed. It gives up a window that no entry can hold: it would hold up those after it.
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

// logLostWindow warns of requests in a window that is not reported any more, or no more by this process: a later one was agreed
// before these were known, or the agreed figures were dropped before the platform took them.
func (c *Controller) logLostWindow(window uint64) {
	if tenants := len(c.table.Sum(window)); tenants > 0 {
		c.log(slog.LevelWarn, "usage window is too old to be agreed", "window", window, "tenants", tenants)
	}
}

// sendUsage reports the agreed figures of a window to the platform.
func (c *Controller) sendUsage(w *replog.UsageWindow) {
	counts := map[string]uint64{}
	for _, count := range w.Counts {
		counts[count.Tenant] = count.Requests
	}
	number := w.Number
	c.onComplete = func(err error) { c.usageSent(number, err) }
	timeout, _ := c.callTimeout()
	c.emit(ReportUsage{FencingToken: c.state.FencingToken, Window: number, Counts: counts, Timeout: timeout})
}

// usageSent notes the platform's answer to the figures of a window. An error is retried from the next tick on.
func (c *Controller) usageSent(window uint64, err error) {
	if err != nil {
		c.pausedUntilTick = true
		c.log(slog.LevelWarn, "usage report failed", "window", window, "err", err)
		return
	}
	c.finishWindow(window)
}

// finishWindow notes that nothing more is to be done for a window.
func (c *Controller) finishWindow(window uint64) {
	c.finishedWindows[window] = true
	maps.DeleteFunc(c.finishedWindows, func(earlier uint64, _ bool) bool { return earlier+rememberedWindows < window })
}

// requestTables reads what the peers have of the windows in [from, to).
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
