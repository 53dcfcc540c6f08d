package dialect

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/dispatch"
	"notchhinge/internal/frontend"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/limits"
	"notchhinge/internal/upstream"
	"notchhinge/policy"
)

// testConfig returns a configuration of two services, four routes and one tenant with two keys.
func testConfig() *fleetconfig.Config {
	return &fleetconfig.Config{
		Revision: 3,
		Services: []fleetconfig.Service{{Name: "s"}, {Name: "t"}},
		Routes: []fleetconfig.Route{
			{Name: "wide", Hostname: "a.example", PathPrefix: "/", Type: fleetconfig.RouteIdempotent, TimeoutMS: 2500, TargetLatencyMS: 1000, TargetService: "t", MaxAttempts: 3},
			{Name: "deep", Hostname: "a.example", PathPrefix: "/x/y/", Type: fleetconfig.RouteStreaming, TimeoutMS: 12000, TargetLatencyMS: 800, SessionAffinity: true, TargetService: "s", MaxAttempts: 2},
			{Name: "open", Hostname: "a.example", PathPrefix: "/open/", Type: fleetconfig.RouteNonIdempotent, TimeoutMS: 1000, Public: true, TargetService: "t"},
			{
				Name: "split", Hostname: "b.example", PathPrefix: "/", Type: fleetconfig.RouteIdempotent, TimeoutMS: 1000,
				TrafficSplit: []fleetconfig.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 3}},
			},
		},
		Tenants: []fleetconfig.Tenant{{Name: "k", APIKeys: []string{"one", "two"}}},
	}
}

func compile(t *testing.T, c *fleetconfig.Config) *CompiledConfig {
	t.Helper()
	next := hoststate.PoolID(1)
	return Compile(c, CompileOptions{LogIndex: 4, NextPool: &next})
}

// newFrontend returns a Frontend of testConfig with a fixed clock.
func newFrontend(t *testing.T) *Frontend {
	config := compile(t, testConfig())
	n := uint64(0)
	return &Frontend{Config: func() *CompiledConfig { return config }, Salt: 9, SplitKey: func() uint64 { n += 0x9e3779b97f4a7c15; return n }, Clock: func() time.Duration { return 0 }}
}

