package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	closes := func(net.Conn, *http.Request) bool { return false }
	good := respondWith(answerServed)
	for name, c := range map[string]struct {
		first  func(net.Conn, *http.Request) bool
		path   string
		status int  // of a request that met the first engine first
		second bool // the other engine is asked then
	}{
		"a reset, not repeatable":  {closes, "/once/1", 504, false},
		"a reset, a stream":        {closes, "/stream/1", 504, false},
		"a reset, repeatable":      {closes, "/again/1", 200, true},
		"full, not repeatable":     {respondWith(answerFull), "/once/1", 200, true},
		"another engine is there":  {respondWith(answerMisdirected), "/stream/1", 200, true},
		"an error, not repeatable": {respondWith(answerFailed), "/once/1", 500, false},
		"an error, repeatable":     {respondWith(answerFailed), "/again/1", 200, true},
		"bytes that are no answer": {respondWith("what is this\n\n"), "/once/1", 504, false},
		"a body that is cut off": {func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")
			return false
		}, "/again/1", 200, true},
		"silence, then it is over": {func(c net.Conn, _ *http.Request) bool { io.Copy(io.Discard, c); return false }, "/once/1", 504, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The draw may pick either first: requests are made until one has met the first engine.
			for seed := range uint64(40) {
				first, second := newScriptedEngine(t, c.first), newScriptedEngine(t, good)
				addr := planeAddr(t, seed, map[string]*scriptedEngine{"first": first, "second": second})
				resp, body, err := post(t, addr, c.path)
				if err != nil {
					t.Fatal(err)
				}
				if first.requests.Load() == 0 {
					continue
				}
				if resp.StatusCode != c.status || (second.requests.Load() > 0) != c.second || first.requests.Load() != 1 {
					t.Errorf("%d %q; the other engine was asked %d times, this one %d", resp.StatusCode, body, second.requests.Load(), first.requests.Load())
				}
				if c.status == 500 && (body != "bad" || resp.Header.Get("X-Response-Seal") != "f") {
					t.Errorf("the engine's answer came as %q", body)
				}
				return
			}
			t.Error("the first engine was never drawn")
		})
	}
}

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

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	e := newScriptedEngine(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		io.WriteString(c, "f\r\nid: 1\ndata: x\n\n\r\n")
		return false
	})
	resp, body, err := post(t, planeAddr(t, 1, map[string]*scriptedEngine{"e": e}), "/stream/1")
	if resp == nil || resp.StatusCode != 200 || !strings.HasPrefix(body, "id: 1") || err == nil {
		t.Errorf("%+v %q %v: a broken stream must not look complete", resp, body, err)
	}
}
