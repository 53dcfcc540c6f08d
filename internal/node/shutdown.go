package node

import (
	"context"
	"net"
	"time"

	"notchhinge/internal/limits"
)

// closeIdleDelay is the time between the first closing of idle connections and the closing of the listener, in which
// clients that are connecting are still served.
const closeIdleDelay = 100 * time.Millisecond

// shutDown shuts the process down gracefully, within grace_period_s. The process first reports that it is not ready, so that
// the platform's load balancer sends it no new connections; those that arrive before the load balancer reacts are served.
// A replica hands over its vote concurrently. shutDown returns when both are done.
func (n *Node) shutDown(ctx context.Context, frontend net.Listener) {
	n.stopping.Store(true)
	n.log.Info("shutdown started")
	began := time.Now()
	end := began.Add(seconds(n.cfg.Bounds.GracePeriodS) - limits.ShutdownReserve)
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.leaveReplicas(ctx, began, end)
	}()
	defer func() { <-left }()
	if n.dataPlane == nil {
		return
	}
	drainCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.dataPlane.drain(drainCtx, frontend)
	n.log.Info("shutdown complete", "duration", time.Since(began).Round(time.Millisecond).String(), "open_connections", n.dataPlane.frontend.Connections())
}

// leaveReplicas hands over the vote of the replica, if the process has one, and returns at the latest at end.
func (n *Node) leaveReplicas(ctx context.Context, began, end time.Time) {
	if n.replica == nil {
		return
	}
	if t := began.Add(limits.ReplicaLeaveTimeout); t.Before(end) {
		end = t
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.replica.handOverVote(ctx)
	n.log.Info("replica left", "duration", time.Since(began).Round(time.Millisecond).String())
}

// drain keeps serving for limits.ReadinessDrainDelay, in which the platform's load balancer notices that the process is not
// ready. It then closes the listener and waits until all requests are answered and all connections closed, or ctx is done.
func (d *dataPlane) drain(ctx context.Context, listener net.Listener) {
	d.frontend.Drain()
	time.Sleep(limits.ReadinessDrainDelay)
	d.frontend.CloseIdle()
	time.Sleep(closeIdleDelay)
	_ = listener.Close() // closed even if Close returns an error
	d.frontend.CloseIdle()
	d.loop.WaitIdle(ctx)
	d.frontend.CloseIdle()
	d.frontend.Wait(ctx)
}
