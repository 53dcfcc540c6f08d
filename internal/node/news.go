package node

import (
	"context"
	"hash/fnv"
	"net/netip"
	"sync"
	"time"

	"notchhinge/internal/control/form"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/control/peer"
	"notchhinge/internal/control/roster"
	"notchhinge/internal/limits"
)

// The kinds of news.
const (
	itemEngine uint8 = iota + 1
	itemConfig       // there is a configuration at a place of the chain
)

const configKey = "configuration"

// news owns what is heard: gossip and roster, under one lock.
type news struct {
	net   *peer.Net
	clock func() time.Duration // steady

	mu     sync.Mutex
	gossip *gossip.Node
	roster *roster.Roster
	hashes map[uint64]string // of engines' ids
	wake   chan struct{}
	until  time.Duration // the timer is set to it
	dirty  bool          // engines have changed since others were told

	engines func()                               // told, without the lock, that engines have changed; it must not wait
	config  func(place uint64, from gossip.Peer) // told that there is a configuration
	waits   map[*int]chan int                    // urgent news that somebody waits for
}

func newNews(n *peer.Net, self gossip.Peer, seed uint64, silence time.Duration) *news {
	start := time.Now()
	return &news{
		net: n, clock: func() time.Duration { return time.Since(start) + time.Hour }, gossip: gossip.New(self, seed),
		roster: roster.New(silence), hashes: map[uint64]string{}, wake: make(chan struct{}, 1), waits: map[*int]chan int{},
		engines: func() {}, config: func(uint64, gossip.Peer) {},
	}
}

// hash32 names a zone.
func hash32(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}

// turn reduces an event and does what follows.
func (n *news) turn(e gossip.Event) {
	var then []func()
	n.mu.Lock()
	now := n.clock()
	for queue := []gossip.Event{e}; len(queue) > 0; {
		e, queue = queue[0], queue[1:]
		for _, f := range n.gossip.Reduce(now, e) {
			switch f := f.(type) {
			case gossip.Send:
				n.net.Send(f.To, f.Bytes)
			case gossip.Learnt:
				if again := n.learnt(now, f, &then); again != nil {
					queue = append(queue, again)
				}
			case gossip.Alive:
				if id, ok := n.hashes[f.Sign.Key]; ok && n.roster.Alive(now, id, f.Sign.Count, time.Duration(f.Sign.AgeMS)*time.Millisecond) {
					queue = append(queue, gossip.Heard{Sign: f.Sign})
				}
			case gossip.Confirmed:
				if c := n.waits[f.Of.(*int)]; c != nil {
					c <- f.N // it has room
					delete(n.waits, f.Of.(*int))
				}
			}
		}
	}
	if n.dirty {
		n.dirty = false
		then = append(then, n.engines)
	}
	sooner := n.gossip.Next() < n.until
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

// learnt takes an item that came from elsewhere. The lock is held.
func (n *news) learnt(now time.Duration, l gossip.Learnt, then *[]func()) gossip.Event {
	switch l.Item.Kind {
	case itemEngine:
		r, err := roster.Decode(l.Item.Body)
		if err != nil || "e/"+r.ID != l.Item.Key {
			return nil
		}
		if changed := n.roster.Merge(now, r); len(changed) > 0 {
			n.dirty = true
			n.hashes[gossip.Hash(r.ID)] = r.ID
		}
	case itemConfig:
		from, place := l.From, l.Item.Version
		*then = append(*then, func() { n.config(place, from) })
	}
	return nil
}

// item makes an engine's record news.
func item(r *roster.Record) gossip.Item {
	return gossip.Item{Kind: itemEngine, Key: "e/" + r.ID, Version: r.Calls<<2 | uint64(r.State), Body: r.Encode()}
}

// publish brings records to others; with wait it returns once some have them, or too few answer.
func (n *news) publish(ctx context.Context, records []roster.Record, wait bool) {
	if len(records) == 0 {
		return
	}
	e := gossip.Publish{Urgent: true, Of: new(int), Need: 2}
	for i := range records {
		e.Items = append(e.Items, item(&records[i]))
	}
	done := make(chan int, 1)
	if wait {
		n.mu.Lock()
		n.waits[e.Of.(*int)] = done
		n.mu.Unlock()
	}
	n.turn(e)
	if wait {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
}

// beat takes an engine's call in.
func (n *news) beat(ctx context.Context, r roster.Record) {
	n.mu.Lock()
	changed, fresh := n.roster.Beat(n.clock(), r)
	n.hashes[gossip.Hash(r.ID)] = r.ID
	n.dirty = n.dirty || len(changed) > 0
	n.mu.Unlock()
	over := false
	for _, c := range changed {
		over = over || c.State != roster.Ready
	}
	n.publish(ctx, changed, over)
	if fresh {
		n.turn(gossip.Heard{Sign: gossip.Sign{Key: gossip.Hash(r.ID), Count: r.Calls}})
	}
}

// signOff takes an engine's last call in.
func (n *news) signOff(ctx context.Context, id string) {
	n.mu.Lock()
	changed := n.roster.SignOff(n.clock(), id)
	n.dirty = n.dirty || len(changed) > 0
	n.mu.Unlock()
	n.publish(ctx, changed, true)
}

// announce tells others that there is a configuration.
func (n *news) announce(place uint64) {
	w := form.Writer{}
	w.Uint(place)
	n.turn(gossip.Publish{Urgent: true, Of: new(int), Items: []gossip.Item{{Kind: itemConfig, Key: configKey, Version: place, Body: w.B}}})
}

// keepers lists those that hold the state, the best to ask first.
func (n *news) keepers() []gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gossip.Keepers()
}

// reachable lists the keepers that are likely to answer.
func (n *news) reachable() []gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gossip.Answering()
}

// called notes whether a keeper has answered a call.
func (n *news) called(id uint64, ok bool) {
	n.turn(gossip.Called{ID: id, OK: ok})
}

// peers lists the others that are known.
func (n *news) peers() []gossip.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gossip.Peers()
}

// list is a copy of the engines of a service that may be used.
func (n *news) list(service string) (all []roster.Engine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.roster.Engines(service) {
		all = append(all, *e)
	}
	return all
}

// run takes datagrams and keeps time until the context is over.
func (n *news) run(ctx context.Context, seeds []netip.AddrPort) {
	go n.net.Datagrams(func(b []byte) { n.turn(gossip.Packet{Bytes: b}) })
	n.turn(gossip.Seeds{Addrs: seeds})
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextSweep := n.clock()
	for {
		n.mu.Lock()
		n.until = min(n.gossip.Next(), nextSweep)
		n.mu.Unlock()
		timer.Reset(max(n.until-n.clock(), time.Millisecond))
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
			continue
		case <-timer.C:
		}
		if now := n.clock(); now >= nextSweep {
			nextSweep = now + limits.NodeSweep
			n.mu.Lock()
			n.dirty = n.roster.Sweep(now) || n.dirty
			n.mu.Unlock()
		}
		n.turn(gossip.Tick{})
	}
}
