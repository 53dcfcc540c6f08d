package configcache

import (
	"bytes"
	"fmt"
	"testing"
)

func TestDifferencesOfConfigurations(t *testing.T) {
	text := func(v int) []byte {
		var b bytes.Buffer
		for i := range 2000 {
			fmt.Fprintf(&b, "route %x timeout %d;", i*7919, 1000+v*(i/1999))
		}
		return b.Bytes()
	}
	var from, to Cache
	for v := range 6 {
		from.Add(uint64(10*v+10), text(v))
	}
	for has, most := range map[uint64]int{0: 30000, 50: 500, 30: 500, 10: 30000, 7: 30000} { // 10 is kept no more, and 7 never was
		had := []byte(nil)
		if has >= 10 {
			had = text(int(has/10 - 1))
		}
		b := from.EncodeReply(has)
		place, got, err := to.DecodeReply(b, had)
		if err != nil || place != 60 || !bytes.Equal(got, text(5)) || len(b) > most {
			t.Errorf("who has %d: place %d, %d bytes on the way, %v", has, place, len(b), err)
		}
	}
	if place, got, err := to.DecodeReply(from.EncodeReply(60), text(5)); place != 0 || got != nil || err != nil {
		t.Errorf("who has the newest: %d %d %v", place, len(got), err)
	}
	if place, _ := to.Newest(); place != 0 {
		t.Error("nothing was held")
	}
	if _, _, err := to.DecodeReply(from.EncodeReply(50), text(1)); err == nil {
		t.Error("upon another text")
	}
}