// parseRequest parses the head of a request. The text has plain line feeds and no empty line at its end.
func parseRequest(t *testing.T, text string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.ReplaceAll(text, "\n", "\r\n") + "\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRoutesTenantsAndDeadlines(t *testing.T) {
	d := newFrontend(t)
	for text, want := range map[string]string{
		"POST /x/y/2 HTTP/1.1\nHost: a.example\nX-Credential: one":                           "s",
		"POST /x/y/ HTTP/1.1\nHost: A.example:80\nX-Credential: two":                         "s",
		"POST /x/y HTTP/1.1\nHost: a.example\nX-Credential: one":                             "t", // the prefix /x/y/ does not match
		"POST /x/yy/2 HTTP/1.1\nHost: a.example\nX-Credential: one":                          "t",
		"GET /x/y/2?q=/open/ HTTP/1.1\nHost: a.example\nX-Credential: one":                   "s",
		"GET /open/1 HTTP/1.1\nHost: a.example":                                              "t",
		"GET /open/1 HTTP/1.1\nHost: a.example\nX-Credential: none":                          "t",
		"GET /1 HTTP/1.1\nHost: a.example":                                                   "401",
		"GET /1 HTTP/1.1\nHost: a.example\nX-Credential: none":                               "401",
		"GET /1 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Credential: one":             "401",
		"GET /1 HTTP/1.1\nHost: c.example\nX-Credential: one":                                "404",
		"GET /1 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Deadline-Remaining-Ms: soon": "400",
	} {
		dst, rejection := d.Route(parseRequest(t, text))
		got := ""
		switch {
		case rejection != nil:
			got = map[int]string{400: "400", 401: "401", 404: "404"}[rejection.Status]
		case dst.Pool != nil:
			got = dst.Pool.Name
		}
		if got != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
	unconfigured := &Frontend{Config: func() *CompiledConfig { return nil }}
	if _, rejection := unconfigured.Route(parseRequest(t, "GET / HTTP/1.1\nHost: a.example")); rejection == nil || rejection.Status != 503 || rejection.RetryAfter == 0 {
		t.Errorf("without a configuration: %+v", rejection)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	d, requests := newFrontend(t), map[string]int{}
	for range 4000 {
		dst, rejection := d.Route(parseRequest(t, "GET /1 HTTP/1.1\nHost: b.example\nX-Credential: one"))
		if rejection != nil {
			t.Fatal(rejection)
		}
		requests[dst.Pool.Name]++
	}
	if requests["s"] < 800 || requests["s"] > 1200 {
		t.Errorf("requests by service %v, want about 1000 of 4000 to s", requests)
	}
}

func TestRequestForAnEngine(t *testing.T) {
	d := newFrontend(t)
	req := parseRequest(t, "POST /x/y/2?q=1 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Tenant: forged\nX-Expect-Instance: forged\n"+
		"X-Request-Id: 9c\nX-Prompt-Prefix: 17\nConnection: x-hop, close\nX-Hop: 1\nKeep-Alive: timeout=3\nTE: trailers\n"+
		"X-Deadline-Remaining-Ms: 5000\nX-Own: kept\nX-Own: twice\nContent-Length: 2")
	dst, rejection := d.Route(req)
	if rejection != nil {
		t.Fatal(rejection)
	}
	m, rejection := d.BuildRequest(req, &dst, []byte("{}"))
	if rejection != nil {
		t.Fatal(rejection)
	}
	text := string(Upstream{}.EncodeRequest(&m.Upstream, &dispatch.StartAttempt{HostName: "i-1"}, 0, nil))
	got, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		"X-Tenant": "k", "X-Expect-Instance": "i-1", "X-Request-Id": "9c", "X-Prompt-Prefix": "17", "X-Own": "kept,twice",
		"X-Credential": "", "X-Hop": "", "Keep-Alive": "", "Te": "", "Connection": "",
	} {
		if v := strings.Join(got.Header[name], ","); v != want {
			t.Errorf("%s: got %q, want %q", name, v, want)
		}
	}
	if got.RequestURI != "/x/y/2?q=1" || got.Host != "a.example" || got.ContentLength != 2 {
		t.Errorf("request URI %s, host %s, content length %d", got.RequestURI, got.Host, got.ContentLength)
	}
	if ms := got.Header.Get("X-Deadline-Remaining-Ms"); ms > "5000" || ms < "4000" {
		t.Errorf("remaining time %s ms, want at most 5000 and at least 4000", ms)
	}
	if m.Policy.Timeout > 3200*time.Millisecond || m.MaxAttempts != 2 || m.Policy.Session == 0 || m.Policy.Prefix == 0 {
		t.Errorf("request for the decision module: %+v", m.Policy)
	}
}

func TestSessionsByPrefixTenantAndRouter(t *testing.T) {
	build := func(d *Frontend, text string) policy.Request {
		req := parseRequest(t, text)
		dst, rejection := d.Route(req)
		if rejection != nil {
			t.Fatal(rejection)
		}
		m, rejection := d.BuildRequest(req, &dst, nil)
		if rejection != nil {
			t.Fatal(rejection)
		}
		return m.Policy
	}
	base := "POST /x/y/2 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Prompt-Prefix: "
	d, other := newFrontend(t), newFrontend(t)
	other.Salt = 10
	a := build(d, base+"17")
	if b := build(d, base+"17"); a.Session != b.Session || a.Prefix != b.Prefix {
		t.Error("the same prefix has two sessions")
	}
	if b := build(d, base+"18"); a.Session == b.Session || a.Prefix == b.Prefix {
		t.Error("two prefixes have the same session")
	}
	if b := build(other, base+"17"); a.Session == b.Session || a.Prefix != b.Prefix {
		t.Error("two routers must have different session IDs and the same prefix ID")
	}
	if b := build(d, "POST /1 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Prompt-Prefix: 17"); b.Session != 0 {
		t.Error("a request on a route without session affinity has a session")
	}
}

func TestRejectStatusSaysWhetherRequestMayHaveRun(t *testing.T) {
	d := newFrontend(t)
	kept := &frontend.ErrorResponse{Result: policy.ResultError}
	for _, c := range []struct {
		verdict    dispatch.Verdict
		mayHaveRun bool
		kept       *frontend.ErrorResponse
		want       int // status; 0 = the kept response
	}{
		{dispatch.VerdictRejected, false, nil, 503},
		{dispatch.VerdictFailed, false, nil, 503},
		{dispatch.VerdictRejected, true, nil, 502},
		{dispatch.VerdictFailed, true, nil, 504},
		{dispatch.VerdictFailed, true, kept, 0},
		{dispatch.VerdictRejected, true, kept, 0},
		{dispatch.VerdictRejected, false, kept, 503},
	} {
		rejection, response := d.Reject(&frontend.Request{}, c.verdict, 0, c.mayHaveRun, c.kept)
		switch {
		case c.want == 0 && response != kept, c.want != 0 && (rejection == nil || rejection.Status != c.want):
			t.Errorf("%+v: rejection %+v, response %+v", c, rejection, response)
		case c.want == 503 && rejection.RetryAfter == 0:
			t.Errorf("%+v: no Retry-After", c)
		}
	}
}

// TestUnconfirmedNotRunStatusIsNotForwarded: clients take a 408, 429 or 503 to mean that the request has not run. One from an engine that
// did not confirm it with X-Not-Executed is not forwarded.
func TestUnconfirmedNotRunStatusIsNotForwarded(t *testing.T) {
	d := newFrontend(t)
	for status, want := range map[int]bool{408: false, 429: false, 503: false, 500: true, 504: true, 501: true} {
		resp := &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{}}
		if got := (Upstream{}).Classify(resp); got != policy.ResultError {
			t.Errorf("status %d is classified as %v", status, got)
		}
		if kept := d.KeepErrorResponse(&frontend.Request{}, policy.ResultError, resp, nil); (kept != nil) != want {
			t.Errorf("status %d: kept response %v", status, kept)
		}
	}
}

