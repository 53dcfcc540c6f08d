package node

import (
	"context"
	"sync"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
)

// usageMeter is a usage.Meter that is safe for concurrent use.
type usageMeter struct {
	mu    sync.Mutex
	meter usage.Meter
}

// countRequest adds a request to the usage of a tenant.
func (u *usageMeter) countRequest(tenant string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.meter.CountRequest(time.Now(), tenant)
}

// handleAck processes a replica's acknowledgement of a report.
func (u *usageMeter) handleAck(replicaID uint64, ack usage.Ack, report *usage.Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.meter.HandleAck(replicaID, ack, report)
}

// reportLoop periodically reports the counted usage and the load of the engines to the replicas, until ctx is done.
func (n *Node) reportLoop(ctx context.Context, meter *usageMeter) {
	tick := time.NewTicker(limits.RouterReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.sendReports(ctx, meter)
	}
}

// sendReports sends one report to every replica, without waiting for the acknowledgements.
func (n *Node) sendReports(ctx context.Context, meter *usageMeter) {
	loads, ok := n.serviceLoads(ctx)
	if !ok {
		return
	}
	createdAt := n.dataPlane.loop.Now()
	n.dataPlane.updateRetryShare(createdAt, 0)
	replicas := n.discovery.replicas()
	ids := make([]uint64, len(replicas))
	for i, r := range replicas {
		ids[i] = uint64(r.ID)
	}
	meter.mu.Lock()
	reports := meter.meter.Reports(time.Now(), loads, ids)
	meter.mu.Unlock()
	for i, r := range replicas {
		go n.sendReport(ctx, meter, routerReport{to: r, createdAt: createdAt, report: &reports[i]})
	}
}

// routerReport is a report with its destination.
type routerReport struct {
	to        gossip.Peer
	createdAt time.Duration // by the loop's clock
	report    *usage.Report
}

// sendReport sends a report to a replica and processes the acknowledgement.
func (n *Node) sendReport(ctx context.Context, meter *usageMeter, r routerReport) {
	ctx, cancel := context.WithTimeout(ctx, limits.ReplicaFailoverTimeout)
	defer cancel()
	body, err := n.transport.Call(ctx, r.to.Addr, rpc.KindUsageReport, r.report.Encode())
	n.discovery.step(discovery.Gossip{Event: gossip.CallCompleted{PeerID: r.to.ID, Answered: err == nil}})
	if err != nil {
		return
	}
	ack, err := usage.DecodeAck(body)
	if err != nil {
		return // the report stays unacknowledged, and its counts are sent again with the next one
	}
	n.dataPlane.updateRetryShare(r.createdAt, int(ack.Routers))
	meter.handleAck(uint64(r.to.ID), ack, r.report)
}

// serviceLoads returns the running and received requests of each service, as counted by the dispatch loop; ok is false if
// ctx is done first.
func (n *Node) serviceLoads(ctx context.Context) (loads []usage.Load, ok bool) {
	counters := make(chan dispatch.CountersReport, 1)
	n.dataPlane.loop.Post(dispatch.GetCounters{ReplyTo: counters})
	select {
	case c := <-counters:
		for _, s := range c.Pools {
			loads = append(loads, usage.Load{Service: s.Name, Running: uint64(s.Open) * 100, Arrived: uint64(s.Received)})
		}
		return loads, true
	case <-ctx.Done():
		return nil, false
	}
}
