package main

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
)

// encodeCBOR returns the CBOR encoding (RFC 8949) of a value made of maps with text keys, slices, texts, integers, floats and
// booleans. Keys are sorted, so that equal values have equal encodings.
func encodeCBOR(v any) []byte { return appendCBOR(nil, v) }

func appendCBOR(b []byte, v any) []byte {
	switch v := v.(type) {
	case map[string]any:
		b = appendHead(b, 5, uint64(len(v)))
		for _, key := range slices.Sorted(maps.Keys(v)) {
			b = appendCBOR(appendCBOR(b, key), v[key])
		}
		return b
	case []any:
		b = appendHead(b, 4, uint64(len(v)))
		for _, item := range v {
			b = appendCBOR(b, item)
		}
		return b
	case []string:
		b = appendHead(b, 4, uint64(len(v)))
		for _, item := range v {
			b = appendCBOR(b, item)
		}
		return b
	case string:
		return append(appendHead(b, 3, uint64(len(v))), v...)
	case int:
		if v < 0 {
			return appendHead(b, 1, uint64(-1-v))
		}
		return appendHead(b, 0, uint64(v))
	case float64:
		return binary.BigEndian.AppendUint64(append(b, 0xfb), math.Float64bits(v))
	case bool:
		if v {
			return append(b, 0xf5)
		}
		return append(b, 0xf4)
	}
	panic(fmt.Sprintf("cbor: unsupported type %T", v))
}

// appendHead appends the head of a data item: its major type and its argument.
func appendHead(b []byte, major byte, n uint64) []byte {
	major <<= 5
	switch {
	case n < 24:
		return append(b, major|byte(n))
	case n <= math.MaxUint8:
		return append(b, major|24, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, major|25), uint16(n))
	case n <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, major|26), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, major|27), n)
}

// textValue returns the text value of a key in an encoded map of texts, as in the answer to a heartbeat; "" = none.
func textValue(b []byte, key string) string {
	encodedKey := encodeCBOR(key)
	for i := 0; i+len(encodedKey) < len(b); i++ {
		if string(b[i:i+len(encodedKey)]) != string(encodedKey) {
			continue
		}
		rest := b[i+len(encodedKey):]
		switch n := int(rest[0]); {
		case n >= 0x60 && n < 0x78 && len(rest) > n-0x60:
			return string(rest[1 : 1+n-0x60])
		case n == 0x78 && len(rest) > 1 && len(rest) >= 2+int(rest[1]):
			return string(rest[2 : 2+int(rest[1])])
		}
	}
	return ""
}
