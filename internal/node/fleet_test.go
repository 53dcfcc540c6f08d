package node

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"
)

// runningFleet is a fleet of three replicas, two routers and two engines, with one tenant.
type runningFleet struct {
	*testFleet
	engineOne, engineTwo *fakeEngine
	key                  string // the tenant's API key
	revision             int    // of the first configuration
}

// TestFleetServesAndReports runs a fleet from its first configuration to its usage reports. Each step depends on the previous
// ones.
func TestFleetServesAndReports(t *testing.T) {
	f := &runningFleet{
		testFleet: newTestFleet(t, 0, fleetSize{routers: 2}), engineOne: newFakeEngine(t, "i-one"), engineTwo: newFakeEngine(t, "i-two"), key: "key-1", revision: 3,
	}
	for _, step := range []struct {
		name string
		run  func(*runningFleet, *testing.T)
	}{
		{"a configuration is accepted on its base only", (*runningFleet).checkConfigBases},
		{"engines become known wherever they call, and routers ready", (*runningFleet).checkReadiness},
		{"an engine sees the tenant and not its key", (*runningFleet).checkForwardedHeaders},
		{"a router explains what would become of a request", (*runningFleet).checkExplain},
		{"operators see engines and history", (*runningFleet).checkOperatorViews},
		{"a session stays with its engine", (*runningFleet).checkSessionAffinity},
		{"unknown paths and keys are rejected", (*runningFleet).checkRejections},
		{"a revoked key is rejected by every router", (*runningFleet).checkRevokedKey},
		{"nothing reaches an engine past its drain", (*runningFleet).checkDrain},
		{"usage is reported with one figure a window", (*runningFleet).checkUsageReports},
		{"no request ran twice at the engine that drained", (*runningFleet).checkNothingRanTwice},
	} {
		t.Run(step.name, func(t *testing.T) { step.run(f, t) })
	}
}

// checkConfigBases submits the first configuration through a router, which redirects to a replica, and then configurations
// that must be rejected.
func (f *runningFleet) checkConfigBases(t *testing.T) {
	if code := replaceConfig(t, f.routers[0].control, 0, encodedConfig(3, "key-1")); code != http.StatusOK {
		t.Fatalf("first configuration: status %d", code)
	}
	for name, c := range map[string]struct {
		base    int
		encoded []byte
		want    int
	}{
		"the same again":             {0, encodedConfig(3, "key-1"), http.StatusOK},
		"an old base":                {0, encodedConfig(4, "key-x"), http.StatusPreconditionFailed},
		"a revision that is not new": {3, encodedConfig(3, "key-x"), http.StatusBadRequest},
		"bytes that are not CBOR":    {3, []byte{0xff, 0}, http.StatusBadRequest},
		"a base in the future":       {9, encodedConfig(10, "key-x"), http.StatusPreconditionFailed},
	} {
		for _, m := range []*testNode{f.routers[1], f.replicas[1]} {
			if code := replaceConfig(t, m.control, c.base, c.encoded); code != c.want {
				t.Errorf("%s: status %d, want %d", name, code, c.want)
			}
		}
	}
	noBase := controlRequest{method: http.MethodPost, path: "/Configuration.Replace", body: encodedConfig(9, "k")}
	if code, _ := controlCall(t, f.routers[0].control, noBase); code != http.StatusBadRequest {
		t.Errorf("without a base: status %d, want 400", code)
	}
}

func (f *runningFleet) checkReadiness(t *testing.T) {
	f.engineOne.heartbeat(f.replicas[0].control, "ready")
	f.engineTwo.heartbeat(f.routers[1].control, "ready")
	for _, m := range f.routers {
		waitUntil(t, "readiness", m.isReady)
	}
	waitUntil(t, "both engines serve at both routers", func() bool {
		for _, m := range f.routers {
			clientRequest(t, m, "/read/1", f.key)
		}
		return f.engineOne.requests() > 0 && f.engineTwo.requests() > 0
	})
}

func (f *runningFleet) checkForwardedHeaders(t *testing.T) {
	resp, body := clientRequest(t, f.routers[0], "/read/1", f.key)
	if resp == nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(body, "answer of i-") || resp.Header.Get("X-Saw-Tenant") != "lab" ||
		resp.Header.Get("X-Saw-Key") != "" || !strings.HasPrefix(resp.Header.Get("X-Response-Seal"), "seal-") {
		t.Errorf("%+v %q", resp, body)
	}
}

