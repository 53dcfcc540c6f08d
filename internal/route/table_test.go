package route

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func one(string) (int, bool) { return 0, true }

func compile(t testing.TB, routes ...Route) *Table {
	t.Helper()
	tb, faults := New(services(routes), routes, one)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return tb
}

func services(routes []Route) (all []Service) {
	seen := map[string]bool{}
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			all = append(all, Service{Name: r.Service, Pools: []WeightedPool{{Pool: "p", Weight: 1}}})
		}
	}
	return all
}

func TestTheMostSpecificWins(t *testing.T) {
	tb := compile(t,
		Route{Service: "any"},
		Route{Service: "suffix", Host: "*.example.org"},
		Route{Service: "longer", Host: "*.runs.example.org", Prefix: "/v1"},
		Route{Service: "exact", Host: "Runs.Example.org."},
		Route{Service: "path", Host: "runs.example.org", Path: "/v1/chat"},
		Route{Service: "prefix", Host: "runs.example.org", Prefix: "/v1/"},
		Route{Service: "deeper", Host: "runs.example.org", Prefix: "/v1/tools"},
		Route{Service: "method", Host: "runs.example.org", Prefix: "/v1/tools", Method: "GET"},
		Route{Service: "class", Host: "runs.example.org", Prefix: "/v1/tools", Class: "batch"},
		Route{Service: "both", Host: "runs.example.org", Prefix: "/v1/tools", Method: "GET", Class: "batch"},
		Route{Service: "team a", Host: "runs.example.org", Path: "/h", Header: map[string]string{"X-Team": "a"}},
		Route{Service: "team b", Host: "runs.example.org", Path: "/h", Header: map[string]string{"X-Team": "b"}},
		Route{Service: "team a, two", Host: "runs.example.org", Path: "/h", Header: map[string]string{"X-Team": "a", "X-Two": "2"}},
		Route{Service: "address", Host: "[2001:DB8::1]"},
	)
	team := func(v ...string) map[string][]string { return map[string][]string{"X-Team": v, "X-Two": {"2"}} }
	for _, c := range []struct {
		q    Query
		want string
	}{
		{Query{Host: "elsewhere", Path: "/"}, "any"},
		{Query{Host: "example.org", Path: "/"}, "any"}, // the suffix is of names under it
		{Query{Host: "xexample.org", Path: "/"}, "any"},
		{Query{Host: "a.example.org", Path: "/"}, "suffix"},
		{Query{Host: "a.runs.example.org", Path: "/v1/x"}, "longer"},
		{Query{Host: "a.runs.example.org", Path: "/v2"}, "suffix"}, // the longer one does not match
		{Query{Host: "runs.example.org", Path: "/"}, "exact"},
		{Query{Host: "runs.example.org", Path: "/v1/chat"}, "path"},
		{Query{Host: "runs.example.org", Path: "/v1/chat/"}, "prefix"}, // another path
		{Query{Host: "runs.example.org", Path: "/v1"}, "prefix"},
		{Query{Host: "runs.example.org", Path: "/v10"}, "exact"}, // whole segments only
		{Query{Host: "runs.example.org", Path: "/v1/tools/a/b/c", Method: "POST"}, "deeper"},
		{Query{Host: "runs.example.org", Path: "/v1/tools/a", Method: "GET"}, "method"},
		{Query{Host: "runs.example.org", Path: "/v1/tools/a", Class: "batch"}, "class"},
		{Query{Host: "runs.example.org", Path: "/v1/tools/a", Class: "batch", Method: "GET"}, "both"},
		{Query{Host: "runs.example.org", Path: "/h", Header: team("a")}, "team a, two"},
		{Query{Host: "runs.example.org", Path: "/h", Header: team("b")}, "team b"},
		{Query{Host: "runs.example.org", Path: "/h", Header: team("a", "b")}, "exact"}, // given twice, it is neither
		{Query{Host: "2001:db8::1", Path: "/"}, "address"},
	} {
		if to := tb.Lookup(&c.q); to == nil || to.Service != c.want {
			t.Errorf("%+v: %+v, want %s", c.q, to, c.want)
		}
	}
}

