package dialect

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/hoststate"
	"notchhinge/policy"
)

// routeOf returns the name of the route that a request takes, or "".
func routeOf(d *Frontend, host, path string) string {
	dst, rejection := d.Route(&http.Request{Host: host, RequestURI: path})
	if rejection != nil {
		return ""
	}
	return dst.DialectData.(*routedRequest).route.Name
}

// newPublicFrontend returns a Frontend of a configuration with the given routes to service s, named by their indices.
func newPublicFrontend(t *testing.T, matches ...[2]string) *Frontend {
	t.Helper()
	c := &fleetconfig.Config{Revision: 1, Services: []fleetconfig.Service{{Name: "s"}}}
	for i, m := range matches {
		c.Routes = append(c.Routes, fleetconfig.Route{
			Name: fmt.Sprint(i), Hostname: m[0], PathPrefix: m[1], Type: fleetconfig.RouteIdempotent, TimeoutMS: 1000, TargetService: "s",
		})
	}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	config := compile(t, c)
	return &Frontend{Config: func() *CompiledConfig { return config }, SplitKey: func() uint64 { return 1 }, Clock: func() time.Duration { return 0 }}
}

// routingCase is a list of hosts and path prefixes of routes, and the routes that requests take: their indices, or "" for none.
type routingCase struct {
	routes   [][2]string
	requests []routedRequestCase
}

type routedRequestCase struct{ host, path, want string }

func (c *routingCase) check(t *testing.T) {
	t.Helper()
	d := newPublicFrontend(t, c.routes...)
	for _, r := range c.requests {
		if got := routeOf(d, r.host, r.path); got != r.want {
			t.Errorf("host %q, path %q: route %q, want %q", r.host, r.path, got, r.want)
		}
	}
}

// TestUnusualPrefixesAreServedAsTheyRead guards against acknowledged configurations that no router can put in force: prefixes had to
// be in a canonical form that validation did not require, and two of one form made the whole configuration fail.
func TestUnusualPrefixesAreServedAsTheyRead(t *testing.T) {
	for name, c := range map[string]routingCase{
		"beyond ASCII": {
			[][2]string{{"a", "/提示/"}, {"a", "/"}},
			[]routedRequestCase{{"a", "/提示/2f", "0"}, {"a", "/%E6%8F%90%E7%A4%BA/2f", "0"}, {"a", "/提/2f", "1"}, {"a", "/2f", "1"}},
		},
		"a prefix and the escaped form of another": {
			[][2]string{{"a", "/提示/"}, {"a", "/%E6%8F%90%E7%A4%BA/"}, {"a", "/%E6%8F%90%E7%A4%BA/x/"}},
			[]routedRequestCase{{"a", "/提示/2f", "0"}, {"a", "/%E6%8F%90%E7%A4%BA/2f", "1"}, {"a", "/%E6%8F%90%E7%A4%BA/x/2f", "2"}},
		},
		"escapes": {
			[][2]string{{"a", "/%41/"}, {"a", "/A/"}, {"a", "/b%20c/"}, {"a", "/%zz/"}},
			[]routedRequestCase{{"a", "/%41/1", "0"}, {"a", "/A/1", "1"}, {"a", "/b%20c/1", "2"}, {"a", "/%zz/1", "3"}, {"a", "/%7A/1", ""}},
		},
		"empty and dot segments": {
			[][2]string{{"a", "/x/"}, {"a", "/x//"}, {"a", "//"}, {"a", "/../"}, {"a", "/x/./"}},
			[]routedRequestCase{
				{"a", "/x/1", "0"}, {"a", "/x//1", "1"}, {"a", "//1", "2"}, {"a", "/../1", "3"}, {"a", "/x/./1", "4"}, {"a", "/y/1", ""},
			},
		},
		"characters that paths seldom have": {
			[][2]string{{"a", `/x\y/`}, {"a", "/{z}/"}, {"a", "/a b/"}, {"a", "/?/"}},
			[]routedRequestCase{
				{"a", `/x\y/1`, "0"}, {"a", "/{z}/1", "1"}, {"a", "/%7Bz%7D/1", "1"}, {"a", "/a%20b/1", "2"}, {"a", "/?/1", ""},
			},
		},
		"without slashes": {
			[][2]string{{"a", "/x"}, {"a", "/x/"}, {"a", "y"}, {"b", ""}},
			[]routedRequestCase{{"a", "/x", "0"}, {"a", "/xy/1", "0"}, {"a", "/x/1", "1"}, {"a", "/y/1", ""}, {"a", "/", ""}, {"b", "/any", "3"}},
		},
	} {
		t.Run(name, func(t *testing.T) { c.check(t) })
	}
}

