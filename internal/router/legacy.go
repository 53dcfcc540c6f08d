package router

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"notchhinge/policy"
)

// handoverState is what the decision modules of a router have learned, passed to its successor in a hot restart. It is encoded
// as a header with the format version, a checksum of the rest, and CBOR.
type handoverState struct {
	Pools map[string]*policy.Snapshot
}

const (
	handoverMagic    = "nhleg01\n" // ends in the format version; other versions are rejected
	maxHandoverBytes = 64 << 20    // more than the largest session table needs
)

var errHandoverState = errors.New("invalid handover state")

func (s *handoverState) encode() ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := append([]byte(handoverMagic), make([]byte, 8)...)
	binary.BigEndian.PutUint64(b[len(handoverMagic):], xxhash.Sum64(body))
	return append(b, body...), nil
}

func decodeHandoverState(b []byte) (*handoverState, error) {
	const headerBytes = len(handoverMagic) + 8
	switch {
	case len(b) < headerBytes, len(b) > maxHandoverBytes:
		return nil, fmt.Errorf("%w: length of %d bytes", errHandoverState, len(b))
	case string(b[:len(handoverMagic)]) != handoverMagic:
		return nil, fmt.Errorf("%w: unknown format version", errHandoverState)
	case binary.BigEndian.Uint64(b[len(handoverMagic):]) != xxhash.Sum64(b[headerBytes:]):
		return nil, fmt.Errorf("%w: checksum mismatch", errHandoverState)
	}
	state := &handoverState{}
	if err := cbor.Unmarshal(b[headerBytes:], state); err != nil {
		return nil, fmt.Errorf("%w: %w", errHandoverState, err)
	}
	return state, nil
}
