package fleetconfig

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// MaxBytes bounds a configuration: tens of thousands of routes of about 250 bytes.
const MaxBytes = 8 << 20

// YieldInterval is the number of routes or tenants that are decoded or compiled between two calls of yield.
const YieldInterval = 32

// ErrInvalid is a configuration that must not be accepted. Errors of decoding and FieldErrors match it.
var ErrInvalid = errors.New("invalid configuration")

// Digest identifies a configuration by its meaning: SHA-256 of its canonical encoding (RFC 8949, section 4.2.3, length
// first), fields unknown to this program included. Two encodings of one configuration share it.
type Digest [sha256.Size]byte

// decMode decodes with bounds on nesting and counts, and rejects duplicate keys.
var decMode = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12,
		IndefLength: cbor.IndefLengthAllowed, UTF8: cbor.UTF8RejectInvalid,
	}.DecMode()
})

// encMode encodes canonically.
var encMode = sync.OnceValues(cbor.CanonicalEncOptions().EncMode)

// Decode reads a configuration. yield, if not nil, is called after every YieldInterval routes or tenants: on a router with a
// sixth of a core thousands of them take longer than a stream may pause.
func Decode(b []byte, yield func()) (*Config, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d allowed", ErrInvalid, len(b), MaxBytes)
	}
	if !isCBORMap(b) {
		return nil, fmt.Errorf("%w: not a CBOR map", ErrInvalid)
	}
	var parts struct {
		Revision      uint64            `cbor:"revision"`
		Routes        []cbor.RawMessage `cbor:"routes"`
		Services      []Service         `cbor:"services"`
		RequestLimits RequestLimits     `cbor:"request_limits"`
		Tenants       []cbor.RawMessage `cbor:"tenants,omitempty"`
	}
	if err := unmarshal(b, &parts); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	c := &Config{Revision: parts.Revision, Services: parts.Services, RequestLimits: parts.RequestLimits}
	var err error
	if c.Routes, err = decodeList[Route]("routes", parts.Routes, yield); err != nil {
		return nil, err
	}
	if c.Tenants, err = decodeList[Tenant]("tenants", parts.Tenants, yield); err != nil {
		return nil, err
	}
	return c, nil
}

// DecodeWithDigest reads a configuration and computes its digest, which costs as much as all the rest.
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

// digest decodes all fields, known or not, and hashes their canonical encoding.
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

// decodeList decodes the entries of a list one by one, so that it can yield in between.
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

// isCBORMap reports whether the first item is a map, CBOR's major type 5.
func isCBORMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

func unmarshal(b []byte, v any) error {
	mode, err := decMode()
	if err != nil {
		return err
	}
	return mode.Unmarshal(b, v)
}
