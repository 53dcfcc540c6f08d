package upstream

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOverlongEventMakesTheStreamMalformed(t *testing.T) {
	// Memory is bounded whatever an endpoint sends, and an event without an end is never forwarded: before the first event it
	// would bind an attempt to noise, later a chunk of 3 GB would go on without end.
	events := eventReader{body: strings.NewReader("data: 1\n\ndata: " + strings.Repeat("x", 100) + "\n\n"), maxBytes: 64, buf: make([]byte, 0, 16)}
	var got []string
	var err error
	for err == nil {
		var part []byte
		part, err = events.next()
		got = append(got, string(part))
	}
	if diff := cmp.Diff([]string{"data: 1\n\n", ""}, got); diff != "" || !errors.Is(err, errMalformedResponse) {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}
