package dialect

import (
	"net/http"
	"testing"
	"time"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
)

func TestLowPrioritiesAreShedUnderOverload(t *testing.T) {
	// Under overload, requests of lower priorities are rejected at once; the tenant's priority counts before the route's. Shedding ends
	// with the overload and does not affect other services.
	c := testConfig()
	c.Tenants = []fleetconfig.Tenant{{Name: "k", APIKeys: []string{"one"}}, {Name: "low", APIKeys: []string{"two"}, Priority: 1}}
	c.Routes[1].Priority = 7
	config := compile(t, c)
	now := time.Duration(0)
	d := &Frontend{Config: func() *CompiledConfig { return config }, SplitKey: func() uint64 { return 1 }, Clock: func() time.Duration { return now }}
	send := func(path, key string) (frontend.Request, *frontend.Rejection) {
		t.Helper()
		req := parseRequest(t, "POST "+path+" HTTP/1.1\nHost: a.example\nX-Credential: "+key)
		dst, rejection := d.Route(req)
		if rejection != nil {
			t.Fatal(rejection)
		}
		return d.BuildRequest(req, &dst, nil)
	}
	for i := range 40 { // one second in which engines reject half of the requests
		now = time.Duration(i) * 25 * time.Millisecond
		for _, key := range []string{"one", "two"} {
			m, rejection := send("/x/y/", key)
			if rejection != nil {
				t.Fatal("rejected before an engine rejected any")
			}
			if key == "one" {
				d.BuildResponseHead(&m, &http.Response{StatusCode: 200, Status: "200 OK"})
			} else {
				d.Reject(&m, dispatch.VerdictRejected, time.Second, false, nil)
			}
		}
	}
	now = 1100 * time.Millisecond
	if _, rejection := send("/x/y/", "one"); rejection != nil {
		t.Errorf("a request of the high-priority tenant is shed: %+v", rejection)
	}
	if _, rejection := send("/x/y/", "two"); rejection == nil || rejection.Status != 503 || rejection.RetryAfter <= 0 {
		t.Errorf("a request of the low-priority tenant is not shed: %+v", rejection)
	}
	if _, rejection := send("/", "two"); rejection != nil {
		t.Errorf("another service sheds a request: %+v", rejection)
	}
	for range 5 {
		now += 1100 * time.Millisecond
		send("/x/y/", "one")
		send("/x/y/", "two")
	}
	if _, rejection := send("/x/y/", "two"); rejection != nil {
		t.Errorf("a request is shed after the overload: %+v", rejection)
	}
}
