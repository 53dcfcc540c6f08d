package gossip

// rangeFanout is the number of ranges into which a range is divided, by rangeBits bits of the hashes of its keys.
const (
	rangeBits   = 5
	rangeFanout = 1 << rangeBits

	maxRangeDepth = 12 // 60 bits: beyond it keys that differ have equal hashes
)

// keyRange is the set of keys whose hash has the lowest rangeBits*depth bits of prefix. The ranges form a tree, in which the
// digests of a difference are followed from the root to ranges of few items, as in a Merkle tree.
type keyRange struct {
	depth  uint8
	prefix uint64
}

// rootRange has all keys.
var rootRange = keyRange{}

// child returns the range of a range's keys whose next bits are those of i.
func (r keyRange) child(i int) keyRange {
	return keyRange{depth: r.depth + 1, prefix: r.prefix | uint64(i)<<(rangeBits*r.depth)}
}

// childOf returns which child of the range has a key's hash.
func (r keyRange) childOf(hash uint64) int { return int(hash >> (rangeBits * r.depth) % rangeFanout) }

func (r keyRange) contains(hash uint64) bool {
	mask := uint64(1)<<(rangeBits*r.depth) - 1
	return hash&mask == r.prefix
}

// isValid reports whether a range from the network is one of the tree.
func (r keyRange) isValid() bool {
	return r.depth <= maxRangeDepth && r.prefix>>(rangeBits*r.depth) == 0
}

// rangeDigests are the digests of the children of a range at the sender.
type rangeDigests struct {
	keyRange
	digests [rangeFanout]uint64
}

// rangeVersions are the versions of all items of a range at the sender.
type rangeVersions struct {
	keyRange
	versions []contentVersion
}

// contentVersion is what a comparison shows of an item.
type contentVersion struct {
	keyHash uint64
	version uint64
	content uint32 // hash of the kind and the body
}

// inRange lists the items of a range, ordered by key.
func (s *itemStore) inRange(r keyRange) (items []*Item) {
	if r.depth == 0 {
		for bucket := range s.keys {
			items = append(items, s.inRange(r.child(bucket))...)
		}
		return items
	}
	hashes := s.keys[r.prefix%bucketCount]
	for _, key := range sortedKeys(hashes) {
		if r.contains(hashes[key]) {
			items = append(items, s.byKey[key])
		}
	}
	return items
}

// countInRange counts the items of a range, up to a maximum.
func (s *itemStore) countInRange(r keyRange, maximum int) (count int) {
	for _, hash := range s.keys[r.prefix%bucketCount] {
		if r.contains(hash) {
			if count++; count == maximum {
				break
			}
		}
	}
	return count
}

// childDigests returns the digests of the children of a range: XOR of the hashes of their items.
func (s *itemStore) childDigests(r keyRange) (digests [rangeFanout]uint64) {
	if r.depth == 0 {
		return s.digests
	}
	for key, hash := range s.keys[r.prefix%bucketCount] {
		if r.contains(hash) {
			digests[r.childOf(hash)] ^= s.byKey[key].hash()
		}
	}
	return digests
}

// versionsIn lists the versions of a range, ordered by key.
func (s *itemStore) versionsIn(r keyRange) (versions []contentVersion) {
	for _, item := range s.inRange(r) {
		versions = append(versions, contentVersion{keyHash: Hash(item.Key), version: item.Version, content: item.contentHash()})
	}
	return versions
}

// byHash lists the items whose keys have a hash, in most cases one.
func (s *itemStore) byHash(hash uint64) (items []Item) {
	hashes := s.keys[hash%bucketCount]
	for _, key := range sortedKeys(hashes) {
		if hashes[key] == hash {
			items = append(items, *s.byKey[key])
		}
	}
	return items
}
