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

// discoveryHost is the process's news.Node under one lock, with its sockets and its clock.
type discoveryHost struct {
	transport *transport.Transport
	clock     func() time.Duration // steady

	mu      sync.Mutex
	reducer *discovery.Node
	wake    chan struct{}
	timerAt time.Duration // the timer is set to it

	onEndpointsChanged func()                               // told, without the lock, that engines have changed; it must not wait
	onStaleConnections func()                               // told that engines forget connections that rest
	onConfigAnnounced  func(place uint64, from gossip.Peer) // told that there is a configuration
}

func newDiscoveryHost(n *transport.Transport, self gossip.Peer, seed uint64, silence time.Duration) *discoveryHost {
	start := time.Now()
	return &discoveryHost{
		transport: n, clock: func() time.Duration { return time.Since(start) + time.Hour }, reducer: discovery.New(self, seed, silence, hash32),
		wake: make(chan struct{}, 1), onEndpointsChanged: func() {}, onStaleConnections: func() {}, onConfigAnnounced: func(uint64, gossip.Peer) {},
	}
}

// hash32 names a zone.
func hash32(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// step reduces an event and does what follows.
func (n *discoveryHost) step(e discovery.Event) {
	var then []func()
	n.mu.Lock()
	for _, f := range n.reducer.Reduce(n.clock(), time.Now().UnixMilli(), e) {
		switch f := f.(type) {
		case gossip.SendPacket:
			n.transport.SendDatagram(f.To, f.Payload)
		case discovery.Reply:
			f.Of.(chan discovery.Reply) <- f // it has room
		case discovery.EndpointsChanged:
			then = append(then, n.onEndpointsChanged)
		case discovery.IdleDropReported:
			then = append(then, n.onStaleConnections)
		case discovery.ConfigAnnounced:
			then = append(then, func() { n.onConfigAnnounced(f.Index, f.From) })
		}
	}
	sooner := n.reducer.NextTimer() < n.timerAt
	n.mu.Unlock()
	for _, f := range then {
		f()
	}
	if sooner {
		select {
		case n.wake <- struct{}{}:
		default:
		}
	}
}

// ask has an engine's call taken in, and waits for its answer.
func (n *discoveryHost) ask(ctx context.Context, event func(of chan discovery.Reply) discovery.Event) (discovery.Reply, error) {
	of := make(chan discovery.Reply, 1)
	n.step(event(of))
	select {
	case a := <-of:
		return a, a.Err
	case <-ctx.Done():
		return discovery.Reply{}, ctx.Err()
	}
}

// replicas lists those that hold the state, the best to ask first.
func (n *discoveryHost) replicas() []gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reducer.Gossip.Replicas()
}

// reachableReplicas lists the keepers that are likely to answer.
func (n *discoveryHost) reachableReplicas() []gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reducer.Gossip.ResponsiveReplicas()
}

// endpoints is a copy of the engines of a service that may be used.
func (n *discoveryHost) endpoints(service string) (all []endpoints.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.reducer.Endpoints.Live(service) {
		all = append(all, *e)
	}
	return all
}

// run takes datagrams and keeps time until the context is over.
func (n *discoveryHost) run(ctx context.Context, seeds []netip.AddrPort) {
	go n.transport.ServeDatagrams(func(b []byte) { n.step(gossip.PacketReceived{Payload: b}) })
	n.step(gossip.SeedsChanged{Addrs: seeds})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		n.mu.Lock()
		n.timerAt = n.reducer.NextTimer()
		n.mu.Unlock()
		timer.Reset(max(n.timerAt-n.clock(), time.Millisecond))
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
			continue
		case <-timer.C:
		}
		n.step(gossip.Tick{})
	}
}
