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

func conf() *fleetconfig.Config {
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
	out, err := Compile(c, CompileOptions{LogIndex: 4, NextPool: &next})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func dialect(t *testing.T) *Frontend {
	at := compile(t, conf())
	n := uint64(0)
	return &Frontend{Config: func() *CompiledConfig { return at }, Salt: 9, SplitKey: func() uint64 { n += 0x9e3779b97f4a7c15; return n }, Clock: func() time.Duration { return 0 }}
}

func ask(t *testing.T, text string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.ReplaceAll(text, "\n", "\r\n") + "\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRoutesTenantsAndDeadlines(t *testing.T) {
	d := dialect(t)
	for text, want := range map[string]string{
		"POST /x/y/2 HTTP/1.1\nHost: a.example\nX-Credential: one":                           "s",
		"POST /x/y/ HTTP/1.1\nHost: A.example:80\nX-Credential: two":                         "s",
		"POST /x/y HTTP/1.1\nHost: a.example\nX-Credential: one":                             "t", // the prefix does not begin it
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
		w, no := d.Route(ask(t, text))
		got := ""
		switch {
		case no != nil:
			got = map[int]string{400: "400", 401: "401", 404: "404"}[no.Status]
		case w.Pool != nil:
			got = w.Pool.Name
		}
		if got != want {
			t.Errorf("%q: %q, %q is wanted", text, got, want)
		}
	}
	none := &Frontend{Config: func() *CompiledConfig { return nil }}
	if _, no := none.Route(ask(t, "GET / HTTP/1.1\nHost: a.example")); no == nil || no.Status != 503 || no.RetryAfter == 0 {
		t.Errorf("without a configuration: %+v", no)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	d, n := dialect(t), map[string]int{}
	for range 4000 {
		w, no := d.Route(ask(t, "GET /1 HTTP/1.1\nHost: b.example\nX-Credential: one"))
		if no != nil {
			t.Fatal(no)
		}
		n[w.Pool.Name]++
	}
	if n["s"] < 800 || n["s"] > 1200 {
		t.Errorf("%v", n)
	}
}

func TestRequestForAnEngine(t *testing.T) {
	d := dialect(t)
	req := ask(t, "POST /x/y/2?q=1 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Tenant: forged\nX-Expect-Instance: forged\n"+
		"X-Request-Id: 9c\nX-Prompt-Prefix: 17\nConnection: x-hop, close\nX-Hop: 1\nKeep-Alive: timeout=3\nTE: trailers\n"+
		"X-Deadline-Remaining-Ms: 5000\nX-Own: kept\nX-Own: twice\nContent-Length: 2")
	w, no := d.Route(req)
	if no != nil {
		t.Fatal(no)
	}
	m, no := d.BuildRequest(req, &w, []byte("{}"))
	if no != nil {
		t.Fatal(no)
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
			t.Errorf("%s: %q, %q is wanted", name, v, want)
		}
	}
	if got.RequestURI != "/x/y/2?q=1" || got.Host != "a.example" || got.ContentLength != 2 {
		t.Errorf("%s %s %d", got.RequestURI, got.Host, got.ContentLength)
	}
	if ms := got.Header.Get("X-Deadline-Remaining-Ms"); ms > "5000" || ms < "4000" {
		t.Errorf("%s ms are left of 5000", ms)
	}
	if m.Policy.Timeout > 3200*time.Millisecond || m.MaxAttempts != 2 || m.Policy.Session == 0 || m.Policy.Prefix == 0 {
		t.Errorf("%+v", m.Policy)
	}
}

func TestSessionsByPrefixTenantAndRouter(t *testing.T) {
	accept := func(d *Frontend, text string) policy.Request {
		req := ask(t, text)
		w, no := d.Route(req)
		if no != nil {
			t.Fatal(no)
		}
		m, no := d.BuildRequest(req, &w, nil)
		if no != nil {
			t.Fatal(no)
		}
		return m.Policy
	}
	base := "POST /x/y/2 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Prompt-Prefix: "
	d, other := dialect(t), dialect(t)
	other.Salt = 10
	a := accept(d, base+"17")
	if b := accept(d, base+"17"); a.Session != b.Session || a.Prefix != b.Prefix {
		t.Error("one prefix, two sessions")
	}
	if b := accept(d, base+"18"); a.Session == b.Session || a.Prefix == b.Prefix {
		t.Error("two prefixes, one session")
	}
	if b := accept(other, base+"17"); a.Session == b.Session || a.Prefix != b.Prefix {
		t.Error("routers draw by themselves, and keep to the same engines of a prefix")
	}
	if b := accept(d, "POST /1 HTTP/1.1\nHost: a.example\nX-Credential: one\nX-Prompt-Prefix: 17"); b.Session != 0 {
		t.Error("a route without affinity has a session")
	}
}

func TestRejectionsPromiseOnlyWhatHolds(t *testing.T) {
	d := dialect(t)
	kept := &frontend.ErrorResponse{Result: policy.ResultError}
	for _, c := range []struct {
		why    dispatch.Verdict
		mayRun bool
		kept   *frontend.ErrorResponse
		want   int // 0 = what was kept
	}{
		{dispatch.VerdictRejected, false, nil, 503},
		{dispatch.VerdictFailed, false, nil, 503},
		{dispatch.VerdictRejected, true, nil, 502},
		{dispatch.VerdictFailed, true, nil, 504},
		{dispatch.VerdictFailed, true, kept, 0},
		{dispatch.VerdictRejected, true, kept, 0},
		{dispatch.VerdictRejected, false, kept, 503},
	} {
		no, instead := d.Reject(&frontend.Request{}, c.why, 0, c.mayRun, c.kept)
		switch {
		case c.want == 0 && instead != kept, c.want != 0 && (no == nil || no.Status != c.want):
			t.Errorf("%+v: %+v, %+v", c, no, instead)
		case c.want == 503 && no.RetryAfter == 0:
			t.Errorf("%+v: without Retry-After", c)
		}
	}
}

// TestEnginesPromiseIsNotPassedOn: an engine's 408, 429 or 503 without its word that it has not run is not passed on: to a client it would be one.
func TestEnginesPromiseIsNotPassedOn(t *testing.T) {
	d := dialect(t)
	for status, want := range map[int]bool{408: false, 429: false, 503: false, 500: true, 504: true, 501: true} {
		resp := &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{}}
		if got := (Upstream{}).Classify(resp); got != policy.ResultError {
			t.Errorf("%d: %v", status, got)
		}
		if kept := d.KeepErrorResponse(&frontend.Request{}, policy.ResultError, resp, nil); (kept != nil) != want {
			t.Errorf("%d is kept: %v", status, kept)
		}
	}
}

