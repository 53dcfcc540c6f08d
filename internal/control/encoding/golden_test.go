package encoding

import (
	"math"
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenPrimitives: the parts of which every message and record is made have the bytes that they had.
func TestGoldenPrimitives(t *testing.T) {
	type parts struct {
		Uints  []uint64
		Byte   byte
		Word   uint64
		Bytes  []byte
		String string
		Empty  string
	}
	value := parts{
		Uints: []uint64{0, 1, 127, 128, 300, 1<<32 - 1, math.MaxUint64}, Byte: 0xab, Word: 0x0102030405060708,
		Bytes: []byte{0, 0xff}, String: "zone-ä",
	}
	golden.RoundTrip(t, "primitives.hex", value, func(p parts) []byte {
		w := Writer{}
		w.Uvarint(uint64(len(p.Uints)))
		for _, v := range p.Uints {
			w.Uvarint(v)
		}
		w.Byte(p.Byte)
		w.Fixed64(p.Word)
		w.Bytes(p.Bytes)
		w.String(p.String)
		w.String(p.Empty)
		return w.Buf
	}, func(b []byte) (p parts, err error) {
		r := Reader{Buf: b}
		for range r.Length(100, 1) {
			p.Uints = append(p.Uints, r.Uvarint())
		}
		p.Byte, p.Word, p.Bytes, p.String, p.Empty = r.Byte(), r.Fixed64(), r.Bytes(10), r.String(10), r.String(10)
		return p, r.Finish()
	})
}
