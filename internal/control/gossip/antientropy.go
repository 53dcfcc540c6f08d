package gossip

import (
	"net/netip"
	"slices"

	"notchhinge/internal/control/encoding"
)

// A comparison starts with root digests, continues with the digests of ranges that differ, one level of the tree after another, and
// ends with the versions of differing ranges that have few items. Most comparisons end after the root digests, at the cost of two
// small packets. Differences that do not fit into the response to one packet are left to a later comparison.

// canRetryCompare reports whether a comparison is pending and has retries left.
func (n *Node) canRetryCompare() bool { return n.comparingWith != 0 && n.compareRetriesLeft > 0 }

func (n *Node) runCompareTimer() {
	switch {
	case n.now >= n.nextCompare:
		n.nextCompare = n.now + n.jitter(compareInterval)
		n.compareRetriesLeft = compareRetries
		n.compare()
	case n.canRetryCompare() && n.now >= n.nextCompareRetry:
		n.compareRetriesLeft--
		n.compare()
	}
}

// compare starts a comparison: it sends the root digest to a random peer of the view or, less often, to a replica.
func (n *Node) compare() {
	n.comparingWith = 0
	peer := n.comparePeer()
	if peer == nil {
		n.shuffleWithSeeds()
		return
	}
	if len(n.replicas) == 0 && len(n.seeds) > 0 { // the peers of the view may not know a replica either
		n.sendShuffle(n.seeds[n.rng.IntN(len(n.seeds))])
	}
	n.comparingWith, n.nextCompareRetry = peer.ID, n.now+compareRetryDelay
	peer.recordRequest(n.now)
	n.send(peer.Addr, &packet{kind: kindRootDigest, root: n.items.rootDigest(peer.comparesContent())})
}

// comparePeer draws the peer for a comparison; nil if there is none.
func (n *Node) comparePeer() *peerState {
	peers := n.randomPeers(1)
	if ids := sortedKeys(n.replicas); len(ids) > 0 && n.rng.IntN(replicaComparePeriod) == 0 {
		return &n.replicas[ids[n.rng.IntN(len(ids))]].peerState
	}
	if len(peers) == 0 {
		return nil
	}
	return peers[0]
}

// handleRootDigest answers with an acknowledgement if the root digests are equal, else with the digests of the root's children.
func (n *Node) handleRootDigest(p *packet) {
	comparesContent := p.from.comparesContent()
	switch {
	case p.root == n.items.rootDigest(comparesContent):
		n.send(p.from.Addr, &packet{kind: kindAck})
	case comparesContent:
		n.send(p.from.Addr, &packet{kind: kindRangeDigests, ranges: []rangeDigests{{rootRange, n.items.digests}}})
	default:
		n.send(p.from.Addr, &packet{kind: kindBucketDigests, digests: n.items.legacyDigests[:]})
	}
}

// handleRangeDigests answers with the versions of the ranges that differ, or with their digests if they have many local items.
func (n *Node) handleRangeDigests(p *packet) {
	var smallRanges, largeRanges []keyRange
	for i := range p.ranges {
		remote := &p.ranges[i]
		localDigests := n.items.childDigests(remote.keyRange)
		for index := range remote.digests {
			r := remote.child(index)
			switch {
			case localDigests[index] == remote.digests[index]:
			case r.depth < maxRangeDepth && n.items.countInRange(r, maxRangeItems+1) > maxRangeItems:
				largeRanges = append(largeRanges, r)
			default:
				smallRanges = append(smallRanges, r)
			}
		}
	}
	if len(smallRanges)+len(largeRanges) == 0 {
		n.send(p.from.Addr, &packet{kind: kindAck})
		return
	}
	n.sendRangeVersions(p.from.Addr, smallRanges)
	n.sendRangeDigests(p.from.Addr, largeRanges)
}

// sendRangeVersions sends the versions of ranges. If they need more than maxResponsePackets, it picks random ranges. A fixed choice could
// repeat the same ranges in every comparison: a range differs for as long as one of the nodes rejects an obsolete item of it.
func (n *Node) sendRangeVersions(to netip.AddrPort, ranges []keyRange) {
	all := make([]rangeVersions, len(ranges))
	for i, r := range ranges {
		versions := n.items.versionsIn(r)
		all[i] = rangeVersions{r, versions[:min(len(versions), maxRangeItems)]} // only a range of maximum depth can have more
	}
	packets := packVersions(all)
	if len(packets) > maxResponsePackets {
		n.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		packets = packVersions(all)[:maxResponsePackets]
	}
	for _, versions := range packets {
		n.send(to, &packet{kind: kindRangeVersions, versions: versions})
	}
}

