package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestRequestThatMayHaveRunIsNotRetried: whether a request is retried after its first attempt fails depends on whether the
// engine may have run it, and on whether the request is idempotent.
func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	reset := func(net.Conn, *http.Request) bool { return false }
	cutOff := func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
		return false
	}
	mute := func(c net.Conn, _ *http.Request) bool {
		io.Copy(io.Discard, c)
		return false
	}
	for name, c := range map[string]struct {
		first     script // answers of the first engine
		path      string
		status    int  // of a request whose first attempt went to the first engine
		isRetried bool // at the second engine
	}{
		"a reset, non-idempotent":      {reset, "/once/1", 504, false},
		"a reset, streaming":           {reset, "/stream/1", 504, false},
		"a reset, idempotent":          {reset, "/again/1", 200, true},
		"full, non-idempotent":         {respondWith(answerFull), "/once/1", 200, true},
		"misdirected, streaming":       {respondWith(answerMisdirected), "/stream/1", 200, true},
		"an error, non-idempotent":     {respondWith(answerFailed), "/once/1", 500, false},
		"an error, idempotent":         {respondWith(answerFailed), "/again/1", 200, true},
		"no HTTP, non-idempotent":      {respondWith("what is this\n\n"), "/once/1", 504, false},
		"a truncated body, idempotent": {cutOff, "/again/1", 200, true},
		"no answer, non-idempotent":    {mute, "/once/1", 504, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Either engine may be selected. Try seeds until the first attempt goes to the first engine.
			for seed := range uint64(40) {
				first, second := newScriptedEngine(t, c.first), newScriptedEngine(t, respondWith(answerServed))
				addr := planeAddr(t, seed, map[string]*scriptedEngine{"first": first, "second": second})
				resp, body, err := post(t, addr, c.path)
				if err != nil {
					t.Fatal(err)
				}
				if first.requests.Load() == 0 {
					continue
				}
				if resp.StatusCode != c.status || (second.requests.Load() > 0) != c.isRetried || first.requests.Load() != 1 {
					t.Errorf("status %d, body %q; the second engine got %d requests, the first %d", resp.StatusCode, body, second.requests.Load(), first.requests.Load())
				}
				if c.status == 500 && (body != "bad" || resp.Header.Get("X-Response-Seal") != "f") {
					t.Errorf("the client got %q, not the engine's response", body)
				}
				return
			}
			t.Error("the first engine was never selected")
		})
	}
}

// TestRejectedRequestSaysWhenToRetry: the response to a request that no engine has run has a Retry-After header.
func TestRejectedRequestSaysWhenToRetry(t *testing.T) {
	one, two := newScriptedEngine(t, respondWith(answerFull)), newScriptedEngine(t, respondWith(answerFull))
	addr := planeAddr(t, 1, map[string]*scriptedEngine{"one": one, "two": two})
	for _, path := range []string{"/once/1", "/again/1", "/stream/1"} {
		resp, _, err := post(t, addr, path)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v, %v", path, resp, err)
		}
	}
}

// TestBrokenStreamDoesNotLookComplete: a client can distinguish a truncated stream from a complete one.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	e := newScriptedEngine(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		io.WriteString(c, "f\r\nid: 1\ndata: x\n\n\r\n")
		return false
	})
	resp, body, err := post(t, planeAddr(t, 1, map[string]*scriptedEngine{"e": e}), "/stream/1")
	if resp == nil || resp.StatusCode != 200 || !strings.HasPrefix(body, "id: 1") || err == nil {
		t.Errorf("%+v %q %v: a truncated stream must not look complete", resp, body, err)
	}
}
