package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"notchhinge/internal/control/endpoints"
)

// fate is what came of requests.
type fate struct{ served, refused, failed atomic.Int64 }

// many makes requests, so many at once, and counts what came of them.
func many(t *testing.T, addr, path string, n, atOnce int) *fate {
	f := &fate{}
	var wait sync.WaitGroup
	next := make(chan int)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: atOnce}}
	for range atOnce {
		wait.Go(func() {
			for i := range next {
				req, err := http.NewRequest("POST", "http://"+addr+fmt.Sprint(path, i), strings.NewReader("{}"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "h"
				resp, err := client.Do(req)
				if err != nil {
					f.failed.Add(1)
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				switch {
				case err == nil && resp.StatusCode == 200:
					f.served.Add(1)
				case resp.StatusCode == 503:
					f.refused.Add(1)
				default:
					f.failed.Add(1)
				}
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wait.Wait()
	return f
}

func TestIllEngines(t *testing.T) {
	// One of five is ill in a way of its own, and the beats say that all are ready. Requests that may run again are served by
	// the others, few by that one's way; of those that may not, no more are lost than it was given.
	const n = 300
	good := says("HTTP/1.1 200 OK\nKeep-Alive: timeout=10\nContent-Length: 4\n\ngood")
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
		"errors always":       {says(failed), n / 3, 0},
		"errors now and then": {every(2, says(failed)), n, 0},
		"resets":              {func(net.Conn, *http.Request) bool { return false }, n / 3, 0},
		"always full":         {says(full), n, 0},
		"another is there":    {says(wrong), n / 3, 0},
		"mute":                {mute, n / 10, n / 10},
		"flaps":               {every(3, func(net.Conn, *http.Request) bool { return false }), n, n / 50},
		"nonsense":            {says("nonsense\n\n"), n / 3, 0},
		"errors for some callers": {func(c net.Conn, r *http.Request) bool {
			if strings.HasSuffix(r.URL.Path, "3") {
				return says(failed)(c, r)
			}
			return good(c, r)
		}, n, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ill := newRawEngine(t, c.ill)
			list := []endpoints.Engine{at("ill", "s", ill)}
			for i := range 4 {
				list = append(list, at(fmt.Sprint("good-", i), "s", newRawEngine(t, good)))
			}
			p := newPlane(t, 1, list...)
			again := many(t, p.addr, "/again/", n, 8)
			if lost := n - again.served.Load(); lost > c.lost {
				t.Errorf("%d of %d that may run again were not served (%d refused, %d failed)", lost, n, again.refused.Load(), again.failed.Load())
			}
			given := ill.got.Load()
			if given > c.most {
				t.Errorf("the ill one was given %d of %d", given, n)
			}
			once := many(t, p.addr, "/once/", n, 8)
			if lost, given := n-once.served.Load(), ill.got.Load()-given; lost > given {
				t.Errorf("%d that may not run again were lost, and the ill one was given %d", lost, given)
			}
			t.Logf("given %d, then %d; lost %d, then %d", given, ill.got.Load()-given, n-again.served.Load(), n-once.served.Load())
		})
	}
}
