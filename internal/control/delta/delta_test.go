package delta

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// routesConfig returns a text about as long as an encoded configuration with a number of routes. The route at the index changed has
// a different timeout; -1 = none has.
func routesConfig(routes, changed int) []byte {
	var b bytes.Buffer
	for i := range routes {
		timeout := 12000
		if i == changed {
			timeout = 9000
		}
		fmt.Fprintf(&b, "dname%x hostname h%x.example path_prefix /p%x/ route_type streaming timeout_ms %d target_service s%d max_attempts 2;",
			i*7919, i*31337, i*101, timeout, i%9)
	}
	return b.Bytes()
}

func TestDeltaIsAFractionOfTheData(t *testing.T) {
	base, data := routesConfig(5000, -1), routesConfig(5000, 2500)
	compressed, delta := Encode(nil, data), Encode(base, data)
	t.Logf("%d bytes: %d compressed, %d as a delta", len(data), len(compressed), len(delta))
	if len(delta) > len(data)/100 || len(compressed) > len(data)/3 {
		t.Errorf("%d bytes: %d compressed, %d as a delta", len(data), len(compressed), len(delta))
	}
}

// TestDeltaOfManyTenantsIsAFractionOfTheData guards against a compression level that misses matches in a large base.
func TestDeltaOfManyTenantsIsAFractionOfTheData(t *testing.T) {
	const maxDeltaBytes = 1000
	for _, tenants := range []int{100, 4600, 9200, 14_000, 28_000} {
		for _, changed := range []int{0, tenants / 3, tenants - 1} {
			base, data := tenantsConfig(tenants, -1), tenantsConfig(tenants, changed)
			delta := Encode(base, data)
			if got, err := Decode(base, delta, len(data)); len(delta) > maxDeltaBytes || err != nil || !bytes.Equal(got, data) {
				t.Errorf("tenant %d of %d: %d bytes of %d, %v", changed, tenants, len(delta), len(data), err)
			}
		}
	}
}

func TestDecodeReturnsTheData(t *testing.T) {
	base, data := routesConfig(5000, -1), routesConfig(5000, 2500)
	for name, c := range map[string]struct{ base, data []byte }{
		"compressed": {nil, data}, "delta": {base, data}, "plain": {base, []byte("x")}, "empty": {nil, nil},
	} {
		got, err := Decode(c.base, Encode(c.base, c.data), len(data))
		if err != nil || !bytes.Equal(got, c.data) {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
	}
}

func TestDecodeRejects(t *testing.T) {
	base, data := routesConfig(5000, -1), routesConfig(5000, 2500)
	delta := Encode(base, data)
	flipped := bytes.Clone(delta)
	flipped[len(flipped)-1] ^= 1
	for name, c := range map[string]struct {
		base, encoded []byte
		maxBytes      int
		want          error
	}{
		"another base":        {routesConfig(5000, 7), delta, len(data), ErrWrongBase},
		"data too long":       {base, delta, len(data) - 1, ErrCorrupt},
		"plain data too long": {nil, Encode(nil, []byte("four")), 3, ErrCorrupt},
		"a flipped bit":       {base, flipped, len(data), ErrCorrupt},
		"nothing":             {nil, nil, 1, ErrCorrupt},
		"an unknown format":   {nil, []byte{formatDelta + 1}, 1, ErrCorrupt},
		"truncated header":    {base, delta[:headerBytes-1], len(data), ErrCorrupt},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(c.base, c.encoded, c.maxBytes); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		data := append([]byte{}, base...)
		if n := len(data); n > 0 {
			at := rapid.IntRange(0, n-1).Draw(t, "at")
			data = append(data[:at], rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "more")...)
		}
		got, err := Decode(base, Encode(base, data), 1<<20)
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("error %v: %d bytes encoded, %d decoded", err, len(data), len(got))
		}
	})
}

func FuzzDecode(f *testing.F) {
	const maxBytes = 1 << 16
	base := routesConfig(20, -1)
	f.Add(Encode(base, routesConfig(20, 3)))
	f.Add(Encode(nil, routesConfig(20, 3)))
	f.Add([]byte{formatDelta})
	f.Fuzz(func(t *testing.T, b []byte) {
		if data, err := Decode(base, b, maxBytes); err == nil && len(data) > maxBytes {
			t.Errorf("%d bytes decoded, more than maxBytes", len(data))
		}
	})
}
