// Package delta encodes data relative to a base that the receiver already has. A configuration of thousands of routes changes in
// a few places at a time, so its delta is a small fraction of its size. The package keeps no state and does no I/O.
//
// An encoding begins with one byte for the format. formatPlain continues with the data. The compressed formats continue with the
// xxHash64 of the base and of the data, 8 bytes each, big-endian, followed by a Zstandard frame (RFC 8878). In formatDelta the base
// is the raw dictionary of the frame. The hashes detect a wrong base and corrupt data.
package delta

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

// Formats: the first byte of an encoding.
const (
	formatPlain      byte = iota // uncompressed data
	formatCompressed             // compressed without a base
	formatDelta                  // compressed with the base as a dictionary
)

const (
	minBytes        = 512       // smaller data is not compressed, and a smaller base is not used
	smallDeltaRatio = 16        // if data is this many times larger than its delta, no other format is tried
	maxFastBase     = 512 << 10 // bytes of the largest base for which the fastest compression level is used
	maxWindow       = 16 << 20  // bytes of the largest compression window
	dictionaryID    = 1         // identifies the base in a frame
	headerBytes     = 1 + 8 + 8 // format and two hashes
	decoderOverhead = 32 << 20  // bytes of memory that the decoder may use beyond its output
)

// Errors of Decode.
var (
	// ErrWrongBase means that the data was encoded relative to a different base.
	ErrWrongBase = errors.New("delta: encoded against another base")
	// ErrCorrupt means that the encoding is invalid or that the data is too long.
	ErrCorrupt = errors.New("delta: corrupt data")
)

// Encode returns a short encoding of data. It returns the delta to base if that is much smaller than data, and otherwise the
// shortest of the delta, the compressed data and the plain data. base may be nil.
func Encode(base, data []byte) []byte {
	if len(data) < minBytes {
		return append([]byte{formatPlain}, data...)
	}
	best := append([]byte{formatPlain}, data...)
	if len(base) >= minBytes {
		deltaOptions := append(encoderOptions(deltaLevel(base), len(base)+len(data)), zstd.WithEncoderDictRaw(dictionaryID, base))
		if b := compress(formatDelta, base, data, deltaOptions); b != nil && len(b) < len(best) {
			best = b
		}
		if len(best) < len(data)/smallDeltaRatio {
			return best
		}
	}
	if b := compress(formatCompressed, nil, data, encoderOptions(zstd.SpeedFastest, len(base)+len(data))); b != nil && len(b) < len(best) {
		best = b
	}
	return best
}

// deltaLevel returns the compression level of a delta. The fastest level stores only the latest position for each hash, so that it
// misses more and more matches in a base above maxFastBase. A larger base therefore uses a level that stores more positions, which
// needs 8 MB of additional memory.
func deltaLevel(base []byte) zstd.EncoderLevel {
	if len(base) <= maxFastBase {
		return zstd.SpeedFastest
	}
	return zstd.SpeedBetterCompression
}

// encoderOptions returns the options of an encoder with a level, whose window spans the given number of bytes.
func encoderOptions(level zstd.EncoderLevel, span int) []zstd.EOption {
	return []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(level), zstd.WithWindowSize(windowSize(span))}
}

// windowSize returns the smallest power of two that spans n bytes, from zstd.MinWindowSize to maxWindow.
func windowSize(n int) int {
	size := zstd.MinWindowSize
	for size < n && size < maxWindow {
		size *= 2
	}
	return size
}

// compress returns data in a compressed format. It returns nil if the encoder cannot be created; the caller then uses another
// format.
func compress(format byte, base, data []byte, options []zstd.EOption) []byte {
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil
	}
	defer func() { _ = e.Close() }() // EncodeAll leaves no data to flush
	b := make([]byte, headerBytes, headerBytes+len(data)/4)
	b[0] = format
	binary.BigEndian.PutUint64(b[1:], xxhash.Sum64(base))
	binary.BigEndian.PutUint64(b[9:], xxhash.Sum64(data))
	return e.EncodeAll(data, b)
}

// Decode returns the data of an encoding. It rejects data longer than maxBytes. The data of formatPlain shares memory with encoded.
// The error matches ErrWrongBase or ErrCorrupt.
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
	if format > formatDelta || len(encoded) < headerBytes {
		return nil, ErrCorrupt
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxBytes) + decoderOverhead)}
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
	data, err := d.DecodeAll(encoded[headerBytes:], nil)
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