func TestClassify(t *testing.T) {
	response := func(status int, headers ...string) *http.Response {
		r := &http.Response{StatusCode: status, Header: http.Header{}}
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		return r
	}
	for _, c := range []struct {
		r    *http.Response
		want policy.Result
	}{
		{response(200), policy.ResultOK},
		{response(404), policy.ResultOK},
		{response(500), policy.ResultError},
		{response(503), policy.ResultError},
		{response(429), policy.ResultError},
		{response(503, "X-Not-Executed", "1"), policy.ResultFull},
		{response(429, "X-Not-Executed", "1"), policy.ResultFull},
		{response(421), policy.ResultConnectFailed},
		{response(400, "X-Not-Executed", "1"), policy.ResultOK},
		{response(504), policy.ResultError},
	} {
		if got := (Upstream{}).Classify(c.r); got != c.want {
			t.Errorf("%d %v: got %v, want %v", c.r.StatusCode, c.r.Header, got, c.want)
		}
	}
	for value, want := range map[string]time.Duration{"timeout=10": 9400 * time.Millisecond, "timeout=10, max=3": 9400 * time.Millisecond, "": 300 * time.Millisecond, "timeout=x": 300 * time.Millisecond} {
		if got := (Upstream{}).IdleTimeout(response(200, "Keep-Alive", value)); got != want {
			t.Errorf("Keep-Alive %q: idle timeout %v", value, got)
		}
	}
}

func TestResponseHeadsArePassedOnUnchanged(t *testing.T) {
	d := newFrontend(t)
	resp := &http.Response{StatusCode: 200, Status: "200 OK", ContentLength: 5, Header: http.Header{
		"X-Response-Seal": {"3e1b.07"}, "Connection": {"close, x-odd"}, "X-Odd": {"1"}, "Keep-Alive": {"timeout=3"}, "Set-Cookie": {"a", "b"},
	}}
	r := d.BuildResponseHead(&frontend.Request{Upstream: upstream.Request{Method: "POST"}}, resp)
	head := string(r.Lines)
	if !strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n") || !strings.Contains(head, "X-Response-Seal: 3e1b.07\r\n") ||
		strings.Count(head, "Set-Cookie") != 2 || strings.Contains(head, "X-Odd") || strings.Contains(head, "Connection") ||
		strings.Contains(head, "Keep-Alive") || r.ContentLength != 5 || r.NoBody {
		t.Errorf("head %q, content length %d", head, r.ContentLength)
	}
	if r := d.BuildResponseHead(&frontend.Request{Upstream: upstream.Request{Method: "HEAD"}}, resp); !r.NoBody {
		t.Error("a response to HEAD has a body")
	}
}

func TestServicesKeepIDsAndClassesAcrossConfigurations(t *testing.T) {
	next := hoststate.PoolID(1)
	first := Compile(testConfig(), CompileOptions{LogIndex: 1, NextPool: &next})
	c := testConfig()
	c.Revision = 9
	c.Routes[1].TargetLatencyMS = 700 // a new class of s
	c.Services = append(c.Services, fleetconfig.Service{Name: "u"})
	second := Compile(c, CompileOptions{LogIndex: 2, Previous: first.Services(), NextPool: &next})
	s, previous := second.Services()["s"], first.Services()["s"]
	if s.ID != previous.ID || len(s.Classes) != len(previous.Classes)+1 || second.Services()["u"].ID != 3 {
		t.Errorf("service %+v, before %+v", s, previous)
	}
	for i, class := range previous.Classes {
		if s.Classes[i] != class {
			t.Error("the index of a class has changed")
		}
	}
}

// TestDrainGraceFitsIntoTheDrain: the grace for known sessions, the time that gossip needs to reach all routers and the time that a
// request needs to reach the engine must fit into the drain timeout of the platform.
func TestDrainGraceFitsIntoTheDrain(t *testing.T) {
	const drain = 3 * time.Second
	connect := 500 * time.Millisecond
	if sum := limits.DrainGrace(drain) + limits.GossipSpreadTime + connect; sum > drain {
		t.Errorf("grace, gossip and connect take %v of a drain of %v", sum, drain)
	}
}

