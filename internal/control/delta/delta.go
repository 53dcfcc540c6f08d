// Package delta writes a text as what differs from one that the other has, where that pays: a configuration of thousands of
// routes changes in a few places at a time. It is pure. A delta says itself what it is made upon, and a wrong base is found out.
package delta

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// The forms: the text itself; compressed; compressed with the base as what went before.
const (
	plain byte = iota
	packed
	upon
)

const (
	small    = 512 // bytes below which nothing is tried
	baseID   = 1   // of the dictionary that a base is
	headSize = 1 + 8 + 8
)

// ErrWrongBase is a delta upon another base than the one that is given.
var ErrWrongBase = errors.New("delta: it is upon another text")

// ErrCorrupt is what is no delta, or is one whose text is not what it was made of.
var ErrCorrupt = errors.New("delta: it cannot be read")

// Encode writes text, upon base if that is not nil. The shortest form is taken.
func Encode(base, text []byte) []byte {
	best := append([]byte{plain}, text...)
	if len(text) < small {
		return best
	}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(window(len(base) + len(text)))}
	if b := squeeze(packed, nil, text, options); b != nil && len(b) < len(best) {
		best = b
	}
	if len(base) >= small {
		if b := squeeze(upon, base, text, append(options, zstd.WithEncoderDictRaw(baseID, base))); b != nil && len(b) < len(best) {
			best = b
		}
	}
	return best
}

// window is a power of two that reaches back over so many bytes.
func window(n int) int {
	w := zstd.MinWindowSize
	for w < n && w < 16<<20 {
		w *= 2
	}
	return w
}

func squeeze(form byte, base, text []byte, options []zstd.EOption) []byte {
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil // the plain form is as good
	}
	defer e.Close()
	b := make([]byte, headSize, headSize+len(text)/4)
	b[0] = form
	binary.BigEndian.PutUint64(b[1:], xxhash.Sum64(base))
	binary.BigEndian.PutUint64(b[9:], xxhash.Sum64(text))
	return e.EncodeAll(text, b)
}

// Decode reads a text of most bytes at the most.
func Decode(base, b []byte, most int) ([]byte, error) {
	if len(b) == 0 {
		return nil, ErrCorrupt
	}
	if b[0] == plain {
		if len(b)-1 > most {
			return nil, fmt.Errorf("%w: it is too long", ErrCorrupt)
		}
		return b[1:], nil
	}
	if b[0] > upon || len(b) < headSize {
		return nil, ErrCorrupt
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(most) + 32<<20)}
	if b[0] == upon {
		if binary.BigEndian.Uint64(b[1:]) != xxhash.Sum64(base) {
			return nil, ErrWrongBase
		}
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	defer d.Close()
	text, err := d.DecodeAll(b[headSize:], nil)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	case len(text) > most:
		return nil, fmt.Errorf("%w: it is too long", ErrCorrupt)
	case xxhash.Sum64(text) != binary.BigEndian.Uint64(b[9:]):
		return nil, fmt.Errorf("%w: its checksum is wrong", ErrCorrupt)
	}
	return text, nil
}