// packVersions divides ranges among packets, in order and each filled up to MaxPacketBytes.
func packVersions(all []rangeVersions) (packets [][]rangeVersions) {
	first, size := 0, packetOverhead
	for i := range all {
		if size+all[i].size() > MaxPacketBytes {
			packets = append(packets, all[first:i])
			first, size = i, packetOverhead
		}
		size += all[i].size()
	}
	if first < len(all) {
		packets = append(packets, all[first:])
	}
	return packets
}

// size returns an upper bound of the encoded size in bytes.
func (v *rangeVersions) size() int {
	size := rangeHeaderBytes
	for i := range v.versions {
		size += keyHashBytes + encoding.UvarintBytes(v.versions[i].version) + contentHashBytes
	}
	return size
}

// sendRangeDigests sends the digests of ranges; of random ones if they need more than maxResponsePackets.
func (n *Node) sendRangeDigests(to netip.AddrPort, ranges []keyRange) {
	if len(ranges) > maxResponsePackets*maxDigestRanges {
		n.rng.Shuffle(len(ranges), func(i, j int) { ranges[i], ranges[j] = ranges[j], ranges[i] })
		ranges = ranges[:maxResponsePackets*maxDigestRanges]
	}
	for chunk := range slices.Chunk(ranges, maxDigestRanges) {
		all := make([]rangeDigests, len(chunk))
		for i, r := range chunk {
			all[i] = rangeDigests{r, n.items.childDigests(r)}
		}
		n.send(to, &packet{kind: kindRangeDigests, ranges: all})
	}
}

// handleRangeVersions sends the items that the other node lacks, and requests those that this node lacks.
func (n *Node) handleRangeVersions(p *packet) {
	var items []Item
	var requestedKeys []uint64
	for i := range p.versions {
		newer, missing := n.diffRange(&p.versions[i])
		items, requestedKeys = append(items, newer...), append(requestedKeys, missing...)
	}
	n.repair(p.from.Addr, items)
	for len(requestedKeys) > 0 {
		count := min(len(requestedKeys), maxRequestedKeys)
		n.send(p.from.Addr, &packet{kind: kindItemRequest, requestedKeys: requestedKeys[:count]})
		requestedKeys = requestedKeys[count:]
	}
}

// diffRange returns the local items of a range that may be newer than the other node's, ordered by key, and the key hashes of items
// that may be newer at the other node. If versions are equal and contents differ, both nodes send their item, and the greater wins.
func (n *Node) diffRange(remote *rangeVersions) (newer []Item, requestedKeys []uint64) {
	remaining := make(map[uint64]contentVersion, len(remote.versions)) // by key hash
	for _, v := range remote.versions {
		remaining[v.keyHash] = v
	}
	for _, item := range n.items.inRange(remote.keyRange) {
		hash := Hash(item.Key)
		remoteVersion, isListed := remaining[hash]
		differs := isListed && remoteVersion.version == item.Version && remoteVersion.content != item.contentHash()
		if !isListed || remoteVersion.version < item.Version || differs {
			newer = append(newer, *item)
		}
		if isListed && remoteVersion.version > item.Version || differs {
			requestedKeys = append(requestedKeys, hash)
		}
		delete(remaining, hash)
	}
	return newer, append(requestedKeys, sortedKeys(remaining)...)
}

// handleItemRequest sends the items that the other node has requested.
func (n *Node) handleItemRequest(p *packet) {
	var items []Item
	for _, hash := range p.requestedKeys {
		items = append(items, n.items.byHash(hash)...)
	}
	n.repair(p.from.Addr, items)
}

// repair sends items to a node that lacks them. If there are more than maxRepairItems, it sends random ones, so as not to overflow
// the receive buffer of the node's socket.
func (n *Node) repair(to netip.AddrPort, items []Item) {
	if len(items) > maxRepairItems {
		n.rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		items = items[:maxRepairItems]
	}
	n.sendItems(to, items, kindItems, 0)
}
