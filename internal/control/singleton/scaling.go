package singleton

import (
	"log/slog"

	"notchhinge/internal/control/autoscale"
)

// scaleEngines sends the next target to the platform. It computes new targets once all pending ones are sent.
func (c *Controller) scaleEngines() {
	if len(c.pendingTargets) == 0 && c.planner.IsDue(c.now) {
		c.pendingTargets = c.planner.Plan(c.now, c.cfg.Services(), c.table.Loads(c.now))
	}
	if len(c.pendingTargets) == 0 {
		return
	}
	target := c.pendingTargets[0]
	c.pendingTargets = c.pendingTargets[1:]
	c.onComplete = func(err error) { c.handleScalingResult(target, err) }
	timeout, _ := c.callTimeout()
	c.emit(ScaleEngines{
		FencingToken: c.state.FencingToken, Service: target.Service, Zone: target.Zone, Engines: target.Engines, Timeout: timeout,
	})
}

// handleScalingResult handles the platform's response to a target. A target that failed is computed again by a later plan.
func (c *Controller) handleScalingResult(t autoscale.Target, err error) {
	if err != nil {
		c.log(slog.LevelWarn, "scaling request failed", "service", t.Service, "zone", t.Zone, "err", err)
		return
	}
	c.planner.RecordAccepted(t)
	c.log(slog.LevelInfo, "scaling request accepted", "service", t.Service, "zone", t.Zone, "engines", t.Engines, "running", t.Running)
}
