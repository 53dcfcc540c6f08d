package node

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/delta"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/limits"
)

// config is the newest configuration that is held here; nil = none yet.
func (n *Node) config() *fleetconfig.Config { return n.conf.Load() }

// changed follows the state of a keeper. It must not wait.
func (n *Node) changed(s *replog.State) {
	var ids []uint64
	for _, m := range s.Members {
		ids = append(ids, gossip.Hash(m.Name))
	}
	n.news.turn(gossip.VotersChanged{IDs: ids})
	if s.Config != nil {
		n.hold(s.ConfigIndex, s.Config)
	}
}

// hold takes a configuration over, and tells others of it.
func (n *Node) hold(place uint64, text []byte) {
	n.holding.Lock()
	defer n.holding.Unlock()
	if place <= n.place.Load() {
		return
	}
	var pause func()
	if n.data != nil { // streams go on meanwhile
		pause = func() { time.Sleep(limits.ConfigYieldPause) }
	}
	c, err := fleetconfig.Decode(text, pause)
	if err == nil && n.data != nil {
		err = n.data.apply(place, c)
	}
	if err != nil {
		n.log.Error("configuration not taken over", "place", place, "err", err)
		return
	}
	n.conf.Store(c)
	n.texts.Add(place, text)
	n.place.Store(place)
	for w := n.wanted.Load(); w < place && !n.wanted.CompareAndSwap(w, place); w = n.wanted.Load() {
	}
	go n.news.turn(discovery.ConfigStored{Index: place})
}

// heardOf is told that there is a configuration.
func (n *Node) heardOf(place uint64, from gossip.Peer) {
	for w := n.wanted.Load(); w < place && !n.wanted.CompareAndSwap(w, place); w = n.wanted.Load() {
	}
	if place <= n.place.Load() {
		return
	}
	select {
	case n.fetching <- from:
	default:
	}
}

// fetch gets configurations that are known of and not held.
func (n *Node) fetch(ctx context.Context) {
	for {
		var from gossip.Peer
		select {
		case <-ctx.Done():
			return
		case from = <-n.fetching:
		}
		for try := 0; n.place.Load() < n.wanted.Load() && ctx.Err() == nil; try++ {
			ask := []gossip.Peer{}
			if from.Addr.IsValid() {
				ask = append(ask, from)
			}
			for _, p := range append(ask, n.news.keepers()...) {
				if n.get(ctx, p.Addr, false) && n.place.Load() >= n.wanted.Load() {
					break
				}
			}
			if n.place.Load() < n.wanted.Load() {
				pause(ctx, 50*time.Millisecond)
			}
		}
	}
}

// get asks another for a configuration that is newer than the one here; settled: for the newest there is, which a keeper asks a
// majority for first. It tells whether it answered. A keeper of an earlier program says what it has itself in either case.
func (n *Node) get(ctx context.Context, to netip.AddrPort, settled bool) bool {
	var how []byte
	if settled {
		how = []byte{fetchSettled}
	}
	ctx, cancel := context.WithTimeout(ctx, limits.ReplicaFailoverTimeout)
	defer cancel()
	has, had := n.texts.Newest()
	for {
		b, err := n.net.Call(ctx, to, configcache.CallFetch, replica.EncodeIndexed(has, how))
		if err != nil {
			return false
		}
		place, text, err := n.texts.DecodeReply(b, had)
		if errors.Is(err, delta.ErrWrongBase) && has > 0 { // two who hold different texts for one place would be a fault: it must not last
			has, had = 0, nil
			continue
		}
		if err != nil {
			n.log.Error("a configuration on its way cannot be read", "from", to.String(), "err", err)
			return false
		}
		if len(text) > 0 {
			n.hold(place, text)
		}
		return true
	}
}

// start finds out at the start which configuration is the newest. It goes on until a keeper that reaches a majority has said
// so: one that is cut off may be the only one that is known here. What that has is held meanwhile.
func (n *Node) start(ctx context.Context) {
	for !n.asked.Load() && ctx.Err() == nil {
		all := n.news.keepers()
		for _, p := range all {
			if n.get(ctx, p.Addr, true) {
				n.asked.Store(true)
				return
			}
		}
		for _, p := range all {
			if n.get(ctx, p.Addr, false) {
				n.answered.Store(true)
				break
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
}

// fetchSettled, with a texts.CallFetch, asks for the newest configuration that there is: a keeper says nothing before a majority
// has told it that there is no newer one. An earlier program takes no notice of it.
const fetchSettled byte = 1
