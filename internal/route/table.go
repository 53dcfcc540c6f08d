// Package route says which service a request belongs to, and which of the service's pools serves it. It owns the
// spelling of hosts and paths, the order in which routes win, and the split of a service over pools. It does no I/O
// and knows nothing of pools but their names and the numbers that its user gives them.
//
// Of the routes that match a request the most specific wins, wherever it stands in the file. Compared are, the first
// difference counting: the host (exact, then the longest *.suffix, then any), the path (exact, then the longest
// prefix of whole segments, then any), a method that is named, a class that is named, and the number of headers that
// are asked for. Two routes that could both match and do not differ in any of these are a fault of the table.
package route

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"net/netip"
	"slices"
	"strings"
)

// Route is one way to a service. What is empty matches anything.
type Route struct {
	Service string
	Host    string            // a name or address, or *.suffix for all names under it
	Path    string            // exact
	Prefix  string            // of whole segments; with or without a slash at its end
	Method  string            // upper case
	Class   string            // by name
	Header  map[string]string // names in their canonical form, and the one value that each must have
}

// WeightedPool is a pool's part of a service.
type WeightedPool struct {
	Pool   string
	Weight float64 // against the others' of the service; 0 = nothing
	// HashKey is what conversations are spread by; "" = Pool. A pool that is renamed keeps its conversations by keeping it.
	HashKey string
}

// Service is what routes lead to.
type Service struct {
	Name  string
	Pools []WeightedPool
}

// Query is a request as far as routes look at it. Host and Path are canonical.
type Query struct {
	Host, Path, Method, Class string
	Header                    map[string][]string // canonical names; a header that is given twice matches nothing
}

// TableError is something that is wrong with a table.
type TableError struct {
	ServiceIndex int    // its place in the list; -1 = none
	RouteIndex   int    // its place in the list; -1 = none
	Field        string // of the route or the service, as the settings write it; "" = it as a whole
	Message      string
}

func (f TableError) Error() string {
	switch {
	case f.RouteIndex >= 0:
		return fmt.Sprintf("route %d: %s: %s", f.RouteIndex, f.Field, f.Message)
	case f.ServiceIndex >= 0:
		return fmt.Sprintf("service %d: %s: %s", f.ServiceIndex, f.Field, f.Message)
	}
	return f.Message
}

// Table finds a request's route. It does not change and may be used by many goroutines at once.
type Table struct {
	exact, suffix map[string]*hostNode
	any           *hostNode
	routes        []Route // with hosts, paths and prefixes in canonical form
	targets       []*Target
	services      map[string]*Target
	methods       []string // that any route names
	seed          maphash.Seed
}

// hostNode holds the routes of one host pattern.
type hostNode struct {
	exact, prefix map[string]*leaf
	any           *leaf
	depth         int // segments of the longest prefix
}

// leaf holds the routes of one host and path pattern.
type leaf struct {
	groups map[key][]group // by method and class
	kinds  [4]bool         // which of the four kinds of key there are, the most specific first
}

type key struct{ method, class string }

// group holds the routes that ask for the same headers, by the hash of the values.
type group struct {
	names  []string
	byHash map[uint64][]int // places of routes
	plain  int              // the place of the one route that asks for none
}

// Target is where a route leads.
type Target struct {
	Service    string
	RouteIndex int // its place in the list that the table was made of; -1 = a service itself
	shares     []share
}

// MaxRoutes bounds a table, so that a file made by mistake is told so and does not eat the memory.
const MaxRoutes = 100_000