// checkForwarded checks the headers of a request to an engine.
func checkForwarded(t *testing.T, h http.Header) {
	t.Helper()
	for _, name := range []string{keyHeader, "Te", "Keep-Alive", "Upgrade", "Transfer-Encoding"} {
		if v := h[name]; len(v) > 0 {
			t.Errorf("%s: %q is forwarded", name, v)
		}
	}
	if v := h[tenantHeader]; len(v) > 0 && (len(v) > 1 || v[0] != "k") {
		t.Errorf("tenant header %q, want k", v)
	}
	if v := h[expectHeader]; len(v) != 1 || v[0] != "i-1" {
		t.Errorf("%s: got %q, want i-1", expectHeader, v)
	}
}

func FuzzHeads(f *testing.F) {
	// No head from a client or an engine may cause a panic. The forwarded request and response must each parse as one message, and the
	// request must not contain hop-by-hop headers, the API key or a forged tenant.
	f.Add("POST /x/y/2?q HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\nX-Tenant: z\r\nConnection: X-Odd, close\r\nX-Odd: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\n\r\n")
	f.Add("GET http://b.example/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\nTE: trailers\r\nX-Prompt-Prefix: 7\r\n\r\n",
		"HTTP/1.1 421 \r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n")
	f.Add("GET /open/ HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Remaining-Ms: 1e400\r\n\r\n", "HTTP/1.1 503 a\r\nConnection: X-Not-Executed\r\n\r\n")
	config := func() *CompiledConfig {
		next := hoststate.PoolID(1)
		return Compile(testConfig(), CompileOptions{LogIndex: 4, NextPool: &next})
	}()
	d := &Frontend{Config: func() *CompiledConfig { return config }, SplitKey: func() uint64 { return 1 }, OnResponse: func(string) {}, Clock: func() time.Duration { return 0 }}
	f.Fuzz(func(t *testing.T, requestHead, responseHead string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestHead)))
		if err != nil {
			return
		}
		dst, rejection := d.Route(req)
		if rejection != nil {
			return
		}
		m, rejection := d.BuildRequest(req, &dst, nil)
		if rejection != nil {
			return
		}
		head := Upstream{}.EncodeRequest(&m.Upstream, &dispatch.StartAttempt{HostName: "i-1"}, time.Second, nil)
		forwarded, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			t.Fatalf("the forwarded request %q does not parse: %v", head, err)
		}
		checkForwarded(t, forwarded.Header)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(responseHead)), nil)
		if err != nil {
			return
		}
		Upstream{}.Classify(resp)
		Upstream{}.IsEventStream(resp)
		if idle := (Upstream{}).IdleTimeout(resp); idle > 24*time.Hour {
			t.Errorf("a connection may be idle for %v", idle)
		}
		out := d.BuildResponseHead(&m, resp)
		if _, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(out.Lines)+"Content-Length: 0\r\n\r\n")), nil); err != nil {
			t.Errorf("the forwarded response %q does not parse: %v", out.Lines, err)
		}
	})
}

// TestLargeConfigurationsYield: without regular yields, decoding and compiling a large configuration would block the streams of a router.
func TestLargeConfigurationsYield(t *testing.T) {
	c := testConfig()
	for i := range 1000 {
		c.Routes = append(c.Routes, fleetconfig.Route{
			Name: fmt.Sprint("r", i), Hostname: "many.example", PathPrefix: fmt.Sprintf("/%d/", i),
			Type: fleetconfig.RouteIdempotent, TimeoutMS: 1000, TargetService: c.Services[0].Name,
		})
		c.Tenants = append(c.Tenants, fleetconfig.Tenant{Name: fmt.Sprint("t", i), APIKeys: []string{fmt.Sprint("key-", i)}})
	}
	encoded, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	yields := 0
	got, err := fleetconfig.Decode(encoded, func() { yields++ })
	if err != nil || yields < 2000/fleetconfig.YieldInterval-1 {
		t.Fatalf("decoded with %d yields, error %v", yields, err)
	}
	want, _, err := fleetconfig.DecodeWithDigest(encoded)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("error %v (-without yields +with yields):\n%s", err, diff)
	}
	yields = 0
	next := hoststate.PoolID(1)
	if Compile(got, CompileOptions{LogIndex: 1, NextPool: &next, Yield: func() { yields++ }}); yields < 2000/fleetconfig.YieldInterval-1 {
		t.Errorf("compiled with %d yields", yields)
	}
}
