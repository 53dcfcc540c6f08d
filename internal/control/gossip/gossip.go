// Package gossip brings news to every process without anybody knowing all of them. It owns a partial view of the others,
// shuffled between neighbours; the items of news that are kept, passed on to a few others when they are new and compared by
// digests so that gaps are mended; and signs of life, which go to the keepers alone, once, and are not compared: there are as
// many as engines, and few need each of them. It is a reducer: pure, given clock and seed. What an item means is its kind's
// owner's.
package gossip

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The figures. All are per node, whatever the size of the fleet.
const (
	Fanout            = 3  // others that a piece of news is passed on to
	viewSize          = 16 // peers in the view
	shuffled          = 6  // of them in one shuffle
	BroadcastInterval = 400 * time.Millisecond
	compare           = 400 * time.Millisecond // between two digests: of those whom news has missed, few must be left after a second
	compareAgain      = 150 * time.Millisecond // after a digest that was not answered, or that differed: either may have been lost on its way
	compareMore       = 2                      // times in a row
	shuffleGap        = 2 * time.Second        // between two shuffles
	deaf              = 4 * time.Second        // a peer that was asked and has said nothing for so long leaves the view
	confirmFor        = 300 * time.Millisecond // urgent news waits so long for words back, and then asks others
	urges             = 2                      // times that it asks: an engine waits a second
	mostQueue         = 4096
	touch             = 4 * BroadcastInterval // keepers that have not heard each other for so long are out of touch
	keeperGone        = 3 * time.Minute       // one that nothing was heard of for so long is forgotten
	keeperTold        = 30 * time.Second      // others are told only of one that was heard here so lately
	oddKeeper         = 8                     // one of so many digests goes to a keeper
	reaches           = 4                     // one of so many shuffles asks somebody beyond the view as well
	mostLost          = 16                    // peers that do not answer any more, and may be there again
)

// Event is something that happened.
type Event interface{ event() }

type (
	// PacketReceived has come.
	PacketReceived struct{ Payload []byte }
	// Tick: something may be due.
	Tick struct{}
	// Broadcast brings news of this node's. Urgent news goes out at once, known here or not.
	Broadcast struct {
		Items   []Item
		Urgent  bool
		Of      any // with Urgent: Confirmed comes back with it
		MinAcks int // words wanted before that; 0 = none, and no Confirmed
	}
	// HeartbeatObserved is a sign of life that this node has heard itself; keepers are told of it.
	HeartbeatObserved struct{ Heartbeat Heartbeat }
	// RelayHeartbeat passes a sign of life that From has told to the keepers that do not hear From.
	RelayHeartbeat struct {
		Heartbeat Heartbeat
		From      uint64
	}
	// VotersChanged are the keepers that vote, by their ids.
	VotersChanged struct{ IDs []uint64 }
	// SeedsChanged are addresses where others may be found.
	SeedsChanged struct{ Addrs []netip.AddrPort }
	// CallCompleted: a call to a peer has been answered, or has not.
	CallCompleted struct {
		PeerID   uint64
		Answered bool
	}
)

func (PacketReceived) event()    {}
func (Tick) event()              {}
func (Broadcast) event()         {}
func (HeartbeatObserved) event() {}
func (RelayHeartbeat) event()    {}
func (SeedsChanged) event()      {}
func (CallCompleted) event()     {}
func (VotersChanged) event()     {}

// Effect is something to be done.
type Effect interface{ effect() }

type (
	// SendPacket a datagram.
	SendPacket struct {
		To      netip.AddrPort
		Payload []byte
	}
	// ItemLearned: an item that is new here, from elsewhere.
	ItemLearned struct {
		Item Item
		From Peer
	}
	// HeartbeatLearned: a sign of life from elsewhere.
	HeartbeatLearned struct {
		Heartbeat Heartbeat
		From      uint64
	}
	// BroadcastCompleted: urgent news has reached N others. With Enough these are as many as were wanted, or all there are; else too
	// few have answered in time.
	BroadcastCompleted struct {
		Of         any
		Acks       int
		Sufficient bool
	}
)

func (SendPacket) effect()         {}
func (ItemLearned) effect()        {}
func (HeartbeatLearned) effect()   {}
func (BroadcastCompleted) effect() {}

