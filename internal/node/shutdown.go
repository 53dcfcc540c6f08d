package node

import (
	"context"
	"net"
	"time"

	"notchhinge/internal/limits"
)

// closeIdleDelay is the time between the first closing of idle connections and the closing of the listener: a client that
// was connecting meanwhile still gets its answer.
const closeIdleDelay = 100 * time.Millisecond

// shutDown ends the process gracefully, within grace_period_s. Readiness says no first, so that the platform's load balancer
// sends no new connections; those that come until it has noticed are served. Meanwhile a replica hands its vote over. It
// returns when both are done.
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

// leaveReplicas has the replica hand its vote over, if the process is one.
func (n *Node) leaveReplicas(ctx context.Context, began, end time.Time) {
	if n.replica == nil {
		return
	}
	if t := began.Add(limits.ReplicaLeaveTimeout); t.Before(end) {
		end = t
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.replica.handOver(ctx)
	n.log.Info("replica left", "duration", time.Since(began).Round(time.Millisecond).String())
}

// drain serves what comes until the platform's load balancer has noticed that the process is not ready, closes the
// listener, and waits until all requests are answered and all connections are closed, or ctx is done.
func (d *dataPlane) drain(ctx context.Context, listener net.Listener) {
	d.frontend.Drain()
	time.Sleep(limits.ReadinessDrainDelay)
	d.frontend.CloseIdle()
	time.Sleep(closeIdleDelay)
	_ = listener.Close() // it is closed in either case
	d.frontend.CloseIdle()
	d.loop.WaitIdle(ctx)
	d.frontend.CloseIdle()
	d.frontend.Wait(ctx)
}
