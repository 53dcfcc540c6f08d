package gossip

import "net/netip"

// broadcast stores items of this node, and queues the new ones for the next round.
func (n *Node) broadcast(e Broadcast) {
	for _, item := range e.Items {
		if item.fits() && n.items.merge(item) {
			n.broadcastQueue = append(n.broadcastQueue, item)
		}
	}
}

// mergeReceivedItems stores items from another node, and queues the new ones to be passed on.
func (n *Node) mergeReceivedItems(p *packet) {
	for _, item := range p.items {
		if !item.fits() || n.IsStale != nil && n.IsStale(&item) || !n.items.merge(item) {
			continue
		}
		n.effects = append(n.effects, ItemLearned{Item: item, From: p.from})
		if len(n.broadcastQueue) < maxQueuedItems {
			n.broadcastQueue = append(n.broadcastQueue, item)
		}
	}
}

// sendBroadcast sends the queued items to random peers. If the view is empty, they stay queued.
func (n *Node) sendBroadcast() {
	peers := n.randomPeers(Fanout)
	if len(peers) == 0 {
		return
	}
	for _, peer := range peers {
		n.sendItems(peer.Addr, n.broadcastQueue, kindItems, 0)
	}
	n.broadcastQueue = nil
}

// forwardNow sends the queued items to random peers without waiting for the next round. It skips the peer source, which has sent them.
func (n *Node) forwardNow(source PeerID) {
	if len(n.broadcastQueue) == 0 {
		return
	}
	for _, peer := range n.randomPeers(Fanout) {
		if peer.ID != source {
			n.sendItems(peer.Addr, n.broadcastQueue, kindItems, 0)
		}
	}
	n.broadcastQueue = nil
}

// sendItems sends items in as many datagrams as they need.
func (n *Node) sendItems(to netip.AddrPort, items []Item, kind packetKind, ack ackID) {
	for len(items) > 0 {
		size, count := packetOverhead, 0
		for count < len(items) && count < maxItems && size+items[count].size() <= MaxPacketBytes {
			size += items[count].size()
			count++
		}
		n.send(to, &packet{kind: kind, items: items[:count], ackID: ack})
		items = items[count:]
	}
}