// entry is a peer in the view.
type entry struct {
	Peer
	heard time.Duration // last packet from it
	asked time.Duration // the first unanswered question; 0 = none
	known time.Duration // since when it is here
	mute  bool          // the last call to it was not answered
	signs time.Duration // a keeper's: last signs from it
	hears time.Duration // a keeper's: last word of it that it has signs from here
	heeds []uint64      // a keeper's: those whom it hears, as it last said
	told  []toldSign    // a keeper's: signs that it has told lately
}

// toldSign is a sign of life that another keeper has told, and when it came. The sign's age is the time that it was heard.
type toldSign struct {
	Heartbeat
	at time.Duration
}

// pending is urgent news that waits for words back.
type pending struct {
	of    any
	items []Item
	need  int
	got   map[uint64]bool
	asked map[uint64]*entry
	tries int
	until time.Duration
}

// Node is one process's part. It is not safe for concurrent use.
type Node struct {
	self      Peer
	rnd       *rand.Rand
	view      map[uint64]*entry
	keepers   map[uint64]*entry // the few that hold the state are known beside the view
	voters    []uint64          // the keepers that vote; nil = not known yet
	since     time.Duration     // in touch with a majority of them; -1 = not
	seeds     []netip.AddrPort
	lost      []netip.AddrPort // peers that were forgotten, the latest last
	shuffles  int
	items     map[string]*Item
	hashes    [buckets]uint64 // of the items in each
	members   [buckets]map[string]bool
	fresh     []Item                 // to be passed on
	signs     map[uint64]*Heartbeat  // to be passed on; AgeMS is the time of the call then
	relays    map[uint64][]Heartbeat // likewise, to one keeper alone
	now       time.Duration
	nextNew   time.Duration
	nextCmp   time.Duration
	nextAgain time.Duration // the digest that waits is followed by another then
	compared  uint64        // who was sent the last digest and has not said that it has the same; 0 = nobody
	more      int           // times that another may follow
	nextShf   time.Duration
	confirm   uint64
	waiting   map[uint64]*pending
	out       []Effect
	// IsStale tells of an item that is over, so that it is not taken in from others any more; nil = none is.
	IsStale func(*Item) bool
	// SentBytes and SentPackets count what has left.
	SentBytes, SentPackets uint64
}

// New returns a node that knows nobody.
func New(self Peer, seed uint64) *Node {
	n := &Node{
		self: self, rnd: rand.New(rand.NewPCG(seed, self.ID)), view: map[uint64]*entry{}, keepers: map[uint64]*entry{},
		items: map[string]*Item{}, signs: map[uint64]*Heartbeat{}, relays: map[uint64][]Heartbeat{}, waiting: map[uint64]*pending{}, since: -1,
	}
	for i := range n.members {
		n.members[i] = map[string]bool{}
	}
	return n
}

// Hash names a key in digests and signs of life.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// CombineHashes makes one number of two, for choices that all make alike.
func CombineHashes(a, b uint64) uint64 {
	var x [16]byte
	binary.BigEndian.PutUint64(x[:8], a)
	binary.BigEndian.PutUint64(x[8:], b)
	return xxhash.Sum64(x[:])
}

// Reduce takes an event in. The effects are valid until the next call.
func (n *Node) Reduce(now time.Duration, e Event) []Effect {
	n.now = max(n.now, now)
	clear(n.out)
	n.out = n.out[:0]
	switch e := e.(type) {
	case PacketReceived:
		if p, err := decode(e.Payload); err == nil && p.from.ID != n.self.ID && p.from.Addr.IsValid() {
			n.packet(p)
		}
	case Broadcast:
		n.publish(e)
	case HeartbeatObserved:
		n.sign(e.Heartbeat)
	case RelayHeartbeat:
		n.relay(e)
	case VotersChanged:
		n.voters = e.IDs
	case SeedsChanged:
		n.seeds = e.Addrs
		n.join()
	case CallCompleted:
		if k := n.keepers[e.PeerID]; k != nil {
			if k.mute = !e.Answered; e.Answered {
				k.heard = n.now
			}
		}
	}
	n.due()
	return n.out
}

