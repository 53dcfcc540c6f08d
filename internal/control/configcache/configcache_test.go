package configcache

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"notchhinge/internal/control/delta"
	"notchhinge/internal/limits"
)

// configText returns a large configuration. Two versions differ in one number.
func configText(version int) []byte {
	var b bytes.Buffer
	for i := range 2000 {
		fmt.Fprintf(&b, "route %x timeout %d;", i*7919, 1000+version*(i/1999))
	}
	return b.Bytes()
}

// filled returns a cache to which six versions were added, with the indices 10, 20, ..., 60. The first two are evicted.
func filled(t *testing.T) *Cache {
	t.Helper()
	c := &Cache{}
	for version := range 6 {
		c.Add(uint64(10*version+10), configText(version))
	}
	return c
}

func TestReplyIsADeltaIfTheBaseIsCached(t *testing.T) {
	const maxDeltaBytes, maxFullBytes = 500, 30000
	c := filled(t)
	for _, x := range []struct {
		name      string
		peerIndex uint64
		base      []byte
		maxBytes  int
	}{
		{"none", 0, nil, maxFullBytes},
		{"previous", 50, configText(4), maxDeltaBytes},
		{"oldest in the cache", 30, configText(2), maxDeltaBytes},
		{"evicted", 10, configText(0), maxFullBytes},
		{"never in the cache", 7, nil, maxFullBytes},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := c.EncodeReply(x.peerIndex)
			index, text, err := DecodeReply(b, x.base)
			if err != nil || index != 60 || !bytes.Equal(text, configText(5)) {
				t.Errorf("index %d, %d bytes, %v; want the newest configuration", index, len(text), err)
			}
			if len(b) > x.maxBytes {
				t.Errorf("the reply has %d bytes, want at most %d", len(b), x.maxBytes)
			}
		})
	}
}

func TestReplyToThePeerWithTheNewestIsEmpty(t *testing.T) {
	index, text, err := DecodeReply(filled(t).EncodeReply(60), configText(5))
	if index != 0 || text != nil || err != nil {
		t.Errorf("index %d, %d bytes, error %v; want an empty reply", index, len(text), err)
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
		t.Errorf("filled cache: index %d, %d bytes; want index 60 and its configuration", index, len(text))
	}
}

func TestLargeNewestConfigurationIsKept(t *testing.T) {
	c := filled(t)
	large := make([]byte, limits.CachedConfigBytes+1)
	c.Add(70, large)
	if index, text := c.Newest(); index != 70 || len(text) != len(large) || len(c.configs) != 1 {
		t.Errorf("index %d, %d bytes, %d configurations; want only the large one", index, len(text), len(c.configs))
	}
}
