package delta

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// many is a configuration of routes, as its encoding goes.
func many(routes, changed int) []byte {
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

func TestDifferencesAreShort(t *testing.T) {
	base, text := many(5000, -1), many(5000, 2500)
	alone, on := Encode(nil, text), Encode(base, text)
	t.Logf("%d bytes: %d alone, %d upon the one before", len(text), len(alone), len(on))
	if len(on) > len(text)/100 || len(alone) > len(text)/3 {
		t.Errorf("%d bytes: %d alone, %d upon the one before", len(text), len(alone), len(on))
	}
	for name, c := range map[string][2][]byte{"alone": {nil, alone}, "upon": {base, on}, "short": {base, Encode(base, []byte("x"))}} {
		got, err := Decode(c[0], c[1], len(text))
		if err != nil || !bytes.Equal(got, text) && name != "short" {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Decode(many(5000, 7), on, len(text)); !errors.Is(err, ErrWrongBase) {
		t.Errorf("upon another text: %v", err)
	}
	if _, err := Decode(base, on, len(text)-1); !errors.Is(err, ErrCorrupt) {
		t.Errorf("too long: %v", err)
	}
	on[len(on)-1] ^= 1
	if _, err := Decode(base, on, len(text)); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a flipped bit: %v", err)
	}
}

func TestWhatGoesInComesOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		text := append([]byte{}, base...)
		if n := len(text); n > 0 {
			at := rapid.IntRange(0, n-1).Draw(t, "at")
			text = append(text[:at], rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "more")...)
		}
		got, err := Decode(base, Encode(base, text), 1<<20)
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("%v: %d bytes became %d", err, len(text), len(got))
		}
	})
}

func FuzzDecode(f *testing.F) {
	base := many(20, -1)
	f.Add(Encode(base, many(20, 3)))
	f.Add(Encode(nil, many(20, 3)))
	f.Add([]byte{upon})
	f.Fuzz(func(t *testing.T, b []byte) {
		if text, err := Decode(base, b, 1<<16); err == nil && len(text) > 1<<16 {
			t.Error("longer than the most")
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	base, text := many(5000, -1), many(5000, 2500)
	b.ReportAllocs()
	for b.Loop() {
		Encode(base, text)
	}
}
