package node

import (
	"context"
	"sync"
	"time"

	"notchhinge/internal/broker"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/singleton"
	"notchhinge/internal/control/usage"
	"notchhinge/internal/limits"
)

// usageMeter is a router's usage.Meter under one lock.
type usageMeter struct {
	mu    sync.Mutex
	meter usage.Meter
}

// countRequest counts a request.
func (c *usageMeter) countRequest(tenant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.CountRequest(time.Now(), tenant)
}

// reportLoop tells keepers what this router has counted, and how much it has at engines, until the context is over.
func (n *Node) reportLoop(ctx context.Context, c *usageMeter) {
	tick := time.NewTicker(limits.RouterReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.sendReports(ctx, c)
	}
}

// sendReports makes one report to every keeper.
func (n *Node) sendReports(ctx context.Context, c *usageMeter) {
	var loads []usage.Load
	counted := make(chan broker.Counted, 1)
	n.dataPlane.loop.Post(broker.Audit{Of: counted})
	select {
	case x := <-counted:
		for _, s := range x.Pools {
			loads = append(loads, usage.Load{Service: s.Name, Running: uint64(s.Open) * 100, Arrived: uint64(s.Taken)})
		}
	case <-ctx.Done():
		return
	}
	asked := n.dataPlane.loop.Now()
	n.dataPlane.updateRetryShare(asked, 0)
	keepers := n.discovery.replicas()
	ids := make([]uint64, len(keepers))
	for i, k := range keepers {
		ids[i] = k.ID
	}
	c.mu.Lock()
	all := c.meter.Reports(time.Now(), loads, ids)
	c.mu.Unlock()
	for i, k := range keepers {
		go func() {
			one, cancel := context.WithTimeout(context.Background(), limits.ReplicaFailoverTimeout)
			defer cancel()
			b, err := n.transport.Call(one, k.Addr, singleton.CallUsageReport, all[i].Encode())
			n.discovery.step(gossip.CallCompleted{PeerID: k.ID, Answered: err == nil})
			word, bad := usage.DecodeAck(b)
			if err != nil || bad != nil {
				return
			}
			n.dataPlane.updateRetryShare(asked, int(word.Routers))
			c.mu.Lock()
			defer c.mu.Unlock()
			c.meter.HandleAck(k.ID, word, &all[i])
		}()
	}
}
