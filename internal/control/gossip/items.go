package gossip

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Item is a versioned value that is disseminated and reconciled. Of one key the higher version wins; of two bodies of one
// version the greater.
type Item struct {
	Kind    uint8
	Key     string
	Version uint64
	Body    []byte
}

// bucketCount is the number of buckets into which the hashes of their keys divide the items.
const bucketCount = rangeFanout

// itemStore holds the current version of each item, with digests of it that are kept up to date. A bucket is a child of rootRange.
type itemStore struct {
	byKey         map[string]*Item
	digests       [bucketCount]uint64            // of each bucket: XOR of the hashes of its items
	legacyDigests [bucketCount]uint64            // the same for nodes of the previous release
	keys          [bucketCount]map[string]uint64 // of each bucket, with their hashes
}

func newItemStore() itemStore {
	s := itemStore{byKey: map[string]*Item{}}
	for b := range s.keys {
		s.keys[b] = map[string]uint64{}
	}
	return s
}

// merge stores an item if it is newer than what is stored under its key, and reports whether it is.
func (s *itemStore) merge(item Item) bool {
	old := s.byKey[item.Key]
	if old != nil && !item.supersedes(old) {
		return false
	}
	if old != nil {
		s.toggleInDigests(old)
	}
	s.byKey[item.Key] = &item
	hash := s.toggleInDigests(&item)
	s.keys[hash%bucketCount][item.Key] = hash
	return true
}

// toggle adds an item to the digests, or takes it out of them, and returns the hash of its key.
func (s *itemStore) toggleInDigests(item *Item) (keyHash uint64) {
	keyHash = Hash(item.Key)
	s.digests[keyHash%bucketCount] ^= item.hash()
	s.legacyDigests[keyHash%bucketCount] ^= item.legacyHash()
	return keyHash
}

func (s *itemStore) remove(key string) {
	item := s.byKey[key]
	if item == nil {
		return
	}
	hash := s.toggleInDigests(item)
	delete(s.byKey, key)
	delete(s.keys[hash%bucketCount], key)
}

// rootDigest is a digest of all items, with or without their bodies.
func (s *itemStore) rootDigest(withContent bool) (root uint64) {
	digests := &s.legacyDigests
	if withContent {
		digests = &s.digests
	}
	for _, d := range digests {
		root = CombineHashes(root, d)
	}
	return root
}

// supersedes reports whether an item is newer than another of the same key.
func (item *Item) supersedes(old *Item) bool {
	return item.Version > old.Version || item.Version == old.Version && bytes.Compare(item.Body, old.Body) > 0
}

// hash covers all of the item.
func (item *Item) hash() uint64 { return CombineHashes(item.legacyHash(), xxhash.Sum64(item.Body)) }

// contentHash covers what a comparison does not show otherwise.
func (item *Item) contentHash() uint32 {
	return uint32(CombineHashes(uint64(item.Kind), xxhash.Sum64(item.Body)))
}

// legacyHash covers the key, the kind and the version. Two bodies of one version have one hash, so that a digest does not show
// that they differ.
func (item *Item) legacyHash() uint64 {
	d := xxhash.New()
	d.WriteString(item.Key)
	d.Write([]byte{
		0, item.Kind, byte(item.Version), byte(item.Version >> 8), byte(item.Version >> 16), byte(item.Version >> 24),
		byte(item.Version >> 32), byte(item.Version >> 40), byte(item.Version >> 48), byte(item.Version >> 56),
	})
	return d.Sum64()
}

// size is an upper bound of the encoded size in bytes.
func (item *Item) size() int { return len(item.Key) + len(item.Body) + itemOverhead }

// fits reports whether a datagram holds the item.
func (item *Item) fits() bool { return item.size() <= MaxPacketBytes-packetOverhead }

// Item returns the stored item of a key.
func (n *Node) Item(key string) (Item, bool) {
	if item := n.items.byKey[key]; item != nil {
		return *item, true
	}
	return Item{}, false
}

// ItemCount returns the number of stored items.
func (n *Node) ItemCount() int { return len(n.items.byKey) }

// RemoveItem drops an item that is obsolete everywhere. Nodes drop it at different times, so that one that still has it may
// send it again; its owner must tolerate that or reject it by IsStale.
func (n *Node) RemoveItem(key string) { n.items.remove(key) }