// compare asks one other whether it has the same news.
func (n *Node) compare() {
	p := n.pick(1)
	if ids := sorted(n.keepers); len(ids) > 0 && n.rnd.IntN(oddKeeper) == 0 {
		p = []*entry{n.keepers[ids[n.rnd.IntN(len(ids))]]}
	}
	if n.compared = 0; len(p) == 0 {
		n.join()
		return
	}
	if len(n.keepers) == 0 && len(n.seeds) > 0 { // those who are known here may know of none either, or be cut off
		n.sendTo(n.seeds[n.rnd.IntN(len(n.seeds))], &packet{kind: kindShuffle, peers: n.sample(shuffled)})
	}
	n.compared, n.nextAgain = p[0].ID, n.now+compareAgain
	n.ask(p[0])
	n.send(p[0].Peer, &packet{kind: kindRoot, root: n.root()})
}

// NextTimer tells when the node wants a Tick.
func (n *Node) NextTimer() time.Duration {
	next := min(n.nextCmp, n.nextShf)
	if n.compared != 0 && n.more > 0 {
		next = min(next, n.nextAgain)
	}
	if n.pending() {
		next = min(next, n.nextNew)
	}
	for _, p := range n.waiting {
		next = min(next, p.until)
	}
	return next
}

func (n *Node) due() {
	for _, id := range slices.Sorted(maps.Keys(n.waiting)) {
		if p := n.waiting[id]; n.now >= p.until {
			n.urge(id, p)
		}
	}
	if n.now >= n.nextNew && n.pending() {
		n.nextNew = n.now + BroadcastInterval
		n.spread()
		n.tellKeepers()
	}
	if n.now >= n.nextCmp {
		n.nextCmp = n.now + compare/2 + time.Duration(n.rnd.Int64N(int64(compare)))
		n.more = compareMore
		n.compare()
	} else if n.compared != 0 && n.more > 0 && n.now >= n.nextAgain {
		n.more--
		n.compare()
	}
	if n.now >= n.nextShf {
		n.nextShf = n.now + shuffleGap/2 + time.Duration(n.rnd.Int64N(int64(shuffleGap)))
		n.forget()
		n.shuffle()
		n.reach()
	}
}

// pending tells whether there is something to pass on. Keepers always have each other to tell that they are there.
func (n *Node) pending() bool {
	return len(n.fresh) > 0 || len(n.signs) > 0 || n.self.Flags&FlagReplica != 0 && len(n.keepers) > 0
}

// tellKeepers sends the signs of life that have come since the last time to every keeper.
func (n *Node) tellKeepers() {
	aged := func(s Heartbeat) Heartbeat {
		return Heartbeat{s.Key, s.Sequence, uint64(max(int64(n.now/time.Millisecond)-int64(s.AgeMS), 0))}
	}
	signs := make([]Heartbeat, 0, len(n.signs))
	for _, s := range n.signs {
		signs = append(signs, aged(*s))
	}
	slices.SortFunc(signs, func(x, y Heartbeat) int { return cmp.Compare(x.Key, y.Key) })
	clear(n.signs)
	var hears []uint64
	for _, id := range sorted(n.keepers) {
		if k := n.keepers[id]; n.self.Flags&FlagReplica != 0 && k.signs != 0 && n.now-k.signs <= touch && len(hears) < mostPeers {
			hears = append(hears, id)
		}
	}
	for _, id := range sorted(n.keepers) {
		rest := signs
		for _, s := range n.relays[id] {
			rest = append(rest[:len(rest):len(rest)], aged(s))
		}
		for {
			some := rest[:min(len(rest), 80)]
			n.send(n.keepers[id].Peer, &packet{kind: kindSigns, hears: hears, signs: some})
			if rest = rest[len(some):]; len(rest) == 0 {
				break
			}
		}
	}
	clear(n.relays)
	n.feel()
}

