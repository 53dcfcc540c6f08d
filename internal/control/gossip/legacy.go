package gossip

// Comparisons with nodes of the release before FlagComparesContent. They use digests and versions of buckets, which do not cover
// item bodies. The next release can remove this file.

// itemVersion describes an item in a comparison with a node of the previous release.
type itemVersion struct {
	key     uint64 // hash of the key
	version uint64
}

// bucketVersions contains the sender's versions of the items of a bucket.
type bucketVersions struct {
	bucket   int
	versions []itemVersion
}

// maxLegacyVersions is the number of versions that fit into one packet.
const maxLegacyVersions = (MaxPacketBytes - packetOverhead) / 13

// legacyVersions returns the versions of a bucket, ordered by key and limited to one packet. The other node sends its items of the
// bucket that are not listed.
func (s *itemStore) legacyVersions(bucket int) (versions []itemVersion) {
	for _, key := range sortedKeys(s.keys[bucket]) {
		versions = append(versions, itemVersion{key: s.keys[bucket][key], version: s.byKey[key].Version})
	}
	return versions[:min(len(versions), maxLegacyVersions)]
}

// firstFittingBuckets returns the first buckets that fit into one packet. The others are left to a later comparison.
func firstFittingBuckets(buckets []bucketVersions) []bucketVersions {
	size := packetOverhead
	for i, b := range buckets {
		if size += 4 + 13*len(b.versions); size > MaxPacketBytes && i > 0 {
			return buckets[:i]
		}
	}
	return buckets
}

// handleBucketDigests answers with the versions of the buckets that differ.
func (n *Node) handleBucketDigests(p *packet) {
	var buckets []bucketVersions
	for b, digest := range p.digests {
		if digest != n.items.legacyDigests[b] {
			buckets = append(buckets, bucketVersions{bucket: b, versions: n.items.legacyVersions(b)})
		}
	}
	if len(buckets) == 0 {
		n.send(p.from.Addr, &packet{kind: kindAck})
		return
	}
	n.send(p.from.Addr, &packet{kind: kindVersions, buckets: firstFittingBuckets(buckets)})
}

// handleVersions sends the items that the other node lacks. If this node lacks items, it sends its own versions to request them.
func (n *Node) handleVersions(p *packet) {
	var items []Item
	var behind []bucketVersions
	for _, remote := range p.buckets {
		newer, isBehind := n.diffBucket(remote)
		items = append(items, newer...)
		if isBehind {
			behind = append(behind, bucketVersions{bucket: remote.bucket, versions: n.items.legacyVersions(remote.bucket)})
		}
	}
	n.sendItems(p.from.Addr, items, kindItems, 0)
	if len(behind) > 0 {
		n.send(p.from.Addr, &packet{kind: kindVersions, buckets: firstFittingBuckets(behind[:min(len(behind), maxVersionBuckets)])})
	}
}

// diffBucket returns the local items of a bucket that are newer than the other node's, ordered by key, and reports whether any item
// of the other node is newer or missing here.
func (n *Node) diffBucket(remote bucketVersions) (newer []Item, isBehind bool) {
	remaining := make(map[uint64]uint64, len(remote.versions)) // version by key hash
	for _, v := range remote.versions {
		remaining[v.key] = v.version
	}
	hashes := n.items.keys[remote.bucket]
	for _, key := range sortedKeys(hashes) {
		item, hash := n.items.byKey[key], hashes[key]
		version, isListed := remaining[hash]
		if !isListed || version < item.Version {
			newer = append(newer, *item)
		}
		isBehind = isBehind || isListed && version > item.Version
		delete(remaining, hash)
	}
	return newer, isBehind || len(remaining) > 0
}
