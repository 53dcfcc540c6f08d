// Package encoding reads and writes the primitives of the binary format that processes of the fleet exchange and store:
// integers, byte strings and list lengths. What a message or a record is made of is defined by its owner, which writes the
// fields one after another and reads them back in the same order.
//
// A byte is one byte; Fixed32 and Fixed64 are 4 and 8 bytes, big-endian; Uvarint is as in package encoding/binary; Bytes and String are their
// length as a Uvarint and the bytes.
//
// Input is not trusted. Each read of variable length takes a bound, and a length that the rest of the input cannot hold is
// rejected before anything is allocated for it.
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

// UvarintBytes returns how many bytes Uvarint writes for v: one for each 7 bits.
func UvarintBytes(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// Byte writes one byte.
func (w *Writer) Byte(b byte) { w.Buf = append(w.Buf, b) }

// Fixed64 writes 8 bytes, for random ids and hashes.
func (w *Writer) Fixed64(v uint64) { w.Buf = binary.BigEndian.AppendUint64(w.Buf, v) }

// Fixed32 writes 4 bytes, for short hashes.
func (w *Writer) Fixed32(v uint32) { w.Buf = binary.BigEndian.AppendUint32(w.Buf, v) }

// Bytes writes a length and the bytes.
func (w *Writer) Bytes(b []byte) {
	w.Uvarint(uint64(len(b)))
	w.Buf = append(w.Buf, b...)
}

// String writes a string as Bytes does.
func (w *Writer) String(s string) {
	w.Uvarint(uint64(len(s)))
	w.Buf = append(w.Buf, s...)
}

// Reader takes values off the front of Buf. The first error stays in Err and ends the input: all later reads return zero
// values. A caller therefore reads all fields and looks at the error once, at the end (Finish).
type Reader struct {
	Buf []byte
	Err error
}

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

// Length reads the length of a list of at most maxItems items, each of which takes at least minItemBytes bytes.
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
