// Package encoding reads and writes the primitives of the binary format in which processes of the fleet exchange and store
// data: integers, byte strings and list lengths. The packages that define messages and records write their fields one after
// another and read them in the same order.
//
// Byte takes one byte; Fixed32 and Fixed64 take 4 and 8 bytes, big-endian; Uvarint has the format of package encoding/binary;
// Bytes and String are a length as a Uvarint, followed by the bytes.
//
// A Reader accepts untrusted input. Each read of variable length has a bound, and a length that exceeds the rest of the input
// is rejected before memory is allocated for it.
package encoding

import (
	"encoding/binary"
	"errors"
	"math/bits"
)

// Errors of a Reader.
var (
	ErrTruncated     = errors.New("encoding: input is truncated")
	ErrTooLong       = errors.New("encoding: length above its bound")
	ErrTrailingBytes = errors.New("encoding: trailing bytes")
)

// Writer appends values to Buf. Its zero value is ready for use.
type Writer struct{ Buf []byte }

// Uvarint writes an unsigned integer of variable length.
func (w *Writer) Uvarint(v uint64) { w.Buf = binary.AppendUvarint(w.Buf, v) }

// UvarintBytes returns the number of bytes that Uvarint writes for v: one for each 7 bits.
func UvarintBytes(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// Byte writes one byte.
func (w *Writer) Byte(b byte) { w.Buf = append(w.Buf, b) }

// Fixed64 writes 8 bytes, for random ids and hashes.
func (w *Writer) Fixed64(v uint64) { w.Buf = binary.BigEndian.AppendUint64(w.Buf, v) }

// Fixed32 writes 4 bytes, for short hashes.
func (w *Writer) Fixed32(v uint32) { w.Buf = binary.BigEndian.AppendUint32(w.Buf, v) }

// Bytes writes the length of b and its bytes.
func (w *Writer) Bytes(b []byte) {
	w.Uvarint(uint64(len(b)))
	w.Buf = append(w.Buf, b...)
}

// String writes the length of s and its bytes.
func (w *Writer) String(s string) {
	w.Uvarint(uint64(len(s)))
	w.Buf = append(w.Buf, s...)
}

// Reader reads values from the front of Buf. After the first error, which is kept in Err, all reads return zero values.
// A caller can therefore read all fields and check for an error once, with Finish.
type Reader struct {
	Buf []byte
	Err error
}

// fail records the first error and discards the rest of the input.
func (r *Reader) fail(err error) {
	if r.Err == nil {
		r.Err = err
	}
	r.Buf = nil
}

// Uvarint reads an unsigned integer of variable length.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.Buf)
	if n <= 0 {
		r.fail(ErrTruncated)
		return 0
	}
	r.Buf = r.Buf[n:]
	return v
}

// Byte reads one byte.
func (r *Reader) Byte() byte {
	if len(r.Buf) == 0 {
		r.fail(ErrTruncated)
		return 0
	}
	b := r.Buf[0]
	r.Buf = r.Buf[1:]
	return b
}

// Fixed64 reads 8 bytes.
func (r *Reader) Fixed64() uint64 {
	if len(r.Buf) < 8 {
		r.fail(ErrTruncated)
		return 0
	}
	v := binary.BigEndian.Uint64(r.Buf)
	r.Buf = r.Buf[8:]
	return v
}

// Fixed32 reads 4 bytes.
func (r *Reader) Fixed32() uint32 {
	if len(r.Buf) < 4 {
		r.fail(ErrTruncated)
		return 0
	}
	v := binary.BigEndian.Uint32(r.Buf)
	r.Buf = r.Buf[4:]
	return v
}

// Bytes reads at most maxBytes bytes. They share memory with Buf.
func (r *Reader) Bytes(maxBytes int) []byte {
	n := r.Length(maxBytes, 1)
	if r.Err != nil {
		return nil
	}
	b := r.Buf[:n:n]
	r.Buf = r.Buf[n:]
	return b
}

// String reads a string of at most maxBytes bytes.
func (r *Reader) String(maxBytes int) string { return string(r.Bytes(maxBytes)) }

// Length reads the length of a list of at most maxItems items, each encoded in at least minItemBytes bytes.
func (r *Reader) Length(maxItems, minItemBytes int) int {
	n := r.Uvarint()
	switch {
	case r.Err != nil:
		return 0
	case n > uint64(maxItems):
		r.fail(ErrTooLong)
		return 0
	case n*uint64(max(minItemBytes, 1)) > uint64(len(r.Buf)):
		r.fail(ErrTruncated)
		return 0
	}
	return int(n)
}

// Finish returns the first error, or ErrTrailingBytes if input is left.
func (r *Reader) Finish() error {
	if r.Err == nil && len(r.Buf) > 0 {
		return ErrTrailingBytes
	}
	return r.Err
}
