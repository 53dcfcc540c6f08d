// Package configcache caches the newest fleet configurations that a process has received. A peer that has one of them is sent the
// newest as a delta, because a configuration of thousands of routes changes in a few places at a time. Package delta encodes the
// delta, and detects when it is decoded with the wrong base.
//
// A configuration is identified by the index of its log entry, from 1; 0 means no configuration. The cache holds at most
// limits.CachedConfigs configurations with a total size of at most limits.CachedConfigBytes. It always holds the newest one,
// whatever its size.
package configcache

import (
	"sync"

	"notchhinge/internal/control/delta"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

// Cache is a set of configurations. The zero Cache is empty and ready to use. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	configs []cachedConfig    // in ascending order of their indices
	deltas  map[uint64][]byte // encodings of the newest configuration, by the index of their base; 0 = no base
}

// cachedConfig is the encoded text of a configuration, with its index.
type cachedConfig struct {
	index uint64
	text  []byte
}

// Add adds a configuration that is newer than those in the cache, and evicts the oldest ones beyond the bounds. The cache retains
// text, which must not be modified.
func (c *Cache) Add(index uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs = append(c.configs, cachedConfig{index, text})
	totalBytes := 0
	for _, cached := range c.configs {
		totalBytes += len(cached.text)
	}
	for len(c.configs) > 1 && (len(c.configs) > limits.CachedConfigs || totalBytes > limits.CachedConfigBytes) {
		totalBytes -= len(c.configs[0].text)
		c.configs = append([]cachedConfig(nil), c.configs[1:]...) // a copy, so that the evicted text can be freed
	}
	c.deltas = map[uint64][]byte{}
}

// Newest returns the newest configuration. Index 0 means that the cache is empty.
func (c *Cache) Newest() (index uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.newest()
	return newest.index, newest.text
}

// newest returns the newest configuration. c.mu must be held.
func (c *Cache) newest() cachedConfig {
	if len(c.configs) == 0 {
		return cachedConfig{}
	}
	return c.configs[len(c.configs)-1]
}

// EncodeReply encodes the reply to a peer that has the configuration with peerIndex (0 = none). The reply holds the newest
// configuration, if the peer's is older: as a delta if the peer's is in the cache, else in full.
func (c *Cache) EncodeReply(peerIndex uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.newest()
	if newest.index <= peerIndex {
		return replica.EncodeIndexed(0, nil)
	}
	base := c.text(peerIndex)
	if base == nil {
		peerIndex = 0
	}
	encoded := c.deltas[peerIndex]
	if encoded == nil {
		encoded = delta.Encode(base, newest.text)
		c.deltas[peerIndex] = encoded
	}
	return replica.EncodeIndexed(newest.index, encoded)
}

// text returns the configuration with an index, nil if it is not in the cache. c.mu must be held.
func (c *Cache) text(index uint64) []byte {
	for _, cached := range c.configs {
		if cached.index == index {
			return cached.text
		}
	}
	return nil
}

// DecodeReply decodes the reply to a caller that has the configuration base (nil = none). Index 0 means that the peer has no newer
// configuration. The error is delta.ErrWrongBase if the peer's configuration with the caller's index is a different one; the caller
// must then repeat the request with index 0.
func DecodeReply(b, base []byte) (index uint64, text []byte, err error) {
	index, encoded, err := replica.DecodeIndexed(b)
	if err != nil || index == 0 {
		return 0, nil, err
	}
	text, err = delta.Decode(base, encoded, fleetconfig.MaxBytes)
	return index, text, err
}
