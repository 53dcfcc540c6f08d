package gossip

import (
	"net/netip"
	"time"
)

// PeerID identifies a process: the hash of its name, see [PeerIDOf].
type PeerID uint64

// Peer is a process as other processes know it.
type Peer struct {
	ID    PeerID
	Addr  netip.AddrPort // of calls and datagrams alike
	Zone  uint32         // hash of its zone's name
	Flags uint8
}

// Flags of a peer.
const (
	FlagReplica uint8 = 1 << iota // holds the control plane's state
	FlagRouter                    // carries client traffic
	// FlagComparesContent: compares items by ranges, bodies included. A node sets it by itself; those of earlier releases do not.
	FlagComparesContent
)

func (p *Peer) comparesContent() bool { return p.Flags&FlagComparesContent != 0 }

func (p *Peer) isReplica() bool { return p.Flags&FlagReplica != 0 }

// peerState is what a node knows of a peer.
type peerState struct {
	Peer
	addedAt      time.Duration
	lastHeard    time.Duration // when the last packet from it came
	pendingSince time.Duration // when the first request was sent that it has not answered; 0 = none
	callFailed   bool          // the latest call to it was not answered
}

// expectAnswer notes that a request was sent to the peer.
func (s *peerState) recordRequest(now time.Duration) {
	if s.pendingSince == 0 {
		s.pendingSince = now
	}
}

// isOverdue reports whether a request to the peer has been unanswered for too long.
func (s *peerState) isResponseOverdue(now time.Duration) bool {
	return s.pendingSince != 0 && now-s.pendingSince > responseTimeout
}

// Peers lists the view, ordered by id.
func (n *Node) Peers() []Peer {
	var peers []Peer
	for _, id := range sortedKeys(n.view) {
		peers = append(peers, n.view[id].Peer)
	}
	return peers
}

// ZoneOf returns the zone of a machine, if a process there is known.
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

// isUsable reports whether a peer can be taken into the view: it is another process, at an address that can be sent to.
func (n *Node) isUsable(p Peer) bool {
	return p.ID != n.self.ID && p.Addr.IsValid() && p.Addr.Port() != 0
}

// heardFrom notes that a packet from a peer has come.
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

// learnPeer takes in a peer that another peer has listed. Where the view is full it replaces one with probability 1/2.
func (n *Node) addAdvertisedPeer(p Peer) {
	if !n.isUsable(p) {
		return
	}
	n.updateReplica(p)
	if n.view[p.ID] != nil || len(n.view) >= viewSize && n.rng.IntN(2) == 0 {
		return
	}
	n.addToView(p).lastHeard = n.now - 1 // older than those that were heard
}

// insert adds a peer to the view, in the place of a random one if the view is full.
func (n *Node) addToView(p Peer) *peerState {
	if len(n.view) >= viewSize {
		ids := sortedKeys(n.view)
		delete(n.view, ids[n.rng.IntN(len(ids))])
	}
	s := &peerState{Peer: p, addedAt: n.now}
	n.view[p.ID] = s
	return s
}

// randomPeers draws up to count different peers of the view.
func (n *Node) randomPeers(count int) []*peerState {
	ids := sortedKeys(n.view)
	n.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var peers []*peerState
	for _, id := range ids[:min(count, len(ids))] {
		peers = append(peers, n.view[id])
	}
	return peers
}
