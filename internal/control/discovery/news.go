// Package discovery owns what a process hears and makes known: which engines there are, by their own calls and by what others
// pass on, which of them have fallen silent, and that there is a configuration. It joins gossip and roster and keeps two
// promises. An engine's word that it leaves is answered only once others know of it, so that the promise outlives this
// process. And an engine's calls concern the keepers alone: they hear of each, judge together who has fallen silent, and only
// that is news to everybody, so that what a router sends does not grow with the engines. It is a reducer: pure, given a
// steady clock, the time of day in ms and a seed; what its effects say is done by its owner.
package discovery

import (
	"errors"
	"net/netip"
	"time"

	"notchhinge/internal/control/encoding"
	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/gossip"
	"notchhinge/internal/limits"
)

// The kinds of items, and the beginnings of their keys.
const (
	itemEngine  uint8 = iota + 1 // e/ID: an engine's record
	itemConfig                   // there is a configuration at a place of the chain
	itemForgets                  // engines forget connections that rest: the version is the time of day in ms of the last that is known
	itemSilent                   // q/ID: the version is a call_count, and one bit more: whether calls have stopped after it

	configKey  = "configuration"
	forgetsKey = "forgets"
	engineKey  = "e/"
	silentKey  = "q/"
)

// Event is something that happened: one of gossip's, or one of these.
type Event any

type (
	// Heartbeat is an engine's call; an Answer comes back with Of.
	Heartbeat struct {
		Record endpoints.Record
		Of     any
	}
	// Deregister is an engine's last call; likewise.
	Deregister struct {
		EndpointID string
		Of         any
	}
	// ConfigStored: a configuration is held here.
	ConfigStored struct{ Index uint64 }
	// IdleDropObserved: an engine has forgotten a connection that rested.
	IdleDropObserved struct{}
)

// Effect is something to be done: a gossip.Send, or one of these.
type Effect any

type (
	// Reply a call: acknowledged, or not. Home is a keeper for the engine's later calls; the zero one = no matter.
	Reply struct {
		Of          any
		Err         error
		HomeReplica netip.AddrPort
	}
	// EndpointsChanged: those that may be used have changed.
	EndpointsChanged struct{}
	// IdleDropReported: somewhere an engine has forgotten a connection that rested; others may do so, too.
	IdleDropReported struct{}
	// ConfigAnnounced: there is a configuration, which From has told.
	ConfigAnnounced struct {
		Index uint64
		From  gossip.Peer
	}
)

// Errors of answers. The caller goes on to another router.
var (
	ErrNotAcknowledged  = errors.New("no others have heard it in time")
	ErrNoQuorumContact  = errors.New("out of touch with the keepers")
	ErrTooManyEndpoints = errors.New("too many engines are known here")
)

// Node is one process's part. It is not safe for concurrent use.
type Node struct {
	Gossip    *gossip.Node
	Endpoints *endpoints.Registry
	self      gossip.Peer
	names     map[uint64]string          // of engines' ids, by their hashes
	sure      map[string]endpoints.State // what others have of an engine that leaves, as they have said to this one
	zone      func(string) uint32
	sweep     time.Duration
	forgot    time.Duration // when others were last told, or told this one, that engines forget
	now       time.Duration
	wall      int64
	dirty     bool
	queue     []gossip.Event
	out       []Effect

	waiting         map[gossip.BroadcastID]*wait
	lastBroadcastID gossip.BroadcastID
}

// wait is an engine's word that waits until others have heard it.
type wait struct {
	of     any
	id     string
	record endpoints.Record
}

// New returns a node that knows nobody. silence is how long an engine may say nothing; zone hashes a zone's name as peers
// tell theirs.
func New(self gossip.Peer, seed uint64, silence time.Duration, zone func(string) uint32) *Node {
	n := &Node{
		Gossip: gossip.New(self, seed), Endpoints: endpoints.New(silence), self: self, names: map[uint64]string{},
		sure: map[string]endpoints.State{}, zone: zone,
		waiting: map[gossip.BroadcastID]*wait{},
	}
	n.Gossip.IsStale = func(i *gossip.Item) bool {
		if i.Kind != itemEngine {
			return false
		}
		r, err := endpoints.Decode(i.Body)
		return err != nil || engineKey+r.ID != i.Key || r.IsStale(n.wall)
	}
	return n
}

// NextTimer tells when the node wants a gossip.Tick.
func (n *Node) NextTimer() time.Duration { return min(n.Gossip.NextTimer(), n.sweep) }