// relay keeps a sign of life for the keepers that do not hear who has told it. Each that hears both of two who do not hear
// each other is their go-between: else one would hold an engine for silent that calls the other.
func (n *Node) relay(e RelayHeartbeat) {
	if n.self.Flags&FlagReplica == 0 {
		return
	}
	s := e.Heartbeat
	s.AgeMS = uint64(max(int64(n.now/time.Millisecond)-int64(s.AgeMS), 0))
	for id, k := range n.keepers {
		if id != e.From && k.signs != 0 && n.now-k.signs <= touch && !slices.Contains(k.heeds, e.From) && len(n.relays[id]) < mostQueue {
			n.relays[id] = append(n.relays[id], s)
		}
	}
}

// bridge keeps what a keeper tells, and where it says that it hears another one no more, what that one has told since they may
// have lost each other: it hears of that only now, and a sign is told once.
func (n *Node) bridge(k *entry, p *packet) {
	if n.self.Flags&FlagReplica == 0 {
		return
	}
	const gap = touch + 2*BroadcastInterval
	k.told = slices.DeleteFunc(k.told, func(s toldSign) bool { return n.now-s.at > gap })
	for _, s := range p.signs {
		s.AgeMS = uint64(max(int64(n.now/time.Millisecond)-int64(s.AgeMS), 0))
		if len(k.told) < mostQueue {
			k.told = append(k.told, toldSign{s, n.now})
		}
	}
	for _, id := range k.heeds {
		other := n.keepers[id]
		if other == nil || id == n.self.ID || slices.Contains(p.hears, id) {
			continue
		}
		for _, s := range other.told {
			if n.now-s.at <= gap && len(n.relays[k.ID]) < mostQueue {
				n.relays[k.ID] = append(n.relays[k.ID], s.Heartbeat)
			}
		}
	}
}

// feel finds out whether this keeper is in touch: it hears a majority of those that vote, and they hear it.
func (n *Node) feel() {
	good := 0
	for _, id := range n.voters {
		if k := n.keepers[id]; id == n.self.ID || k != nil && k.signs != 0 && n.now-k.signs <= touch && k.hears != 0 && n.now-k.hears <= touch {
			good++
		}
	}
	switch {
	case len(n.voters) > 0 && good <= len(n.voters)/2:
		n.since = -1
	case n.since < 0:
		n.since = n.now
	}
}

// QuorumContact tells for how long a keeper has been in touch with a majority of keepers, both ways; false = it is not. One that
// does not know who they are, since its disk is new, is not; who is no keeper always is.
func (n *Node) QuorumContact() (d time.Duration, ok bool) {
	if len(n.voters) == 0 {
		return 0, n.self.Flags&FlagReplica == 0
	}
	if n.since < 0 {
		return 0, false
	}
	return n.now - n.since, true
}

// join asks the seeds for peers.
func (n *Node) join() {
	for _, addr := range n.seeds {
		n.sendTo(addr, &packet{kind: kindShuffle, peers: n.sample(shuffled)})
	}
}

// forget drops peers that do not answer.
func (n *Node) forget() {
	for _, id := range sorted(n.view) { // in order, since what is remembered of them has one
		if p := n.view[id]; p.asked != 0 && n.now-p.asked > deaf {
			delete(n.view, id)
			n.lose(p)
		}
	}
	for _, id := range sorted(n.keepers) {
		if k := n.keepers[id]; n.now-max(k.heard, k.known) > keeperGone {
			delete(n.keepers, id)
			n.lose(k)
		}
	}
	if len(n.view) < 2 {
		n.join()
	}
}

// lose remembers where a peer was that is forgotten.
func (n *Node) lose(p *entry) {
	n.lost = append(slices.DeleteFunc(n.lost, func(a netip.AddrPort) bool { return a == p.Addr }), p.Addr)
	n.lost = n.lost[max(len(n.lost)-mostLost, 0):]
}

// reach asks somebody beyond the view now and then: a seed, or one who was lost. Two parts of a fleet that have forgotten each
// other while a cut lay between them would stay two for good, each with a view that is full. Who knows no other keeper that
// answers asks each time.
func (n *Node) reach() {
	n.shuffles++
	if far := slices.Concat(n.seeds, n.lost); len(far) > 0 && (n.shuffles%reaches == 0 || len(n.ResponsiveReplicas()) == 0) {
		n.sendTo(far[n.rnd.IntN(len(far))], &packet{kind: kindShuffle, peers: n.sample(shuffled)})
	}
}

