package route

import (
	"fmt"
	"hash/maphash"
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// Route assigns the requests that match it to a service. An empty pattern matches anything.
type Route struct {
	Service string
	Host    string            // a name, an address, or *.suffix for the subdomains of a suffix
	Path    string            // exact
	Prefix  string            // of whole segments; a trailing slash is optional
	Method  string            // upper case
	Class   string            // name of a request class
	Header  map[string]string // required value by canonical name
}

// Service is the destination of routes.
type Service struct {
	Name  string
	Pools []WeightedPool
}

// Table is a compiled list of routes. It is immutable and safe for concurrent use.
type Table struct {
	exactHosts  map[string]*hostNode
	suffixHosts map[string]*hostNode // by suffix, without "*."
	anyHost     *hostNode
	routes      []Route            // with canonical hosts, paths and prefixes
	targets     []*Target          // by route index
	services    map[string]*Target // by name
	methods     []string           // required by any route, sorted
	seed        maphash.Seed
}

// MaxRoutes is the maximum number of routes of a table. The bound keeps a faulty generated file from exhausting the memory.
const MaxRoutes = 100_000

// New compiles a table. poolNumber returns the number of a pool by its name, and false if there is no such pool.
// New returns either a table or all errors of the services and routes.
func New(services []Service, routes []Route, poolNumber func(name string) (int, bool)) (*Table, []TableError) {
	t := &Table{
		exactHosts: map[string]*hostNode{}, suffixHosts: map[string]*hostNode{}, anyHost: newHostNode(),
		routes: slices.Clone(routes), services: map[string]*Target{}, seed: maphash.MakeSeed(),
	}
	errs := t.addServices(services, poolNumber)
	if len(routes) > MaxRoutes {
		message := fmt.Sprintf("%d routes; the maximum is %d", len(routes), MaxRoutes)
		return nil, append(errs, TableError{ServiceIndex: noIndex, RouteIndex: noIndex, Message: message})
	}
	for i := range t.routes {
		errs = append(errs, t.addRoute(i)...)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	for i := range t.routes {
		if m := t.routes[i].Method; m != "" && !slices.Contains(t.methods, m) {
			t.methods = append(t.methods, m)
		}
	}
	slices.Sort(t.methods)
	return t, nil
}

func (t *Table) addServices(services []Service, poolNumber func(name string) (int, bool)) (errs []TableError) {
	for i, s := range services {
		if t.services[s.Name] != nil {
			errs = append(errs, serviceError(i, "name", "%q is already the name of another service", s.Name))
		}
		pools, splitErrs := compileSplit(i, s, poolNumber)
		errs = append(errs, splitErrs...)
		t.services[s.Name] = &Target{Service: s.Name, RouteIndex: noIndex, Split: Split{pools}}
	}
	return errs
}

// addRoute converts the route at index to its canonical form and adds it with its target. The services have been added before.
func (t *Table) addRoute(index int) (errs []TableError) {
	r := &t.routes[index]
	target := &Target{Service: r.Service, RouteIndex: index}
	if s := t.services[r.Service]; s != nil {
		target.Split = s.Split
	} else {
		errs = append(errs, routeError(index, "service", "there is no service %q", r.Service))
	}
	t.targets = append(t.targets, target)
	if patternErrs := r.canonicalize(index); len(patternErrs) > 0 {
		return append(errs, patternErrs...)
	}
	if other := t.insert(index); other >= 0 {
		errs = append(errs, routeError(index, "", "could match what route %d matches, and neither is more specific", other))
	}
	return errs
}

// Service returns the target of a service that is addressed by name, without a route, or nil if there is no such service.
func (t *Table) Service(name string) *Target { return t.services[name] }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// canonicalize converts the patterns of a route to the canonical form that queries have.
func (r *Route) canonicalize(index int) (errs []TableError) {
	addError := func(field, format string, args ...any) {
		errs = append(errs, routeError(index, field, format, args...))
	}
	if r.Host != "" {
		if host, problem := canonicalHostPattern(r.Host); problem != "" {
			addError("host", "%q %s", r.Host, problem)
		} else {
			r.Host = host
		}
	}
	if r.Path != "" && r.Prefix != "" {
		addError("prefix", "a route has a path or a prefix, not both")
	}
	if r.Path != "" {
		if p, err := NormalizePath(r.Path); err != nil {
			addError("path", "%q: %v", r.Path, err)
		} else {
			r.Path = p
		}
	}
	if r.Prefix != "" {
		if p, err := NormalizePath(r.Prefix); err != nil {
			addError("prefix", "%q: %v", r.Prefix, err)
		} else {
			r.Prefix = strings.TrimSuffix(p, "/") // the prefix / matches any path
		}
	}
	for name, value := range r.Header {
		if name == "" || value == "" {
			addError("header", "names and values must not be empty")
		}
	}
	return errs
}

// canonicalHostPattern returns the canonical form of a route's host, or a description of what is invalid. IPv6 addresses
// may be given without brackets.
func canonicalHostPattern(pattern string) (host, problem string) {
	name, isSuffix := strings.CutPrefix(pattern, "*.")
	if a, err := netip.ParseAddr(name); err == nil && a.Is6() {
		name = "[" + name + "]"
	}
	host, port, err := SplitHostPort(name)
	switch {
	case err != nil:
		return "", "is not a host: a name, an address, or *. and a name is expected"
	case port != "":
		return "", "has a port; routes do not match ports"
	case isSuffix:
		return "*." + host, ""
	}
	return host, ""
}

func sortedNames(header map[string]string) []string { return slices.Sorted(maps.Keys(header)) }
