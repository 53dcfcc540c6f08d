package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"notchhinge/internal/control/endpoints"
	"notchhinge/internal/control/fleetconfig"
)

// TestRequestOfADroppedServiceReachesNoEnginePastItsDrain guards against requests that are retried at an engine that drains or has
// deregistered: the policy module of a service that a configuration dropped heard of no endpoint any more.
func TestRequestOfADroppedServiceReachesNoEnginePastItsDrain(t *testing.T) {
	const pastGrace = 1200 * time.Millisecond // the grace of a test plane is a second
	for name, c := range map[string]struct {
		state     endpoints.State // of the other engine
		isListed  bool
		wait      time.Duration
		isRetried bool
	}{
		"ready":              {endpoints.StateReady, true, 0, true},
		"draining":           {endpoints.StateDraining, true, pastGrace, false},
		"deregistered":       {endpoints.StateDraining, false, 0, false},
		"deregistered later": {endpoints.StateDraining, false, pastGrace, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			turnAway := func(c net.Conn, _ *http.Request) bool {
				<-release
				io.WriteString(c, strings.ReplaceAll(answerFull, "\n", "\r\n"))
				return true
			}
			for seed := range uint64(40) { // until the first attempt goes to the first engine
				first, second := newScriptedEngine(t, turnAway), newScriptedEngine(t, respondWith(answerServed))
				one, two := endpointOf("first", "s", first), endpointOf("second", "s", second)
				p := newTestPlane(t, seed, one, two)
				status := make(chan int, 1)
				go func() {
					resp, err := http.DefaultClient.Do(newPost(t, p.addr, "/long/1"))
					if err != nil {
						status <- 0
						return
					}
					resp.Body.Close()
					status <- resp.StatusCode
				}()
				waitUntil(t, "the first attempt", func() bool { return first.requests.Load()+second.requests.Load() > 0 })
				if second.requests.Load() > 0 {
					continue
				}
				if err := p.dataPlane.applyConfig(2, &fleetconfig.Config{Revision: 2, Services: []fleetconfig.Service{{Name: "t"}}}); err != nil {
					t.Fatal(err)
				}
				two.State = c.state
				listed := []endpoints.Endpoint{one}
				if c.isListed {
					listed = append(listed, two)
				}
				p.setEndpoints(listed...)
				<-time.After(c.wait)
				close(release)
				got := <-status
				if isRetried := second.requests.Load() > 0; isRetried != c.isRetried || (got == http.StatusOK) != c.isRetried {
					t.Errorf("the other engine got %d requests; status %d", second.requests.Load(), got)
				}
				return
			}
			t.Error("the first engine was never selected")
		})
	}
}
