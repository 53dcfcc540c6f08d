package cloudapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/testutil/golden"
)

// TestGoldenCalls: the calls keep their method, path, headers and body. The order of a body's keys may change.
func TestGoldenCalls(t *testing.T) {
	type call struct {
		Method, Path, Holder, FencingToken, ContentType string
		Body                                            map[string]any
	}
	var got []call
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c := call{Method: r.Method, Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder"), FencingToken: r.Header.Get("X-Fence-Token"), ContentType: r.Header.Get("Content-Type")}
		if b, err := io.ReadAll(r.Body); err != nil || cbor.Unmarshal(b, &c.Body) != nil {
			t.Errorf("%x: %v", b, err)
		}
		got = append(got, c)
	}))
	t.Cleanup(server.Close)
	c := New(strings.TrimPrefix(server.URL, "http://"), "k-1")
	for _, makeCall := range []func(context.Context) error{
		func(ctx context.Context) error {
			return c.ReportUsage(ctx, 300, 352_800_000, map[string]uint64{"lab": 7})
		},
		func(ctx context.Context) error {
			return c.ScaleEngines(ctx, 300, Target{Service: "scribe", Zone: "a", Engines: 12})
		},
	} {
		if err := makeCall(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	golden.Equal(t, "calls", []call{
		{
			"POST", "/usage-reports", "k-1", "300", "application/cbor",
			map[string]any{"window_number": uint64(352_800_000), "counts": map[any]any{"lab": uint64(7)}},
		},
		{
			"POST", "/scaling", "k-1", "300", "application/cbor",
			map[string]any{"target_service": "scribe", "zone": "a", "desired_count": uint64(12)},
		},
	}, got)
}
