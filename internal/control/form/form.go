// Package form has the parts of the binary format that the fleet's processes speak and keep: numbers of variable length,
// bytes and words with bounded lengths. What a message or a record means is its owner's.
package form

import (
	"encoding/binary"
	"errors"
)

// ErrShort is a text that ends too soon, ErrLong one that holds more than it may.
var (
	ErrShort = errors.New("form: the text ends too soon")
	ErrLong  = errors.New("form: a length is above its bound")
	ErrRest  = errors.New("form: there is more than there should be")
)

// Writer puts a text together.
type Writer struct{ B []byte }

// Uint writes a number.
func (w *Writer) Uint(v uint64) { w.B = binary.AppendUvarint(w.B, v) }

// Byte writes a byte.
func (w *Writer) Byte(b byte) { w.B = append(w.B, b) }

// Word writes eight bytes, for hashes.
func (w *Writer) Word(v uint64) { w.B = binary.BigEndian.AppendUint64(w.B, v) }

// Bytes writes bytes with their length.
func (w *Writer) Bytes(b []byte) {
	w.Uint(uint64(len(b)))
	w.B = append(w.B, b...)
}

// String is Bytes of a string.
func (w *Writer) String(s string) {
	w.Uint(uint64(len(s)))
	w.B = append(w.B, s...)
}

// Reader takes a text apart. After its first error all that it returns is empty.
type Reader struct {
	B   []byte
	Err error
}

func (r *Reader) fail(err error) {
	if r.Err == nil {
		r.Err = err
	}
	r.B = nil
}

// Uint reads a number.
func (r *Reader) Uint() uint64 {
	v, n := binary.Uvarint(r.B)
	if n <= 0 {
		r.fail(ErrShort)
		return 0
	}
	r.B = r.B[n:]
	return v
}

// Byte reads a byte.
func (r *Reader) Byte() byte {
	if len(r.B) == 0 {
		r.fail(ErrShort)
		return 0
	}
	b := r.B[0]
	r.B = r.B[1:]
	return b
}

// Word reads eight bytes.
func (r *Reader) Word() uint64 {
	if len(r.B) < 8 {
		r.fail(ErrShort)
		return 0
	}
	v := binary.BigEndian.Uint64(r.B)
	r.B = r.B[8:]
	return v
}

// Bytes reads bytes of which there may be most. They are part of the text.
func (r *Reader) Bytes(most int) []byte {
	n := r.Uint()
	switch {
	case r.Err != nil:
		return nil
	case n > uint64(most):
		r.fail(ErrLong)
		return nil
	case n > uint64(len(r.B)):
		r.fail(ErrShort)
		return nil
	}
	b := r.B[:n:n]
	r.B = r.B[n:]
	return b
}

// String is Bytes as a string.
func (r *Reader) String(most int) string { return string(r.Bytes(most)) }

// Count reads how many things follow, of which there may be most and each takes least bytes.
func (r *Reader) Count(most, least int) int {
	n := r.Uint()
	switch {
	case r.Err != nil:
		return 0
	case n > uint64(most):
		r.fail(ErrLong)
		return 0
	case n*uint64(max(least, 1)) > uint64(len(r.B)):
		r.fail(ErrShort)
		return 0
	}
	return int(n)
}

// End returns the error there was, or that something is left.
func (r *Reader) End() error {
	if r.Err == nil && len(r.B) > 0 {
		return ErrRest
	}
	return r.Err
}
