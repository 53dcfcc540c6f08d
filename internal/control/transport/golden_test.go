package transport

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenFrames: a call's frame, its answer's and that of a rejection have the bytes that they had.
func TestGoldenFrames(t *testing.T) {
	n := open(t, echo)
	c, err := net.Dial("tcp4", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, x := range []struct {
		name string
		kind uint8
		body string
	}{{"call", 3, "a body"}, {"call-empty", 255, ""}, {"call-rejected", 9, "a body"}} {
		var asked, answered bytes.Buffer
		if err := write(&asked, x.kind, []byte(x.body)); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, x.name+".hex", asked.Bytes())
		if _, err := c.Write(golden.Read(t, x.name+".hex")); err != nil {
			t.Fatal(err)
		}
		kind, body, err := read(io.TeeReader(c, &answered))
		if err != nil || (x.kind == 9) != (kind == 0) {
			t.Errorf("%s: kind %d, %q, %v", x.name, kind, body, err)
		}
		golden.Check(t, x.name+"-answer.hex", answered.Bytes())
	}
}