// Reduce takes an event in. The effects are valid until the next call.
func (n *Node) Reduce(now time.Duration, wall int64, e Event) []Effect {
	n.now, n.wall = max(n.now, now), wall
	clear(n.out)
	n.out = n.out[:0]
	switch e := e.(type) {
	case Heartbeat:
		n.beat(e)
	case Deregister:
		n.signOff(e)
	case ConfigStored:
		w := encoding.Writer{}
		w.Uvarint(e.Index)
		n.publish(gossip.Item{Kind: itemConfig, Key: configKey, Version: e.Index, Body: w.Buf})
	case IdleDropObserved:
		n.out = append(n.out, IdleDropReported{})
		if last, _ := n.Gossip.Item(forgetsKey); n.forgot == 0 || n.now-n.forgot > limits.StaleConnGossipInterval {
			n.forgot = n.now
			n.publish(gossip.Item{Kind: itemForgets, Key: forgetsKey, Version: max(last.Version+1, uint64(max(n.wall, 0)))})
		}
	case gossip.Event:
		n.queue = append(n.queue, e)
	}
	n.turn()
	if n.now >= n.sweep {
		n.sweep = n.now + limits.FailureSweepInterval
		n.tidy()
		n.turn()
	}
	if n.dirty {
		n.dirty = false
		n.out = append(n.out, EndpointsChanged{})
	}
	return n.out
}

// turn has gossip take in what is queued, and follows from that.
func (n *Node) turn() {
	for len(n.queue) > 0 {
		e := n.queue[0]
		n.queue = n.queue[1:]
		for _, f := range n.Gossip.Reduce(n.now, e) {
			switch f := f.(type) {
			case gossip.SendPacket:
				n.out = append(n.out, f)
			case gossip.ItemLearned:
				n.learnt(f)
			case gossip.HeartbeatLearned:
				if id, ok := n.names[f.Heartbeat.Key]; ok {
					n.heard(id, func() {
						if n.Endpoints.MergeHeartbeat(n.now, id, f.Heartbeat.Sequence, time.Duration(f.Heartbeat.AgeMS)*time.Millisecond) {
							n.queue = append(n.queue, gossip.RelayHeartbeat{Heartbeat: f.Heartbeat, From: f.From})
						}
					})
				}
			case gossip.BroadcastCompleted:
				n.confirmed(f)
			}
		}
	}
	n.queue = nil
}

// publish tells others of items at once.
func (n *Node) publish(items ...gossip.Item) {
	if len(items) > 0 {
		n.queue = append(n.queue, gossip.UrgentBroadcast{Items: items})
	}
}

// engineItem makes an engine's record news.
func engineItem(r *endpoints.Record) gossip.Item {
	return gossip.Item{Kind: itemEngine, Key: engineKey + r.ID, Version: r.CallCount<<2 | uint64(r.State), Body: r.Encode()}
}

// silentItem says that an engine's calls have stopped, or go on.
func silentItem(id string, calls uint64, silent bool) gossip.Item {
	i := gossip.Item{Kind: itemSilent, Key: silentKey + id, Version: calls << 1}
	if silent {
		i.Version |= 1
	}
	return i
}

// learnt takes in an item from elsewhere.
func (n *Node) learnt(l gossip.ItemLearned) {
	switch i := &l.Item; i.Kind {
	case itemEngine:
		r, err := endpoints.Decode(i.Body)
		if err != nil {
			return // it was read before it was taken
		}
		if len(n.Endpoints.Merge(n.now, r)) > 0 {
			n.dirty = true
			n.names[gossip.Hash(r.ID)] = r.ID
		}
		if q, ok := n.Gossip.Item(silentKey + r.ID); ok { // it may have come before
			n.hush(r.ID, q.Version)
		}
	case itemSilent:
		n.hush(i.Key[len(silentKey):], i.Version)
	case itemForgets:
		n.forgot = n.now
		n.out = append(n.out, IdleDropReported{})
	case itemConfig:
		n.out = append(n.out, ConfigAnnounced{i.Version, l.From})
	}
}

// hush takes in others' word that an engine is silent, or is not. Who knows better says so.
func (n *Node) hush(id string, version uint64) {
	n.dirty = n.Endpoints.MergeSuspicion(n.now, endpoints.Suspicion{ID: id, CallCount: version >> 1, Suspect: version&1 > 0}) || n.dirty
	if e := n.Endpoints.Find(id); e != nil && version&1 > 0 && e.LatestCall > version>>1 && !e.Suspect && e.State != endpoints.StateGone {
		n.publish(silentItem(id, e.LatestCall, false))
	}
}

// heard notes a sign of life. Of one that was held for silent it is news.
func (n *Node) heard(id string, take func()) {
	e := n.Endpoints.Find(id)
	was := e != nil && e.Suspect
	if take(); was && !e.Suspect {
		n.dirty = true
		n.publish(silentItem(id, e.LatestCall, false))
	}
}

