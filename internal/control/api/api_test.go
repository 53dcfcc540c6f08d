package api

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/control/fleetconfig"
)

// recorder is a Handler that records its calls.
type recorder struct {
	heartbeats   []Heartbeat
	deregistered []string
	baseRevision uint64
	config       []byte
	err          error  // returned to calls of engines
	redirect     string // also the address for the next heartbeats
}

func (h *recorder) RedirectTarget() string { return h.redirect }

func (h *recorder) Heartbeat(_ context.Context, b *Heartbeat) (string, error) {
	h.heartbeats = append(h.heartbeats, *b)
	return h.redirect, h.err
}

func (h *recorder) Deregister(_ context.Context, id string) error {
	h.deregistered = append(h.deregistered, id)
	return h.err
}

func (h *recorder) ReplaceConfig(_ context.Context, baseRevision uint64, config []byte) Result {
	h.baseRevision, h.config = baseRevision, config
	if baseRevision == 7 {
		return Result{Status: StatusStaleRevision, Message: "revision 9 is current"}
	}
	return Result{Status: StatusOK, Revision: 3}
}

func (h *recorder) DescribeConfig(context.Context) Result {
	return Result{Status: StatusOK, Revision: 3, Body: []byte{0xa0}}
}

func (h *recorder) RemoveMember(_ context.Context, name string) Result {
	if name != "k-1" {
		return Result{Status: StatusNotFound, Message: "no member"}
	}
	return Result{Status: StatusOK, Revision: 3}
}

func (h *recorder) ConfigHistory(context.Context) Result {
	return Result{Status: StatusOK, Body: []byte("[]")}
}
func (h *recorder) Engines() any                { return []int{} }
func (h *recorder) Explain(r *http.Request) any { return r.Host }
func (h *recorder) Status() any                 { return map[string]int{"x": 1} }

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// heartbeat returns the body of a valid heartbeat with an additional unknown field. If key is set, that field has the value.
func heartbeat(t *testing.T, key string, value any) []byte {
	t.Helper()
	b := map[string]any{
		"target_service": "s", "address": "10.0.0.1:80", "zone": "z", "revision": "v1", "capacity_slots": 4,
		"status": "ready", "warmup_remaining_ms": 12.5, "call_count": 4, "later_field": "x",
	}
	if key != "" {
		b[key] = value
	}
	return marshal(t, b)
}

// call serves a call by h. baseRevision is the value of X-Revision-Match; "" = no such header.
func call(t *testing.T, h Handler, method, path string, body []byte, baseRevision string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader(body))
	if baseRevision != "" {
		r.Header.Set("X-Revision-Match", baseRevision)
	}
	w := httptest.NewRecorder()
	NewHandler(h).ServeHTTP(w, r)
	return w
}

func TestStatusOfEngineCalls(t *testing.T) {
	const path = "/Instances.Heartbeat/i-1"
	h := &recorder{}
	for _, c := range []struct {
		name, method, path string
		body               []byte
		want               int
	}{
		{"heartbeat", "POST", path, heartbeat(t, "", nil), 200},
		{"draining", "POST", path, heartbeat(t, "status", "draining"), 200},
		{"unknown status", "POST", path, heartbeat(t, "status", "tired"), 400},
		{"address without a port", "POST", path, heartbeat(t, "address", "here"), 400},
		{"long address", "POST", path, heartbeat(t, "address", strings.Repeat("h", 200)+":80"), 400},
		{"long zone", "POST", path, heartbeat(t, "zone", strings.Repeat("z", 201)), 400},
		{"no service", "POST", path, heartbeat(t, "target_service", ""), 400},
		{"negative count", "POST", path, heartbeat(t, "call_count", -1), 400},
		{"not CBOR", "POST", path, []byte("{}"), 400},
		{"too large", "POST", path, make([]byte, maxCallBytes+1), 413},
		{"long id", "POST", "/Instances.Heartbeat/" + strings.Repeat("i", 201), heartbeat(t, "", nil), 400},
		{"no id", "POST", "/Instances.Heartbeat/", heartbeat(t, "", nil), 404},
		{"other method", "GET", path, nil, 405},
		{"deregistration", "POST", "/Instances.Deregister/i-1", nil, 200},
		{"deregistration with a long id", "POST", "/Instances.Deregister/" + strings.Repeat("i", 201), nil, 400},
		{"unknown path", "GET", "/none", nil, 404},
	} {
		if w := call(t, h, c.method, c.path, c.body, ""); w.Code != c.want {
			t.Errorf("%s: status %d, want %d: %s", c.name, w.Code, c.want, w.Body)
		}
	}
	ready := Heartbeat{
		ID: "i-1", TargetService: "s", Address: "10.0.0.1:80", Zone: "z", Revision: "v1", CapacitySlots: 4,
		Status: EngineReady, WarmupRemainingMS: 12.5, CallCount: 4,
	}
	draining := ready
	draining.Status = EngineDraining
	if diff := cmp.Diff([]Heartbeat{ready, draining}, h.heartbeats); diff != "" {
		t.Error(diff)
	}
	if !cmp.Equal(h.deregistered, []string{"i-1"}) {
		t.Errorf("deregistered: %v", h.deregistered)
	}
}

