package delta

import (
	"bytes"
	"fmt"
	"testing"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenDeltas checks that the encoding of each format does not change. A newer version of the compressor may write other
// bytes, but must still decode the files.
func TestGoldenDeltas(t *testing.T) {
	data := func(version int) []byte {
		var b bytes.Buffer
		for i := range 40 {
			fmt.Fprintf(&b, "route %x timeout %d;", i*7919, 1000+version*(i/39))
		}
		return b.Bytes()
	}
	for _, c := range []struct {
		name       string
		format     byte
		base, data []byte
	}{
		{"plain", formatPlain, nil, []byte("a short text")},
		{"empty", formatPlain, nil, nil},
		{"compressed", formatCompressed, nil, data(2)},
		{"difference", formatDelta, data(1), data(2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.Check(t, c.name+".hex", Encode(c.base, c.data))
			b := golden.Read(t, c.name+".hex")
			got, err := Decode(c.base, b, 1<<20)
			if err != nil || !bytes.Equal(got, c.data) || b[0] != c.format {
				t.Errorf("format %d, data %q, error %v", b[0], got, err)
			}
		})
	}
}