func TestFaultsOfATable(t *testing.T) {
	for name, c := range map[string]struct {
		services []Service
		routes   []Route
		want     []string
	}{
		"a tie": {
			nil,
			[]Route{{Service: "a", Host: "A.b", Prefix: "/x/"}, {Service: "a", Host: "a.B.", Prefix: "/x"}},
			[]string{"route 1: : could match what route 0 matches, and neither is more specific"},
		},
		"headers that overlap": {
			nil,
			[]Route{{Service: "a", Header: map[string]string{"X": "1"}}, {Service: "a", Header: map[string]string{"Y": "1"}}},
			[]string{"route 1: : could match what route 0 matches, and neither is more specific"},
		},
		"any path twice": {
			nil,
			[]Route{{Service: "a"}, {Service: "a", Prefix: "/"}},
			[]string{"route 1: : could match what route 0 matches, and neither is more specific"},
		},
		"patterns": {
			nil,
			[]Route{
				{Service: "a", Host: "a:80"},
				{Service: "a", Host: "a.*.b"},
				{Service: "a", Path: "x"},
				{Service: "a", Path: "/a/../b"},
				{Service: "a", Path: "/a", Prefix: "/a"},
				{Service: "a", Header: map[string]string{"X": ""}},
			},
			[]string{
				`route 0: host: "a:80" has a port; routes do not look at ports`,
				`route 1: host: "a.*.b" is no host; a name, an address, or *. and a name are wanted`,
				`route 2: path: "x": the path is malformed`, `route 3: path: "/a/../b": the path can be read in two ways`,
				`route 4: prefix: a route has a path or a prefix, not both`, `route 5: header: names and values must not be empty`,
			},
		},
		"services": {
			[]Service{
				{Name: "a", Pools: []WeightedPool{{Pool: "nowhere", Weight: 1}}},
				{Name: "a", Pools: []WeightedPool{{Pool: "p"}}},
				{Name: "c", Pools: []WeightedPool{{Pool: "p", Weight: 1}, {Pool: "p", Weight: math.NaN()}}},
			},
			[]Route{{Service: "b"}},
			[]string{
				`service 0: split: there is no pool "nowhere"`, `service 1: name: "a" is another service already`,
				`service 1: split: one pool at least must have a weight above 0`, `service 2: split: pool "p" is named twice`,
				`route 0: service: there is no service "b"`,
			},
		},
	} {
		if c.services == nil {
			c.services = services(c.routes)
		}
		tb, faults := New(c.services, c.routes, func(name string) (int, bool) { return 1, name == "p" })
		var got []string
		for _, f := range faults {
			got = append(got, f.Error())
		}
		if diff := cmp.Diff(c.want, got); diff != "" || tb != nil {
			t.Errorf("%s: table %v (-want +got):\n%s", name, tb, diff)
		}
	}
}

// drawRoute makes a route of few names, so that many of them meet.
func drawRoute(t *rapid.T) Route {
	r := Route{
		Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
		Host:    rapid.SampledFrom([]string{"", "x.y.z", "w.x.y.z", "*.z", "*.y.z", "*.x.y.z"}).Draw(t, "host"),
		Method:  rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method"),
		Class:   rapid.SampledFrom([]string{"", "c", "d"}).Draw(t, "class"),
	}
	if p := drawPath(t); rapid.Bool().Draw(t, "exact") {
		r.Path = p
	} else if rapid.Bool().Draw(t, "prefixed") {
		r.Prefix = p
	}
	for _, n := range []string{"H", "I"} {
		if v := rapid.SampledFrom([]string{"", "", "1", "2"}).Draw(t, n); v != "" {
			if r.Header == nil {
				r.Header = map[string]string{}
			}
			r.Header[n] = v
		}
	}
	return r
}

func drawPath(t *rapid.T) string {
	return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab"}), 0, 3).Draw(t, "path"), "/")
}

