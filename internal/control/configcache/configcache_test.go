package configcache

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"notchhinge/internal/control/delta"
	"notchhinge/internal/limits"
)

// configText is a large configuration; two versions differ in one figure.
func configText(version int) []byte {
	var b bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&b, "route %x timeout %d;", i*7919, 1000+version*(i/1999))
	}
	return b.Bytes()
}

// filled returns a cache that six versions were added to, at the indices 10, 20 to 60. The first two are evicted.
func filled(t *testing.T) *Cache {
	t.Helper()
	c := &Cache{}
	for version := range 6 {
		c.Add(uint64(10*version+10), configText(version))
	}
	return c
}

func TestReplyIsADeltaIfTheBaseIsCached(t *testing.T) {
	const maxDelta, maxWhole = 500, 30000
	c := filled(t)
	for _, x := range []struct {
		name     string
		has      uint64
		base     []byte
		maxBytes int
	}{
		{"none", 0, nil, maxWhole},
		{"previous", 50, configText(4), maxDelta},
		{"oldest in the cache", 30, configText(2), maxDelta},
		{"evicted", 10, configText(0), maxWhole},
		{"never in the cache", 7, nil, maxWhole},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := c.EncodeReply(x.has)
			index, text, err := DecodeReply(b, x.base)
			if err != nil || index != 60 || !bytes.Equal(text, configText(5)) {
				t.Errorf("index %d, %d bytes, %v; want the newest configuration", index, len(text), err)
			}
			if len(b) > x.maxBytes {
				t.Errorf("a reply of %d bytes, want at most %d", len(b), x.maxBytes)
			}
		})
	}
}

func TestReplyToThePeerWithTheNewestIsEmpty(t *testing.T) {
	index, text, err := DecodeReply(filled(t).EncodeReply(60), configText(5))
	if index != 0 || text != nil || err != nil {
		t.Errorf("index %d, %d bytes, %v; want none", index, len(text), err)
	}
}

func TestDecodeReplyDetectsAnotherBase(t *testing.T) {
	if _, _, err := DecodeReply(filled(t).EncodeReply(50), configText(1)); !errors.Is(err, delta.ErrWrongBase) {
		t.Errorf("got %v, want %v", err, delta.ErrWrongBase)
	}
}

func TestNewest(t *testing.T) {
	if index, text := new(Cache).Newest(); index != 0 || text != nil {
		t.Errorf("empty cache: index %d, %d bytes", index, len(text))
	}
	if index, text := filled(t).Newest(); index != 60 || !bytes.Equal(text, configText(5)) {
		t.Errorf("filled cache: index %d, %d bytes; want 60 and its configuration", index, len(text))
	}
}

func TestNewestIsKeptWhateverItsSize(t *testing.T) {
	c := filled(t)
	large := make([]byte, limits.CachedConfigBytes+1)
	c.Add(70, large)
	if index, text := c.Newest(); index != 70 || len(text) != len(large) || len(c.configs) != 1 {
		t.Errorf("index %d, %d bytes, %d configurations; want the large one alone", index, len(text), len(c.configs))
	}
}
