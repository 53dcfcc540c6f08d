package node

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"notchhinge/internal/control/configcache"
	"notchhinge/internal/control/delta"
	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/replog"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/control/transport"
	"notchhinge/internal/limits"
)

// Pauses between two attempts to get a configuration.
const (
	fetchRetryInterval   = 50 * time.Millisecond
	confirmRetryInterval = 100 * time.Millisecond
)

// fetchMode is the option of an rpc.KindFetchConfig: nothing, or one byte. Earlier versions of the program ignore it.
type fetchMode byte

const (
	fetchLocal     fetchMode = iota // the newest configuration that the peer has; it stands on the wire as no byte
	fetchConfirmed                  // the newest there is: a replica asks a quorum first, and answers only if it reaches one
)

// encode is the option's form on the wire.
func (m fetchMode) encode() []byte {
	if m == fetchLocal {
		return nil
	}
	return []byte{byte(m)}
}

// decodeFetchMode reads an option; what it does not know is fetchLocal.
func decodeFetchMode(b []byte) fetchMode {
	if len(b) > 0 && b[0] == byte(fetchConfirmed) {
		return fetchConfirmed
	}
	return fetchLocal
}

// configSync keeps the process on the newest fleet configuration. It learns of one from the replica here or by gossip,
// fetches it from a peer, puts it in force, and announces it. Configurations are ordered by their log index.
type configSync struct {
	log       *slog.Logger
	transport *transport.Transport
	discovery *discoveryHost
	dataPlane *dataPlane // nil unless the process has a frontend

	cache           configcache.Cache // the newest ones as received, for peers that ask
	current         atomic.Pointer[fleetconfig.Config]
	currentIndex    atomic.Uint64    // log index of current; 0 = none
	newestIndex     atomic.Uint64    // the highest log index that was announced
	quorumConfirmed atomic.Bool      // since the start a replica with a quorum has reported the newest configuration
	replicaAnswered atomic.Bool      // since the start some replica has reported what it has
	fetchRequests   chan gossip.Peer // who announced a newer configuration; one is pending at most

	applyMu sync.Mutex // held while a configuration is put in force; it guards the order of writes to cache, current and currentIndex
}

func newConfigSync(log *slog.Logger, t *transport.Transport, d *discoveryHost) *configSync {
	return &configSync{log: log, transport: t, discovery: d, fetchRequests: make(chan gossip.Peer, 1)}
}

// stateChanged takes over the replica's state. It is called with the replica's lock held, and does not wait for the network.
func (n *Node) stateChanged(s *replog.State) {
	var ids []gossip.PeerID
	for _, m := range s.Members {
		ids = append(ids, gossip.PeerIDOf(m.Name))
	}
	n.discovery.step(discovery.Gossip{Event: gossip.VotersChanged{IDs: ids}})
	if s.Config != nil {
		n.configs.apply(s.ConfigIndex, s.Config)
	}
}

// config is the configuration in force; nil = none yet.
func (s *configSync) config() *fleetconfig.Config { return s.current.Load() }

// isBehind tells whether a configuration newer than the one in force is known of.
func (s *configSync) isBehind() bool { return s.currentIndex.Load() < s.newestIndex.Load() }

// apply puts an encoded configuration in force if it is newer than the present one, and announces it.
func (s *configSync) apply(index uint64, encoded []byte) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if index <= s.currentIndex.Load() {
		return
	}
	var yield func()
	if s.dataPlane != nil { // streams are passed on meanwhile
		yield = func() { time.Sleep(limits.ConfigYieldPause) }
	}
	c, err := fleetconfig.Decode(encoded, yield)
	if err == nil && s.dataPlane != nil {
		err = s.dataPlane.applyConfig(index, c)
	}
	if err != nil {
		s.log.Error("configuration not applied", "index", index, "err", err)
		return
	}
	s.current.Store(c)
	s.cache.Add(index, encoded)
	s.currentIndex.Store(index)
	s.raiseNewest(index)
	go s.discovery.step(discovery.ConfigStored{Index: index}) // the caller may hold the replica's lock, and must not wait
}

// raiseNewest takes note of a configuration's log index.
func (s *configSync) raiseNewest(index uint64) {
	for known := s.newestIndex.Load(); known < index; known = s.newestIndex.Load() {
		if s.newestIndex.CompareAndSwap(known, index) {
			return
		}
	}
}

// announced takes note that a peer has the configuration at a log index, and has run fetch it if it is newer. It does not
// wait.
func (s *configSync) announced(index uint64, from gossip.Peer) {
	s.raiseNewest(index)
	if index <= s.currentIndex.Load() {
		return
	}
	select {
	case s.fetchRequests <- from:
	default: // a fetch is pending, and goes on until the newest is here
	}
}

// run fetches announced configurations until ctx is done.
func (s *configSync) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case announcer := <-s.fetchRequests:
			for s.isBehind() && ctx.Err() == nil {
				s.fetchNewer(ctx, announcer)
				if s.isBehind() {
					sleep(ctx, fetchRetryInterval)
				}
			}
		}
	}
}

// fetchNewer asks the announcer, if it has an address, and then the replicas, until the newest configuration is here.
func (s *configSync) fetchNewer(ctx context.Context, announcer gossip.Peer) {
	var peers []gossip.Peer
	if announcer.Addr.IsValid() {
		peers = append(peers, announcer)
	}
	for _, p := range append(peers, s.discovery.replicas()...) {
		if s.fetch(ctx, p.Addr, fetchLocal) && !s.isBehind() {
			return
		}
	}
}

// fetch asks a peer for a configuration newer than the one here, and puts it in force. It tells whether the peer answered,
// which it does with nothing where it has no newer one.
func (s *configSync) fetch(ctx context.Context, to netip.AddrPort, mode fetchMode) bool {
	ctx, cancel := context.WithTimeout(ctx, limits.ReplicaFailoverTimeout)
	defer cancel()
	baseIndex, base := s.cache.Newest()
	for {
		reply, err := s.transport.Call(ctx, to, rpc.KindFetchConfig, replica.EncodeIndexed(baseIndex, mode.encode()))
		if err != nil {
			return false
		}
		index, encoded, err := configcache.DecodeReply(reply, base)
		if errors.Is(err, delta.ErrWrongBase) && baseIndex > 0 {
			// The peer has another text at this index. That would be a fault, but it must not last: the whole text is fetched.
			baseIndex, base = 0, nil
			continue
		}
		if err != nil {
			s.log.Error("fetched configuration not decoded", "peer", to.String(), "err", err)
			return false
		}
		if len(encoded) > 0 {
			s.apply(index, encoded)
		}
		return true
	}
}

// confirmNewest finds out after the start which configuration is the newest. It goes on until a replica with a quorum has
// said so: one that is partitioned may be the only one that is known here. What such a one has is put in force meanwhile.
func (s *configSync) confirmNewest(ctx context.Context) {
	for !s.quorumConfirmed.Load() && ctx.Err() == nil {
		replicas := s.discovery.replicas()
		if s.fetchFromFirst(ctx, replicas, fetchConfirmed) {
			s.quorumConfirmed.Store(true)
			return
		}
		if s.fetchFromFirst(ctx, replicas, fetchLocal) {
			s.replicaAnswered.Store(true)
		}
		sleep(ctx, confirmRetryInterval)
	}
}

// fetchFromFirst fetches from the first of the replicas that answers, and tells whether any did.
func (s *configSync) fetchFromFirst(ctx context.Context, replicas []gossip.Peer, mode fetchMode) bool {
	for _, p := range replicas {
		if s.fetch(ctx, p.Addr, mode) {
			return true
		}
	}
	return false
}
