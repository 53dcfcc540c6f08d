package gossip

import (
	"net/netip"
	"time"
)

// PeerID identifies a process: the hash of its name, see [PeerIDOf].
type PeerID uint64

// Peer describes a process to other processes.
type Peer struct {
	ID    PeerID
	Addr  netip.AddrPort // for both calls and datagrams
	Zone  uint32         // hash of the zone name
	Flags uint8
}

// Flags of a peer.
const (
	FlagReplica uint8 = 1 << iota // holds the control plane's state
	FlagRouter                    // carries client traffic
	// FlagComparesContent marks a node whose comparisons cover item bodies. [New] sets it; earlier releases do not know it.
	FlagComparesContent
	// FlagStoresItems marks a replica that can store items on its disk before it acknowledges them. [New] sets it on replicas; earlier
	// releases do not know it.
	FlagStoresItems
)

func (p *Peer) comparesContent() bool { return p.Flags&FlagComparesContent != 0 }

func (p *Peer) storesItems() bool { return p.Flags&FlagStoresItems != 0 }

func (p *Peer) isReplica() bool { return p.Flags&FlagReplica != 0 }

// peerState is the local state of a peer.
type peerState struct {
	Peer
	addedAt      time.Duration
	lastHeard    time.Duration // when its last packet, or its last response to a call, arrived
	pendingSince time.Duration // when the oldest unanswered request was sent; 0 = none
	callFailed   bool          // the latest call to it got no response
}

// recordRequest records that a request was sent to the peer, which has to answer it.
func (s *peerState) recordRequest(now time.Duration) {
	if s.pendingSince == 0 {
		s.pendingSince = now
	}
}

// isResponseOverdue reports whether a request to the peer has been unanswered for longer than responseTimeout.
func (s *peerState) isResponseOverdue(now time.Duration) bool {
	return s.pendingSince != 0 && now-s.pendingSince > responseTimeout
}

// Peers returns the peers of the view, ordered by id.
func (n *Node) Peers() []Peer {
	var peers []Peer
	for _, id := range sortedKeys(n.view) {
		peers = append(peers, n.view[id].Peer)
	}
	return peers
}

// ZoneOf returns the zone of the machine at an address. isKnown is false if the node knows no peer there.
func (n *Node) ZoneOf(addr netip.Addr) (zone uint32, isKnown bool) {
	for _, r := range n.replicas {
		if r.Addr.Addr() == addr {
			return r.Zone, true
		}
	}
	for _, p := range n.view {
		if p.Addr.Addr() == addr {
			return p.Zone, true
		}
	}
	return 0, false
}

// isUsable reports whether a peer can enter the view: it is another process and has a valid address.
func (n *Node) isUsable(p Peer) bool {
	return p.ID != n.self.ID && p.Addr.IsValid() && p.Addr.Port() != 0
}

// recordSender updates the state of a peer from which a packet has arrived.
func (n *Node) recordSender(p Peer) {
	if !n.isUsable(p) {
		return
	}
	if r := n.updateReplica(p); r != nil {
		r.lastHeard, r.pendingSince = n.now, 0
	}
	s := n.view[p.ID]
	if s == nil {
		s = n.addToView(p)
	}
	s.Peer, s.lastHeard, s.pendingSince = p, n.now, 0
}

// addAdvertisedPeer adds a peer that another peer has advertised. If the view is full, it replaces a random peer with
// probability 1/2.
func (n *Node) addAdvertisedPeer(p Peer) {
	if !n.isUsable(p) {
		return
	}
	n.updateReplica(p)
	if n.view[p.ID] != nil || len(n.view) >= viewSize && n.rng.IntN(2) == 0 {
		return
	}
	n.addToView(p).lastHeard = n.now - 1 // shuffle prefers it to peers that have just sent a packet
}

// addToView adds a peer to the view. If the view is full, it replaces a random peer.
func (n *Node) addToView(p Peer) *peerState {
	if len(n.view) >= viewSize {
		ids := sortedKeys(n.view)
		delete(n.view, ids[n.rng.IntN(len(ids))])
	}
	s := &peerState{Peer: p, addedAt: n.now}
	n.view[p.ID] = s
	return s
}

// randomPeers draws up to count distinct peers of the view.
func (n *Node) randomPeers(count int) []*peerState {
	ids := sortedKeys(n.view)
	n.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var peers []*peerState
	for _, id := range ids[:min(count, len(ids))] {
		peers = append(peers, n.view[id])
	}
	return peers
}
