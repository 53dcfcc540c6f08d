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

// TestFaultyEngineCostsFewRequests: one of five engines is faulty although its endpoint is ready. Idempotent requests are
// served by the other engines, and few are sent to the faulty one. No more non-idempotent requests fail than it received.
func TestFaultyEngineCostsFewRequests(t *testing.T) {
	const n = 300
	good := respondWith("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 4\n\ngood")
	reset := func(net.Conn, *http.Request) bool { return false }
	mute := func(c net.Conn, _ *http.Request) bool {
		io.Copy(io.Discard, c)
		return false
	}
	everyNth := func(k int64, fault script) script {
		var count atomic.Int64
		return func(c net.Conn, r *http.Request) bool {
			if count.Add(1)%k == 0 {
				return fault(c, r)
			}
			return good(c, r)
		}
	}
	failSomeClients := func(c net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "3") {
			return respondWith(answerFailed)(c, r)
		}
		return good(c, r)
	}
	for name, c := range map[string]struct {
		fault    script
		maxGiven int64 // number of idempotent requests that the faulty engine may receive
		maxLost  int64 // number of idempotent requests that may fail
	}{
		"always errors":           {respondWith(answerFailed), n / 3, 0},
		"every other errors":      {everyNth(2, respondWith(answerFailed)), n, 0},
		"resets":                  {reset, n / 3, 0},
		"always full":             {respondWith(answerFull), n, 0},
		"misdirected":             {respondWith(answerMisdirected), n / 3, 0},
		"mute":                    {mute, n / 10, n / 10},
		"flaps":                   {everyNth(3, reset), n, n / 50},
		"no HTTP":                 {respondWith("nonsense\n\n"), n / 3, 0},
		"errors for some clients": {failSomeClients, n, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faulty := newScriptedEngine(t, c.fault)
			list := []endpoints.Endpoint{endpointOf("faulty", "s", faulty)}
			for i := range 4 {
				list = append(list, endpointOf(fmt.Sprint("good-", i), "s", newScriptedEngine(t, good)))
			}
			p := newTestPlane(t, 1, list...)
			idempotent := postMany(t, p.addr, load{prefix: "/again/", requests: n, concurrency: 8})
			if lost := n - idempotent.served.Load(); lost > c.maxLost {
				t.Errorf("%d of %d idempotent requests were not served (%d rejected, %d failed)", lost, n, idempotent.rejected.Load(), idempotent.failed.Load())
			}
			given := faulty.requests.Load()
			if given > c.maxGiven {
				t.Errorf("the faulty engine got %d of %d idempotent requests", given, n)
			}
			once := postMany(t, p.addr, load{prefix: "/once/", requests: n, concurrency: 8})
			if lost, given := n-once.served.Load(), faulty.requests.Load()-given; lost > given {
				t.Errorf("%d non-idempotent requests were lost, and the faulty engine got %d", lost, given)
			}
			t.Logf("idempotent, then non-idempotent: the faulty engine got %d, then %d; lost %d, then %d", given, faulty.requests.Load()-given, n-idempotent.served.Load(), n-once.served.Load())
		})
	}
}

// TestAddressReusedByAnotherServiceGetsNewConnections: an engine of another service takes over the address of an engine that
// still has an attempt in flight and an idle connection. Requests to the new engine carry its id and use new connections, and
// the old service sends nothing to the address.
func TestAddressReusedByAnotherServiceGetsNewConnections(t *testing.T) {
	reused, other := newRecordingEngine(t), newRecordingEngine(t)
	p := newTestPlane(t, 1, endpointOf("i-old", "s", reused.scriptedEngine))
	mustServe := func(path string) {
		t.Helper()
		if resp, _, err := post(t, p.addr, path); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(path, resp, err)
		}
	}
	mustServe("/again/1")
	idle := reused.recorded()[0].from
	// The connection becomes idle after the client has received the response.
	waitUntil(t, "an idle connection", func() bool { return p.dataPlane.upstream.IdleConnections() == 1 })
	running := openStream(t, p.addr)
	if got := reused.recorded()[1]; got.from != idle || got.instance != "i-old" {
		t.Fatalf("%+v did not reuse the idle connection of i-old", got)
	}
	mustServe("/again/2") // leaves another idle connection
	before := len(reused.recorded())
	p.setEndpoints(endpointOf("i-new", "t", reused.scriptedEngine), endpointOf("i-b", "s", other.scriptedEngine))
	for i := range 5 {
		for _, prefix := range []string{"/other/", "/again/", "/once/"} {
			if resp, _, err := post(t, p.addr, fmt.Sprint(prefix, i)); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s%d: %v %v", prefix, i, resp, err)
			}
		}
	}
	checkReused(t, reused.recorded(), before)
	for _, r := range other.recorded() {
		if r.instance != "i-b" || strings.HasPrefix(r.path, "/other/") {
			t.Errorf("the other engine got %+v", r)
		}
	}
	close(reused.resume)
	if err := running.readRest(); err != nil {
		t.Errorf("the attempt in flight: %v", err)
	}
}

// checkReused checks that all requests after the first ones carry the id of the new engine, belong to its service, and use
// connections that none of the first ones used.
func checkReused(t *testing.T, requests []recordedRequest, first int) {
	t.Helper()
	isOld := map[string]bool{}
	for _, r := range requests[:first] {
		isOld[r.from] = true
	}
	for _, r := range requests[first:] {
		if r.instance != "i-new" || !strings.HasPrefix(r.path, "/other/") || isOld[r.from] {
			t.Errorf("request %+v reached the new engine; on a connection of the old engine: %v", r, isOld[r.from])
		}
	}
}
