package encoding

import (
	"math"
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenPrimitives: the encoding of the primitives does not change.
func TestGoldenPrimitives(t *testing.T) {
	type parts struct {
		Uvarints []uint64
		Byte     byte
		Fixed64  uint64
		Bytes    []byte
		String   string
		Empty    string
	}
	value := parts{
		Uvarints: []uint64{0, 1, 127, 128, 300, 1<<32 - 1, math.MaxUint64}, Byte: 0xab, Fixed64: 0x0102030405060708,
		Bytes: []byte{0, 0xff}, String: "zone-ä",
	}
	golden.RoundTrip(t, "primitives.hex", value, func(p parts) []byte {
		w := Writer{}
		w.Uvarint(uint64(len(p.Uvarints)))
		for _, v := range p.Uvarints {
			w.Uvarint(v)
		}
		w.Byte(p.Byte)
		w.Fixed64(p.Fixed64)
		w.Bytes(p.Bytes)
		w.String(p.String)
		w.String(p.Empty)
		return w.Buf
	}, func(b []byte) (p parts, err error) {
		r := Reader{Buf: b}
		for range r.Length(100, 1) {
			p.Uvarints = append(p.Uvarints, r.Uvarint())
		}
		p.Byte, p.Fixed64, p.Bytes, p.String, p.Empty = r.Byte(), r.Fixed64(), r.Bytes(10), r.String(10), r.String(10)
		return p, r.Finish()
	})
}
