package node

import (
	"context"
	"time"

	"notchhinge/internal/control/api"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
)

// Beat implements api.Handler.
func (n *Node) Beat(ctx context.Context, b *api.Beat) (home string, err error) {
	r := endpoints.Record{
		ID: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Revision: b.Revision, Slots: uint64(max(b.Slots, 0)), CallCount: b.Calls,
	}
	if b.Status == "draining" {
		r.State = endpoints.StateDraining
	}
	if b.ColdMS > 0 {
		r.WarmAtMS = time.Now().UnixMilli() + int64(min(b.ColdMS, 3.6e6))
	}
	a, err := n.news.call(ctx, func(of chan discovery.Reply) discovery.Event { return discovery.Heartbeat{Record: r, Of: of} })
	if err != nil || !a.HomeReplica.IsValid() {
		return "", err
	}
	return n.control(a.HomeReplica), nil
}

// SignOff implements api.Handler.
func (n *Node) SignOff(ctx context.Context, id string) error {
	_, err := n.news.call(ctx, func(of chan discovery.Reply) discovery.Event { return discovery.Deregister{EndpointID: id, Of: of} })
	return err
}