func (f *runningFleet) checkExplain(t *testing.T) {
	explain := func(m *testNode, head string) string {
		_, b := controlCall(t, m.control, controlRequest{method: http.MethodPost, path: "/fleet/explain", body: []byte(head)})
		return string(b)
	}
	for _, want := range []string{`"route":"chat"`, `"tenant":"lab"`, `"service":"s"`, `"session":true`, `"ready":["i-one","i-two"]`} {
		if got := explain(f.routers[0], "POST /chat/1 HTTP/1.1\r\nHost: f.example\r\nX-Credential: key-1\r\nX-Prompt-Prefix: 9"); !strings.Contains(got, want) {
			t.Errorf("%s is missing in the explanation %s", want, got)
		}
	}
	got := explain(f.routers[0], "GET /chat/1 HTTP/1.1\r\nHost: f.example\r\nX-Credential: none")
	if !strings.Contains(got, `"status":401`) || strings.Contains(got, "none") {
		t.Errorf("explanation for an unknown key: %s", got)
	}
	if got := explain(f.replicas[0], "GET / HTTP/1.1\r\nHost: f.example"); !strings.Contains(got, "ask a router") {
		t.Errorf("explanation of a replica: %s", got)
	}
}

func (f *runningFleet) checkOperatorViews(t *testing.T) {
	_, engines := controlCall(t, f.replicas[2].control, controlRequest{method: http.MethodGet, path: "/fleet/engines"})
	if bytes.Count(engines, []byte(`"state":"ready","heard_s"`)) != 2 {
		t.Errorf("engines known to a replica: %s", engines)
	}
	_, history := controlCall(t, f.routers[0].control, controlRequest{method: http.MethodGet, path: "/fleet/history"})
	if !bytes.HasPrefix(history, []byte(`[{"revision":3,`)) {
		t.Errorf("history: %s", history)
	}
}

func (f *runningFleet) checkSessionAffinity(t *testing.T) {
	_, first := clientRequest(t, f.routers[0], "/chat/1", f.key, "X-Prompt-Prefix", "17")
	for range 8 {
		if _, next := clientRequest(t, f.routers[0], "/chat/1", f.key, "X-Prompt-Prefix", "17"); next != first || strings.Count(next, "id: ") != 3 {
			t.Errorf("a request of the session got %q, want %q", next, first)
		}
	}
}

func (f *runningFleet) checkRejections(t *testing.T) {
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/read/1": http.StatusUnauthorized} {
		if resp, _ := clientRequest(t, f.routers[0], path, "wrong"); resp == nil || resp.StatusCode != want {
			t.Errorf("%s with an unknown key: %v", path, resp)
		}
	}
}

func (f *runningFleet) checkRevokedKey(t *testing.T) {
	revoked := f.key
	f.key = "key-2"
	if code := replaceConfig(t, f.replicas[2].control, f.revision, encodedConfig(8, f.key)); code != http.StatusOK {
		t.Errorf("second configuration: status %d", code)
	}
	for _, m := range f.routers {
		waitUntil(t, "the new key", func() bool {
			r, _ := clientRequest(t, m, "/read/1", f.key)
			return r != nil && r.StatusCode == http.StatusOK
		})
		if r, _ := clientRequest(t, m, "/read/1", revoked); r == nil || r.StatusCode != http.StatusUnauthorized {
			t.Errorf("request with the revoked key: %v", r)
		}
	}
}

// checkDrain: no request reaches an engine later than drain_timeout_ms (1.2 s) after its drain was acknowledged.
func (f *runningFleet) checkDrain(t *testing.T) {
	f.engineTwo.heartbeat(f.replicas[0].control, "draining")
	acknowledged := time.Now()
	waitUntil(t, "the end of the drain", func() bool {
		clientRequest(t, f.routers[0], "/read/1", f.key)
		clientRequest(t, f.routers[1], "/chat/1", f.key, "X-Prompt-Prefix", "3")
		f.engineOne.heartbeat(f.replicas[1].control, "ready")
		return time.Since(acknowledged) > 1500*time.Millisecond
	})
	f.engineTwo.mu.Lock()
	defer f.engineTwo.mu.Unlock()
	if late := f.engineTwo.lastRequest.Sub(acknowledged); late > 1200*time.Millisecond {
		t.Errorf("a request reached an engine %v after its drain was acknowledged", late)
	}
}

func (f *runningFleet) checkUsageReports(t *testing.T) {
	waitUntil(t, "usage", func() bool {
		clientRequest(t, f.routers[0], "/read/1", f.key)
		f.engineOne.heartbeat(f.replicas[1].control, "ready")
		return f.platform.reported("lab") > 20
	})
	f.platform.checkReports(t)
}

func (f *runningFleet) checkNothingRanTwice(t *testing.T) {
	f.engineTwo.mu.Lock()
	defer f.engineTwo.mu.Unlock()
	for id, n := range f.engineTwo.ran {
		if n > 1 {
			t.Errorf("request %s was executed %d times", id, n)
		}
	}
}
