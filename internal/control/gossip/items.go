package gossip

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Item is a versioned value that is disseminated and reconciled. For one key the higher version wins; for equal versions, the
// greater body.
type Item struct {
	Kind    uint8
	Key     string
	Version uint64
	Body    []byte
}

// bucketCount is the number of buckets of an itemStore. The hash of an item's key selects its bucket.
const bucketCount = rangeFanout

// itemStore holds the latest version of each item, and updates the digests with every change. A bucket is a child of rootRange.
type itemStore struct {
	byKey         map[string]*Item
	digests       [bucketCount]uint64            // by bucket: XOR of the hashes of its items
	legacyDigests [bucketCount]uint64            // by bucket: XOR of the legacy hashes, for nodes of the previous release
	keys          [bucketCount]map[string]uint64 // by bucket: its keys and their hashes
}

func newItemStore() itemStore {
	s := itemStore{byKey: map[string]*Item{}}
	for b := range s.keys {
		s.keys[b] = map[string]uint64{}
	}
	return s
}

// merge stores an item if it is newer than the stored item of its key, and reports whether it did.
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

// toggleInDigests adds an item to the digests, or removes it if it is included already. It returns the hash of the item's key.
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

// rootDigest returns a digest of all items, with or without their bodies.
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

// hash covers the whole item.
func (item *Item) hash() uint64 { return CombineHashes(item.legacyHash(), xxhash.Sum64(item.Body)) }

// contentHash covers the fields that a comparison does not list: the kind and the body.
func (item *Item) contentHash() uint32 {
	return uint32(CombineHashes(uint64(item.Kind), xxhash.Sum64(item.Body)))
}

// legacyHash covers the key, the kind and the version, but not the body: digests of it do not reveal different bodies of one version.
func (item *Item) legacyHash() uint64 {
	d := xxhash.New()
	d.WriteString(item.Key)
	d.Write([]byte{
		0, item.Kind, byte(item.Version), byte(item.Version >> 8), byte(item.Version >> 16), byte(item.Version >> 24),
		byte(item.Version >> 32), byte(item.Version >> 40), byte(item.Version >> 48), byte(item.Version >> 56),
	})
	return d.Sum64()
}

// size returns an upper bound of the encoded size in bytes.
func (item *Item) size() int { return len(item.Key) + len(item.Body) + itemOverhead }

// fits reports whether the item fits into one datagram.
func (item *Item) fits() bool { return item.size() <= MaxPacketBytes-packetOverhead }

// Item returns the stored item with a key, and whether there is one.
func (n *Node) Item(key string) (Item, bool) {
	if item := n.items.byKey[key]; item != nil {
		return *item, true
	}
	return Item{}, false
}

// ItemCount returns the number of stored items.
func (n *Node) ItemCount() int { return len(n.items.byKey) }

// RemoveItem removes an obsolete item from the store. Nodes remove it at different times, so another node may send it again. The
// caller must tolerate that, or reject the item by IsStale.
func (n *Node) RemoveItem(key string) { n.items.remove(key) }