// TestLookupAgreesWithReadingEveryRoute holds the compiled table against the documented order, route by route, and
// against the same routes in another order.
func TestLookupAgreesWithReadingEveryRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := drawRoute(t)
			if _, faults := New(services(append(routes, r)), append(routes, r), one); len(faults) == 0 {
				routes = append(routes, r)
			}
		}
		if len(routes) == 0 {
			return
		}
		var turned []Route
		for i := range routes {
			turned = append(turned, routes[len(routes)-1-i])
		}
		tb, faults := New(services(routes), routes, one)
		back, others := New(services(turned), turned, one)
		if len(faults)+len(others) > 0 {
			t.Fatal(faults, others)
		}
		for range 8 {
			q := Query{
				Host: rapid.SampledFrom([]string{"x.y.z", "w.x.y.z", "v.w.x.y.z", "y.z", "z", "other"}).Draw(t, "asked host"),
				Path: drawPath(t), Method: rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "asked method"),
				Class: rapid.SampledFrom([]string{"", "c", "d", "e"}).Draw(t, "asked class"), Header: map[string][]string{},
			}
			for _, n := range []string{"H", "I"} {
				if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "asked "+n); v != "" {
					q.Header[n] = []string{v}
				}
			}
			best := -1
			for i := range tb.routes {
				if r := &tb.routes[i]; len(r.misses(&q)) == 0 && (best < 0 || r.compare(&tb.routes[best]) > 0) {
					best = i
				}
			}
			got, other := -1, -1
			if to := tb.Lookup(&q); to != nil {
				got = to.RouteIndex
			}
			if to := back.Lookup(&q); to != nil {
				other = len(routes) - 1 - to.RouteIndex
			}
			if got != best || other != best {
				t.Fatalf("%+v: route %d; %d if turned round; %d by reading them all: %+v", q, got, other, best, routes)
			}
			if x := tb.Explain(&q, 3); best >= 0 && (!x[0].Wins || x[0].Index != best) || best < 0 && x[0].Matches {
				t.Fatalf("explained as %+v", x)
			}
		}
	})
}

func TestExplain(t *testing.T) {
	tb := compile(t, Route{Service: "runs", Host: "runs.example.org", Method: "POST"}, Route{Service: "rest", Host: "*.example.org"},
		Route{Service: "calib", Host: "calib.example.org", Class: "fit"})
	var got []string
	for _, c := range tb.Explain(&Query{Host: "runs.example.org", Path: "/x", Method: "POST"}, 9) {
		got = append(got, c.Route.Service+": "+c.Reason)
	}
	want := []string{
		"runs: wins: host runs.example.org, method POST", "rest: loses: the winner's host is exact",
		`calib: does not match: host runs.example.org is not calib.example.org; class "" is not "fit"`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if m := tb.AllowedMethods(&Query{Host: "runs.example.org", Path: "/x", Method: "GET"}); !cmp.Equal(m, []string{"POST"}) {
		t.Errorf("methods %v", m)
	}
}

// TestASplitMovesNoMoreThanItMust: 90/10 becomes 50/50, then another pool comes, and one is renamed.
func TestASplitMovesNoMoreThanItMust(t *testing.T) {
	const n = 20000
	numbers := map[string]int{"a": 1, "b": 2, "c": 3, "new a": 1}
	at := func(shares ...WeightedPool) (pools [n]int) {
		tb, faults := New([]Service{{Name: "s", Pools: shares}}, nil, func(name string) (int, bool) { n, ok := numbers[name]; return n, ok })
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		for i := range pools {
			pools[i] = tb.Service("s").PoolFor(uint64(i) * 0x9e3779b97f4a7c15)
		}
		return pools
	}
	moved := func(x, y [n]int, from, to int) (m int) {
		for i := range x {
			if x[i] != y[i] {
				if x[i] != from && from != 0 || y[i] != to {
					t.Fatalf("one moved from %d to %d", x[i], y[i])
				}
				m++
			}
		}
		return m
	}
	near := func(what string, got int, share float64) {
		t.Helper()
		if math.Abs(float64(got)/n-share) > 0.015 {
			t.Errorf("%s: %d of %d, want a share of %v", what, got, n, share)
		}
	}
	most, even := at(WeightedPool{Pool: "a", Weight: 90}, WeightedPool{Pool: "b", Weight: 10}), at(WeightedPool{Pool: "a", Weight: 5}, WeightedPool{Pool: "b", Weight: 5})
	near("90/10 to 50/50", moved(most, even, 1, 2), 0.4)
	three := at(WeightedPool{Pool: "a", Weight: 1}, WeightedPool{Pool: "b", Weight: 1}, WeightedPool{Pool: "c", Weight: 1})
	near("a third pool", moved(even, three, 0, 3), 1.0/3)
	if at(WeightedPool{Pool: "new a", HashKey: "a", Weight: 5}, WeightedPool{Pool: "b", Weight: 5}) != even {
		t.Error("a rename moved conversations")
	}
	if got := at(WeightedPool{Pool: "a", Weight: 0}, WeightedPool{Pool: "b", Weight: 1}); moved(most, got, 1, 2) == 0 || got[0] != 2 {
		t.Error("a weight of 0 still gets some")
	}
}

func TestHosts(t *testing.T) {
	for in, want := range map[string]string{
		"Runs.Example.ORG": "runs.example.org", "runs.example.org.": "runs.example.org", "runs.example.org:8080": "runs.example.org",
		"[2001:DB8:0::1]:80": "2001:db8::1", "[::1]": "::1", "10.0.0.1:5": "10.0.0.1", "a_b-c": "a_b-c", "A.:1": "a",
		"": "", ".": "", "a..b": "", "a..": "", "0..:80": "", ".a": "", "a b": "", "[::1": "", "[fe80::1%25eth0]": "", "a:80x": "", "a:123456": "", "::1": "",
		"a/b": "", "ä": "", "u@h": "", strings.Repeat("a", 64): "", strings.Repeat("a.", 127) + "a": "", "[1.2.3.4]": "",
	} {
		if got, err := NormalizeHost(in); got != want || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v; want %q", in, got, err, want)
		}
	}
}