// New compiles a table. pool gives each pool that a service names its number, or says that there is no such pool.
// The error is a list of every fault.
func New(services []Service, routes []Route, pool func(name string) (int, bool)) (*Table, []TableError) {
	t := &Table{
		exact: map[string]*hostNode{}, suffix: map[string]*hostNode{}, any: &hostNode{}, seed: maphash.MakeSeed(),
		routes: slices.Clone(routes),
	}
	var faults []TableError
	byName := map[string][]share{}
	for i, s := range services {
		if _, twice := byName[s.Name]; twice {
			faults = append(faults, TableError{i, -1, "name", fmt.Sprintf("%q is another service already", s.Name)})
		}
		shares, f := split(i, s, pool)
		faults = append(faults, f...)
		byName[s.Name] = shares
	}
	if len(routes) > MaxRoutes {
		return nil, append(faults, TableError{-1, -1, "", fmt.Sprintf("%d routes; %d at the most are wanted", len(routes), MaxRoutes)})
	}
	for i := range t.routes {
		r := &t.routes[i]
		shares, ok := byName[r.Service]
		if !ok {
			faults = append(faults, TableError{-1, i, "service", fmt.Sprintf("there is no service %q", r.Service)})
		}
		t.targets = append(t.targets, &Target{Service: r.Service, RouteIndex: i, shares: shares})
		bad := r.canonical(i)
		if faults = append(faults, bad...); len(bad) > 0 {
			continue
		}
		if rival := t.add(i); rival >= 0 {
			faults = append(faults, TableError{-1, i, "", fmt.Sprintf("could match what route %d matches, and neither is more specific",
				rival)})
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	t.services = map[string]*Target{}
	for _, s := range services {
		t.services[s.Name] = &Target{Service: s.Name, RouteIndex: -1, shares: byName[s.Name]}
	}
	for i := range t.routes {
		if m := t.routes[i].Method; m != "" && !slices.Contains(t.methods, m) {
			t.methods = append(t.methods, m)
		}
	}
	slices.Sort(t.methods)
	return t, nil
}

// Service returns the target of a service itself, whatever leads to it; nil if there is none.
func (t *Table) Service(name string) *Target { return t.services[name] }

// Len is how many routes there are.
func (t *Table) Len() int { return len(t.routes) }

// canonical brings a route's patterns into the form that queries have.
func (r *Route) canonical(i int) (faults []TableError) {
	fault := func(field, format string, args ...any) {
		faults = append(faults, TableError{-1, i, field, fmt.Sprintf(format, args...)})
	}
	if r.Host != "" {
		name, wild := strings.CutPrefix(r.Host, "*.")
		if a, err := netip.ParseAddr(name); err == nil && a.Is6() {
			name = "[" + name + "]"
		}
		host, port, err := SplitHostPort(name)
		switch {
		case err != nil:
			fault("host", "%q is no host; a name, an address, or *. and a name are wanted", r.Host)
		case port != "":
			fault("host", "%q has a port; routes do not look at ports", r.Host)
		case wild:
			r.Host = "*." + host
		default:
			r.Host = host
		}
	}
	if r.Path != "" && r.Prefix != "" {
		fault("prefix", "a route has a path or a prefix, not both")
	}
	if r.Path != "" {
		if p, err := NormalizePath(r.Path); err != nil {
			fault("path", "%q: %v", r.Path, err)
		} else {
			r.Path = p
		}
	}
	if r.Prefix != "" {
		if p, err := NormalizePath(r.Prefix); err != nil {
			fault("prefix", "%q: %v", r.Prefix, err)
		} else {
			r.Prefix = strings.TrimSuffix(p, "/") // a prefix of / is any path
		}
	}
	for name, value := range r.Header {
		if name == "" || value == "" {
			fault("header", "names and values must not be empty")
		}
	}
	return faults
}

// add puts a route in its place, and returns the place of one that could match the same and is as specific, or -1.
func (t *Table) add(i int) int {
	r := &t.routes[i]
	h := t.any
	if r.Host != "" {
		at, name := t.exact, r.Host
		if suffix, wild := strings.CutPrefix(r.Host, "*."); wild {
			at, name = t.suffix, suffix
		}
		if at[name] == nil {
			at[name] = &hostNode{}
		}
		h = at[name]
	}
	l := h.leaf(r)
	k := key{r.Method, r.Class}
	l.kinds[k.kind()] = true
	names := headerNames(r.Header)
	groups := l.groups[k]
	for g := range groups {
		if len(groups[g].names) != len(names) {
			continue
		}
		for _, j := range groups[g].all() {
			if !disjoint(r.Header, t.routes[j].Header) {
				return j
			}
		}
	}
	g := slices.IndexFunc(groups, func(g group) bool { return slices.Equal(g.names, names) })
	if g < 0 {
		groups = append(groups, group{names: names, byHash: map[uint64][]int{}, plain: -1})
		slices.SortStableFunc(groups, func(x, y group) int { return cmp.Compare(len(y.names), len(x.names)) })
		g = slices.IndexFunc(groups, func(g group) bool { return slices.Equal(g.names, names) })
	}
	if len(names) == 0 {
		groups[g].plain = i
	} else {
		var h maphash.Hash
		h.SetSeed(t.seed)
		for _, n := range names {
			h.WriteString(r.Header[n])
			h.WriteByte(0)
		}
		groups[g].byHash[h.Sum64()] = append(groups[g].byHash[h.Sum64()], i)
	}
	l.groups[k] = groups
	return -1
}

// leaf finds or makes the place of a route's path.
func (h *hostNode) leaf(r *Route) *leaf {
	fresh := func() *leaf { return &leaf{groups: map[key][]group{}} }
	in := func(m *map[string]*leaf, p string) *leaf {
		if *m == nil {
			*m = map[string]*leaf{}
		}
		if (*m)[p] == nil {
			(*m)[p] = fresh()
		}
		return (*m)[p]
	}
	switch {
	case r.Path != "":
		return in(&h.exact, r.Path)
	case r.Prefix != "":
		h.depth = max(h.depth, strings.Count(r.Prefix, "/"))
		return in(&h.prefix, r.Prefix)
	}
	if h.any == nil {
		h.any = fresh()
	}
	return h.any
}

// kind orders keys, the most specific first.
func (k key) kind() int {
	n := 0
	if k.method == "" {
		n += 2
	}
	if k.class == "" {
		n++
	}
	return n
}

func headerNames(h map[string]string) []string {
	names := make([]string, 0, len(h))
	for n := range h {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (g *group) all() (places []int) {
	if g.plain >= 0 {
		places = append(places, g.plain)
	}
	for _, some := range g.byHash {
		places = append(places, some...)
	}
	return places
}

// disjoint tells whether no request can have both sets of headers.
func disjoint(x, y map[string]string) bool {
	for n, v := range x {
		if w, both := y[n]; both && v != w {
			return true
		}
	}
	return false
}

// Lookup returns where a request goes, or nil. It allocates nothing; its cost grows with the request's labels and
// segments, up to the table's own deepest pattern, and not with the number of routes.
func (t *Table) Lookup(q *Query) *Target {
	if len(t.exact) > 0 {
		if h := t.exact[q.Host]; h != nil {
			if to := t.inHost(h, q); to != nil {
				return to
			}
		}
	}
	if len(t.suffix) > 0 {
		for rest := q.Host; ; {
			dot := strings.IndexByte(rest, '.')
			if dot < 0 {
				break
			}
			rest = rest[dot+1:]
			if h := t.suffix[rest]; h != nil {
				if to := t.inHost(h, q); to != nil {
					return to
				}
			}
		}
	}
	return t.inHost(t.any, q)
}

func (t *Table) inHost(h *hostNode, q *Query) *Target {
	if l := h.exact[q.Path]; l != nil {
		if to := t.inLeaf(l, q); to != nil {
			return to
		}
	}
	if len(h.prefix) > 0 {
		// A path of thousands of segments must not be looked up once for each.
		for p := firstSegments(q.Path, h.depth); p != ""; p = p[:strings.LastIndexByte(p, '/')] {
			if l := h.prefix[p]; l != nil {
				if to := t.inLeaf(l, q); to != nil {
					return to
				}
			}
		}
	}
	if h.any != nil {
		return t.inLeaf(h.any, q)
	}
	return nil
}

// firstSegments returns the first n segments of a path, or the whole path.
func firstSegments(path string, n int) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			if n--; n == 0 {
				return path[:i]
			}
		}
	}
	return path
}

func (t *Table) inLeaf(l *leaf, q *Query) *Target {
	for kind, there := range l.kinds {
		if !there {
			continue
		}
		k := key{q.Method, q.Class}
		if kind&2 != 0 {
			k.method = ""
		}
		if kind&1 != 0 {
			k.class = ""
		}
		if (k.method == "") != (kind&2 != 0) || (k.class == "") != (kind&1 != 0) {
			continue // the request has none
		}
		groups := l.groups[k]
		for i := range groups {
			if at := t.inGroup(&groups[i], q); at >= 0 {
				return t.targets[at]
			}
		}
	}
	return nil
}

func (t *Table) inGroup(g *group, q *Query) int {
	if len(g.names) == 0 {
		return g.plain
	}
	var h maphash.Hash
	h.SetSeed(t.seed)
	for _, n := range g.names {
		v := q.Header[n]
		if len(v) != 1 {
			return -1
		}
		h.WriteString(v[0])
		h.WriteByte(0)
	}
	for _, at := range g.byHash[h.Sum64()] {
		if t.routes[at].hasHeaders(q) {
			return at
		}
	}
	return -1
}

func (r *Route) hasHeaders(q *Query) bool {
	for n, want := range r.Header {
		if v := q.Header[n]; len(v) != 1 || v[0] != want {
			return false
		}
	}
	return true
}

// AllowedMethods lists the methods with which a request that no route takes would have one, for an Allow header. It is empty
// where the method is not what is wrong.
func (t *Table) AllowedMethods(q *Query) []string {
	var out []string
	for _, m := range t.methods {
		other := *q
		if other.Method = m; m != q.Method && t.Lookup(&other) != nil {
			out = append(out, m)
		}
	}
	return out
}
