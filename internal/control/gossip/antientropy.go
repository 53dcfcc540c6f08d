package gossip

// A comparison has up to three steps: root digests, bucket digests, and versions of the buckets that differ. Most end with the
// first one, which costs two small packets.

// mayRetryCompare reports whether the current comparison is open and may be followed by another soon.
func (n *Node) mayRetryCompare() bool { return n.compareWith != 0 && n.retriesLeft > 0 }

func (n *Node) runCompareTimer() {
	switch {
	case n.now >= n.nextCompare:
		n.nextCompare = n.now + n.jitter(compareInterval)
		n.retriesLeft = compareRetries
		n.compare()
	case n.mayRetryCompare() && n.now >= n.nextRetry:
		n.retriesLeft--
		n.compare()
	}
}

// compare sends the root digest to a random peer of the view, or now and then to a replica.
func (n *Node) compare() {
	n.compareWith = 0
	peer := n.comparePeer()
	if peer == nil {
		n.askSeeds()
		return
	}
	if len(n.replicas) == 0 && len(n.seeds) > 0 { // the peers of the view may know of no replica either
		n.sendShuffle(n.seeds[n.rnd.IntN(len(n.seeds))])
	}
	n.compareWith, n.nextRetry = peer.ID, n.now+compareRetryDelay
	peer.expectAnswer(n.now)
	n.send(peer.Addr, &packet{kind: kindRootDigest, root: n.items.rootDigest()})
}

// comparePeer draws the peer to compare with; nil if there is none.
func (n *Node) comparePeer() *peerState {
	peers := n.randomPeers(1)
	if ids := sortedKeys(n.replicas); len(ids) > 0 && n.rnd.IntN(replicaCompares) == 0 {
		return &n.replicas[ids[n.rnd.IntN(len(ids))]].peerState
	}
	if len(peers) == 0 {
		return nil
	}
	return peers[0]
}

// handleRootDigest answers with bucket digests where the items differ, else with an acknowledgement.
func (n *Node) handleRootDigest(p *packet) {
	if p.root == n.items.rootDigest() {
		n.send(p.from.Addr, &packet{kind: kindAck})
		return
	}
	n.send(p.from.Addr, &packet{kind: kindBucketDigests, digests: n.items.digests[:]})
}

// handleBucketDigests answers with the versions of the buckets that differ, as many as one packet holds.
func (n *Node) handleBucketDigests(p *packet) {
	var buckets []bucketVersions
	size := 0
	for b, digest := range p.digests {
		if digest == n.items.digests[b] {
			continue
		}
		versions := n.items.versions(b)
		versions = versions[:min(len(versions), maxVersions)]
		size += 4 + 13*len(versions)
		if size > MaxPacketBytes-packetOverhead && len(buckets) > 0 {
			break // the others follow with a later comparison
		}
		buckets = append(buckets, bucketVersions{bucket: b, versions: versions})
	}
	if len(buckets) == 0 {
		n.send(p.from.Addr, &packet{kind: kindAck})
		return
	}
	n.send(p.from.Addr, &packet{kind: kindVersions, buckets: buckets})
}

// handleVersions sends the items that the other node lacks, and asks for those that this node lacks by sending its versions.
func (n *Node) handleVersions(p *packet) {
	var items []Item
	var behind []bucketVersions
	for _, theirs := range p.buckets {
		newer, isBehind := n.diffBucket(theirs)
		items = append(items, newer...)
		if isBehind {
			behind = append(behind, bucketVersions{bucket: theirs.bucket, versions: n.items.versions(theirs.bucket)})
		}
	}
	n.sendItems(p.from.Addr, items, kindItems, 0)
	if len(behind) > 0 {
		n.send(p.from.Addr, &packet{kind: kindVersions, buckets: behind[:min(len(behind), maxVersionBuckets)]})
	}
}

// diffBucket returns the items of a bucket that are newer here, ordered by key, and reports whether any is newer there.
func (n *Node) diffBucket(theirs bucketVersions) (newer []Item, isBehind bool) {
	remaining := make(map[uint64]uint64, len(theirs.versions)) // version by the hash of the key
	for _, v := range theirs.versions {
		remaining[v.key] = v.version
	}
	for _, key := range sortedKeys(n.items.keys[theirs.bucket]) {
		i, hash := n.items.byKey[key], Hash(key)
		version, isThere := remaining[hash]
		if !isThere || version < i.Version {
			newer = append(newer, *i)
		}
		isBehind = isBehind || isThere && version > i.Version
		delete(remaining, hash)
	}
	return newer, isBehind || len(remaining) > 0
}