func TestClassify(t *testing.T) {
	answer := func(status int, headers ...string) *http.Response {
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
		{answer(200), policy.ResultOK},
		{answer(404), policy.ResultOK},
		{answer(500), policy.ResultError},
		{answer(503), policy.ResultError},
		{answer(429), policy.ResultError},
		{answer(503, "X-Not-Executed", "1"), policy.ResultFull},
		{answer(429, "X-Not-Executed", "1"), policy.ResultFull},
		{answer(421), policy.ResultConnectFailed},
		{answer(400, "X-Not-Executed", "1"), policy.ResultOK},
		{answer(504), policy.ResultError},
	} {
		if got := (Upstream{}).Classify(c.r); got != c.want {
			t.Errorf("%d %v: %v, %v is wanted", c.r.StatusCode, c.r.Header, got, c.want)
		}
	}
	for value, want := range map[string]time.Duration{"timeout=10": 9400 * time.Millisecond, "timeout=10, max=3": 9400 * time.Millisecond, "": 300 * time.Millisecond, "timeout=x": 300 * time.Millisecond} {
		if got := (Upstream{}).IdleTimeout(answer(200, "Keep-Alive", value)); got != want {
			t.Errorf("%q: %v", value, got)
		}
	}
}

func TestResponseHeadsArePassedOnUnchanged(t *testing.T) {
	d := dialect(t)
	resp := &http.Response{StatusCode: 200, Status: "200 OK", ContentLength: 5, Header: http.Header{
		"X-Response-Seal": {"3e1b.07"}, "Connection": {"close, x-odd"}, "X-Odd": {"1"}, "Keep-Alive": {"timeout=3"}, "Set-Cookie": {"a", "b"},
	}}
	r := d.BuildResponseHead(&frontend.Request{Upstream: upstream.Request{Method: "POST"}}, resp)
	head := string(r.Lines)
	if !strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n") || !strings.Contains(head, "X-Response-Seal: 3e1b.07\r\n") ||
		strings.Count(head, "Set-Cookie") != 2 || strings.Contains(head, "X-Odd") || strings.Contains(head, "Connection") ||
		strings.Contains(head, "Keep-Alive") || r.ContentLength != 5 || r.NoBody {
		t.Errorf("%q, %d", head, r.ContentLength)
	}
	if r := d.BuildResponseHead(&frontend.Request{Upstream: upstream.Request{Method: "HEAD"}}, resp); !r.NoBody {
		t.Error("an answer to HEAD has a body")
	}
}

func TestServicesOutliveConfigurations(t *testing.T) {
	next := hoststate.PoolID(1)
	first, err := Compile(conf(), CompileOptions{LogIndex: 1, NextPool: &next})
	if err != nil {
		t.Fatal(err)
	}
	c := conf()
	c.Revision = 9
	c.Routes[1].TargetLatencyMS = 700 // another class of s
	c.Services = append(c.Services, fleetconfig.Service{Name: "u"})
	second, err := Compile(c, CompileOptions{LogIndex: 2, Previous: first.Services(), NextPool: &next})
	if err != nil {
		t.Fatal(err)
	}
	s, was := second.Services()["s"], first.Services()["s"]
	if s.ID != was.ID || len(s.Classes) != len(was.Classes)+1 || second.Services()["u"].ID != 3 {
		t.Errorf("%+v, %+v", s, was)
	}
	for i, k := range was.Classes {
		if s.Classes[i] != k {
			t.Error("a class has changed its number")
		}
	}
}

