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

// Intervals between attempts to obtain a configuration.
const (
	fetchRetryInterval   = 50 * time.Millisecond
	confirmRetryInterval = 100 * time.Millisecond
)

// fetchMode is the option of an rpc.KindFetchConfig call. It is absent or one byte. Earlier versions of the program ignore it.
type fetchMode byte

const (
	fetchLocal     fetchMode = iota // the newest configuration that the peer has; encoded as no byte
	fetchConfirmed                  // the newest configuration of the fleet: a replica answers only after a quorum read
)

// encode returns the wire format of the option.
func (m fetchMode) encode() []byte {
	if m == fetchLocal {
		return nil
	}
	return []byte{byte(m)}
}

// decodeFetchMode decodes an option. An unknown one counts as fetchLocal.
func decodeFetchMode(b []byte) fetchMode {
	if len(b) > 0 && b[0] == byte(fetchConfirmed) {
		return fetchConfirmed
	}
	return fetchLocal
}

// configSync keeps the process on the newest fleet configuration. It receives one from the replica of this process, or is
// notified by gossip and fetches it from a peer; then it puts the configuration in force and announces it. Configurations are
// ordered by their log index.
type configSync struct {
	log       *slog.Logger
	transport *transport.Transport
	discovery *discoveryHost
	dataPlane *dataPlane // nil unless the process has a frontend

	cache           configcache.Cache // the newest configurations in encoded form, for peers that fetch them
	current         atomic.Pointer[fleetconfig.Config]
	currentIndex    atomic.Uint64    // log index of current; 0 = none
	newestIndex     atomic.Uint64    // the highest log index that was announced
	quorumConfirmed atomic.Bool      // a replica with a quorum has reported the newest configuration since the start
	replicaAnswered atomic.Bool      // some replica has reported its newest configuration since the start
	fetchRequests   chan gossip.Peer // peers that announced a newer configuration; holds at most one

	applyMu sync.Mutex // held while a configuration is put in force; guards the order of writes to cache, current and currentIndex
}

func newConfigSync(log *slog.Logger, t *transport.Transport, d *discoveryHost) *configSync {
	return &configSync{log: log, transport: t, discovery: d, fetchRequests: make(chan gossip.Peer, 1)}
}

// stateChanged applies the voters and the configuration of a new replica state. It is called with the replica's mu held, and
// does not wait for the network.
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

// config returns the configuration in force; nil = none yet.
func (s *configSync) config() *fleetconfig.Config { return s.current.Load() }

// isBehind reports whether a configuration newer than the one in force was announced.
func (s *configSync) isBehind() bool { return s.currentIndex.Load() < s.newestIndex.Load() }

// apply puts an encoded configuration in force if it is newer than the current one, and announces it.
func (s *configSync) apply(index uint64, encoded []byte) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if index <= s.currentIndex.Load() {
		return
	}
	var yield func()
	if s.dataPlane != nil { // lets the data plane forward streams while a large configuration is decoded
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
	go s.discovery.step(discovery.ConfigStored{Index: index}) // in a goroutine, as the caller may hold the replica's mu
}

// raiseNewest raises newestIndex to index if it is lower.
func (s *configSync) raiseNewest(index uint64) {
	for known := s.newestIndex.Load(); known < index; known = s.newestIndex.Load() {
		if s.newestIndex.CompareAndSwap(known, index) {
			return
		}
	}
}

// announced handles the announcement that a peer has the configuration at a log index. It requests a fetch if that
// configuration is newer than the one in force. It does not block.
func (s *configSync) announced(index uint64, from gossip.Peer) {
	s.raiseNewest(index)
	if index <= s.currentIndex.Load() {
		return
	}
	select {
	case s.fetchRequests <- from:
	default: // a fetch is already requested, and continues until the newest configuration is in force
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

// fetchNewer fetches from the announcer, if its address is known, and then from the replicas, until the newest configuration
// is in force.
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

// fetch requests a configuration newer than the local one from a peer and puts it in force. It reports whether the peer
// answered; the answer is empty if the peer has no newer configuration.
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
			// The peer has different content at this index. This should not occur; fetching the full content recovers from it.
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

// confirmNewest determines the newest configuration after the start. It repeats until a replica with a quorum has confirmed
// it, because the only known replica may be partitioned. Meanwhile the configuration of any replica that answers is put in
// force.
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

// fetchFromFirst fetches from the first replica that answers, and reports whether any did.
func (s *configSync) fetchFromFirst(ctx context.Context, replicas []gossip.Peer, mode fetchMode) bool {
	for _, p := range replicas {
		if s.fetch(ctx, p.Addr, mode) {
			return true
		}
	}
	return false
}