func TestPaths(t *testing.T) {
	for in, want := range map[string]string{
		"/": "/", "/v1/chat": "/v1/chat", "/v1/chat/": "/v1/chat/", "/%41%7e": "/A~", "/a%c3%a4": "/a%C3%A4", "/a%20b": "/a%20b",
		"/a;b=1,c@d:e!$&'()*+=": "/a;b=1,c@d:e!$&'()*+=", "/...": "/...", "/%2e%2e%2e": "/...", "/a.b": "/a.b", "/%2541": "/%2541",
		"": "", "a": "", "/a//b": "", "//a": "", "/.": "", "/a/..": "", "/a/../b": "", "/%2e": "", "/%2E%2e/a": "", "/.%2e": "", "/a%2fb": "",
		"/a%5Cb": "", `/a\b`: "", "/a%00": "", "/a%0d%0a": "", "/a%7F": "", "/a%": "", "/a%4": "", "/a%4g": "", "/a b": "", "/ä": "", "/a?b": "",
		"/a#b": "", "/a\x7f": "",
	} {
		if got, err := NormalizePath(in); got != want || (err == nil) != (want != "") {
			t.Errorf("%q: %q, %v; want %q", in, got, err, want)
		}
	}
}

func TestLookupAllocatesNothing(t *testing.T) {
	tb := table(t, 1000)
	q := Query{Host: "h7.example.org", Path: "/s7/a/b/c/d", Method: "POST", Class: "c3", Header: map[string][]string{"X-Team": {"t"}}}
	if to := tb.Lookup(&q); to == nil {
		t.Fatal("no route")
	}
	both, _ := New([]Service{{Name: "s", Pools: []WeightedPool{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 1}}}}, nil, one)
	if n := testing.AllocsPerRun(100, func() {
		tb.Lookup(&q)
		_, _ = NormalizePath("/v1/chat/completions")
		_, _, _ = SplitHostPort("runs.example.org:80")
		both.Service("s").PoolFor(HashConversation("id"))
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// table is one of n routes of all kinds.
func table(t testing.TB, n int) *Table {
	var routes []Route
	for i := range n {
		r := Route{Service: fmt.Sprint("s", i%50), Host: fmt.Sprintf("h%d.example.org", i/10)}
		switch i % 10 {
		case 0:
			r.Host = fmt.Sprintf("*.d%d.example.org", i)
		case 1, 2, 3:
			r.Path = fmt.Sprintf("/s%d/exact", i)
		case 4, 5, 6, 7:
			r.Prefix = fmt.Sprintf("/s%d/a", i)
		case 8:
			r.Class = "c3"
		case 9:
			r.Header = map[string]string{"X-Team": fmt.Sprint("t", i)}
		}
		routes = append(routes, r)
	}
	return compile(t, routes...)
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		tb := table(b, n)
		for name, q := range map[string]Query{
			"prefix": {Host: "h0.example.org", Path: "/s4/a/b/c", Method: "POST", Class: "c1"},
			"class":  {Host: "h0.example.org", Path: "/elsewhere", Method: "POST", Class: "c3"},
			"none":   {Host: "a.b.c.example.com", Path: "/v1/chat/completions", Method: "POST", Class: "c3"},
		} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					tb.Lookup(&q)
				}
			})
		}
	}
}