// TestUnusualHostsAreServedAsTheyRead guards against the same fault in the names of hosts.
func TestUnusualHostsAreServedAsTheyRead(t *testing.T) {
	long := strings.Repeat("a", 300)
	for name, c := range map[string]routingCase{
		"a port": {
			[][2]string{{"a:8080", "/x/"}, {"a", "/x/"}, {"c:8080", "/x/"}},
			[]routedRequestCase{{"a:8080", "/x/1", "0"}, {"a", "/x/1", "1"}, {"a:9090", "/x/1", "1"}, {"c:8080", "/x/1", "2"}, {"c", "/x/1", "2"}},
		},
		"names of one canonical form": {
			[][2]string{{"a.example", "/x/"}, {"a.example.", "/x/"}, {"a.example:80", "/x/"}},
			[]routedRequestCase{
				{"a.example", "/x/1", "0"}, {"A.EXAMPLE", "/x/1", "0"}, {"a.example.", "/x/1", "1"}, {"a.example:80", "/x/1", "2"}, {"a.example:81", "/x/1", "0"},
			},
		},
		"addresses of one canonical form": {
			[][2]string{{"[::1]", "/x/"}, {"[0:0::1]", "/x/"}, {"::1", "/x/"}},
			[]routedRequestCase{{"[::1]", "/x/1", "0"}, {"[0:0::1]", "/x/1", "1"}, {"::1", "/x/1", "2"}, {"[0::1]:80", "/x/1", "2"}},
		},
		"no host names": {
			[][2]string{{"*.a", "/x/"}, {"", "/x/"}, {"提示", "/x/"}, {long, "/x/"}, {"a..b", "/x/"}},
			[]routedRequestCase{
				{"*.a", "/x/1", "0"}, {"b.a", "/x/1", ""}, {"", "/x/1", "1"}, {"c", "/x/1", ""}, {"提示", "/x/1", "2"}, {strings.ToUpper(long), "/x/1", "3"}, {"a..b", "/x/1", "4"},
			},
		},
		"names that differ beyond ASCII only": {
			[][2]string{{"k", "/x/"}, {"\u212a", "/x/"}}, // U+212A, the Kelvin sign, is k in lower case
			[]routedRequestCase{{"k", "/x/1", "0"}, {"K", "/x/1", "0"}, {"\u212a", "/x/1", "1"}},
		},
	} {
		t.Run(name, func(t *testing.T) { c.check(t) })
	}
}

// TestServiceNamedTwiceInASplit guards against the configuration with which the share of a canary is given back to the main service.
func TestServiceNamedTwiceInASplit(t *testing.T) {
	c := testConfig()
	c.Services = append(c.Services, fleetconfig.Service{Name: "s"})
	c.Routes[3].TrafficSplit = []fleetconfig.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 2}, {Service: "s", Weight: 1}}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	config, n := compile(t, c), uint64(0)
	d := &Frontend{Config: func() *CompiledConfig { return config }, SplitKey: func() uint64 { n += 0x9e3779b97f4a7c15; return n }}
	requests := map[string]int{}
	for range 4000 {
		dst, rejection := d.Route(parseRequest(t, "GET /1 HTTP/1.1\nHost: b.example\nX-Credential: one"))
		if rejection != nil {
			t.Fatal(rejection)
		}
		requests[dst.Pool.Name]++
	}
	if requests["s"] < 1800 || requests["s"] > 2200 {
		t.Errorf("requests by service %v, want about 2000 of 4000 to s", requests)
	}
}

// TestEveryValidConfigurationIsServed guards against the whole class: validation before the acknowledgement accepts what a router
// cannot put in force. Whatever is valid has a policy module for each service with a route, and each request takes the route with
// the longest prefix among those of its host.
func TestEveryValidConfigurationIsServed(t *testing.T) {
	drawn, valid := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		if drawn++; c.Validate() != nil {
			return
		}
		valid++
		next := hoststate.PoolID(1)
		config := Compile(c, CompileOptions{LogIndex: 1, NextPool: &next})
		checkModules(t, config)
		key := uint64(0)
		d := &Frontend{Config: func() *CompiledConfig { return config }, SplitKey: func() uint64 { key++; return key }, Clock: func() time.Duration { return 0 }}
		for i := range c.Routes {
			host, path := c.Routes[i].Hostname, c.Routes[i].PathPrefix+"2f"
			if !strings.HasPrefix(path, "/") || strings.Contains(path, "?") {
				continue // no request has such a path
			}
			checkRoute(t, d, c, host, path)
		}
	})
	if valid < drawn/2 {
		t.Errorf("%d of %d configurations are valid; the test says little", valid, drawn)
	}
}

// checkModules creates the policy module of each service with a route.
func checkModules(t rapid.TB, config *CompiledConfig) {
	t.Helper()
	for name, s := range config.Services() {
		if len(s.Classes) == 0 {
			continue
		}
		if _, err := policy.New(PolicySettings(s.Classes, time.Second, 3), 1); err != nil {
			t.Fatalf("service %q: %v", name, err)
		}
	}
}

