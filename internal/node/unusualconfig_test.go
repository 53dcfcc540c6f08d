package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"notchhinge/internal/control/fleetconfig"
)

// unusualConfig returns a valid configuration such as operators seldom send: entries of the same name, a split that names its
// service twice, very small weights, and hosts and prefixes in unusual forms.
func unusualConfig(revision int, key string) map[string]any {
	route := func(prefix string) map[string]any {
		return map[string]any{
			"name": prefix, "hostname": "f.example", "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": 3000,
			"target_latency_ms": 500, "target_service": "s", "max_attempts": 3,
		}
	}
	split := route("/read/")
	delete(split, "target_service")
	split["traffic_split"] = []any{
		map[string]any{"target_service": "s", "weight": 1e-310},
		map[string]any{"target_service": "s", "weight": 1e-310},
		map[string]any{"target_service": "none yet", "weight": 0},
	}
	otherHost := route("/read/")
	otherHost["hostname"] = "f.example:8080"
	return map[string]any{
		"revision": revision,
		"routes":   []any{split, otherHost, route("/提示/"), route("//x//"), route("/no-slash")},
		"services": []any{map[string]any{"name": "s"}, map[string]any{"name": "s"}, map[string]any{"name": "none yet"}},
		"tenants": []any{
			map[string]any{"name": "lab", "api_keys": []any{key}}, map[string]any{"name": "lab", "api_keys": []any{key + " too"}},
		},
	}
}

// encode returns the CBOR encoding of a value.
func encode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestAcknowledgedConfigurationIsInForceAtEveryRouter guards against configurations that were acknowledged and that no router could
// put in force: added routes had 404, keys that were taken away stayed valid, and no router was ready, also after a restart.
func TestAcknowledgedConfigurationIsInForceAtEveryRouter(t *testing.T) {
	f := newTestFleet(t, 10, fleetSize{routers: 2})
	e := newFakeEngine(t, "i-one")
	if code := replaceConfig(t, f.routers[0].control, 0, encodedConfig(3, "old key")); code != http.StatusOK {
		t.Fatalf("first configuration: status %d", code)
	}
	isServed := func(path, key string, want int) func() bool {
		return func() bool {
			if e.tryHeartbeat(f.replicas[0].control, "ready") != http.StatusOK {
				return false // just after a restart a replica has no quorum yet
			}
			for _, m := range f.routers {
				if resp, _ := clientRequest(t, m, path, key); resp == nil || resp.StatusCode != want || !m.isReady() {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "the first configuration at every router", isServed("/read/1", "old key", http.StatusOK))
	if code := replaceConfig(t, f.replicas[1].control, 3, encode(t, unusualConfig(5, "new key"))); code != http.StatusOK {
		t.Fatalf("unusual configuration: status %d", code)
	}
	checkInForce := func(when string) {
		for _, path := range []string{"/read/1", "/%E6%8F%90%E7%A4%BA/1", "//x//1", "/no-slash", "/no-slashes/1"} {
			waitUntil(t, when+", "+path, isServed(path, "new key", http.StatusOK))
		}
		waitUntil(t, when+", the old key", isServed("/read/1", "old key", http.StatusUnauthorized))
	}
	checkInForce("after the acknowledgement")
	for _, m := range f.nodes() {
		m.stop()
		m.restart()
	}
	checkInForce("after a restart")
	incomplete := unusualConfig(7, "other key")
	delete(incomplete["routes"].([]any)[2].(map[string]any), "path_prefix")
	if code := replaceConfig(t, f.replicas[2].control, 5, encode(t, incomplete)); code != http.StatusBadRequest {
		t.Errorf("a route without a prefix: status %d, want 400", code)
	}
	if code := replaceConfig(t, f.replicas[2].control, 5, encodedConfig(7, "new key")); code != http.StatusOK {
		t.Errorf("the next configuration: status %d", code)
	}
}

// TestUnusualPathsReachTheEngineUnchanged sends paths that HTTP libraries encode or clean as a client may write them, to routes with
// the same prefixes.
func TestUnusualPathsReachTheEngineUnchanged(t *testing.T) {
	received := make(chan string, 1)
	e := newScriptedEngine(t, func(c net.Conn, r *http.Request) bool {
		received <- r.Host + r.RequestURI
		io.WriteString(c, strings.ReplaceAll(answerServed, "\n", "\r\n"))
		return true
	})
	p := newTestPlane(t, 1, endpointOf("one", "s", e))
	c := planeConfig()
	matches := []fleetconfig.MatchKey{
		{Host: "h", PathPrefix: "/提示/"},
		{Host: "h", PathPrefix: "//x//"},
		{Host: "h", PathPrefix: "/../"},
		{Host: "h", PathPrefix: `/x\y/`},
		{Host: "h", PathPrefix: "/{z}/"},
		{Host: "h", PathPrefix: "/%41/"},
		{Host: "h", PathPrefix: "/no-slash"},
		{Host: "h:8080", PathPrefix: "/"},
		{Host: "h_.", PathPrefix: "/"},
		{Host: "a..b", PathPrefix: "/"},
		{Host: "[::1]", PathPrefix: "/"},
		{Host: "*.h", PathPrefix: "/"},
	}
	for _, m := range matches {
		r := c.Routes[1]
		r.Hostname, r.PathPrefix = m.Host, m.PathPrefix
		c.Routes = append(c.Routes, r)
	}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	if err := p.dataPlane.applyConfig(2, c); err != nil {
		t.Fatal(err)
	}
	for _, m := range matches {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		path := m.PathPrefix + "2f"
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, m.Host)
		response, _ := io.ReadAll(conn)
		conn.Close()
		if !strings.HasPrefix(string(response), "HTTP/1.1 200 ") {
			t.Errorf("host %q, path %q: %q", m.Host, path, response)
			continue
		}
		if got := <-received; got != m.Host+path {
			t.Errorf("host %q, path %q: the engine got %q", m.Host, path, got)
		}
	}
}
