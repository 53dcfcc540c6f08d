// Package encoding has the parts of the binary format that the fleet's processes speak and keep: numbers of variable length,
// bytes and words with bounded lengths. What a message or a record means is its owner's.
package encoding

import (
	"encoding/binary"
	"errors"
)

// ErrTruncated is a text that ends too soon, ErrLong one that holds more than it may.
var (
	ErrTruncated     = errors.New("form: the text ends too soon")
	ErrTooLong       = errors.New("form: a length is above its bound")
	ErrTrailingBytes = errors.New("form: there is more than there should be")
)

// Writer puts a text together.
type Writer struct{ Buf []byte }

// Uvarint writes a number.
func (w *Writer) Uvarint(v uint64) { w.Buf = binary.AppendUvarint(w.Buf, v) }

// Byte writes a byte.
func (w *Writer) Byte(b byte) { w.Buf = append(w.Buf, b) }

// Fixed64 writes eight bytes, for hashes.
func (w *Writer) Fixed64(v uint64) { w.Buf = binary.BigEndian.AppendUint64(w.Buf, v) }

// Bytes writes bytes with their length.
func (w *Writer) Bytes(b []byte) {
	w.Uvarint(uint64(len(b)))
	w.Buf = append(w.Buf, b...)
}

// String is Bytes of a string.
func (w *Writer) String(s string) {
	w.Uvarint(uint64(len(s)))
	w.Buf = append(w.Buf, s...)
}

// Reader takes a text apart. After its first error all that it returns is empty.
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

// Uvarint reads a number.
func (r *Reader) Uvarint() uint64 {
	v, n := binary.Uvarint(r.Buf)
	if n <= 0 {
		r.fail(ErrTruncated)
		return 0
	}
	r.Buf = r.Buf[n:]
	return v
}

// Byte reads a byte.
func (r *Reader) Byte() byte {
	if len(r.Buf) == 0 {
		r.fail(ErrTruncated)
		return 0
	}
	b := r.Buf[0]
	r.Buf = r.Buf[1:]
	return b
}

// Fixed64 reads eight bytes.
func (r *Reader) Fixed64() uint64 {
	if len(r.Buf) < 8 {
		r.fail(ErrTruncated)
		return 0
	}
	v := binary.BigEndian.Uint64(r.Buf)
	r.Buf = r.Buf[8:]
	return v
}

// Bytes reads bytes of which there may be most. They are part of the text.
func (r *Reader) Bytes(most int) []byte {
	n := r.Uvarint()
	switch {
	case r.Err != nil:
		return nil
	case n > uint64(most):
		r.fail(ErrTooLong)
		return nil
	case n > uint64(len(r.Buf)):
		r.fail(ErrTruncated)
		return nil
	}
	b := r.Buf[:n:n]
	r.Buf = r.Buf[n:]
	return b
}

// String is Bytes as a string.
func (r *Reader) String(most int) string { return string(r.Bytes(most)) }

// Length reads how many things follow, of which there may be most and each takes least bytes.
func (r *Reader) Length(most, least int) int {
	n := r.Uvarint()
	switch {
	case r.Err != nil:
		return 0
	case n > uint64(most):
		r.fail(ErrTooLong)
		return 0
	case n*uint64(max(least, 1)) > uint64(len(r.Buf)):
		r.fail(ErrTruncated)
		return 0
	}
	return int(n)
}

// Finish returns the error there was, or that something is left.
func (r *Reader) Finish() error {
	if r.Err == nil && len(r.Buf) > 0 {
		return ErrTrailingBytes
	}
	return r.Err
}
