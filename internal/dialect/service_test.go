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
	// More come than can be served: lower priorities are rejected at once, the tenant's priority before the route's, and
	// not once it is over. Other services are not concerned.
	c := conf()
	c.Tenants = []fleetconfig.Tenant{{Name: "k", APIKeys: []string{"one"}}, {Name: "low", APIKeys: []string{"two"}, Priority: 1}}
	c.Routes[1].Priority = 7
	at := compile(t, c)
	now := time.Duration(0)
	d := &Frontend{Config: func() *CompiledConfig { return at }, SplitKey: func() uint64 { return 1 }, Clock: func() time.Duration { return now }}
	come := func(path, key string) (frontend.Request, *frontend.Rejection) {
		t.Helper()
		req := ask(t, "POST "+path+" HTTP/1.1\nHost: a.example\nX-Credential: "+key)
		w, no := d.Route(req)
		if no != nil {
			t.Fatal(no)
		}
		return d.BuildRequest(req, &w, nil)
	}
	for i := range 40 { // a second in which half is turned away
		now = time.Duration(i) * 25 * time.Millisecond
		for _, key := range []string{"one", "two"} {
			m, no := come("/x/y/", key)
			if no != nil {
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
	if _, no := come("/x/y/", "one"); no != nil {
		t.Errorf("the tenant that goes first waits: %+v", no)
	}
	if _, no := come("/x/y/", "two"); no == nil || no.Status != 503 || no.RetryAfter <= 0 {
		t.Errorf("the tenant that goes second does not wait: %+v", no)
	}
	if _, no := come("/", "two"); no != nil {
		t.Errorf("another service: %+v", no)
	}
	for range 5 {
		now += 1100 * time.Millisecond
		come("/x/y/", "one")
		come("/x/y/", "two")
	}
	if _, no := come("/x/y/", "two"); no != nil {
		t.Errorf("long after: %+v", no)
	}
}

// TestLargeConfigurationsYield: no more than a few routes or tenants are worked on at a time, or streams would stand still.
