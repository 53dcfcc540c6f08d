// Package delta encodes data relative to a base that the receiver already has. A configuration of thousands of routes
// changes in a few places at a time; its delta is a small fraction of it. The package is pure.
//
// An encoding is one byte for the format, and for the compressed formats the xxHash64 of the base and of the data, 8 bytes
// each, big-endian, followed by a Zstandard frame (RFC 8878). In formatDelta the base is the frame's raw dictionary. The
// hashes detect a wrong base and corrupt data.
package delta

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// Formats, as encoded.
const (
	formatPlain      byte = iota // the data itself
	formatCompressed             // compressed without a base
	formatDelta                  // compressed with the base as a dictionary
)

const (
	minBytes      = 512       // data or a base below that is not worth a compression
	smallDelta    = 16        // a delta so many times smaller than its data is not worth another attempt
	maxFastBase   = 512 << 10 // bytes of the largest base in which the compressor's fastest level finds what is unchanged
	maxWindow     = 16 << 20  // bytes that the compressor looks back at most
	dictionaryID  = 1         // of the base
	headBytes     = 1 + 8 + 8
	extraDecoding = 32 << 20 // bytes of memory that the decoder may use beyond its output
)

// Errors of Decode.
var (
	ErrWrongBase = errors.New("delta: encoded against another base")
	ErrCorrupt   = errors.New("delta: corrupt data")
)

// Encode returns a short encoding of data: relative to base, which may be nil, where that is a fraction of the data, and else
// the shortest of that, the compressed and the plain data.
func Encode(base, data []byte) []byte {
	if len(data) < minBytes {
		return append([]byte{formatPlain}, data...)
	}
	best := append([]byte{formatPlain}, data...)
	if len(base) >= minBytes {
		options := append(options(deltaLevel(base), len(base)+len(data)), zstd.WithEncoderDictRaw(dictionaryID, base))
		if b := compress(formatDelta, base, data, options); b != nil && len(b) < len(best) {
			best = b
		}
		if len(best) < len(data)/smallDelta {
			return best
		}
	}
	if b := compress(formatCompressed, nil, data, options(zstd.SpeedFastest, len(base)+len(data))); b != nil && len(b) < len(best) {
		best = b
	}
	return best
}

// deltaLevel returns the compressor's level for a delta. The fastest one remembers one place for each of its hashes, which
// later ones overwrite: from half a megabyte of keys on it finds less and less of the base. A base of many routes or tenants therefore takes
// a level that remembers more, with 8 MB of memory beside the base.
func deltaLevel(base []byte) zstd.EncoderLevel {
	if len(base) <= maxFastBase {
		return zstd.SpeedFastest
	}
	return zstd.SpeedBetterCompression
}

// options returns those of a compressor of a level whose window spans so many bytes.
func options(level zstd.EncoderLevel, span int) []zstd.EOption {
	return []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(level), zstd.WithWindowSize(window(span))}
}

// window returns the power of two that spans n bytes, within the bounds.
func window(n int) int {
	w := zstd.MinWindowSize
	for w < n && w < maxWindow {
		w *= 2
	}
	return w
}

// compress returns nil if the compressor cannot be made; another format then serves.
func compress(format byte, base, data []byte, options []zstd.EOption) []byte {
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil
	}
	defer func() { _ = e.Close() }() // EncodeAll leaves nothing to flush
	b := make([]byte, headBytes, headBytes+len(data)/4)
	b[0] = format
	binary.BigEndian.PutUint64(b[1:], xxhash.Sum64(base))
	binary.BigEndian.PutUint64(b[9:], xxhash.Sum64(data))
	return e.EncodeAll(data, b)
}

// Decode returns the data of an encoding, at most maxBytes of it. The data of formatPlain share memory with encoded. The
// error matches ErrWrongBase or ErrCorrupt.
func Decode(base, encoded []byte, maxBytes int) ([]byte, error) {
	if len(encoded) == 0 {
		return nil, ErrCorrupt
	}
	format := encoded[0]
	if format == formatPlain {
		if len(encoded)-1 > maxBytes {
			return nil, fmt.Errorf("%w: too long", ErrCorrupt)
		}
		return encoded[1:], nil
	}
	if format > formatDelta || len(encoded) < headBytes {
		return nil, ErrCorrupt
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxBytes) + extraDecoding)}
	if format == formatDelta {
		if binary.BigEndian.Uint64(encoded[1:]) != xxhash.Sum64(base) {
			return nil, ErrWrongBase
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	defer d.Close()
	data, err := d.DecodeAll(encoded[headBytes:], nil)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	case len(data) > maxBytes:
		return nil, fmt.Errorf("%w: too long", ErrCorrupt)
	case xxhash.Sum64(data) != binary.BigEndian.Uint64(encoded[9:]):
		return nil, fmt.Errorf("%w: wrong checksum", ErrCorrupt)
	}
	return data, nil
}
