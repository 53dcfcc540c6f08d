package transport

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"notchhinge/internal/control/rpc"
	"notchhinge/internal/testutil/golden"
)

// TestGoldenFrames: the frames of a call, of its response and of an error keep their bytes.
func TestGoldenFrames(t *testing.T) {
	n := open(t, echo)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, x := range []struct {
		name string
		kind rpc.Kind
		body string
	}{{"call", 3, "a body"}, {"call-empty", 255, ""}, {"call-rejected", 9, "a body"}} {
		var asked, answered bytes.Buffer
		if err := writeFrame(&asked, x.kind, []byte(x.body)); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, x.name+".hex", asked.Bytes())
		if _, err := c.Write(golden.Read(t, x.name+".hex")); err != nil {
			t.Fatal(err)
		}
		kind, body, err := readFrame(io.TeeReader(c, &answered))
		if err != nil || (x.kind == 9) != (kind == 0) {
			t.Errorf("%s: kind %d, %q, %v", x.name, kind, body, err)
		}
		golden.Check(t, x.name+"-answer.hex", answered.Bytes())
	}
}
