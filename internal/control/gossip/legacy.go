package gossip

// Comparisons with nodes of the release before FlagComparesContent: bucket digests and versions, neither of which covers the
// bodies. They end once no such node is left, and go with the next release.

// itemVersion is a version of an item as such a node shows it.
type itemVersion struct {
	key     uint64 // hash
	version uint64
}

// bucketVersions are the versions of a bucket's items at the sender.
type bucketVersions struct {
	bucket   int
	versions []itemVersion
}

// maxLegacyVersions is how many versions one packet holds.
const maxLegacyVersions = (MaxPacketBytes - packetOverhead) / 13

// legacyVersions lists the versions of a bucket, ordered by key, as many as one packet holds: the other node sends the items that
// are not listed.
func (s *itemStore) legacyVersions(bucket int) (versions []itemVersion) {
	for _, key := range sortedKeys(s.keys[bucket]) {
		versions = append(versions, itemVersion{key: s.keys[bucket][key], version: s.byKey[key].Version})
	}
	return versions[:min(len(versions), maxLegacyVersions)]
}

// fitting returns the first buckets that one packet holds. The others follow with a later comparison.
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

// handleVersions sends the items that the other node lacks, and asks for those that this node lacks by sending its versions.
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

// diffBucket returns the items of a bucket that are newer here, ordered by key, and reports whether any is newer there.
func (n *Node) diffBucket(remote bucketVersions) (newer []Item, isBehind bool) {
	remaining := make(map[uint64]uint64, len(remote.versions)) // version by the hash of the key
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
