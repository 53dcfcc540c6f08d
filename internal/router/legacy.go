package router

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"notchhinge/policy"
)

// legacy is what a router leaves to the process that follows it, by the names of its pools. On the wire it is a word with
// the form's version, a checksum of the rest, and CBOR.
type legacy struct {
	Pools map[string]*policy.Snapshot
}

const (
	legacyForm = "nhleg01\n" // another form has another number, and is not taken
	legacyMost = 64 << 20    // beyond what any table of sessions comes to
)

var errLegacy = errors.New("what the process before left cannot be used")

func (l *legacy) encode() ([]byte, error) {
	body, err := cbor.Marshal(l)
	if err != nil {
		return nil, err
	}
	b := append([]byte(legacyForm), make([]byte, 8)...)
	binary.BigEndian.PutUint64(b[len(legacyForm):], xxhash.Sum64(body))
	return append(b, body...), nil
}

func decodeLegacy(b []byte) (*legacy, error) {
	const head = len(legacyForm) + 8
	switch {
	case len(b) < head, len(b) > legacyMost:
		return nil, fmt.Errorf("%w: it has %d bytes", errLegacy, len(b))
	case string(b[:len(legacyForm)]) != legacyForm:
		return nil, fmt.Errorf("%w: it has another form", errLegacy)
	case binary.BigEndian.Uint64(b[len(legacyForm):]) != xxhash.Sum64(b[head:]):
		return nil, fmt.Errorf("%w: its checksum is wrong", errLegacy)
	}
	l := &legacy{}
	if err := cbor.Unmarshal(b[head:], l); err != nil {
		return nil, fmt.Errorf("%w: %w", errLegacy, err)
	}
	return l, nil
}
