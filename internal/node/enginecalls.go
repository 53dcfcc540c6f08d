package node

import (
	"context"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
)

// maxWarmupMS bounds the warm-up time that an engine may report: an hour.
const maxWarmupMS = 3.6e6

// Heartbeat implements api.Handler. nextAddr is the control address of the engine's home replica, to which the engine should
// send its next heartbeats.
func (n *Node) Heartbeat(ctx context.Context, b *api.Heartbeat) (nextAddr string, err error) {
	r := endpoints.Record{
		ID: b.ID, Service: b.TargetService, Addr: b.Address, Zone: b.Zone, Revision: b.Revision, Slots: uint64(max(b.CapacitySlots, 0)), CallCount: b.CallCount,
	}
	if b.Status == api.EngineDraining {
		r.State = endpoints.StateDraining
	}
	if b.WarmupRemainingMS > 0 {
		r.WarmAtMS = time.Now().UnixMilli() + int64(min(b.WarmupRemainingMS, maxWarmupMS))
	}
	reply, err := n.discovery.handleEngineCall(ctx, func(request discovery.RequestID) discovery.Event {
		return discovery.Heartbeat{Request: request, Record: r}
	})
	if err != nil || !reply.HomeReplica.IsValid() {
		return "", err
	}
	return n.controlAddr(reply.HomeReplica), nil
}

// Deregister implements api.Handler.
func (n *Node) Deregister(ctx context.Context, id string) error {
	_, err := n.discovery.handleEngineCall(ctx, func(request discovery.RequestID) discovery.Event {
		return discovery.Deregister{Request: request, EndpointID: id}
	})
	return err
}
