package route

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func resolveAny(string) (int, bool) { return 0, true }

func newTable(t testing.TB, routes ...Route) *Table {
	t.Helper()
	table, errs := New(servicesOf(routes), routes, resolveAny)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return table
}

func servicesOf(routes []Route) (services []Service) {
	seen := map[string]bool{}
	for _, r := range routes {
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, Service{Name: r.Service, Pools: []WeightedPool{{Pool: "p", Weight: 1}}})
		}
	}
	return services
}

func TestMostSpecificRouteWins(t *testing.T) {
	table := newTable(t,
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
		{Query{Host: "example.org", Path: "/"}, "any"}, // a suffix matches subdomains only
		{Query{Host: "xexample.org", Path: "/"}, "any"},
		{Query{Host: "a.example.org", Path: "/"}, "suffix"},
		{Query{Host: "a.runs.example.org", Path: "/v1/x"}, "longer"},
		{Query{Host: "a.runs.example.org", Path: "/v2"}, "suffix"}, // the path does not match the longer suffix
		{Query{Host: "runs.example.org", Path: "/"}, "exact"},
		{Query{Host: "runs.example.org", Path: "/v1/chat"}, "path"},
		{Query{Host: "runs.example.org", Path: "/v1/chat/"}, "prefix"}, // not the exact path
		{Query{Host: "runs.example.org", Path: "/v1"}, "prefix"},
		{Query{Host: "runs.example.org", Path: "/v10"}, "exact"}, // whole segments only
		{Query{Host: "runs.example.org", Path: "/v1/tools/a/b/c", Method: "POST"}, "deeper"},
		{Query{Host: "runs.example.org", Path: "/v1/tools/a", Method: "GET"}, "method"},
		{Query{Host: "runs.example.org", Path: "/v1/tools/a", Class: "batch"}, "class"},
		{Query{Host: "runs.example.org", Path: "/v1/tools/a", Class: "batch", Method: "GET"}, "both"},
		{Query{Host: "runs.example.org", Path: "/h", Header: team("a")}, "team a, two"},
		{Query{Host: "runs.example.org", Path: "/h", Header: team("b")}, "team b"},
		{Query{Host: "runs.example.org", Path: "/h", Header: team("a", "b")}, "exact"}, // a header with two values matches no route
		{Query{Host: "2001:db8::1", Path: "/"}, "address"},
	} {
		if target := table.Lookup(&c.q); target == nil || target.Service != c.want {
			t.Errorf("%+v: %+v, want %s", c.q, target, c.want)
		}
	}
}

func TestNewReportsEveryErrorOfRoutes(t *testing.T) {
	for name, c := range map[string]struct {
		routes []Route
		want   []string
	}{
		"equal patterns": {
			[]Route{{Service: "a", Host: "A.b", Prefix: "/x/"}, {Service: "a", Host: "a.B.", Prefix: "/x"}},
			[]string{"route 1: : could match what route 0 matches, and neither is more specific"},
		},
		"overlapping headers": {
			[]Route{{Service: "a", Header: map[string]string{"X": "1"}}, {Service: "a", Header: map[string]string{"Y": "1"}}},
			[]string{"route 1: : could match what route 0 matches, and neither is more specific"},
		},
		"any path twice": {
			[]Route{{Service: "a"}, {Service: "a", Prefix: "/"}},
			[]string{"route 1: : could match what route 0 matches, and neither is more specific"},
		},
		"patterns": {
			[]Route{
				{Service: "a", Host: "a:80"},
				{Service: "a", Host: "a.*.b"},
				{Service: "a", Path: "x"},
				{Service: "a", Path: "/a/../b"},
				{Service: "a", Path: "/a", Prefix: "/a"},
				{Service: "a", Header: map[string]string{"X": ""}},
			},
			[]string{
				`route 0: host: "a:80" has a port; routes do not match ports`,
				`route 1: host: "a.*.b" is not a host: a name, an address, or *. and a name is expected`,
				`route 2: path: "x": the path is malformed`, `route 3: path: "/a/../b": the path can be read in two ways`,
				`route 4: prefix: a route has a path or a prefix, not both`, `route 5: header: names and values must not be empty`,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			checkTableErrors(t, servicesOf(c.routes), c.routes, c.want)
		})
	}
}

func TestNewReportsEveryErrorOfServices(t *testing.T) {
	services := []Service{
		{Name: "a", Pools: []WeightedPool{{Pool: "nowhere", Weight: 1}}},
		{Name: "a", Pools: []WeightedPool{{Pool: "p"}}},
		{Name: "c", Pools: []WeightedPool{{Pool: "p", Weight: 1}, {Pool: "p", Weight: math.NaN()}}},
		{Name: "d", Pools: []WeightedPool{{Pool: "p", Weight: math.NaN()}}},
		{Name: "e", Pools: []WeightedPool{{Pool: "p", Weight: math.Inf(1)}}},
	}
	checkTableErrors(t, services, []Route{{Service: "b"}}, []string{
		`service 0: split: there is no pool "nowhere"`, `service 1: name: "a" is already the name of another service`,
		`service 1: split: at least one pool must have a weight above 0`, `service 2: split: pool "p" is named twice`,
		`service 3: split: pool "p": the weight must be finite and 0 or more`,
		`service 4: split: pool "p": the weight must be finite and 0 or more`,
		`route 0: service: there is no service "b"`,
	})
}

// checkTableErrors checks that New returns no table and exactly these errors. The only pool is p.
func checkTableErrors(t *testing.T, services []Service, routes []Route, want []string) {
	t.Helper()
	table, errs := New(services, routes, func(name string) (int, bool) { return 1, name == "p" })
	var got []string
	for _, e := range errs {
		got = append(got, e.Error())
	}
	if diff := cmp.Diff(want, got); diff != "" || table != nil {
		t.Errorf("table %v (-want +got):\n%s", table, diff)
	}
}

