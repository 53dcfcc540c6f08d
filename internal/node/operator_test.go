package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// controlRequest is a call to a control address.
type controlRequest struct {
	method, path string
	header       map[string]string
	body         any // []byte, or a value to be encoded as CBOR; nil = none
}

// encodedBody returns the bytes of the body.
func (r *controlRequest) encodedBody() ([]byte, error) {
	switch b := r.body.(type) {
	case nil:
		return nil, nil
	case []byte:
		return b, nil
	default:
		return cbor.Marshal(b)
	}
}

// controlCall sends a call to a control address. The status is 0 if the call gets no response.
func controlCall(t *testing.T, to string, r controlRequest) (status int, body []byte) {
	t.Helper()
	requestBody, err := r.encodedBody()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+to+r.path, bytes.NewReader(requestBody))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, _ = io.ReadAll(resp.Body)
	return resp.StatusCode, body
}

// encodedConfig returns a configuration with a streaming and an idempotent route to service s, and one tenant with an API key.
func encodedConfig(revision int, key string) []byte {
	mode, err := cbor.CanonicalEncOptions().EncMode() // the same bytes every time
	if err != nil {
		return nil
	}
	b, err := mode.Marshal(map[string]any{
		"revision": revision,
		"routes": []any{
			map[string]any{
				"name": "chat", "hostname": "f.example", "path_prefix": "/chat/", "route_type": "streaming", "timeout_ms": 5000,
				"target_latency_ms": 500, "target_service": "s", "max_attempts": 2, "session_affinity": true,
			},
			map[string]any{
				"name": "read", "hostname": "f.example", "path_prefix": "/read/", "route_type": "idempotent", "timeout_ms": 3000,
				"target_latency_ms": 500, "target_service": "s", "max_attempts": 3,
			},
		},
		"services": []any{map[string]any{"name": "s", "health_path": "/h"}},
		"tenants":  []any{map[string]any{"name": "lab", "api_keys": []any{key}}},
	})
	if err != nil {
		return nil
	}
	return b
}

// tryReplaceConfig submits a configuration once.
func tryReplaceConfig(t *testing.T, to string, base int, encoded []byte) (code int) {
	t.Helper()
	code, _ = controlCall(t, to, controlRequest{
		method: http.MethodPost, path: "/Configuration.Replace", header: map[string]string{"X-Revision-Match": strconv.Itoa(base)}, body: encoded,
	})
	return code
}

// replaceConfig submits a configuration until the outcome is definite: any response with a status below 500.
func replaceConfig(t *testing.T, to string, base int, encoded []byte) (code int) {
	t.Helper()
	waitUntil(t, "a final answer to a configuration", func() bool {
		code = tryReplaceConfig(t, to, base, encoded)
		return code != 0 && code < 500
	})
	return code
}