// TestDrainGraceFitsIntoTheDrain: a known session may go on for the grace; the news takes its time to every router, and a request its time to an
// engine. All of it is within what the platform allows after the acknowledgement.
func TestDrainGraceFitsIntoTheDrain(t *testing.T) {
	const drain = 3 * time.Second
	connect := 500 * time.Millisecond
	if sum := limits.DrainGrace(drain) + limits.GossipSpreadTime + connect; sum > drain {
		t.Errorf("%v of %v", sum, drain)
	}
}

// checkForwarded checks the headers that an engine is sent.
func checkForwarded(t *testing.T, h http.Header) {
	t.Helper()
	for _, name := range []string{keyHeader, "Te", "Keep-Alive", "Upgrade", "Transfer-Encoding"} {
		if v := h[name]; len(v) > 0 {
			t.Errorf("%s: %q is passed on", name, v)
		}
	}
	if v := h[tenantHeader]; len(v) > 0 && (len(v) > 1 || v[0] != "k") {
		t.Errorf("the tenant is %q", v)
	}
	if v := h[expectHeader]; len(v) != 1 || v[0] != "i-1" {
		t.Errorf("%s: %q", expectHeader, v)
	}
}

func FuzzHeads(f *testing.F) {
	// No head of a client or of an engine may cause a panic; what an engine, and a client, is sent is one head that
	// parses as one, whatever came, and none of the headers that concern one connection, the key or a forged tenant goes on.
	f.Add("POST /x/y/2?q HTTP/1.1\r\nHost: a.example\r\nX-Credential: one\r\nX-Tenant: z\r\nConnection: X-Odd, close\r\nX-Odd: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\n\r\n")
	f.Add("GET http://b.example/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\nTE: trailers\r\nX-Prompt-Prefix: 7\r\n\r\n",
		"HTTP/1.1 421 \r\nX-Not-Executed: 1\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n")
	f.Add("GET /open/ HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Remaining-Ms: 1e400\r\n\r\n", "HTTP/1.1 503 a\r\nConnection: X-Not-Executed\r\n\r\n")
	at := func() *CompiledConfig {
		next := hoststate.PoolID(1)
		c, err := Compile(conf(), CompileOptions{LogIndex: 4, NextPool: &next})
		if err != nil {
			f.Fatal(err)
		}
		return c
	}()
	d := &Frontend{Config: func() *CompiledConfig { return at }, SplitKey: func() uint64 { return 1 }, OnResponse: func(string) {}, Clock: func() time.Duration { return 0 }}
	f.Fuzz(func(t *testing.T, asked, answered string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(asked)))
		if err != nil {
			return
		}
		w, no := d.Route(req)
		if no != nil {
			return
		}
		m, no := d.BuildRequest(req, &w, nil)
		if no != nil {
			return
		}
		head := Upstream{}.EncodeRequest(&m.Upstream, &dispatch.StartAttempt{HostName: "i-1"}, time.Second, nil)
		shown, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			t.Fatalf("%q is sent, which does not parse: %v", head, err)
		}
		checkForwarded(t, shown.Header)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answered)), nil)
		if err != nil {
			return
		}
		Upstream{}.Classify(resp)
		Upstream{}.IsEventStream(resp)
		if idle := (Upstream{}).IdleTimeout(resp); idle > 24*time.Hour {
			t.Errorf("a connection may be idle for %v", idle)
		}
		reply := d.BuildResponseHead(&m, resp)
		if _, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(reply.Lines)+"Content-Length: 0\r\n\r\n")), nil); err != nil {
			t.Errorf("%q is passed back, which does not parse: %v", reply.Lines, err)
		}
	})
}

func TestLargeConfigurationsYield(t *testing.T) {
	c := conf()
	for i := range 1000 {
		c.Routes = append(c.Routes, fleetconfig.Route{
			Name: fmt.Sprint("r", i), Hostname: "many.example", PathPrefix: fmt.Sprintf("/%d/", i),
			Type: fleetconfig.RouteIdempotent, TimeoutMS: 1000, TargetService: c.Services[0].Name,
		})
		c.Tenants = append(c.Tenants, fleetconfig.Tenant{Name: fmt.Sprint("t", i), APIKeys: []string{fmt.Sprint("key-", i)}})
	}
	text, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	pauses := 0
	got, err := fleetconfig.Decode(text, func() { pauses++ })
	if err != nil || pauses < 2000/fleetconfig.YieldInterval-1 {
		t.Fatalf("read in %d pauses, %v", pauses, err)
	}
	whole, _, err := fleetconfig.DecodeWithDigest(text)
	if diff := cmp.Diff(whole, got); diff != "" || err != nil {
		t.Errorf("%v (-whole +in parts):\n%s", err, diff)
	}
	pauses = 0
	next := hoststate.PoolID(1)
	if _, err := Compile(got, CompileOptions{LogIndex: 1, NextPool: &next, Yield: func() { pauses++ }}); err != nil || pauses < 2000/fleetconfig.YieldInterval-1 {
		t.Errorf("compiled in %d pauses, %v", pauses, err)
	}
}
