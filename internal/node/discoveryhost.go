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

// discoveryHost owns the process's discovery.Node: its lock, its clock and timer, and the datagrams that it sends and gets.
type discoveryHost struct {
	transport *transport.Transport
	clock     func() time.Duration // monotonic

	// What follows from effects, called without the lock. None of them may wait.
	onEndpointsChanged func()                               // engines have come, gone or changed
	onIdleDropReported func()                               // another router saw an engine drop an idle connection
	onConfigAnnounced  func(index uint64, from gossip.Peer) // a peer has the configuration at a log index

	wake chan struct{} // has run set its timer anew

	mu          sync.Mutex
	reducer     *discovery.Node
	timerAt     time.Duration // by clock, what run's timer is set to
	lastRequest discovery.RequestID
	replies     map[discovery.RequestID]chan discovery.Reply // of requests in flight
}

func newDiscoveryHost(t *transport.Transport, self gossip.Peer, seed uint64, suspectAfter time.Duration) *discoveryHost {
	start := time.Now()
	return &discoveryHost{
		transport: t, clock: func() time.Duration { return time.Since(start) + time.Hour },
		onEndpointsChanged: func() {}, onIdleDropReported: func() {}, onConfigAnnounced: func(uint64, gossip.Peer) {},
		wake: make(chan struct{}, 1), reducer: discovery.New(self, seed, suspectAfter, zoneHash),
		replies: map[discovery.RequestID]chan discovery.Reply{},
	}
}

// zoneHash is a zone's name as it stands in gossip: FNV-1a, 32 bits.
func zoneHash(zone string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(zone))
	return h.Sum32()
}

// step reduces an event and carries out the effects.
func (h *discoveryHost) step(e discovery.Event) {
	var callbacks []func()
	h.mu.Lock()
	for _, f := range h.reducer.Reduce(h.clock(), time.Now().UnixMilli(), e) {
		switch f := f.(type) {
		case discovery.SendPacket:
			h.transport.SendDatagram(f.To, f.Payload)
		case discovery.Reply:
			if reply, ok := h.replies[f.Request]; ok {
				reply <- f // has room for the one reply of a request
			}
		case discovery.EndpointsChanged:
			callbacks = append(callbacks, h.onEndpointsChanged)
		case discovery.IdleDropReported:
			callbacks = append(callbacks, h.onIdleDropReported)
		case discovery.ConfigAnnounced:
			callbacks = append(callbacks, func() { h.onConfigAnnounced(f.Index, f.From) })
		}
	}
	isSooner := h.reducer.NextTimer() < h.timerAt
	h.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
	if isSooner {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
}

// ask has the reducer handle an engine's call, and waits for the reply.
func (h *discoveryHost) ask(ctx context.Context, event func(discovery.RequestID) discovery.Event) (discovery.Reply, error) {
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

// replicas lists the known replicas, the best to ask first.
func (h *discoveryHost) replicas() []gossip.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.Gossip.Replicas()
}

// responsiveReplicas lists the replicas that are likely to answer.
func (h *discoveryHost) responsiveReplicas() []gossip.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.Gossip.ResponsiveReplicas()
}

// endpoints copies the endpoints of a service that may get requests.
func (h *discoveryHost) endpoints(service string) (all []endpoints.Endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.reducer.Endpoints.Live(service) {
		all = append(all, *e)
	}
	return all
}

// zoneOf is the hash of the zone of a peer's address, if it is known.
func (h *discoveryHost) zoneOf(addr netip.Addr) (zone uint32, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reducer.Gossip.ZoneOf(addr)
}

// run takes datagrams, until the transport is closed, and is the reducer's timer, until ctx is done.
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
