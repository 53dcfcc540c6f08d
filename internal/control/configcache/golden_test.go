package configcache

import (
	"bytes"
	"fmt"
	"testing"

	"notchhinge/internal/control/replica"
	"notchhinge/internal/control/rpc"
	"notchhinge/internal/testutil/golden"
)

// goldenText returns a configuration. Two versions differ in one number.
func goldenText(version int) []byte {
	var b bytes.Buffer
	for i := range 40 {
		fmt.Fprintf(&b, "route %x timeout %d;", i*7919, 1000+version*(i/39))
	}
	return b.Bytes()
}

// TestGoldenReplies checks that encoded replies do not change, and that they are decoded to the same configurations.
func TestGoldenReplies(t *testing.T) {
	golden.Equal(t, "kind of the call", rpc.Kind(5), rpc.KindFetchConfig)
	var cache Cache
	golden.Check(t, "answer-none.hex", cache.EncodeReply(0))
	cache.Add(10, []byte("a short text"))
	golden.Check(t, "answer-short.hex", cache.EncodeReply(0))
	cache.Add(20, goldenText(1))
	cache.Add(300, goldenText(2))
	for _, c := range []struct {
		name      string
		peerIndex uint64
		base      []byte
	}{{"compressed", 0, nil}, {"difference", 20, goldenText(1)}} {
		golden.Check(t, "answer-"+c.name+".hex", cache.EncodeReply(c.peerIndex))
		index, text, err := DecodeReply(golden.Read(t, "answer-"+c.name+".hex"), c.base)
		if err != nil || index != 300 || !bytes.Equal(text, goldenText(2)) {
			t.Errorf("%s: index %d, text %q, error %v", c.name, index, text, err)
		}
	}
	index, text, err := DecodeReply(golden.Read(t, "answer-short.hex"), nil)
	if err != nil || index != 10 || string(text) != "a short text" {
		t.Errorf("short: index %d, text %q, error %v", index, text, err)
	}
	golden.Check(t, "answer-none.hex", cache.EncodeReply(300))
	golden.Check(t, "request.hex", replica.EncodeIndexed(20, nil))
}
