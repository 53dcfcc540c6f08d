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

	"notchhinge/internal/control/fleetconfig"
)

// handler notes what it was asked.
type handler struct {
	beats []Heartbeat
	offs  []string
	on    uint64
	text  []byte
	fail  error
	other string
}

func (h *handler) RedirectTarget() string { return h.other }

func (h *handler) Heartbeat(_ context.Context, b *Heartbeat) (string, error) {
	h.beats = append(h.beats, *b)
	return h.other, h.fail
}
func (h *handler) Deregister(_ context.Context, id string) error {
	h.offs = append(h.offs, id)
	return h.fail
}
func (h *handler) ReplaceConfig(_ context.Context, on uint64, text []byte) Result {
	h.on, h.text = on, text
	if on == 7 {
		return Result{Status: 412, Message: "version 9 is current"}
	}
	return Result{Status: 200, Revision: 3}
}
func (h *handler) DescribeConfig(context.Context) Result {
	return Result{Status: 200, Revision: 3, Body: []byte{0xa0}}
}
func (h *handler) RemoveMember(_ context.Context, name string) Result {
	if name != "k-1" {
		return Result{Status: 404, Message: "no member"}
	}
	return Result{Status: 200, Revision: 3}
}
func (h *handler) ConfigHistory(context.Context) Result {
	return Result{Status: 200, Body: []byte("[]")}
}
func (h *handler) Engines() any                { return []int{} }
func (h *handler) Explain(r *http.Request) any { return r.Host }
func (h *handler) Status() any                 { return map[string]int{"x": 1} }

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	b, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func beat(change string, to any) map[string]any {
	b := map[string]any{"target_service": "s", "address": "10.0.0.1:80", "zone": "z", "revision": "v1", "capacity_slots": 4,
		"status": "ready", "warmup_remaining_ms": 12.5, "call_count": 4, "later_field": "x"}
	if change != "" {
		b[change] = to
	}
	return b
}

func TestCalls(t *testing.T) {
	h := &handler{}
	do := func(method, path string, body []byte, header ...string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, bytes.NewReader(body))
		for i := 0; i+1 < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		w := httptest.NewRecorder()
		NewHandler(h).ServeHTTP(w, r)
		return w
	}
	for _, c := range []struct {
		name, method, path string
		body               []byte
		header             []string
		want               int
	}{
		{"a beat", "POST", "/Instances.Heartbeat/i-1", marshal(t, beat("", nil)), nil, 200},
		{"draining", "POST", "/Instances.Heartbeat/i-1", marshal(t, beat("status", "draining")), nil, 200},
		{"another status", "POST", "/Instances.Heartbeat/i-1", marshal(t, beat("status", "tired")), nil, 400},
		{"no address", "POST", "/Instances.Heartbeat/i-1", marshal(t, beat("address", "here")), nil, 400},
		{"no service", "POST", "/Instances.Heartbeat/i-1", marshal(t, beat("target_service", "")), nil, 400},
		{"a count that is none", "POST", "/Instances.Heartbeat/i-1", marshal(t, beat("call_count", -1)), nil, 400},
		{"no CBOR", "POST", "/Instances.Heartbeat/i-1", []byte("{}"), nil, 400},
		{"too large", "POST", "/Instances.Heartbeat/i-1", make([]byte, mostBeat+1), nil, 413},
		{"a long id", "POST", "/Instances.Heartbeat/" + strings.Repeat("i", 201), marshal(t, beat("", nil)), nil, 400},
		{"no id", "POST", "/Instances.Heartbeat/", marshal(t, beat("", nil)), nil, 404},
		{"another method", "GET", "/Instances.Heartbeat/i-1", nil, nil, 405},
		{"signing off", "POST", "/Instances.Deregister/i-1", nil, nil, 200},
		{"a configuration", "POST", "/Configuration.Replace", []byte{0xa0}, []string{"X-Revision-Match", "5"}, 200},
		{"a lost race", "POST", "/Configuration.Replace", []byte{0xa0}, []string{"X-Revision-Match", "7"}, 412},
		{"upon nothing", "POST", "/Configuration.Replace", []byte{0xa0}, nil, 400},
		{"upon no number", "POST", "/Configuration.Replace", []byte{0xa0}, []string{"X-Revision-Match", "-1"}, 400},
		{"far too large", "POST", "/Configuration.Replace", make([]byte, fleetconfig.MaxBytes+1), []string{"X-Revision-Match", "5"}, 413},
		{"read back", "GET", "/Configuration.Describe", nil, nil, 200},
		{"status", "GET", "/fleet/status", nil, nil, 200},
		{"engines", "GET", "/fleet/engines", nil, nil, 200},
		{"a request explained", "POST", "/fleet/explain", []byte("GET /x HTTP/1.1\r\nHost: a"), nil, 200},
		{"what is no request", "POST", "/fleet/explain", []byte("hello"), nil, 400},
		{"history", "GET", "/fleet/history", nil, nil, 200},
		{"a member taken out", "DELETE", "/fleet/members/k-1", nil, nil, 200},
		{"a member that is none", "DELETE", "/fleet/members/k-2", nil, nil, 404},
		{"a name that is too long", "DELETE", "/fleet/members/" + strings.Repeat("k", 201), nil, nil, 400},
		{"another path", "GET", "/none", nil, nil, 404},
	} {
		if w := do(c.method, c.path, c.body, c.header...); w.Code != c.want {
			t.Errorf("%s: %d, %d is wanted: %s", c.name, w.Code, c.want, w.Body)
		}
	}
	if len(h.beats) != 2 || h.beats[0].ID != "i-1" || h.beats[0].CapacitySlots != 4 || h.beats[0].WarmupRemainingMS != 12.5 || h.beats[1].Status != "draining" {
		t.Errorf("%+v", h.beats)
	}
	if len(h.offs) != 1 || h.on != 7 {
		t.Errorf("%v, on %d", h.offs, h.on)
	}
	if w := do("GET", "/Configuration.Describe", nil); !bytes.Equal(w.Body.Bytes(), []byte{0xa0}) || w.Header().Get("X-Revision") != "3" {
		t.Errorf("%v %v", w.Body.Bytes(), w.Header())
	}
	h.fail = errors.New("not now")
	if w := do("POST", "/Instances.Heartbeat/i-1", marshal(t, beat("", nil))); w.Code != http.StatusServiceUnavailable || w.Body.Len() > 4096 {
		t.Errorf("%d", w.Code)
	}
}

// TestSentElsewhereBeforeItsBody: a large configuration does not go over the link of a machine that cannot settle it. Its
// sender is told where to go while nearly all of the body is still to come, and again on the same connection.
func TestSentElsewhereBeforeItsBody(t *testing.T) {
	h := &handler{other: "10.0.0.4:8080"}
	web := httptest.NewServer(NewHandler(h))
	defer web.Close()
	c, err := net.Dial("tcp4", web.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
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
		if resp.StatusCode != http.StatusTemporaryRedirect || !strings.HasPrefix(to, "http://10.0.0.4:8080/Configuration.") || h.text != nil {
			t.Errorf("%d, %q, handled here: %v", resp.StatusCode, to, h.text != nil)
		}
	}
}
