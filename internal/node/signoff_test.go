package node

import (
	"encoding/json"
	"net/http"
	"testing"
)

// heartbeatCall returns a heartbeat of an engine that is ready.
func heartbeatCall(id, addr string, callCount int) controlRequest {
	return controlRequest{method: http.MethodPost, path: "/Instances.Heartbeat/" + id, body: map[string]any{
		"target_service": "s", "address": addr, "zone": "a", "revision": "v1", "capacity_slots": 4, "status": "ready", "warmup_remaining_ms": 0,
		"call_count": callCount,
	}}
}

// callUntilAcked repeats an engine's call at a process until it is acknowledged.
func callUntilAcked(t *testing.T, m *testNode, r controlRequest) {
	t.Helper()
	waitUntil(t, r.path+" is acknowledged", func() bool {
		code, _ := controlCall(t, m.control, r)
		return code == http.StatusOK
	})
}

// engineState returns the state of an engine at a process; "" if the process does not know it.
func (m *testNode) engineState(id string) string {
	m.t.Helper()
	_, b := controlCall(m.t, m.control, controlRequest{method: http.MethodGet, path: "/fleet/engines"})
	var views []EngineView
	if err := json.Unmarshal(b, &views); err != nil {
		return ""
	}
	for i := range views {
		if views[i].ID == id {
			return views[i].State
		}
	}
	return ""
}

// TestSignedOffEngineStaysGoneAfterARestartOfAll guards against requests to an engine that has deregistered: all processes end after the
// acknowledgement and start again, one of three disks is lost, and a heartbeat of the engine arrives late, at a router or a replica. An
// engine that has not signed off, and a new one at the reused address, are ready with their first heartbeat.
func TestSignedOffEngineStaysGoneAfterARestartOfAll(t *testing.T) {
	f := newTestFleet(t, 12, fleetSize{routers: 1})
	if code := replaceConfig(t, f.replicas[0].control, 0, encodedConfig(2, "k")); code != http.StatusOK {
		t.Fatal(code)
	}
	const addr, otherAddr = "127.52.9.1:80", "127.52.9.2:80"
	callUntilAcked(t, f.routers[0], heartbeatCall("i-leaving", addr, 4))
	callUntilAcked(t, f.replicas[1], heartbeatCall("i-known", otherAddr, 7))
	callUntilAcked(t, f.routers[0], controlRequest{method: http.MethodPost, path: "/Instances.Deregister/i-leaving"})
	for _, m := range f.nodes() {
		m.stop()
	}
	f.replicas[2].restartEmpty()
	for _, m := range []*testNode{f.replicas[0], f.replicas[1], f.routers[0]} {
		m.restart()
	}
	for _, m := range f.nodes() {
		waitUntil(t, "the deregistration is known again", func() bool { return m.engineState("i-leaving") == "gone" })
	}
	for i, m := range []*testNode{f.routers[0], f.replicas[2]} {
		callUntilAcked(t, m, heartbeatCall("i-leaving", addr, 5+i))
		if state := m.engineState("i-leaving"); state != "gone" {
			t.Errorf("%s: the engine is %q after a late heartbeat, want gone", m.name(), state)
		}
		callUntilAcked(t, m, heartbeatCall("i-known", otherAddr, 8+i))
		callUntilAcked(t, m, heartbeatCall("i-new", addr, 1+i))
		if known, fresh := m.engineState("i-known"), m.engineState("i-new"); known != "ready" || fresh != "ready" {
			t.Errorf("%s: the other engines are %q and %q, want ready", m.name(), known, fresh)
		}
	}
}
