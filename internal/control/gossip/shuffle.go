package gossip

import (
	"net/netip"
	"slices"
)

// shuffle exchanges part of the view with the peer that was heard longest ago.
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
	for _, q := range p.peers {
		n.addAdvertisedPeer(q)
	}
}

func (n *Node) handleShuffleReply(p *packet) {
	for _, q := range p.peers {
		n.addAdvertisedPeer(q)
	}
}

// samplePeers draws peers of the view to list to another node, and adds the replicas that were heard lately, which all nodes
// need.
func (n *Node) samplePeers() []Peer {
	var peers []Peer
	for _, s := range n.randomPeers(shuffleSize) {
		peers = append(peers, s.Peer)
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

// askSeeds asks the seeds for peers.
func (n *Node) shuffleWithSeeds() {
	for _, addr := range n.seeds {
		n.sendShuffle(addr)
	}
}

// dropUnresponsive drops peers that do not answer, in order of their ids, since the list of lost peers keeps that order.
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

// rememberLost keeps the address of a peer that was dropped.
func (n *Node) rememberLost(addr netip.AddrPort) {
	n.lostPeers = append(slices.DeleteFunc(n.lostPeers, func(a netip.AddrPort) bool { return a == addr }), addr)
	n.lostPeers = n.lostPeers[max(len(n.lostPeers)-maxLostPeers, 0):]
}

// probeBeyondView asks a seed or a lost peer now and then. Two partitions that have dropped each other's peers, each with full
// views, would not merge otherwise. A node without a responsive replica probes each time.
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
