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

// hearsay is the process's news.Node under one lock, with its sockets and its clock.
type hearsay struct {
	net   *transport.Transport
	clock func() time.Duration // steady

	mu    sync.Mutex
	node  *discovery.Node
	wake  chan struct{}
	until time.Duration // the timer is set to it

	engines func()                               // told, without the lock, that engines have changed; it must not wait
	forgets func()                               // told that engines forget connections that rest
	config  func(place uint64, from gossip.Peer) // told that there is a configuration
}

func newHearsay(n *transport.Transport, self gossip.Peer, seed uint64, silence time.Duration) *hearsay {
	start := time.Now()
	return &hearsay{
		net: n, clock: func() time.Duration { return time.Since(start) + time.Hour }, node: discovery.New(self, seed, silence, hash32),
		wake: make(chan struct{}, 1), engines: func() {}, forgets: func() {}, config: func(uint64, gossip.Peer) {},
	}
}

// hash32 names a zone.
func hash32(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// turn reduces an event and does what follows.
func (n *hearsay) turn(e discovery.Event) {
	var then []func()
	n.mu.Lock()
	for _, f := range n.node.Reduce(n.clock(), time.Now().UnixMilli(), e) {
		switch f := f.(type) {
		case gossip.SendPacket:
			n.net.SendDatagram(f.To, f.Payload)
		case discovery.Reply:
			f.Of.(chan discovery.Reply) <- f // it has room
		case discovery.EndpointsChanged:
			then = append(then, n.engines)
		case discovery.IdleDropReported:
			then = append(then, n.forgets)
		case discovery.ConfigAnnounced:
			then = append(then, func() { n.config(f.Index, f.From) })
		}
	}
	sooner := n.node.NextTimer() < n.until
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

// call has an engine's call taken in, and waits for its answer.
func (n *hearsay) call(ctx context.Context, event func(of chan discovery.Reply) discovery.Event) (discovery.Reply, error) {
	of := make(chan discovery.Reply, 1)
	n.turn(event(of))
	select {
	case a := <-of:
		return a, a.Err
	case <-ctx.Done():
		return discovery.Reply{}, ctx.Err()
	}
}

// keepers lists those that hold the state, the best to ask first.
func (n *hearsay) keepers() []gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node.Gossip.Replicas()
}

// reachable lists the keepers that are likely to answer.
func (n *hearsay) reachable() []gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node.Gossip.ResponsiveReplicas()
}

// list is a copy of the engines of a service that may be used.
func (n *hearsay) list(service string) (all []endpoints.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.node.Endpoints.Live(service) {
		all = append(all, *e)
	}
	return all
}

// run takes datagrams and keeps time until the context is over.
func (n *hearsay) run(ctx context.Context, seeds []netip.AddrPort) {
	go n.net.ServeDatagrams(func(b []byte) { n.turn(gossip.PacketReceived{Payload: b}) })
	n.turn(gossip.SeedsChanged{Addrs: seeds})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		n.mu.Lock()
		n.until = n.node.NextTimer()
		n.mu.Unlock()
		timer.Reset(max(n.until-n.clock(), time.Millisecond))
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
			continue
		case <-timer.C:
		}
		n.turn(gossip.Tick{})
	}
}