func TestStatusOfOperatorCalls(t *testing.T) {
	const replace = "/Configuration.Replace"
	h := &recorder{}
	for _, c := range []struct {
		name, method, path string
		body               []byte
		base               string
		want               int
	}{
		{"configuration", "POST", replace, []byte{0xa0}, "5", 200},
		{"stale base", "POST", replace, []byte{0xa0}, "7", 412},
		{"no base", "POST", replace, []byte{0xa0}, "", 400},
		{"negative base", "POST", replace, []byte{0xa0}, "-1", 400},
		{"too large", "POST", replace, make([]byte, fleetconfig.MaxBytes+1), "5", 413},
		{"describe", "GET", "/Configuration.Describe", nil, "", 200},
		{"status", "GET", "/fleet/status", nil, "", 200},
		{"engines", "GET", "/fleet/engines", nil, "", 200},
		{"explain", "POST", "/fleet/explain", []byte("GET /x HTTP/1.1\r\nHost: a"), "", 200},
		{"explain a malformed request", "POST", "/fleet/explain", []byte("hello"), "", 400},
		{"history", "GET", "/fleet/history", nil, "", 200},
		{"remove a member", "DELETE", "/fleet/members/k-1", nil, "", 200},
		{"remove an unknown member", "DELETE", "/fleet/members/k-2", nil, "", 404},
		{"remove a member with a long name", "DELETE", "/fleet/members/" + strings.Repeat("k", 201), nil, "", 400},
	} {
		if w := call(t, h, c.method, c.path, c.body, c.base); w.Code != c.want {
			t.Errorf("%s: status %d, want %d: %s", c.name, w.Code, c.want, w.Body)
		}
	}
	if h.baseRevision != 7 || !bytes.Equal(h.config, []byte{0xa0}) {
		t.Errorf("the last configuration handled is %x on %d, want a0 on 7", h.config, h.baseRevision)
	}
}

func TestResponses(t *testing.T) {
	h := &recorder{redirect: ""}
	w := call(t, h, "GET", "/Configuration.Describe", nil, "")
	if !bytes.Equal(w.Body.Bytes(), []byte{0xa0}) || w.Header().Get("X-Revision") != "3" || w.Header().Get("Content-Type") != "application/cbor" {
		t.Errorf("configuration: %x %v", w.Body, w.Header())
	}
	for _, c := range []struct {
		name string
		got  *httptest.ResponseRecorder
		want map[string]any
	}{
		{"replaced", call(t, h, "POST", "/Configuration.Replace", []byte{0xa0}, "5"), map[string]any{"revision": uint64(3)}},
		{"stale base", call(t, h, "POST", "/Configuration.Replace", []byte{0xa0}, "7"), map[string]any{"error_message": "revision 9 is current"}},
		{"heartbeat", call(t, h, "POST", "/Instances.Heartbeat/i-1", heartbeat(t, "", nil), ""), map[string]any{}},
		{
			"heartbeat with a next address", call(t, &recorder{redirect: "10.0.0.4:8080"}, "POST", "/Instances.Heartbeat/i-1", heartbeat(t, "", nil), ""),
			map[string]any{"heartbeat_url": "10.0.0.4:8080"},
		},
	} {
		got := map[string]any{}
		if err := cbor.Unmarshal(c.got.Body.Bytes(), &got); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// TestHandlerErrorIsUnavailable: an untyped error of the handler becomes 503, so that the engine tries another process.
func TestHandlerErrorIsUnavailable(t *testing.T) {
	h := &recorder{err: errors.New("not now")}
	for _, path := range []string{"/Instances.Heartbeat/i-1", "/Instances.Deregister/i-1"} {
		w := call(t, h, "POST", path, heartbeat(t, "", nil), "")
		if w.Code != http.StatusServiceUnavailable || w.Body.Len() > 4096 {
			t.Errorf("%s: status %d with %d bytes, want 503", path, w.Code, w.Body.Len())
		}
	}
	h.err = &Error{StatusConflict, "no"}
	if w := call(t, h, "POST", "/Instances.Deregister/i-1", nil, ""); w.Code != http.StatusConflict {
		t.Errorf("status %d for a typed error, want 409", w.Code)
	}
}

// TestRedirectPrecedesTheBody: a machine without the control state redirects a large configuration before receiving its body.
// The connection serves another call after the rest of the body.
func TestRedirectPrecedesTheBody(t *testing.T) {
	h := &recorder{redirect: "10.0.0.4:8080"}
	web := httptest.NewServer(NewHandler(h))
	t.Cleanup(web.Close)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", web.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(c)
	for _, head := range []string{
		"POST /Configuration.Replace HTTP/1.1\r\nHost: x\r\nX-Revision-Match: 3\r\nContent-Length: 300000\r\n\r\nbegin",
		strings.Repeat("x", 300000-5) + "GET /Configuration.Describe?whole HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		io.WriteString(c, head)
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		to := resp.Header.Get("Location")
		if resp.StatusCode != http.StatusTemporaryRedirect || !strings.HasPrefix(to, "http://10.0.0.4:8080/Configuration.") {
			t.Errorf("status %d with location %q, want a redirect", resp.StatusCode, to)
		}
		if h.config != nil {
			t.Error("the call was executed instead of redirected")
		}
	}
}

func TestFinalOutcomes(t *testing.T) {
	for status, want := range map[Status]bool{
		0: false, StatusOK: true, StatusInvalid: true, StatusNotFound: true, StatusConflict: true, StatusStaleRevision: true,
		StatusTooLarge: true, StatusInternal: false, StatusUnavailable: false,
	} {
		if got := status.IsFinal(); got != want {
			t.Errorf("IsFinal of %d: got %v, want %v", status, got, want)
		}
	}
}