// shuffle exchanges a part of the view with the peer that was heard from longest ago.
func (n *Node) shuffle() {
	var oldest *entry
	for _, p := range n.view {
		if oldest == nil || p.heard < oldest.heard || p.heard == oldest.heard && p.ID < oldest.ID {
			oldest = p
		}
	}
	if oldest == nil {
		n.join()
		return
	}
	n.ask(oldest)
	n.send(oldest.Peer, &packet{kind: kindShuffle, peers: n.sample(shuffled)})
}

func (n *Node) ask(p *entry) {
	if p.asked == 0 {
		p.asked = n.now
	}
}

// sample draws peers to tell another of.
func (n *Node) sample(k int) (all []Peer) {
	for _, p := range n.pick(k) {
		all = append(all, p.Peer)
	}
	for _, id := range sorted(n.keepers) { // few, and wanted by all
		if k := n.keepers[id]; k.heard != 0 && n.now-k.heard <= keeperTold && !slices.ContainsFunc(all, func(p Peer) bool { return p.ID == k.ID }) && len(all) < mostPeers {
			all = append(all, k.Peer)
		}
	}
	return all
}

func sorted(m map[uint64]*entry) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// pick draws k different peers of the view.
func (n *Node) pick(k int) (all []*entry) {
	ids := sorted(n.view)
	n.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(k, len(ids))] {
		all = append(all, n.view[id])
	}
	return all
}

func (n *Node) send(to Peer, p *packet) { n.sendTo(to.Addr, p) }

func (n *Node) sendTo(to netip.AddrPort, p *packet) {
	if to == n.self.Addr {
		return
	}
	p.from = n.self
	b := p.encode()
	n.SentBytes += uint64(len(b)) + 28
	n.SentPackets++
	n.out = append(n.out, SendPacket{to, b})
}

// met notes that a peer is there.
func (n *Node) met(p Peer, direct bool) {
	if p.ID == n.self.ID || !p.Addr.IsValid() || p.Addr.Port() == 0 {
		return
	}
	if p.Flags&FlagReplica != 0 {
		if k := n.keepers[p.ID]; k != nil {
			k.Peer = p
		} else if len(n.keepers) < mostPeers {
			n.keepers[p.ID] = &entry{Peer: p, known: n.now}
		}
		if k := n.keepers[p.ID]; k != nil && direct {
			k.heard, k.asked = n.now, 0 // that it is heard says nothing of whether it answers
		}
	}
	e := n.view[p.ID]
	if e == nil {
		if len(n.view) >= viewSize {
			if !direct && n.rnd.IntN(2) == 0 {
				return
			}
			ids := sorted(n.view)
			delete(n.view, ids[n.rnd.IntN(len(ids))])
		}
		e = &entry{Peer: p, heard: n.now, known: n.now}
		if !direct {
			e.heard = n.now - 1
		}
		n.view[p.ID] = e
	}
	if direct {
		e.Peer, e.heard, e.asked = p, n.now, 0
	}
}

