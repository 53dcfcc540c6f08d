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

// TestGoldenFrames: the encoding of calls, responses and errors does not change.
func TestGoldenFrames(t *testing.T) {
	n := open(t, echo)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, tc := range []struct {
		name string
		kind rpc.Kind
		body string
	}{{"call", 3, "a body"}, {"call-empty", 255, ""}, {"call-rejected", 9, "a body"}} {
		var call, response bytes.Buffer
		if err := writeFrame(&call, tc.kind, []byte(tc.body)); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, tc.name+".hex", call.Bytes())
		if _, err := c.Write(golden.Read(t, tc.name+".hex")); err != nil {
			t.Fatal(err)
		}
		kind, body, err := readFrame(io.TeeReader(c, &response))
		if err != nil || (tc.kind == 9) != (kind == 0) {
			t.Errorf("%s: kind %d, %q, %v", tc.name, kind, body, err)
		}
		golden.Check(t, tc.name+"-answer.hex", response.Bytes())
	}
}