// drawRoute draws a route from few values, so that routes often overlap.
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

// drawRoutes draws a list of routes that New accepts.
func drawRoutes(t *rapid.T) (routes []Route) {
	for range rapid.IntRange(1, 12).Draw(t, "routes") {
		r := drawRoute(t)
		if _, errs := New(servicesOf(append(routes, r)), append(routes, r), resolveAny); len(errs) == 0 {
			routes = append(routes, r)
		}
	}
	return routes
}

func drawQuery(t *rapid.T) *Query {
	q := &Query{
		Host: rapid.SampledFrom([]string{"x.y.z", "w.x.y.z", "v.w.x.y.z", "y.z", "z", "other"}).Draw(t, "query host"),
		Path: drawPath(t), Method: rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "query method"),
		Class: rapid.SampledFrom([]string{"", "c", "d", "e"}).Draw(t, "query class"), Header: map[string][]string{},
	}
	for _, n := range []string{"H", "I"} {
		if v := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "query "+n); v != "" {
			q.Header[n] = []string{v}
		}
	}
	return q
}

// searchLinearly returns the index of the most specific matching route by the documented precedence, or -1.
func searchLinearly(routes []Route, q *Query) int {
	best := -1
	for i := range routes {
		if r := &routes[i]; len(r.mismatches(q)) == 0 && (best < 0 || r.compareSpecificity(&routes[best]) > 0) {
			best = i
		}
	}
	return best
}

func lookupIndex(table *Table, q *Query) int {
	if target := table.Lookup(q); target != nil {
		return target.RouteIndex
	}
	return -1
}

// TestLookupAgreesWithLinearSearch compares Lookup with a linear search by the documented precedence, and with a table of
// the same routes in reverse order.
func TestLookupAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := drawRoutes(t)
		if len(routes) == 0 {
			return
		}
		reversed := slices.Clone(routes)
		slices.Reverse(reversed)
		table, errs := New(servicesOf(routes), routes, resolveAny)
		reversedTable, reversedErrs := New(servicesOf(reversed), reversed, resolveAny)
		if len(errs)+len(reversedErrs) > 0 {
			t.Fatal(errs, reversedErrs)
		}
		for range 8 {
			q := drawQuery(t)
			best := searchLinearly(table.routes, q)
			got, gotReversed := lookupIndex(table, q), lookupIndex(reversedTable, q)
			if gotReversed >= 0 {
				gotReversed = len(routes) - 1 - gotReversed
			}
			if got != best || gotReversed != best {
				t.Fatalf("%+v: route %d; %d in reverse order; %d by linear search: %+v", q, got, gotReversed, best, routes)
			}
			first := table.Explain(q, 3)[0]
			if best >= 0 && (!first.Wins || first.Index != best) || best < 0 && first.Matches {
				t.Fatalf("first explained route: %+v", first)
			}
		}
	})
}

func TestLookupAllocatesNothing(t *testing.T) {
	table := tableOfSize(t, 1000)
	q := Query{Host: "h7.example.org", Path: "/s7/a/b/c/d", Method: "POST", Class: "c3", Header: map[string][]string{"X-Team": {"t"}}}
	if target := table.Lookup(&q); target == nil {
		t.Fatal("no route")
	}
	both, _ := New([]Service{{Name: "s", Pools: []WeightedPool{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 1}}}}, nil, resolveAny)
	if n := testing.AllocsPerRun(100, func() {
		table.Lookup(&q)
		_, _ = NormalizePath("/v1/chat/completions")
		_, _, _ = SplitHostPort("runs.example.org:80")
		both.Service("s").PoolFor(HashConversation("id"))
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// tableOfSize returns a table of n routes of all kinds.
func tableOfSize(t testing.TB, n int) *Table {
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
	return newTable(t, routes...)
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		table := tableOfSize(b, n)
		for name, q := range map[string]Query{
			"prefix": {Host: "h0.example.org", Path: "/s4/a/b/c", Method: "POST", Class: "c1"},
			"class":  {Host: "h0.example.org", Path: "/elsewhere", Method: "POST", Class: "c3"},
			"none":   {Host: "a.b.c.example.com", Path: "/v1/chat/completions", Method: "POST", Class: "c3"},
		} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					table.Lookup(&q)
				}
			})
		}
	}
}

// FuzzNew compiles arbitrary routes and looks up a request made from the patterns of the first one.
func FuzzNew(f *testing.F) {
	f.Add("a.b", "/x", "", "GET", "c", "H", "1", "*.b", "", "/x/")
	f.Add("[::1]", "", "/", "", "", "", "", "::1", "/%41", "")
	f.Fuzz(func(t *testing.T, host, path, prefix, method, class, name, value, host2, path2, prefix2 string) {
		routes := []Route{
			{Service: "a", Host: host, Path: path, Prefix: prefix, Method: method, Class: class},
			{Service: "b", Host: host2, Path: path2, Prefix: prefix2, Header: map[string]string{name: value}},
		}
		table, errs := New(servicesOf(routes), routes, resolveAny)
		if (table == nil) != (len(errs) > 0) {
			t.Fatalf("table %v with errors %v", table, errs)
		}
		if table == nil {
			return
		}
		r := table.routes[0]
		q := Query{Host: strings.Replace(r.Host, "*", "x", 1), Path: r.Path + r.Prefix, Method: r.Method, Class: r.Class}
		if q.Path == "" {
			q.Path = "/"
		}
		if table.Lookup(&q) == nil {
			t.Fatalf("%+v does not match %+v", r, q)
		}
	})
}
