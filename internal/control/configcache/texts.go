// Package configcache keeps the newest configurations that a process has held, as they came, so that others are sent what differs
// from the one that they have. Bounds: limits.NodeTexts and limits.NodeTextBytes, of which the newest is kept in any case.
package configcache

import (
	"sync"

	"notchhinge/internal/control/delta"
	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/control/replica"
	"notchhinge/internal/limits"
)

// CallFetch is the call that asks another process for the newest configuration, where it is newer than a place: answered by
// Answer, read by Read.
const CallFetch uint8 = 5

// Cache are what is kept. The zero Texts holds none. It is safe for concurrent use.
type Cache struct {
	mu   sync.Mutex
	all  []held            // the newest last
	sent map[uint64][]byte // what was made for those that have the text of a place, for the newest
}

type held struct {
	place uint64
	text  []byte
}

// Add keeps a text that is newer than those that are kept.
func (t *Cache) Add(place uint64, text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = append(t.all, held{place, text})
	bytes := 0
	for _, h := range t.all {
		bytes += len(h.text)
	}
	for len(t.all) > 1 && (len(t.all) > limits.CachedConfigs || bytes > limits.CachedConfigBytes) {
		bytes -= len(t.all[0].text)
		t.all = append([]held(nil), t.all[1:]...)
	}
	t.sent = map[uint64][]byte{}
}

// Newest returns the newest text; place 0 = there is none.
func (t *Cache) Newest() (place uint64, text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.all); n > 0 {
		return t.all[n-1].place, t.all[n-1].text
	}
	return 0, nil
}

// EncodeReply is what somebody is sent who has the text of a place (0 = none): the newest, upon that where it is kept here.
func (t *Cache) EncodeReply(has uint64) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.all)
	if n == 0 || t.all[n-1].place <= has {
		return replica.EncodeIndexed(0, nil)
	}
	var base []byte
	for _, h := range t.all {
		if h.place == has {
			base = h.text
		}
	}
	if base == nil {
		has = 0
	}
	b := t.sent[has]
	if b == nil {
		b = delta.Encode(base, t.all[n-1].text)
		t.sent[has] = b
	}
	return replica.EncodeIndexed(t.all[n-1].place, b)
}

// DecodeReply reads an answer, by who had asked with a text.
func (t *Cache) DecodeReply(b, had []byte) (place uint64, text []byte, err error) {
	place, d, err := replica.DecodeIndexed(b)
	if err != nil || place == 0 {
		return 0, nil, err
	}
	text, err = delta.Decode(had, d, fleetconfig.MaxBytes)
	return place, text, err
}
