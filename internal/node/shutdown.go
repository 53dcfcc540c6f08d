package node

import (
	"context"
	"net"
	"time"

	"notchhinge/internal/limits"
)

// shutDown ends a process in order: the platform's entry is told first, and what comes until it has noticed is served.
func (n *Node) shutDown(ctx context.Context, front net.Listener) {
	n.stopping.Store(true)
	n.log.Info("stopping")
	began := time.Now()
	end := began.Add(time.Duration(n.cfg.Bounds.GracePeriodS*float64(time.Second)) - limits.ShutdownReserve)
	handed := make(chan struct{})
	go func() {
		defer close(handed)
		if n.replica == nil {
			return
		}
		left, cancel := context.WithDeadline(ctx, earlier(began.Add(limits.ReplicaLeaveTimeout), end))
		defer cancel()
		n.replica.handOver(left)
		n.log.Info("handed over", "after", time.Since(began).Round(time.Millisecond).String())
	}()
	defer func() { <-handed }()
	if n.dataPlane == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.dataPlane.frontend.Drain()
	time.Sleep(limits.ReadinessDrainDelay)
	n.dataPlane.frontend.CloseIdle()
	time.Sleep(100 * time.Millisecond)
	front.Close()
	n.dataPlane.frontend.CloseIdle()
	n.dataPlane.loop.Idle(ctx)
	n.dataPlane.frontend.CloseIdle()
	n.dataPlane.frontend.Wait(ctx)
	n.log.Info("stopped", "after", time.Since(began).Round(time.Millisecond).String(), "connections_left", n.dataPlane.frontend.Conns())
}

func earlier(x, y time.Time) time.Time {
	if y.Before(x) {
		return y
	}
	return x
}
