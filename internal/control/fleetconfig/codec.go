package fleetconfig

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxBytes is the maximum size of an encoded configuration. It fits tens of thousands of routes of about 250 bytes.
const MaxBytes = 8 << 20

// YieldInterval is the number of routes or tenants that are decoded or compiled between two calls of a yield function.
const YieldInterval = 32

// ErrInvalid means that a configuration cannot be accepted. Errors of decoding and FieldErrors match it.
var ErrInvalid = errors.New("invalid configuration")

// Digest identifies a configuration by its meaning. It is the SHA-256 of the canonical encoding (RFC 8949, section 4.2.3,
// length-first), including fields unknown to this program. All encodings of a configuration have the same digest.
type Digest [sha256.Size]byte

// decMode returns a decoding mode that bounds nesting and counts, and rejects duplicate keys.
var decMode = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12,
		IndefLength: cbor.IndefLengthAllowed, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode()
})

// encMode returns the canonical encoding mode.
var encMode = sync.OnceValues(cbor.CanonicalEncOptions().EncMode)

// Decode decodes a configuration. If yield is not nil, it is called after every YieldInterval routes or tenants: on a router with
// a fraction of a core, decoding thousands of them at once would delay streams too long.
func Decode(b []byte, yield func()) (*Config, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrInvalid, len(b), MaxBytes)
	}
	if !isCBORMap(b) {
		return nil, fmt.Errorf("%w: not a CBOR map", ErrInvalid)
	}
	var partial struct {
		Revision      uint64            `cbor:"revision"`
		Routes        []cbor.RawMessage `cbor:"routes"`
		Services      []Service         `cbor:"services"`
		RequestLimits RequestLimits     `cbor:"request_limits"`
		Tenants       []cbor.RawMessage `cbor:"tenants,omitempty"`
	}
	if err := unmarshal(b, &partial); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	c := &Config{Revision: partial.Revision, Services: partial.Services, RequestLimits: partial.RequestLimits}
	var err error
	if c.Routes, err = decodeList[Route]("routes", partial.Routes, yield); err != nil {
		return nil, err
	}
	if c.Tenants, err = decodeList[Tenant]("tenants", partial.Tenants, yield); err != nil {
		return nil, err
	}
	return c, nil
}

// DecodeWithDigest decodes a configuration and computes its digest. The digest costs about as much time as the decoding.
func DecodeWithDigest(b []byte) (*Config, Digest, error) {
	c, err := Decode(b, nil)
	if err != nil {
		return nil, Digest{}, err
	}
	d, err := digest(b)
	if err != nil {
		return nil, Digest{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c, d, nil
}

// digest decodes all fields, known and unknown, and hashes their canonical encoding.
func digest(b []byte) (Digest, error) {
	var fields any
	if err := unmarshal(b, &fields); err != nil {
		return Digest{}, err
	}
	mode, err := encMode()
	if err != nil {
		return Digest{}, err
	}
	canonical, err := mode.Marshal(fields)
	if err != nil {
		return Digest{}, err
	}
	return sha256.Sum256(canonical), nil
}

// decodeList decodes the entries of a list one at a time, so that it can yield in between.
func decodeList[T any](key string, entries []cbor.RawMessage, yield func()) ([]T, error) {
	if entries == nil {
		return nil, nil
	}
	list := make([]T, len(entries))
	for i, b := range entries {
		if err := unmarshal(b, &list[i]); err != nil {
			return nil, fmt.Errorf("%w: %s[%d]: %w", ErrInvalid, key, i, err)
		}
		if yield != nil && i%YieldInterval == YieldInterval-1 {
			yield()
		}
	}
	return list, nil
}

// isCBORMap reports whether the first data item is a map (CBOR major type 5).
func isCBORMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

func unmarshal(b []byte, v any) error {
	mode, err := decMode()
	if err != nil {
		return err
	}
	return mode.Unmarshal(b, v)
}
