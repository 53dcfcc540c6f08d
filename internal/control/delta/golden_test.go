package delta

import (
	"bytes"
	"fmt"
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenDeltas: each form has the bytes that it had. A newer compressor may write others; what is in the files must be read
// all the same.
func TestGoldenDeltas(t *testing.T) {
	text := func(version int) []byte {
		var b bytes.Buffer
		for i := range 40 {
			fmt.Fprintf(&b, "route %x timeout %d;", i*7919, 1000+version*(i/39))
		}
		return b.Bytes()
	}
	for _, c := range []struct {
		name       string
		form       byte
		base, text []byte
	}{
		{"plain", plain, nil, []byte("a short text")},
		{"empty", plain, nil, nil},
		{"compressed", packed, nil, text(2)},
		{"difference", upon, text(1), text(2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.Check(t, c.name+".hex", Encode(c.base, c.text))
			b := golden.Read(t, c.name+".hex")
			got, err := Decode(c.base, b, 1<<20)
			if err != nil || !bytes.Equal(got, c.text) || b[0] != c.form {
				t.Errorf("form %d: %q %v", b[0], got, err)
			}
		})
	}
}
