package encoding

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestValuesSurviveARoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, f, b := rapid.Uint64().Draw(t, "uvarint"), rapid.Uint64().Draw(t, "fixed64"), rapid.Byte().Draw(t, "byte")
		s := rapid.String().Draw(t, "string")
		w := Writer{}
		w.Uvarint(u)
		w.Fixed64(f)
		w.Byte(b)
		w.String(s)
		r := Reader{Buf: w.Buf}
		if gu, gf, gb, gs := r.Uvarint(), r.Fixed64(), r.Byte(), r.String(len(s)); gu != u || gf != f || gb != b || gs != s {
			t.Errorf("read %d, %d, %d, %q, not what was written", gu, gf, gb, gs)
		}
		if err := r.Finish(); err != nil {
			t.Error(err)
		}
	})
}

func TestReaderRejects(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		read func(*Reader)
		want error
	}{
		"an integer without an end":             {[]byte{0x80}, func(r *Reader) { r.Uvarint() }, ErrTruncated},
		"a short fixed integer":                 {[]byte{1, 2}, func(r *Reader) { r.Fixed64() }, ErrTruncated},
		"bytes above their bound":               {[]byte{3, 1, 2, 3}, func(r *Reader) { r.Bytes(2) }, ErrTooLong},
		"fewer bytes than announced":            {[]byte{3, 1, 2}, func(r *Reader) { r.Bytes(8) }, ErrTruncated},
		"a list above its bound":                {[]byte{9, 0, 0}, func(r *Reader) { r.Length(8, 1) }, ErrTooLong},
		"a list that the input cannot hold":     {[]byte{4, 0, 0, 0}, func(r *Reader) { r.Length(8, 1) }, ErrTruncated},
		"items larger than the input can hold":  {[]byte{2, 0, 0, 0}, func(r *Reader) { r.Length(8, 2) }, ErrTruncated},
		"input that is left over":               {[]byte{1, 2}, func(r *Reader) { r.Byte() }, ErrTrailingBytes},
		"the first error, whatever comes after": {[]byte{9, 1}, func(r *Reader) { r.Bytes(2); r.Byte(); r.Fixed64() }, ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			r := Reader{Buf: c.in}
			c.read(&r)
			if err := r.Finish(); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}
