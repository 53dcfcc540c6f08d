package gossip

import (
	"net/netip"
	"slices"
)

// shuffle exchanges part of the view with the peer whose last packet is the oldest.
func (n *Node) shuffle() {
	var oldest *peerState
	for _, s := range n.view {
		if oldest == nil || s.lastHeard < oldest.lastHeard || s.lastHeard == oldest.lastHeard && s.ID < oldest.ID {
			oldest = s
		}
	}
	if oldest == nil {
		n.shuffleWithSeeds()
		return
	}
	oldest.recordRequest(n.now)
	n.sendShuffle(oldest.Addr)
}

func (n *Node) sendShuffle(to netip.AddrPort) {
	n.send(to, &packet{kind: kindShuffle, peers: n.samplePeers()})
}

func (n *Node) handleShuffle(p *packet) {
	n.send(p.from.Addr, &packet{kind: kindShuffleReply, peers: n.samplePeers()})
	for _, peer := range p.peers {
		n.addAdvertisedPeer(peer)
	}
}

func (n *Node) handleShuffleReply(p *packet) {
	for _, peer := range p.peers {
		n.addAdvertisedPeer(peer)
	}
}

// samplePeers draws the peers to advertise to another node: random ones of the view, and all replicas that have sent a packet
// within replicaAdvertiseTimeout, since every node needs the replicas.
func (n *Node) samplePeers() []Peer {
	var peers []Peer
	for _, peer := range n.randomPeers(shuffleSize) {
		peers = append(peers, peer.Peer)
	}
	for _, id := range sortedKeys(n.replicas) {
		r := n.replicas[id]
		isRecent := r.lastHeard != 0 && n.now-r.lastHeard <= replicaAdvertiseTimeout
		isListed := slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == id })
		if isRecent && !isListed && len(peers) < maxPeers {
			peers = append(peers, r.Peer)
		}
	}
	return peers
}

// shuffleWithSeeds sends a shuffle request to every seed.
func (n *Node) shuffleWithSeeds() {
	for _, addr := range n.seeds {
		n.sendShuffle(addr)
	}
}

// dropUnresponsive drops peers with overdue responses, and expired replicas. It iterates in the order of ids, which makes the order of
// lostPeers deterministic.
func (n *Node) dropUnresponsive() {
	for _, id := range sortedKeys(n.view) {
		if s := n.view[id]; s.isResponseOverdue(n.now) {
			delete(n.view, id)
			n.rememberLost(s.Addr)
		}
	}
	for _, id := range sortedKeys(n.replicas) {
		if r := n.replicas[id]; r.isExpired(n.now) {
			delete(n.replicas, id)
			n.rememberLost(r.Addr)
		}
	}
	if len(n.view) < minViewSize {
		n.shuffleWithSeeds()
	}
}

// rememberLost adds the address of a dropped peer to lostPeers, or moves it to the end.
func (n *Node) rememberLost(addr netip.AddrPort) {
	n.lostPeers = append(slices.DeleteFunc(n.lostPeers, func(a netip.AddrPort) bool { return a == addr }), addr)
	n.lostPeers = n.lostPeers[max(len(n.lostPeers)-maxLostPeers, 0):]
}

// probeOutsideView sends a shuffle to a random seed or lost peer, in every lostPeerProbePeriod-th round, or in every round if no
// replica is responsive. Without it, two partitions whose views hold only their own peers would never merge.
func (n *Node) probeOutsideView() {
	n.shuffleCount++
	addrs := slices.Concat(n.seeds, n.lostPeers)
	if len(addrs) == 0 {
		return
	}
	if n.shuffleCount%lostPeerProbePeriod == 0 || len(n.ResponsiveReplicas()) == 0 {
		n.sendShuffle(addrs[n.rng.IntN(len(addrs))])
	}
}
