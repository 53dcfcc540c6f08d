package singleton

import (
	"log/slog"

	"notchhinge/internal/control/autoscale"
)

// scaleEngines orders the next target from the platform, and computes new ones once all are ordered.
func (c *Controller) scaleEngines() {
	if len(c.pendingTargets) == 0 && c.planner.IsDue(c.now) {
		c.pendingTargets = c.planner.Plan(c.now, c.cfg.Services(), c.table.Loads(c.now))
	}
	if len(c.pendingTargets) == 0 {
		return
	}
	target := c.pendingTargets[0]
	c.pendingTargets = c.pendingTargets[1:]
	c.onComplete = func(err error) { c.targetSent(target, err) }
	timeout, _ := c.callTimeout()
	c.emit(ScaleEngines{
		FencingToken: c.state.FencingToken, Service: target.Service, Zone: target.Zone, Engines: target.Engines, Timeout: timeout,
	})
}

// targetSent notes the platform's answer to a target. One that failed is computed anew.
func (c *Controller) targetSent(t autoscale.Target, err error) {
	if err != nil {
		c.log(slog.LevelWarn, "scaling request failed", "service", t.Service, "zone", t.Zone, "err", err)
		return
	}
	c.planner.RecordAccepted(t)
	c.log(slog.LevelInfo, "scaling request accepted", "service", t.Service, "zone", t.Zone, "engines", t.Engines, "running", t.Running)
}