func (n *Node) packet(p *packet) {
	n.met(p.from, true)
	switch p.kind {
	case kindNews, kindUrgent:
		for _, i := range p.items {
			if (n.IsStale == nil || !n.IsStale(&i)) && n.take(i) {
				n.out = append(n.out, ItemLearned{i, p.from})
				n.pass(i)
			}
		}
		if p.kind == kindUrgent {
			n.send(p.from, &packet{kind: kindConfirm, confirm: p.confirm})
			n.spreadItems(p.from.ID) // urgent news is passed on at once
		}
	case kindSigns:
		if k := n.keepers[p.from.ID]; k != nil {
			if k.signs == 0 || n.now-k.signs > touch { // it waits for word that it is heard, and others for whom it hears
				n.nextNew = n.now
			}
			n.bridge(k, p)
			if k.signs, k.hears, k.heeds = max(n.now, 1), 0, p.hears; slices.Contains(p.hears, n.self.ID) {
				k.hears = n.now
			}
			n.feel()
		}
		for _, s := range p.signs {
			n.out = append(n.out, HeartbeatLearned{s, p.from.ID})
		}
	case kindConfirm:
		if p.confirm == 0 && p.from.ID == n.compared {
			n.compared = 0 // it has the same
		}
		if w := n.waiting[p.confirm]; w != nil {
			w.got[p.from.ID] = true
			n.confirmed(p.confirm, w)
		}
	case kindRoot:
		if p.root != n.root() {
			n.send(p.from, &packet{kind: kindDigest, buckets: n.hashes[:]})
		} else {
			n.send(p.from, &packet{kind: kindConfirm}) // a sign that it was heard
		}
	case kindDigest:
		var wants []want
		size := 0
		for b, h := range p.buckets {
			if h == n.hashes[b] {
				continue
			}
			x := want{bucket: b}
			for _, k := range n.keysOf(b) {
				if len(x.have) < mostHaves {
					x.have = append(x.have, have{Hash(k), n.items[k].Version})
				}
			}
			if size += 4 + 13*len(x.have); size > MaxPacketBytes-64 && len(wants) > 0 {
				break // the rest at another time
			}
			wants = append(wants, x)
		}
		if len(wants) > 0 {
			n.send(p.from, &packet{kind: kindWant, wants: wants})
		} else {
			n.send(p.from, &packet{kind: kindConfirm}) // a sign that it was heard
		}
	case kindWant:
		n.answer(p)
	case kindShuffle:
		n.send(p.from, &packet{kind: kindShuffled, peers: n.sample(shuffled)})
		for _, q := range p.peers {
			n.met(q, false)
		}
	case kindShuffled:
		for _, q := range p.peers {
			n.met(q, false)
		}
	}
}

// answer sends what the other lacks, and asks for what this node lacks by saying what it has.
func (n *Node) answer(p *packet) {
	var items []Item
	var back []want
	for _, x := range p.wants {
		theirs := map[uint64]uint64{}
		for _, h := range x.have {
			theirs[h.key] = h.version
		}
		x2 := want{bucket: x.bucket}
		lacks := false
		for _, k := range n.keysOf(x.bucket) {
			i, h := n.items[k], Hash(k)
			v, ok := theirs[h]
			if !ok || v < i.Version {
				items = append(items, *i)
			}
			lacks = lacks || ok && v > i.Version
			x2.have = append(x2.have, have{h, i.Version})
			delete(theirs, h)
		}
		if lacks || len(theirs) > 0 {
			back = append(back, x2)
		}
	}
	n.sendItems(p.from.Addr, items, kindNews, 0)
	if len(back) > 0 {
		n.send(p.from, &packet{kind: kindWant, wants: back[:min(len(back), 4)]})
	}
}

// sendItems sends items in as many datagrams as they take.
func (n *Node) sendItems(to netip.AddrPort, items []Item, kind uint8, confirm uint64) {
	for len(items) > 0 {
		size, k := 64, 0
		for k < len(items) && k < mostItems && (k == 0 || size+items[k].size() <= MaxPacketBytes) {
			size += items[k].size()
			k++
		}
		n.sendTo(to, &packet{kind: kind, items: items[:k], confirm: confirm})
		items = items[k:]
	}
}

// root stands for all items at once. Most comparisons find nothing, and should cost little.
func (n *Node) root() (sum uint64) {
	for _, h := range n.hashes {
		sum = CombineHashes(sum, h)
	}
	return sum
}

