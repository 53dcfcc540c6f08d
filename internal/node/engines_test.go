package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"notchhinge/internal/control/endpoints"
)

func TestFaultyEngineCostsFewRequests(t *testing.T) {
	// One of five is ill in a way of its own, and the beats say that all are ready. Requests that may run again are served by
	// the others, few by that one's way; of those that may not, no more are lost than it was given.
	const n = 300
	good := respondWith("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 4\n\ngood")
	every := func(k int64, ill func(net.Conn, *http.Request) bool) func(net.Conn, *http.Request) bool {
		var count atomic.Int64
		return func(c net.Conn, r *http.Request) bool {
			if count.Add(1)%k == 0 {
				return ill(c, r)
			}
			return good(c, r)
		}
	}
	mute := func(c net.Conn, _ *http.Request) bool { io.Copy(io.Discard, c); return false }
	for name, c := range map[string]struct {
		ill  func(net.Conn, *http.Request) bool
		most int64 // of requests that the ill one is given in all, where it can be told from others
		lost int64 // of those that may run again
	}{
		"errors always":       {respondWith(answerFailed), n / 3, 0},
		"errors now and then": {every(2, respondWith(answerFailed)), n, 0},
		"resets":              {func(net.Conn, *http.Request) bool { return false }, n / 3, 0},
		"always full":         {respondWith(answerFull), n, 0},
		"another is there":    {respondWith(answerMisdirected), n / 3, 0},
		"mute":                {mute, n / 10, n / 10},
		"flaps":               {every(3, func(net.Conn, *http.Request) bool { return false }), n, n / 50},
		"nonsense":            {respondWith("nonsense\n\n"), n / 3, 0},
		"errors for some callers": {func(c net.Conn, r *http.Request) bool {
			if strings.HasSuffix(r.URL.Path, "3") {
				return respondWith(answerFailed)(c, r)
			}
			return good(c, r)
		}, n, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ill := newScriptedEngine(t, c.ill)
			list := []endpoints.Endpoint{endpointOf("ill", "s", ill)}
			for i := range 4 {
				list = append(list, endpointOf(fmt.Sprint("good-", i), "s", newScriptedEngine(t, good)))
			}
			p := newTestPlane(t, 1, list...)
			again := postMany(t, p.addr, "/again/", n, 8)
			if lost := n - again.served.Load(); lost > c.lost {
				t.Errorf("%d of %d that may run again were not served (%d refused, %d failed)", lost, n, again.rejected.Load(), again.failed.Load())
			}
			given := ill.requests.Load()
			if given > c.most {
				t.Errorf("the ill one was given %d of %d", given, n)
			}
			once := postMany(t, p.addr, "/once/", n, 8)
			if lost, given := n-once.served.Load(), ill.requests.Load()-given; lost > given {
				t.Errorf("%d that may not run again were lost, and the ill one was given %d", lost, given)
			}
			t.Logf("given %d, then %d; lost %d, then %d", given, ill.requests.Load()-given, n-again.served.Load(), n-once.served.Load())
		})
	}
}

func TestAddressReusedByAnotherServiceGetsNewConnections(t *testing.T) {
	// An engine goes, and its address is another service's engine's, while a leg is under way there and a line that served is
	// parked. What is asked of the new one comes on a line of its own and names it; the old service asks there no more.
	a, b := newRecordingEngine(t), newRecordingEngine(t)
	p := newTestPlane(t, 1, endpointOf("i-old", "s", a.scriptedEngine))
	if resp, _, err := post(t, p.addr, "/again/1"); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	parked := a.recorded()[0].from
	waitUntil(t, "a parked line", func() bool { return p.dataPlane.upstream.Parked() == 1 }) // it is parked once the answer has gone to the client
	running := openStream(t, p.addr)
	if got := a.recorded()[1]; got.from != parked || got.expect != "i-old" {
		t.Fatalf("%+v: the parked line was wanted", got)
	}
	if resp, _, err := post(t, p.addr, "/again/2"); err != nil || resp.StatusCode != 200 { // parks another
		t.Fatal(resp, err)
	}
	before := len(a.recorded())
	p.setEndpoints(endpointOf("i-new", "t", a.scriptedEngine), endpointOf("i-b", "s", b.scriptedEngine))
	for i := range 5 {
		for path, want := range map[string]string{"/other/": "i-new", "/again/": "i-b", "/once/": "i-b"} {
			if resp, _, err := post(t, p.addr, fmt.Sprint(path, i)); err != nil || resp.StatusCode != 200 {
				t.Errorf("%s, wanted of %s: %v %v", path, want, resp, err)
			}
		}
	}
	old := map[string]bool{}
	for i, x := range a.recorded() {
		if i < before {
			old[x.from] = true
		} else if x.expect != "i-new" || !strings.HasPrefix(x.path, "/other/") || old[x.from] {
			t.Errorf("%+v on a line that served the other engine: %v", x, old[x.from])
		}
	}
	for _, x := range b.recorded() {
		if x.expect != "i-b" || strings.HasPrefix(x.path, "/other/") {
			t.Errorf("the other engine was shown %+v", x)
		}
	}
	close(a.resume)
	if err := running.readRest(); err != nil {
		t.Errorf("the leg that was under way: %v", err)
	}
}
