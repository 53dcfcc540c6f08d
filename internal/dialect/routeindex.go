package dialect

import (
	"slices"
	"strings"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/route"
)

// routeIndex finds the route of a request: among the routes of its host, the one with the longest path prefix that begins its path.
// Hosts and prefixes are compared as they are written, so that those of any valid configuration can be indexed.
type routeIndex struct {
	byHost map[string]*prefixIndex // by fleetconfig.HostKey of the hostname
	// byCanonicalHost has the routes whose hostname is not in canonical form, for example with a port or a trailing dot. They also get
	// the requests whose Host header has the same canonical form, if no route has that host itself.
	byCanonicalHost map[string]*prefixIndex
}

func newRouteIndex() *routeIndex {
	return &routeIndex{byHost: map[string]*prefixIndex{}, byCanonicalHost: map[string]*prefixIndex{}}
}

// add adds a route. Of two routes with the same key, which a valid configuration does not have, the first one counts.
func (x *routeIndex) add(r *compiledRoute) {
	key := r.MatchKey()
	addPrefix(x.byHost, key.Host, r)
	if canonical := canonicalHost(key.Host); canonical != key.Host {
		addPrefix(x.byCanonicalHost, canonical, r)
	}
}

// find returns the route of a request, or nil.
func (x *routeIndex) find(host, path string) *compiledRoute {
	if !strings.HasPrefix(path, "/") {
		return nil
	}
	key := fleetconfig.HostKey(host)
	if r := x.byHost[key].find(path); r != nil {
		return r
	}
	canonical := canonicalHost(key)
	if r := x.byHost[canonical].find(path); r != nil {
		return r
	}
	return x.byCanonicalHost[canonical].find(path)
}

// canonicalHost returns the canonical form of a host, or the host itself if it has none.
func canonicalHost(host string) string {
	canonical, err := route.NormalizeHost(host)
	if err != nil {
		return host
	}
	return canonical
}

// prefixIndex has the routes of one host.
type prefixIndex struct {
	routes  map[string]*compiledRoute // by path prefix
	escaped map[string]*compiledRoute // by the escaped form of prefixes that differ from it
	lengths []int                     // of all prefixes and escaped forms, each once, descending
}

// addPrefix adds a route to the index of a host, which it creates if it is missing.
func addPrefix(hosts map[string]*prefixIndex, host string, r *compiledRoute) {
	x := hosts[host]
	if x == nil {
		x = &prefixIndex{routes: map[string]*compiledRoute{}, escaped: map[string]*compiledRoute{}}
		hosts[host] = x
	}
	x.addTo(x.routes, r.PathPrefix, r)
	if escaped := route.EscapePath(r.PathPrefix); escaped != r.PathPrefix {
		x.addTo(x.escaped, escaped, r)
	}
}

// addTo adds the route of a prefix to one of the maps, unless it has one.
func (x *prefixIndex) addTo(routes map[string]*compiledRoute, prefix string, r *compiledRoute) {
	if routes[prefix] != nil {
		return
	}
	routes[prefix] = r
	descending := func(length, target int) int { return target - length }
	if at, isKnown := slices.BinarySearchFunc(x.lengths, len(prefix), descending); !isKnown {
		x.lengths = slices.Insert(x.lengths, at, len(prefix))
	}
}

// find returns the route with the longest prefix of a path, or nil. Its cost grows with the number of different lengths. x may be nil.
func (x *prefixIndex) find(path string) *compiledRoute {
	if x == nil {
		return nil
	}
	for _, n := range x.lengths {
		if n > len(path) {
			continue
		}
		if r := x.routes[path[:n]]; r != nil {
			return r
		}
		if r := x.escaped[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}
