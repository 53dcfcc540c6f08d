package node

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestFleetServesAndReports(t *testing.T) {
	f := newTestFleet(t, 2, 0)
	one, two := newFakeEngine(t, "i-one"), newFakeEngine(t, "i-two")
	edge := f.routers[0]
	// The first configuration, by way of a router that holds no state; invalid ones and races.
	if code := replaceConfig(t, edge.control, 0, encodedConfig(3, "key-1")); code != 200 {
		t.Fatalf("the first configuration: %d", code)
	}
	for what, c := range map[string]struct {
		on   int
		text []byte
		want int
	}{
		"the same again":   {0, encodedConfig(3, "key-1"), 200},
		"a lost race":      {0, encodedConfig(4, "key-x"), 412},
		"not above":        {3, encodedConfig(3, "key-x"), 400},
		"cannot be read":   {3, []byte{0xff, 0}, 400},
		"upon one to come": {9, encodedConfig(10, "key-x"), 412},
	} {
		for _, m := range []*testNode{f.routers[1], f.replicas[1]} {
			if code := replaceConfig(t, m.control, c.on, c.text); code != c.want {
				t.Errorf("%s: %d, %d is wanted", what, code, c.want)
			}
		}
	}
	if code, _ := controlCall(t, "POST", edge.control, "/Configuration.Replace", nil, encodedConfig(9, "k")); code != 400 {
		t.Errorf("without the version that it builds on: %d", code)
	}
	// Engines become known wherever they call; routers become ready.
	one.heartbeat(f.replicas[0].control, "ready")
	two.heartbeat(f.routers[1].control, "ready")
	for _, m := range f.routers {
		waitUntil(t, "readiness", m.isReady)
	}
	waitUntil(t, "both engines serve at both routers", func() bool {
		for _, m := range f.routers {
			clientRequest(t, m, "/read/1", "key-1")
		}
		return one.requests() > 0 && two.requests() > 0
	})
	resp, body := clientRequest(t, edge, "/read/1", "key-1")
	if resp == nil || resp.StatusCode != 200 || !strings.HasPrefix(body, "answer of i-") || resp.Header.Get("X-Saw-Tenant") != "lab" ||
		resp.Header.Get("X-Saw-Key") != "" || !strings.HasPrefix(resp.Header.Get("X-Response-Seal"), "seal-") {
		t.Errorf("%+v %q", resp, body)
	}
	// The staff may ask what is known, and what would become of a request.
	explain := func(m *testNode, head string) string {
		t.Helper()
		_, b := controlCall(t, "POST", m.control, "/fleet/explain", nil, []byte(head))
		return string(b)
	}
	for _, want := range []string{`"route":"chat"`, `"tenant":"lab"`, `"service":"s"`, `"session":true`, `"ready":["i-one","i-two"]`} {
		if got := explain(edge, "POST /chat/1 HTTP/1.1\r\nHost: f.example\r\nX-Credential: key-1\r\nX-Prompt-Prefix: 9"); !strings.Contains(got, want) {
			t.Errorf("%s is not in %s", want, got)
		}
	}
	if got := explain(edge, "GET /chat/1 HTTP/1.1\r\nHost: f.example\r\nX-Credential: none"); !strings.Contains(got, `"status":401`) || strings.Contains(got, "none") {
		t.Errorf("a wrong key: %s", got)
	}
	if got := explain(f.replicas[0], "GET / HTTP/1.1\r\nHost: f.example"); !strings.Contains(got, "ask a router") {
		t.Errorf("a keeper explains: %s", got)
	}
	if _, b := controlCall(t, "GET", f.replicas[2].control, "/fleet/engines", nil, nil); bytes.Count(b, []byte(`"state":"ready","heard_s"`)) != 2 {
		t.Errorf("engines known at a keeper: %s", b)
	}
	if _, b := controlCall(t, "GET", edge.control, "/fleet/history", nil, nil); !bytes.HasPrefix(b, []byte(`[{"revision":3,`)) {
		t.Errorf("the history: %s", b)
	}
	// A session stays with its engine.
	_, first := clientRequest(t, edge, "/chat/1", "key-1", "X-Prompt-Prefix", "17")
	for range 8 {
		if _, again := clientRequest(t, edge, "/chat/1", "key-1", "X-Prompt-Prefix", "17"); again != first || strings.Count(again, "id: ") != 3 {
			t.Errorf("a turn of the session: %q, not %q", again, first)
		}
	}
	for path, want := range map[string]int{"/none/": 404, "/read/1": 401} {
		if resp, _ := clientRequest(t, edge, path, "wrong"); resp == nil || resp.StatusCode != want {
			t.Errorf("%s with a wrong key: %v", path, resp)
		}
	}
	// A key is taken away: every router heeds it.
	if code := replaceConfig(t, f.replicas[2].control, 3, encodedConfig(8, "key-2")); code != 200 {
		t.Errorf("the second configuration: %d", code)
	}
	for _, m := range f.routers {
		waitUntil(t, "the new key", func() bool { r, _ := clientRequest(t, m, "/read/1", "key-2"); return r != nil && r.StatusCode == 200 })
		if r, _ := clientRequest(t, m, "/read/1", "key-1"); r == nil || r.StatusCode != 401 {
			t.Errorf("the key that was taken away: %v", r)
		}
	}
	// An engine leaves: once that is acknowledged and the platform's time is over nothing reaches it.
	two.heartbeat(f.replicas[0].control, "draining")
	acknowledged := time.Now()
	waitUntil(t, "the time of the drain", func() bool {
		clientRequest(t, f.routers[0], "/read/1", "key-2")
		clientRequest(t, f.routers[1], "/chat/1", "key-2", "X-Prompt-Prefix", "3")
		one.heartbeat(f.replicas[1].control, "ready")
		return time.Since(acknowledged) > 1500*time.Millisecond
	})
	two.mu.Lock()
	if late := two.lastRequest.Sub(acknowledged); late > 1200*time.Millisecond {
		t.Errorf("a request reached an engine %v after it was acknowledged to drain", late)
	}
	two.mu.Unlock()
	// What began is reported, one figure a window.
	waitUntil(t, "usage", func() bool {
		clientRequest(t, edge, "/read/1", "key-2")
		one.heartbeat(f.replicas[1].control, "ready")
		return f.platform.reported("lab") > 20
	})
	f.platform.mu.Lock()
	if f.platform.conflicting > 0 {
		t.Errorf("%d windows were reported with two figures", f.platform.conflicting)
	}
	for i := 1; i < len(f.platform.fencingTokens); i++ {
		if f.platform.fencingTokens[i] < f.platform.fencingTokens[i-1] {
			t.Errorf("fences %v", f.platform.fencingTokens)
		}
	}
	f.platform.mu.Unlock()
	for id, n := range two.ran {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}
