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
const bucketCount = 32

// itemStore holds the current version of each item, with digests of it that are kept up to date.
type itemStore struct {
	byKey   map[string]*Item
	digests [bucketCount]uint64          // of each bucket: XOR of the hashes of its items
	keys    [bucketCount]map[string]bool // of each bucket
}

func newItemStore() itemStore {
	s := itemStore{byKey: map[string]*Item{}}
	for b := range s.keys {
		s.keys[b] = map[string]bool{}
	}
	return s
}

func bucketOf(key string) int { return int(Hash(key) % bucketCount) }

// merge stores an item if it is newer than what is stored under its key, and reports whether it is.
func (s *itemStore) merge(i Item) bool {
	b, old := bucketOf(i.Key), s.byKey[i.Key]
	if old != nil && !i.supersedes(old) {
		return false
	}
	if old != nil {
		s.digests[b] ^= old.hash()
	}
	s.byKey[i.Key] = &i
	s.keys[b][i.Key] = true
	s.digests[b] ^= i.hash()
	return true
}

func (s *itemStore) remove(key string) {
	i := s.byKey[key]
	if i == nil {
		return
	}
	b := bucketOf(key)
	s.digests[b] ^= i.hash()
	delete(s.byKey, key)
	delete(s.keys[b], key)
}

// rootDigest is a digest of all items.
func (s *itemStore) rootDigest() uint64 {
	var root uint64
	for _, d := range s.digests {
		root = CombineHashes(root, d)
	}
	return root
}

// versions lists the items of a bucket by the hashes of their keys, ordered by key.
func (s *itemStore) versions(bucket int) []itemVersion {
	var versions []itemVersion
	for _, key := range sortedKeys(s.keys[bucket]) {
		versions = append(versions, itemVersion{key: Hash(key), version: s.byKey[key].Version})
	}
	return versions
}

// supersedes reports whether an item is newer than another of the same key.
func (i *Item) supersedes(old *Item) bool {
	return i.Version > old.Version || i.Version == old.Version && bytes.Compare(i.Body, old.Body) > 0
}

// hash covers the key, the kind and the version. Two bodies of one version have one hash, so that a digest does not show that
// they differ.
func (i *Item) hash() uint64 {
	d := xxhash.New()
	d.WriteString(i.Key)
	d.Write([]byte{
		0, i.Kind, byte(i.Version), byte(i.Version >> 8), byte(i.Version >> 16), byte(i.Version >> 24),
		byte(i.Version >> 32), byte(i.Version >> 40), byte(i.Version >> 48), byte(i.Version >> 56),
	})
	return d.Sum64()
}

// size is an upper bound of the encoded size in bytes.
func (i *Item) size() int { return len(i.Key) + len(i.Body) + 16 }

// Item returns the stored item of a key.
func (n *Node) Item(key string) (Item, bool) {
	if i := n.items.byKey[key]; i != nil {
		return *i, true
	}
	return Item{}, false
}

// ItemCount returns the number of stored items.
func (n *Node) ItemCount() int { return len(n.items.byKey) }

// RemoveItem drops an item that is obsolete everywhere. Nodes drop it at different times, so that one that still has it may
// send it again; its owner must tolerate that or reject it by IsStale.
func (n *Node) RemoveItem(key string) { n.items.remove(key) }