func (n *Node) keysOf(bucket int) []string {
	keys := make([]string, 0, len(n.members[bucket]))
	for k := range n.members[bucket] {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// take takes an item in, and tells whether it is new.
func (n *Node) take(i Item) bool {
	b := int(Hash(i.Key) % buckets)
	old := n.items[i.Key]
	if old != nil && (old.Version > i.Version || old.Version == i.Version && bytes.Compare(old.Body, i.Body) >= 0) {
		return false
	}
	if old != nil {
		n.hashes[b] ^= old.hash()
	}
	n.items[i.Key] = &i
	n.members[b][i.Key] = true
	n.hashes[b] ^= i.hash()
	return true
}

func (i *Item) hash() uint64 {
	d := xxhash.New()
	d.WriteString(i.Key)
	d.Write([]byte{0, i.Kind, byte(i.Version), byte(i.Version >> 8), byte(i.Version >> 16), byte(i.Version >> 24),
		byte(i.Version >> 32), byte(i.Version >> 40), byte(i.Version >> 48), byte(i.Version >> 56)})
	return d.Sum64()
}

// RemoveItem drops an item that is over everywhere. Its owner does so at a time of its own; who still has it may bring it back,
// and it must do no harm then.
func (n *Node) RemoveItem(key string) {
	if i := n.items[key]; i != nil {
		b := int(Hash(key) % buckets)
		n.hashes[b] ^= i.hash()
		delete(n.items, key)
		delete(n.members[b], key)
	}
}

func (n *Node) publish(e Broadcast) {
	var fresh []Item
	for _, i := range e.Items {
		if n.take(i) {
			fresh = append(fresh, i)
		}
	}
	if !e.Urgent {
		n.fresh = append(n.fresh, fresh...)
		return
	}
	others := len(n.view)
	for id := range n.keepers {
		if n.view[id] == nil {
			others++
		}
	}
	p := &pending{of: e.Of, items: e.Items, need: min(e.MinAcks, max(others, 1)), got: map[uint64]bool{}, asked: map[uint64]*entry{}}
	n.confirm++
	if e.MinAcks > 0 {
		n.waiting[n.confirm] = p
	}
	n.urge(n.confirm, p)
}

// urge sends urgent news to some who have not been sent it, or ends the wait for their words.
func (n *Node) urge(id uint64, p *pending) {
	to := n.abroad(Fanout+2, p.asked)
	if n.confirmed(id, p); p.tries >= urges || len(to) == 0 && p.tries > 0 {
		if n.waiting[id] != nil {
			delete(n.waiting, id)
			n.out = append(n.out, BroadcastCompleted{p.of, len(p.got), false})
		}
		return
	}
	p.tries++
	p.until = n.now + confirmFor
	for _, x := range to {
		p.asked[x.ID] = x
		n.ask(x)
		n.sendItems(x.Addr, p.items, kindUrgent, id)
	}
}

// confirmed ends the wait for words if there are enough: as many as are wanted, and not of keepers alone nor of this node's
// zone alone if others were asked, since all keepers, or a zone, may end at once. Who is alone in the world needs none.
func (n *Node) confirmed(id uint64, p *pending) {
	var carries, away, router, abroad bool // others were asked; they have answered
	for of, e := range p.asked {
		isRouter, isAway := e.Flags&FlagReplica == 0, e.Zone != n.self.Zone
		carries, away = carries || isRouter, away || isAway
		if p.got[of] {
			router, abroad = router || isRouter, abroad || isAway
		}
	}
	alone := len(n.view) == 0 && len(n.keepers) == 0 && !slices.ContainsFunc(n.seeds, func(a netip.AddrPort) bool { return a != n.self.Addr })
	if n.waiting[id] != nil && (alone || len(p.got) >= p.need && router == carries && abroad == away) {
		delete(n.waiting, id)
		n.out = append(n.out, BroadcastCompleted{p.of, len(p.got), true})
	}
}

// abroad draws up to k who were not asked: a keeper, one of the others, and then as many zones as there are, so that what
// takes down all keepers, or a zone, leaves somebody who knows.
func (n *Node) abroad(k int, but map[uint64]*entry) (all []*entry) {
	var ids []uint64
	for _, m := range []map[uint64]*entry{n.view, n.keepers} {
		for _, id := range sorted(m) {
			if but[id] == nil && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	n.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	zones := map[uint32]bool{n.self.Zone: true}
	for _, want := range []func(e *entry) bool{
		func(e *entry) bool { return e.Flags&FlagReplica != 0 && n.answers(e) },
		func(e *entry) bool { return e.Flags&FlagReplica == 0 },
		func(e *entry) bool { return !zones[e.Zone] },
		func(e *entry) bool { return !zones[e.Zone] },
		func(e *entry) bool { return true },
		func(e *entry) bool { return true },
		func(e *entry) bool { return true },
	} {
		for i, id := range ids {
			e := n.view[id]
			if e == nil {
				e = n.keepers[id]
			}
			if len(all) < k && want(e) {
				all, ids, zones[e.Zone] = append(all, e), slices.Delete(ids, i, i+1), true
				break
			}
		}
	}
	return all
}

// pass keeps an item to be passed on.
func (n *Node) pass(i Item) {
	if len(n.fresh) < mostQueue {
		n.fresh = append(n.fresh, i)
	}
}

// spreadItems passes the items that are waiting on at once.
func (n *Node) spreadItems(but uint64) {
	if len(n.fresh) == 0 {
		return
	}
	for _, p := range n.pick(Fanout) {
		if p.ID != but {
			n.sendItems(p.Addr, n.fresh, kindNews, 0)
		}
	}
	n.fresh = nil
}

// sign keeps a sign of life to be passed on.
func (n *Node) sign(s Heartbeat) {
	at := uint64(max(int64(n.now/time.Millisecond)-int64(s.AgeMS), 0))
	if old := n.signs[s.Key]; old != nil && old.Sequence >= s.Sequence {
		return
	}
	if len(n.signs) < mostQueue {
		n.signs[s.Key] = &Heartbeat{s.Key, s.Sequence, at}
	}
}

// spread passes on what has come since the last time.
func (n *Node) spread() {
	to := n.pick(Fanout)
	if len(to) == 0 {
		return // kept for when there is somebody
	}
	for _, p := range to {
		n.sendItems(p.Addr, n.fresh, kindNews, 0)
	}
	n.fresh = nil
}

// Replicas lists those that hold the state: the ones that answer first, those of one's own zone before others.
func (n *Node) Replicas() (all []Peer) {
	ids := sorted(n.keepers)
	slices.SortStableFunc(ids, func(x, y uint64) int {
		a, b := n.keepers[x], n.keepers[y]
		score := func(e *entry) int {
			s := 0
			if e.Zone != n.self.Zone {
				s++
			}
			if !n.answers(e) {
				s += 2
			}
			return s
		}
		return score(a) - score(b)
	})
	for _, id := range ids {
		all = append(all, n.keepers[id].Peer)
	}
	return all
}

// answers tells whether a keeper is likely to answer: nothing that it was asked has stayed without an answer. In a large
// fleet it is seldom heard otherwise.
func (n *Node) answers(e *entry) bool {
	return !e.mute && (e.asked == 0 || n.now-e.asked <= deaf) && n.now-max(e.heard, e.known) <= keeperGone
}

// ResponsiveReplicas lists the keepers that are likely to answer.
func (n *Node) ResponsiveReplicas() (all []Peer) {
	for _, id := range sorted(n.keepers) {
		if k := n.keepers[id]; n.answers(k) {
			all = append(all, k.Peer)
		}
	}
	return all
}

// Peers lists the view.
func (n *Node) Peers() (all []Peer) {
	for _, id := range sorted(n.view) {
		all = append(all, n.view[id].Peer)
	}
	return all
}

// ZoneOf tells the zone of a machine that is known here.
func (n *Node) ZoneOf(addr netip.Addr) (zone uint32, known bool) {
	for _, all := range []map[uint64]*entry{n.keepers, n.view} {
		for _, p := range all {
			if p.Addr.Addr() == addr {
				return p.Zone, true
			}
		}
	}
	return 0, false
}

// Purpose is what a datagram is for.
type Purpose uint8

// The uses.
const (
	PurposeDissemination Purpose = iota // news, signs of life, and words back
	PurposeAntiEntropy
	PurposeShuffle
)

// PurposeOf tells what a datagram of this package is for.
func PurposeOf(b []byte) Purpose {
	if len(b) < 4 {
		return PurposeDissemination
	}
	switch b[3] {
	case kindDigest, kindWant, kindRoot:
		return PurposeAntiEntropy
	case kindShuffle, kindShuffled:
		return PurposeShuffle
	}
	return PurposeDissemination
}

// Item returns an item that is kept.
func (n *Node) Item(key string) (Item, bool) {
	if i := n.items[key]; i != nil {
		return *i, true
	}
	return Item{}, false
}

// ItemCount tells how many items are kept.
func (n *Node) ItemCount() int { return len(n.items) }

// Each calls f with every item.
func (n *Node) Each(f func(Item)) {
	for _, i := range n.items {
		f(*i)
	}
}
