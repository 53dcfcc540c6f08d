package operatorconfig

import (
	"maps"
	"net"
	"net/textproto"
	"path"
	"slices"
	"strconv"

	"notchhinge/internal/route"
)

// Table compiles the file's routes. pool gives each pool its number, or says that there is none of that name. The places
// of faults are those of RouteKey.
func (f *File) Table(pool func(name string) (int, bool)) (*route.Table, []route.Fault) {
	was := map[string]string{}
	for _, p := range f.Pools {
		was[p.Name] = p.FormerName
	}
	var services []route.Service
	var routes []route.Route
	for _, s := range f.Services {
		one := route.Service{Name: s.Name}
		if s.Pool != "" {
			one.Shares = []route.Share{{Pool: s.Pool, Weight: 1, Key: was[s.Pool]}}
		}
		for _, p := range s.Split {
			if s.Pool != "" {
				break // one or the other, which is a fault of its own
			}
			one.Shares = append(one.Shares, route.Share{Pool: p.Pool, Weight: p.Weight, Key: was[p.Pool]})
		}
		services = append(services, one)
		for _, r := range s.Routes {
			to := route.Route{Service: s.Name, Host: r.Host, Path: r.Path, Prefix: r.Prefix, Method: r.Method, Class: r.Class}
			if to.Method == "any" {
				to.Method = ""
			}
			for name, value := range r.Header {
				if to.Header == nil {
					to.Header = map[string]string{}
				}
				to.Header[textproto.CanonicalMIMEHeaderKey(name)] = value
			}
			routes = append(routes, to)
		}
	}
	return route.New(services, routes, pool)
}

// RouteKey is the key of the route at a place among all of the file.
func (f *File) RouteKey(place int) []string {
	for i, s := range f.Services {
		if place < len(s.Routes) {
			return []string{"service", strconv.Itoa(i), "route", strconv.Itoa(place)}
		}
		place -= len(s.Routes)
	}
	return []string{"service", "0"}
}

// checkServices reports what is wrong with services, routes and pools.
func (f *File) checkServices(fault func(key []string, format string, args ...any)) {
	pools, serves := map[string]int{}, map[string]bool{}
	for i, p := range f.Pools {
		at := []string{"pool", strconv.Itoa(i)}
		if _, twice := pools[p.Name]; twice {
			fault(append(at, "name"), "%q is another pool already", p.Name)
		}
		pools[p.Name] = i
		if p.DiscoveryAddr != "" {
			if _, _, err := net.SplitHostPort(p.DiscoveryAddr); err != nil {
				fault(append(at, "discovery"), "%q is no address with a port", p.DiscoveryAddr)
			}
		}
		if p.Select != nil {
			for _, pattern := range p.Select.NamePatterns {
				if _, err := path.Match(pattern, ""); err != nil {
					fault(append(at, "select", "names"), "%q is no pattern; * and ? and [a-z] are known", pattern)
				}
			}
		}
		if l := p.Limits; l != nil {
			if or(l.Guarantee, 0) > or(l.MaxShare, 1) {
				fault(append(at, "limits", "guarantee"), "%v is above the most, %v", *l.Guarantee, or(l.MaxShare, 1))
			}
			if l.RetryAfter != nil && *l.RetryAfter <= 0 {
				fault(append(at, "limits", "retry_after"), "a time above 0 is wanted")
			}
		}
		classes := map[string]bool{}
		for j, c := range p.Classes {
			key := append(slices.Clone(at), "class", strconv.Itoa(j))
			if classes[c.Name] {
				fault(append(key, "name"), "%q is given twice", c.Name)
			}
			classes[c.Name] = true
			for name, d := range map[string]*Duration{"aim": c.TargetLatency, "aim_per_1000_tokens": c.TargetLatencyPerKTokens} {
				if d != nil && *d < 0 {
					fault(append(slices.Clone(key), name), "a time of 0 or more is wanted")
				}
			}
			if c.Deadline != nil && *c.Deadline <= 0 {
				fault(append(slices.Clone(key), "deadline"), "a time above 0 is wanted")
			}
		}
	}
	guaranteed := 0.0
	for _, p := range f.Pools {
		if p.Limits != nil {
			guaranteed += or(p.Limits.Guarantee, 0)
		}
	}
	if guaranteed > 1+1e-9 {
		fault([]string{"pool", "0"}, "the guarantees of all pools add up to %.3g; 1 at the most is wanted", guaranteed)
	}
	if len(f.Services) == 0 && len(f.Pools) > 0 {
		fault([]string{"pool", "0"}, "pools need one [[service]] at least that leads to them")
	}
	for i, s := range f.Services {
		at := []string{"service", strconv.Itoa(i)}
		switch {
		case s.Pool != "" && len(s.Split) > 0:
			fault(append(at, "split"), "a service has a pool or a split, not both")
		case s.Pool == "" && len(s.Split) == 0:
			fault(at, "a pool or a split is wanted")
		}
		serves[s.Pool] = true
		for _, p := range s.Split {
			serves[p.Pool] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		if len(f.Services) > 0 && !serves[name] {
			fault([]string{"pool", strconv.Itoa(pools[name]), "name"}, "no service leads to pool %q", name)
		}
	}
	if len(f.Services) > 0 {
		_, faults := f.Table(func(name string) (int, bool) { n, ok := pools[name]; return n, ok })
		for _, w := range faults {
			switch {
			case w.Route >= 0:
				key := f.RouteKey(w.Route)
				if w.Field != "" {
					key = append(key, w.Field)
				}
				fault(key, "%s", w.Says)
			case w.Service >= 0:
				field := w.Field
				if field == "split" && f.Services[w.Service].Pool != "" {
					field = "pool"
				}
				fault([]string{"service", strconv.Itoa(w.Service), field}, "%s", w.Says)
			default:
				fault([]string{"service", "0"}, "%s", w.Says)
			}
		}
	}
	for i, k := range f.Contracts {
		if k.Service != "" && !slices.ContainsFunc(f.Services, func(s Service) bool { return s.Name == k.Service }) {
			fault([]string{"contract", strconv.Itoa(i), "service"}, "there is no service %q", k.Service)
		}
	}
}
