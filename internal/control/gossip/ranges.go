package gossip

// Shape of the tree of ranges. rangeFanout is the number of children of a range; rangeBits bits of a key's hash select one of them.
const (
	rangeBits   = 5
	rangeFanout = 1 << rangeBits

	maxRangeDepth = 12 // uses 60 of the 64 bits of a hash
)

// keyRange is the set of keys whose lowest rangeBits*depth hash bits are prefix. The ranges form a tree. A comparison descends it
// from the root along the digests that differ until it reaches ranges with few items, as in a Merkle tree.
type keyRange struct {
	depth  uint8
	prefix uint64
}

// rootRange contains all keys.
var rootRange = keyRange{}

// child returns child i of the range: the keys whose next rangeBits hash bits are i.
func (r keyRange) child(i int) keyRange {
	return keyRange{depth: r.depth + 1, prefix: r.prefix | uint64(i)<<(rangeBits*r.depth)}
}

// childOf returns the index of the child that contains the key with a hash.
func (r keyRange) childOf(hash uint64) int { return int(hash >> (rangeBits * r.depth) % rangeFanout) }

func (r keyRange) contains(hash uint64) bool {
	mask := uint64(1)<<(rangeBits*r.depth) - 1
	return hash&mask == r.prefix
}

// isValid reports whether a range from the network belongs to the tree.
func (r keyRange) isValid() bool {
	return r.depth <= maxRangeDepth && r.prefix>>(rangeBits*r.depth) == 0
}

// rangeDigests contains the sender's digests of the children of a range.
type rangeDigests struct {
	keyRange
	digests [rangeFanout]uint64
}

// rangeVersions contains the sender's versions of all items of a range.
type rangeVersions struct {
	keyRange
	versions []contentVersion
}

// contentVersion describes an item in a comparison.
type contentVersion struct {
	keyHash uint64
	version uint64
	content uint32 // hash of the kind and the body
}

// inRange returns the items of a range, ordered by key.
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

// countInRange counts the items of a range, but stops at maximum.
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

// childDigests returns the digest of each child of a range, the XOR of the hashes of its items.
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

// versionsIn returns the versions of the items of a range, ordered by key.
func (s *itemStore) versionsIn(r keyRange) (versions []contentVersion) {
	for _, item := range s.inRange(r) {
		versions = append(versions, contentVersion{keyHash: Hash(item.Key), version: item.Version, content: item.contentHash()})
	}
	return versions
}

// byHash returns the items whose keys have a hash. There is more than one only if hashes collide.
func (s *itemStore) byHash(hash uint64) (items []Item) {
	hashes := s.keys[hash%bucketCount]
	for _, key := range sortedKeys(hashes) {
		if hashes[key] == hash {
			items = append(items, *s.byKey[key])
		}
	}
	return items
}
