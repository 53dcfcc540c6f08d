package frontend

import (
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"notchhinge/internal/directory"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/limits"
	"notchhinge/internal/quota"
	"notchhinge/internal/route"
	"notchhinge/internal/testutil/replay"
	"notchhinge/policy"
)

// TestRequestsAreForwardedAsRouted sends differently spelled hosts and paths to a server with two services. It checks that each
// request is forwarded with the normalized host and path by which it was routed, so no spelling bypasses a route.
func TestRequestsAreForwardedAsRouted(t *testing.T) {
	poolIDs := map[string]int{"runs": 1, "calib": 2}
	table, faults := route.New(
		[]route.Service{{Name: "runs", Pools: []route.WeightedPool{{Pool: "runs", Weight: 1}}}, {Name: "calib", Pools: []route.WeightedPool{{Pool: "calib", Weight: 1}}}},
		[]route.Route{
			{Service: "runs", Host: "runs.example.org", Prefix: "/v1", Method: "POST"},
			{Service: "calib", Host: "calib.example.org", Method: "POST"},
			{Service: "calib", Host: "runs.example.org", Prefix: "/v1/fits", Method: "POST"},
			{Service: "runs", Host: "2001:db8::1", Method: "POST"},
		}, func(name string) (int, bool) { n, ok := poolIDs[name]; return n, ok })
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	dir := directory.New(table, true,
		&directory.Pool{ID: 1, Name: "runs", Classes: []policy.Class{{Name: "chat"}}, MaxBudget: time.Minute},
		&directory.Pool{ID: 2, Name: "calib", Classes: []policy.Class{{Name: "fit"}, {Name: "chat"}}, MaxBudget: time.Minute, RetryAfter: 250 * time.Millisecond})
	synctest.Test(t, func(t *testing.T) {
		events := make(chan dispatch.Event, 64)
		lim := limits.New(limits.Machine{Cores: 1, MemoryMB: 192, Sockets: 1024}, limits.Site{MaxDeadline: time.Second})
		s := New(Options{
			Limits: lim, Directory: func() *directory.Directory { return dir }, IsReady: func() bool { return true },
			Now: func() time.Duration { return 0 },
			Post: func(e dispatch.Event) {
				if _, counted := e.(dispatch.RejectedByFrontend); !counted {
					events <- e
				}
			},
		})
		s.ConfigurePool(2, quota.Claim{Max: 30}, quota.Claim{})
		serverConn, clientConn := net.Pipe()
		ended := make(chan struct{})
		go func() { s.ServeConn(serverConn); close(ended) }()
		replay.Play(t, clientConn, "testdata/parts/services.txt", replay.Steps{
			"routed": func(want string) {
				e := (<-events).(dispatch.RequestReceived)
				open := e.Client.(*openRequest)
				if got := fmt.Sprintf("pool %d class %d as %s %s", e.Pool, e.Request.Class, open.Request.Upstream.Host, open.Request.Upstream.Target); got != want {
					t.Errorf("routed to %s, want %s", got, want)
				}
				go open.Reject(dispatch.VerdictRejected, 0)
			},
			"nothing": func(string) {
				synctest.Wait()
				if len(events) > 0 {
					t.Errorf("unexpected event %+v", <-events)
				}
			},
		})
		clientConn.Close()
		<-ended
		if s.bodyQuota.Used()+s.requestQuota.Used() != 0 {
			t.Errorf("%d bytes and %d requests are still reserved", s.bodyQuota.Used(), s.requestQuota.Used())
		}
	})
}
