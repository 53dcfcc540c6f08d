package node

import (
	"context"
	"hash/fnv"
	"net/netip"
	"sync"
	"time"

	"notchhinge/internal/control/discovery"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/transport"
)

// discoveryHost runs the discovery.Node of the process: its lock, clock and timer, and the datagrams that it sends and
// receives.
type discoveryHost struct {
	transport *transport.Transport
	clock     func() time.Duration // monotonic

	// Callbacks for effects, called without mu held. They must not block.
	onEndpointsChanged func()                               // an endpoint was added, removed or changed
	onIdleDropReported func()                               // another router has observed that an engine dropped an idle connection
	onConfigAnnounced  func(index uint64, from gossip.Peer) // a peer has the configuration at a log index
	onStoreRecords     func(discovery.StoreRecords)         // records of endpoints must be stored; nil unless the process is a replica
	onForgetRecords    func(discovery.ForgetRecords)        // stored records are obsolete; nil unless the process is a replica

	wake chan struct{} // signals run to reset its timer

	mu          sync.Mutex
	reducer     *discovery.Node
	timerAt     time.Duration // by clock, when run's timer fires
	lastRequest discovery.RequestID
	replies     map[discovery.RequestID]chan discovery.Reply // of requests in flight; each channel is buffered for one value
}

func newDiscoveryHost(t *transport.Transport, o discovery.Options) *discoveryHost {
	start := time.Now()
	return &discoveryHost{
		transport: t, clock: func() time.Duration { return time.Since(start) + time.Hour },
		onEndpointsChanged: func() {}, onIdleDropReported: func() {}, onConfigAnnounced: func(uint64, gossip.Peer) {},
		wake: make(chan struct{}, 1), reducer: discovery.New(o),
		replies: map[discovery.RequestID]chan discovery.Reply{},
	}
}

// zoneHash returns the 32-bit FNV-1a hash that identifies a zone in gossip.
func zoneHash(zone string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(zone))
	return h.Sum32()
}

// step passes an event to the reducer and performs the effects.
func (h *discoveryHost) step(e discovery.Event) {
	var callbacks []func()
	h.mu.Lock()
	for _, f := range h.reducer.Reduce(h.clock(), time.Now().UnixMilli(), e) {
		switch f := f.(type) {
		case discovery.SendPacket:
			h.transport.SendDatagram(f.To, f.Payload)
		case discovery.Reply:
			if reply, ok := h.replies[f.Request]; ok {
				reply <- f // does not block: a request has one reply
			}
		case discovery.StoreRecords:
			callbacks = append(callbacks, func() { h.onStoreRecords(f) })
		case discovery.ForgetRecords:
			callbacks = append(callbacks, func() { h.onForgetRecords(f) })
		case discovery.EndpointsChanged:
			callbacks = append(callbacks, h.onEndpointsChanged)
		case discovery.IdleDropReported:
			callbacks = append(callbacks, h.onIdleDropReported)
		case discovery.ConfigAnnounced:
			callbacks = append(callbacks, func() { h.onConfigAnnounced(f.Index, f.From) })
		}
	}
	resetTimer := h.reducer.NextTimer() < h.timerAt
	h.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
	if resetTimer {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// handleEngineCall passes the event of an engine's call to the reducer and waits for the reply.
func (h *discoveryHost) handleEngineCall(ctx context.Context, event func(discovery.RequestID) discovery.Event) (discovery.Reply, error) {
	reply := make(chan discovery.Reply, 1)
	h.mu.Lock()
	h.lastRequest++
	request := h.lastRequest
	h.replies[request] = reply
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.replies, request)
		h.mu.Unlock()
	}()
	h.step(event(request))
	select {
	case r := <-reply:
		return r, r.Err
	case <-ctx.Done():
		return discovery.Reply{}, ctx.Err()
	}
}

// replicas lists the known replicas in the order in which to try them.
func (h *discoveryHost) replicas() []gossip.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.Gossip.Replicas()
}

// responsiveReplicas lists the replicas that are likely to respond.
func (h *discoveryHost) responsiveReplicas() []gossip.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.Gossip.ResponsiveReplicas()
}

// endpoints returns copies of the endpoints of a service that may receive requests.
func (h *discoveryHost) endpoints(service string) (all []endpoints.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.reducer.Endpoints.Live(service) {
		all = append(all, *e)
	}
	return all
}

// zoneOf returns the zone hash of the peer at an address; ok is false if it is unknown.
func (h *discoveryHost) zoneOf(addr netip.Addr) (zone uint32, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.Gossip.ZoneOf(addr)
}

// run passes timer ticks to the reducer until ctx is done, and datagrams until the transport is closed.
func (h *discoveryHost) run(ctx context.Context, seeds []netip.AddrPort) {
	go h.transport.ServeDatagrams(func(b []byte) { h.step(discovery.Gossip{Event: gossip.PacketReceived{Payload: b}}) })
	h.step(discovery.Gossip{Event: gossip.SeedsChanged{Addrs: seeds}})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		h.mu.Lock()
		h.timerAt = h.reducer.NextTimer()
		h.mu.Unlock()
		timer.Reset(max(h.timerAt-h.clock(), time.Millisecond))
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
			continue
		case <-timer.C:
		}
		h.step(discovery.Gossip{Event: gossip.Tick{}})
	}
}