// checkRoute compares the route of a request with a search through all routes. No path of a drawn prefix begins with the escaped form
// of another one, since the drawn escapes are those of an ASCII letter.
func checkRoute(t *rapid.T, d *Frontend, c *fleetconfig.Config, host, path string) {
	want := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if fleetconfig.HostKey(r.Hostname) == fleetconfig.HostKey(host) && strings.HasPrefix(path, r.PathPrefix) &&
			(want < 0 || len(r.PathPrefix) > len(c.Routes[want].PathPrefix)) {
			want = i
		}
	}
	request := &http.Request{Host: host, RequestURI: path, Header: http.Header{}}
	dst, rejection := d.Route(request)
	if rejection != nil {
		t.Fatalf("host %q, path %q: %+v, want route %d", host, path, rejection, want)
	}
	if got := dst.DialectData.(*routedRequest); got.route.Route != &c.Routes[want] || dst.Pool == nil {
		t.Fatalf("host %q, path %q: route %s, want %s", host, path, got.route.Name, c.Routes[want].Name)
	}
}

// drawConfig draws a configuration with unusual names and numbers. It is seldom invalid.
func drawConfig(t *rapid.T) *fleetconfig.Config {
	c := &fleetconfig.Config{Revision: 1}
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"s", "t", "", "提示"}), 1, 6).Draw(t, "services")
	for _, name := range names {
		c.Services = append(c.Services, fleetconfig.Service{Name: name})
	}
	service := rapid.SampledFrom(names)
	weight := rapid.SampledFrom([]float64{1, 90, 0, 1e-310, math.SmallestNonzeroFloat64, math.MaxFloat64})
	weighted := rapid.Custom(func(t *rapid.T) fleetconfig.WeightedService {
		return fleetconfig.WeightedService{Service: service.Draw(t, "service"), Weight: weight.Draw(t, "weight")}
	})
	timeout := rapid.SampledFrom([]float64{2500, 1e-9, 1e300})
	target := rapid.SampledFrom([]float64{800, 0, -1, 1e-9, 1e300, math.Inf(1), math.Inf(-1)})
	kind := rapid.SampledFrom([]fleetconfig.RouteType{fleetconfig.RouteIdempotent, fleetconfig.RouteNonIdempotent, fleetconfig.RouteStreaming})
	for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
		c.Routes = append(c.Routes, fleetconfig.Route{
			Name: fmt.Sprint(i), Type: kind.Draw(t, "type"), TimeoutMS: timeout.Draw(t, "timeout"), TargetLatencyMS: target.Draw(t, "target"),
			Hostname:    rapid.StringOfN(rapid.RuneFrom([]rune("aA.:8[]*提")), 0, 4, -1).Draw(t, "host"),
			PathPrefix:  rapid.StringOfN(rapid.RuneFrom([]rune("/a%41.?提 \\")), 0, 5, -1).Draw(t, "prefix"),
			Priority:    rapid.SampledFrom([]int{0, 1, -1, math.MaxInt}).Draw(t, "priority"),
			MaxAttempts: rapid.SampledFrom([]int{0, 1, 2, math.MaxInt}).Draw(t, "attempts"), TargetService: service.Draw(t, "target service"),
			TrafficSplit: rapid.SliceOfN(weighted, 0, 3).Draw(t, "split"),
		})
	}
	return c
}

// FuzzValidConfiguration compiles whatever decodes and is valid, and sends a request to each of its routes.
func FuzzValidConfiguration(f *testing.F) {
	encoded, err := cbor.Marshal(testConfig())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		c, err := fleetconfig.Decode(encoded, nil)
		if err != nil || c.Validate() != nil {
			return
		}
		next := hoststate.PoolID(1)
		config := Compile(c, CompileOptions{LogIndex: 1, NextPool: &next})
		checkModules(t, config)
		d := &Frontend{Config: func() *CompiledConfig { return config }, SplitKey: func() uint64 { return 1 }, Clock: func() time.Duration { return 0 }}
		for i := range c.Routes {
			r := &c.Routes[i]
			if !strings.HasPrefix(r.PathPrefix, "/") || strings.Contains(r.PathPrefix, "?") {
				continue
			}
			req := &http.Request{Method: http.MethodGet, Host: r.Hostname, RequestURI: r.PathPrefix, Header: http.Header{}}
			dst, rejection := d.Route(req)
			if rejection != nil && rejection.Status != http.StatusUnauthorized {
				t.Fatalf("route %q: %+v", r.Name, rejection)
			}
			if rejection == nil {
				d.BuildRequest(req, &dst, nil)
			}
		}
	})
}
