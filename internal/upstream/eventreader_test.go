package upstream

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOverlongEventMakesTheStreamMalformed(t *testing.T) {
	// The reader bounds its memory and never forwards an event without an end. Otherwise an endpoint that sends no valid event
	// could bind its attempt, and an endless chunk would be forwarded forever.
	events := eventReader{body: strings.NewReader("data: 1\n\ndata: " + strings.Repeat("x", 100) + "\n\n"), maxBytes: 64, buf: make([]byte, 0, 16)}
	var got []string
	var err error
	for err == nil {
		var part []byte
		part, err = events.next()
		got = append(got, string(part))
	}
	if diff := cmp.Diff([]string{"data: 1\n\n", ""}, got); diff != "" || !errors.Is(err, errMalformedResponse) {
		t.Errorf("error %v; events (-want +got):\n%s", err, diff)
	}
}