// beat takes an engine's call in.
func (n *Node) beat(b Heartbeat) {
	if _, ok := n.Gossip.QuorumContact(); !ok { // its sign of life would reach nobody who judges, and its word nobody who acts on it
		n.out = append(n.out, Reply{Of: b.Of, Err: ErrNoQuorumContact})
		return
	}
	r := &b.Record
	n.heard(r.ID, func() {
		news, fresh := n.Endpoints.Heartbeat(n.now, *r, n.wall)
		n.names[gossip.Hash(r.ID)] = r.ID
		for i := range news {
			n.dirty = true
			if c := &news[i]; c.ID != r.ID || c.State == endpoints.StateReady { // of one that leaves others are told below
				n.publish(engineItem(c))
			}
		}
		if fresh {
			n.queue = append(n.queue, gossip.HeartbeatObserved{Heartbeat: gossip.Heartbeat{Key: gossip.Hash(r.ID), Sequence: r.CallCount}})
		}
	})
	switch e := n.Endpoints.Find(r.ID); {
	case e == nil:
		n.out = append(n.out, Reply{Of: b.Of, Err: ErrTooManyEndpoints})
	case r.State == endpoints.StateReady && n.alone(): // what it says is news all the same, but nobody who judges hears that it lives
		n.out = append(n.out, Reply{Of: b.Of, Err: ErrNoQuorumContact})
	case r.State != endpoints.StateReady && e.State != endpoints.StateReady:
		n.assure(&e.Record, b.Of)
	default:
		n.out = append(n.out, Reply{Of: b.Of, HomeReplica: n.home(r)})
	}
}

// alone tells whether this is a router that knows of no keeper that answers; one that has just started knows of none yet.
func (n *Node) alone() bool {
	return n.self.Flags&gossip.FlagReplica == 0 && len(n.Gossip.ResponsiveReplicas()) == 0
}

// signOff takes an engine's last call in.
func (n *Node) signOff(s Deregister) {
	if _, ok := n.Gossip.QuorumContact(); !ok {
		n.out = append(n.out, Reply{Of: s.Of, Err: ErrNoQuorumContact})
		return
	}
	n.dirty = len(n.Endpoints.Deregister(n.now, s.EndpointID, n.wall)) > 0 || n.dirty
	e := n.Endpoints.Find(s.EndpointID)
	if e == nil {
		n.out = append(n.out, Reply{Of: s.Of, Err: ErrTooManyEndpoints})
		return
	}
	n.assure(&e.Record, s.Of)
}

// assure answers once enough others have an engine's record. It has them told each time until they have said so to this
// process, whoever told them first: he may be dead by now, and they with him.
func (n *Node) assure(r *endpoints.Record, of any) {
	if n.sure[r.ID] >= r.State {
		n.out = append(n.out, Reply{Of: of, HomeReplica: n.home(r)})
		return
	}
	n.lastBroadcastID++
	n.waiting[n.lastBroadcastID] = &wait{of, r.ID, *r}
	n.queue = append(n.queue, gossip.UrgentBroadcast{ID: n.lastBroadcastID, MinAcks: limits.DrainAckPeers, Items: []gossip.Item{engineItem(r)}})
}

// confirmed answers a call that waited for others.
func (n *Node) confirmed(f gossip.BroadcastCompleted) {
	w, ok := n.waiting[f.ID]
	delete(n.waiting, f.ID)
	switch {
	case !ok:
	case !f.Sufficient:
		n.out = append(n.out, Reply{Of: w.of, Err: ErrNotAcknowledged})
	default:
		n.sure[w.id] = max(n.sure[w.id], w.record.State)
		n.out = append(n.out, Reply{Of: w.of, HomeReplica: n.home(&w.record)})
	}
}

// home is the keeper that an engine ought to call: one of its own zone that answers, or none. Each has its own, so that they
// share the work; and a keeper hears it all itself, where calls at any router have to be passed on.
func (n *Node) home(r *endpoints.Record) (at netip.AddrPort) {
	zone, best := n.zone(r.Zone), uint64(0)
	consider := func(p gossip.Peer) {
		if score := gossip.CombineHashes(p.ID, gossip.Hash(r.ID)); p.Zone == zone && (!at.IsValid() || score > best) {
			at, best = p.Addr, score
		}
	}
	if n.self.Flags&gossip.FlagReplica != 0 {
		consider(n.self)
	}
	for _, p := range n.Gossip.ResponsiveReplicas() {
		consider(p)
	}
	return at
}

// tidy looks for engines that have fallen silent, and forgets what is over. Only a keeper judges, and only once it has heard
// for as long as that takes what the others hear.
func (n *Node) tidy() {
	d, ok := n.Gossip.QuorumContact()
	judge := ok && n.self.Flags&gossip.FlagReplica != 0 && d >= n.Endpoints.HeartbeatTimeout()
	var silent, lost []string
	if judge {
		silent, lost = n.Endpoints.Detect()
	}
	for _, id := range silent {
		n.dirty = true
		n.publish(silentItem(id, n.Endpoints.Find(id).LatestCall, true))
	}
	for _, id := range lost {
		for _, r := range n.Endpoints.MarkFailed(n.now, id, n.wall) {
			n.dirty = true
			n.publish(engineItem(&r))
		}
	}
	for _, id := range n.Endpoints.Expire(n.now) {
		n.Gossip.RemoveItem(engineKey + id)
		n.Gossip.RemoveItem(silentKey + id)
		delete(n.names, gossip.Hash(id))
		delete(n.sure, id)
	}
}
