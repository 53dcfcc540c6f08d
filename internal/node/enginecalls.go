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
		ID: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Revision: b.Revision, Slots: uint64(max(b.Slots, 0)), Calls: b.Calls,
	}
	if b.Status == "draining" {
		r.State = endpoints.Draining
	}
	if b.ColdMS > 0 {
		r.WarmAt = time.Now().UnixMilli() + int64(min(b.ColdMS, 3.6e6))
	}
	a, err := n.news.call(ctx, func(of chan discovery.Answer) discovery.Event { return discovery.Beat{Record: r, Of: of} })
	if err != nil || !a.Home.IsValid() {
		return "", err
	}
	return n.control(a.Home), nil
}

// SignOff implements api.Handler.
func (n *Node) SignOff(ctx context.Context, id string) error {
	_, err := n.news.call(ctx, func(of chan discovery.Answer) discovery.Event { return discovery.SignOff{ID: id, Of: of} })
	return err
}