// BenchmarkSpelling is what it takes to bring a request's host and path into their one spelling.
func BenchmarkSpelling(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = SplitHostPort("runs.example.org:8080")
		_, _ = NormalizePath("/v1/chat/completions")
	}
}

func FuzzPath(f *testing.F) {
	for _, s := range []string{"/v1/chat", "/%2e%2e/a", "/a//b", "/a%2Fb", "/%41", "/a%c3%A4", "/a;.."} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := NormalizePath(s)
		if err != nil {
			return
		}
		if again, err := NormalizePath(p); err != nil || again != p {
			t.Fatalf("%q became %q, and that %q, %v", s, p, again, err)
		}
		// Whatever a server decodes, the segments stay the same.
		for _, seg := range strings.Split(p[1:], "/") {
			if plain := unescape(seg); plain == "." || plain == ".." || strings.ContainsAny(plain, "/\\") {
				t.Fatalf("%q has the segment %q", p, plain)
			}
		}
		if unescape(s) != unescape(p) {
			t.Fatalf("%q became %q, which is another path", s, p)
		}
	})
}

func unescape(s string) string {
	var b []byte
	for i := 0; i < len(s); i++ {
		if v, ok := unhex(s, i); ok && s[i] == '%' {
			b = append(b, v)
			i += 2
			continue
		}
		b = append(b, s[i])
	}
	return string(b)
}

func FuzzHost(f *testing.F) {
	for _, s := range []string{"Runs.example.org:80", "[2001:db8::1]:1", "a.", "0..", "10.1.2.3"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		h, port, err := SplitHostPort(s)
		if err != nil {
			return
		}
		if again, p, err := SplitHostPort(JoinHostPort(h, port)); err != nil || again != h || p != port {
			t.Fatalf("%q became %q%q, and that %q%q, %v", s, h, port, again, p, err)
		}
		if h != strings.ToLower(h) || strings.HasSuffix(h, ".") {
			t.Fatalf("%q became %q", s, h)
		}
	})
}

// FuzzTable compiles whatever comes, and looks it up by its own patterns.
func FuzzTable(f *testing.F) {
	f.Add("a.b", "/x", "", "GET", "c", "H", "1", "*.b", "", "/x/")
	f.Add("[::1]", "", "/", "", "", "", "", "::1", "/%41", "")
	f.Fuzz(func(t *testing.T, host, path, prefix, method, class, name, value, host2, path2, prefix2 string) {
		routes := []Route{
			{Service: "a", Host: host, Path: path, Prefix: prefix, Method: method, Class: class},
			{Service: "b", Host: host2, Path: path2, Prefix: prefix2, Header: map[string]string{name: value}},
		}
		tb, faults := New(services(routes), routes, one)
		if (tb == nil) != (len(faults) > 0) {
			t.Fatalf("%v and %v", tb, faults)
		}
		if tb == nil {
			return
		}
		r := tb.routes[0]
		q := Query{Host: strings.Replace(r.Host, "*", "x", 1), Path: r.Path + r.Prefix, Method: r.Method, Class: r.Class}
		if q.Path == "" {
			q.Path = "/"
		}
		if tb.Lookup(&q) == nil {
			t.Fatalf("%+v does not match its own %+v", r, q)
		}
	})
}
