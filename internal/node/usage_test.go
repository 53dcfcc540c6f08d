package node

import (
	"net/http"
	"testing"
	"time"
)

// TestUsageIsReportedOnceThroughFaults: the platform throttles reports, then fails, then accepts them but answers too late.
// The lease holder stops meanwhile, and so does its successor. All reports of a window agree, and the windows add up to the
// number of served requests.
func TestUsageIsReportedOnceThroughFaults(t *testing.T) {
	f := newTestFleet(t, 5, fleetSize{routers: 1})
	router := f.routers[0]
	e := newFakeEngine(t, "i-1")
	if code := replaceConfig(t, router.control, 0, encodedConfig(3, "k")); code != http.StatusOK {
		t.Fatal(code)
	}
	f.platform.setFault(func(call int) (int, time.Duration) {
		switch {
		case call <= 3:
			return http.StatusTooManyRequests, 0
		case call <= 5:
			return http.StatusServiceUnavailable, 0
		case call <= 7:
			return 0, 2 * time.Second // executed, but the response is too late for the caller
		}
		return 0, 0
	})
	e.heartbeat(f.replicas[0].control, "ready")
	waitUntil(t, "readiness", router.isReady)
	served := uint64(0)
	sendRequests := func(n int) {
		for range n {
			e.heartbeat(router.control, "ready")
			if resp, _ := clientRequest(t, router, "/read/1", "k"); resp != nil && resp.StatusCode == http.StatusOK {
				served++
			}
		}
	}
	for range 2 {
		sendRequests(20)
		var holder *testNode
		waitUntil(t, "a lease holder", func() bool {
			holder = f.leaseHolder()
			return holder != nil && holder.isRunning()
		})
		holder.stop()
		sendRequests(20)
		holder.restart()
	}
	waitUntil(t, "all served requests are reported", func() bool {
		e.heartbeat(router.control, "ready")
		return f.platform.reported("lab") == served
	})
	f.platform.checkReports(t)
	if calls := f.platform.callCount(); calls < 6 {
		t.Errorf("the platform received only %d calls, which do not cover its faults", calls)
	}
}

// leaseHolder returns the lease holder that the first running replica with a known holder reports; nil = none is known.
func (f *testFleet) leaseHolder() *testNode {
	for _, m := range f.replicas {
		if !m.isRunning() {
			continue
		}
		holder := m.status().LeaseHolder
		for _, r := range f.replicas {
			if r.name() == holder {
				return r
			}
		}
	}
	return nil
}
