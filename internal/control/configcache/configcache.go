// Package configcache keeps the newest fleet configurations of a process as received, so that peers can be sent the
// difference to the one that they have. A configuration of thousands of routes changes in a few places at a time; package
// delta makes the difference, and detects a base that is not the one it was made for.
//
// A configuration is named by the index of its log entry, from 1 on; 0 stands for none. The cache holds up to
// limits.CachedConfigs of them and limits.CachedConfigBytes together, the newest whatever its size.
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
	configs []cachedConfig    // in the order of their indices
	deltas  map[uint64][]byte // from the configuration of an index to the newest; 0 = the newest itself
}

type cachedConfig struct {
	index uint64
	text  []byte
}

// Add adds a configuration that is newer than those in the cache, and evicts the oldest ones beyond the bounds. The cache
// keeps text.
func (c *Cache) Add(index uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configs = append(c.configs, cachedConfig{index, text})
	bytes := 0
	for _, x := range c.configs {
		bytes += len(x.text)
	}
	for len(c.configs) > 1 && (len(c.configs) > limits.CachedConfigs || bytes > limits.CachedConfigBytes) {
		bytes -= len(c.configs[0].text)
		c.configs = append([]cachedConfig(nil), c.configs[1:]...) // a copy, so that the text is freed
	}
	c.deltas = map[uint64][]byte{}
}

// Newest returns the newest configuration; index 0 = the cache is empty.
func (c *Cache) Newest() (index uint64, text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.newest()
	return newest.index, newest.text
}

// newest is Newest with c.mu held.
func (c *Cache) newest() cachedConfig {
	if len(c.configs) == 0 {
		return cachedConfig{}
	}
	return c.configs[len(c.configs)-1]
}

// EncodeReply makes the response to a peer that has the configuration of index has (0 = none): the newest one if that is
// newer, as a delta if the peer's is in the cache.
func (c *Cache) EncodeReply(has uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := c.newest()
	if newest.index <= has {
		return replica.EncodeIndexed(0, nil)
	}
	base := c.text(has)
	if base == nil {
		has = 0
	}
	b := c.deltas[has]
	if b == nil {
		b = delta.Encode(base, newest.text)
		c.deltas[has] = b
	}
	return replica.EncodeIndexed(newest.index, b)
}

// text returns the configuration of an index, nil if it is not in the cache. c.mu is held.
func (c *Cache) text(index uint64) []byte {
	for _, x := range c.configs {
		if x.index == index {
			return x.text
		}
	}
	return nil
}

// DecodeReply reads the response to a caller that had the configuration base (nil = none). Index 0 means that the peer has
// none newer. The error is delta.ErrWrongBase if the peer's configuration of that index is another one: the caller then asks
// again as one that has none.
func DecodeReply(b, base []byte) (index uint64, text []byte, err error) {
	index, d, err := replica.DecodeIndexed(b)
	if err != nil || index == 0 {
		return 0, nil, err
	}
	text, err = delta.Decode(base, d, fleetconfig.MaxBytes)
	return index, text, err
}
