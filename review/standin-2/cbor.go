package main

import (
	"encoding/binary"
	"errors"
	"math"
	"sort"
)

// encodeCBOR encodes maps with text keys, lists, texts, byte strings, whole numbers, fractions and booleans (RFC 8949).
func encodeCBOR(v any) []byte {
	switch v := v.(type) {
	case map[string]any:
		b := cborHead(5, uint64(len(v)))
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			b = append(append(b, encodeCBOR(k)...), encodeCBOR(v[k])...)
		}
		return b
	case []any:
		b := cborHead(4, uint64(len(v)))
		for _, e := range v {
			b = append(b, encodeCBOR(e)...)
		}
		return b
	case string:
		return append(cborHead(3, uint64(len(v))), v...)
	case []byte:
		return append(cborHead(2, uint64(len(v))), v...)
	case int:
		if v < 0 {
			return cborHead(1, uint64(-1-v))
		}
		return cborHead(0, uint64(v))
	case uint64:
		return cborHead(0, v)
	case float64:
		return binary.BigEndian.AppendUint64([]byte{0xfb}, math.Float64bits(v))
	case bool:
		if v {
			return []byte{0xf5}
		}
		return []byte{0xf4}
	}
	return []byte{0xf6}
}

func cborHead(major byte, n uint64) []byte {
	major <<= 5
	switch {
	case n < 24:
		return []byte{major | byte(n)}
	case n < 1<<8:
		return []byte{major | 24, byte(n)}
	case n < 1<<16:
		return binary.BigEndian.AppendUint16([]byte{major | 25}, uint16(n))
	case n < 1<<32:
		return binary.BigEndian.AppendUint32([]byte{major | 26}, uint32(n))
	}
	return binary.BigEndian.AppendUint64([]byte{major | 27}, n)
}

var errCBOR = errors.New("malformed CBOR")

// decodeCBOR decodes what encodeCBOR can encode, with definite lengths.
func decodeCBOR(b []byte) (any, error) {
	v, rest, err := decodeItem(b)
	if err == nil && len(rest) > 0 {
		err = errCBOR
	}
	return v, err
}

func decodeItem(b []byte) (v any, rest []byte, err error) {
	if len(b) == 0 {
		return nil, nil, errCBOR
	}
	major, info := b[0]>>5, b[0]&31
	b = b[1:]
	var n uint64
	size := 0
	switch {
	case info < 24:
		n = uint64(info)
	case info <= 27:
		size = 1 << (info - 24)
	default:
		return nil, nil, errCBOR
	}
	if len(b) < size {
		return nil, nil, errCBOR
	}
	for _, c := range b[:size] {
		n = n<<8 | uint64(c)
	}
	b = b[size:]
	switch major {
	case 0:
		return n, b, nil
	case 1:
		return -1 - int64(n), b, nil
	case 2, 3:
		if uint64(len(b)) < n {
			return nil, nil, errCBOR
		}
		if major == 2 {
			return b[:n], b[n:], nil
		}
		return string(b[:n]), b[n:], nil
	case 4:
		list := []any{}
		for range n {
			var e any
			if e, b, err = decodeItem(b); err != nil {
				return nil, nil, err
			}
			list = append(list, e)
		}
		return list, b, nil
	case 5:
		m := map[string]any{}
		for range n {
			var k, e any
			if k, b, err = decodeItem(b); err != nil {
				return nil, nil, err
			}
			if e, b, err = decodeItem(b); err != nil {
				return nil, nil, err
			}
			if s, ok := k.(string); ok {
				m[s] = e
			}
		}
		return m, b, nil
	case 7:
		switch info {
		case 20, 21:
			return info == 21, b, nil
		case 26:
			return float64(math.Float32frombits(uint32(n))), b, nil
		case 27:
			return math.Float64frombits(n), b, nil
		}
		return nil, b, nil
	}
	return nil, nil, errCBOR
}
