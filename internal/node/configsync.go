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
func (n *Node) config() *fleetconfig.Config { return n.currentConfig.Load() }

// onStateChanged follows the state of a keeper. It must not wait.
func (n *Node) onStateChanged(s *replog.State) {
	var ids []uint64
	for _, m := range s.Members {
		ids = append(ids, gossip.Hash(m.Name))
	}
	n.discovery.step(gossip.VotersChanged{IDs: ids})
	if s.Config != nil {
		n.applyConfig(s.ConfigIndex, s.Config)
	}
}

// applyConfig takes a configuration over, and tells others of it.
func (n *Node) applyConfig(place uint64, text []byte) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if place <= n.currentIndex.Load() {
		return
	}
	var pause func()
	if n.dataPlane != nil { // streams go on meanwhile
		pause = func() { time.Sleep(limits.ConfigYieldPause) }
	}
	c, err := fleetconfig.Decode(text, pause)
	if err == nil && n.dataPlane != nil {
		err = n.dataPlane.applyConfig(place, c)
	}
	if err != nil {
		n.log.Error("configuration not taken over", "place", place, "err", err)
		return
	}
	n.currentConfig.Store(c)
	n.configCache.Add(place, text)
	n.currentIndex.Store(place)
	for w := n.newestIndex.Load(); w < place && !n.newestIndex.CompareAndSwap(w, place); w = n.newestIndex.Load() {
	}
	go n.discovery.step(discovery.ConfigStored{Index: place})
}

// onConfigAnnounced is told that there is a configuration.
func (n *Node) onConfigAnnounced(place uint64, from gossip.Peer) {
	for w := n.newestIndex.Load(); w < place && !n.newestIndex.CompareAndSwap(w, place); w = n.newestIndex.Load() {
	}
	if place <= n.currentIndex.Load() {
		return
	}
	select {
	case n.fetchRequests <- from:
	default:
	}
}

// fetchLoop gets configurations that are known of and not held.
func (n *Node) fetchLoop(ctx context.Context) {
	for {
		var from gossip.Peer
		select {
		case <-ctx.Done():
			return
		case from = <-n.fetchRequests:
		}
		for try := 0; n.currentIndex.Load() < n.newestIndex.Load() && ctx.Err() == nil; try++ {
			ask := []gossip.Peer{}
			if from.Addr.IsValid() {
				ask = append(ask, from)
			}
			for _, p := range append(ask, n.discovery.replicas()...) {
				if n.fetchFrom(ctx, p.Addr, false) && n.currentIndex.Load() >= n.newestIndex.Load() {
					break
				}
			}
			if n.currentIndex.Load() < n.newestIndex.Load() {
				sleep(ctx, 50*time.Millisecond)
			}
		}
	}
}

// fetchFrom asks another for a configuration that is newer than the one here; settled: for the newest there is, which a keeper asks a
// majority for first. It tells whether it answered. A keeper of an earlier program says what it has itself in either case.
func (n *Node) fetchFrom(ctx context.Context, to netip.AddrPort, settled bool) bool {
	var how []byte
	if settled {
		how = []byte{fetchConfirmed}
	}
	ctx, cancel := context.WithTimeout(ctx, limits.ReplicaFailoverTimeout)
	defer cancel()
	has, had := n.configCache.Newest()
	for {
		b, err := n.transport.Call(ctx, to, configcache.CallFetch, replica.EncodeIndexed(has, how))
		if err != nil {
			return false
		}
		place, text, err := n.configCache.DecodeReply(b, had)
		if errors.Is(err, delta.ErrWrongBase) && has > 0 { // two who hold different texts for one place would be a fault: it must not last
			has, had = 0, nil
			continue
		}
		if err != nil {
			n.log.Error("a configuration on its way cannot be read", "from", to.String(), "err", err)
			return false
		}
		if len(text) > 0 {
			n.applyConfig(place, text)
		}
		return true
	}
}

// findNewest finds out at the start which configuration is the newest. It goes on until a keeper that reaches a majority has said
// so: one that is cut off may be the only one that is known here. What that has is held meanwhile.
func (n *Node) findNewest(ctx context.Context) {
	for !n.quorumConfirmed.Load() && ctx.Err() == nil {
		all := n.discovery.replicas()
		for _, p := range all {
			if n.fetchFrom(ctx, p.Addr, true) {
				n.quorumConfirmed.Store(true)
				return
			}
		}
		for _, p := range all {
			if n.fetchFrom(ctx, p.Addr, false) {
				n.replicaAnswered.Store(true)
				break
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// fetchConfirmed, with a texts.CallFetch, asks for the newest configuration that there is: a keeper says nothing before a majority
// has told it that there is no newer one. An earlier program takes no notice of it.
const fetchConfirmed byte = 1
