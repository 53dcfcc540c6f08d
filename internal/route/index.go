package route

import (
	"cmp"
	"hash/maphash"
	"slices"
	"strings"
)

// hostNode holds the routes of one host pattern.
type hostNode struct {
	exactPaths map[string]*pathNode
	prefixes   map[string]*pathNode
	anyPath    *pathNode
	maxDepth   int // number of segments of the longest prefix
}

// pathNode holds the routes of one host and path pattern.
type pathNode struct {
	groups   map[methodClass][]headerGroup // sorted by the number of headers, descending
	hasRanks [4]bool                       // by rank: whether groups has a key of the rank
}

// methodClass is the method and the class that a route requires. An empty field matches anything.
type methodClass struct{ method, class string }

// Bits of the rank of a methodClass. A lower rank is more specific.
const (
	rankAnyClass  = 1
	rankAnyMethod = 2
)

func (k methodClass) rank() int {
	rank := 0
	if k.method == "" {
		rank |= rankAnyMethod
	}
	if k.class == "" {
		rank |= rankAnyClass
	}
	return rank
}

// headerGroup holds the routes that require the same header names.
type headerGroup struct {
	names           []string         // sorted
	byHash          map[uint64][]int // route indexes by the hash of the required values
	headerlessRoute int              // index of the route without required headers; -1 = none
}

func (g *headerGroup) routeIndexes() (indexes []int) {
	if g.headerlessRoute >= 0 {
		indexes = append(indexes, g.headerlessRoute)
	}
	for _, sameHash := range g.byHash {
		indexes = append(indexes, sameHash...)
	}
	return indexes
}

// insert adds the route at index to the search structure. If a route that is equally specific can match the same request,
// it returns the index of that route, otherwise -1.
func (t *Table) insert(index int) (conflicting int) {
	r := &t.routes[index]
	node := t.hostNode(r.Host).pathNode(r)
	key := methodClass{r.Method, r.Class}
	node.hasRanks[key.rank()] = true
	names := sortedNames(r.Header)
	groups := node.groups[key]
	for g := range groups {
		if len(groups[g].names) != len(names) {
			continue
		}
		for _, other := range groups[g].routeIndexes() {
			if !areDisjoint(r.Header, t.routes[other].Header) {
				return other
			}
		}
	}
	hasSameNames := func(g headerGroup) bool { return slices.Equal(g.names, names) }
	if !slices.ContainsFunc(groups, hasSameNames) {
		groups = append(groups, headerGroup{names: names, byHash: map[uint64][]int{}, headerlessRoute: noIndex})
		slices.SortStableFunc(groups, func(x, y headerGroup) int { return cmp.Compare(len(y.names), len(x.names)) })
	}
	group := &groups[slices.IndexFunc(groups, hasSameNames)]
	if len(names) == 0 {
		group.headerlessRoute = index
	} else {
		sum := t.hashHeader(names, r.Header)
		group.byHash[sum] = append(group.byHash[sum], index)
	}
	node.groups[key] = groups
	return noIndex
}

func (t *Table) hashHeader(names []string, header map[string]string) uint64 {
	var h maphash.Hash
	h.SetSeed(t.seed)
	for _, name := range names {
		writeHeaderValue(&h, header[name])
	}
	return h.Sum64()
}

// writeHeaderValue adds a value and a separator to a hash.
func writeHeaderValue(h *maphash.Hash, value string) {
	h.WriteString(value)
	h.WriteByte(0)
}

// hostNode returns the node of a host pattern and adds it if it is missing.
func (t *Table) hostNode(pattern string) *hostNode {
	if pattern == "" {
		return t.anyHost
	}
	nodes, name := t.exactHosts, pattern
	if suffix, isSuffix := strings.CutPrefix(pattern, "*."); isSuffix {
		nodes, name = t.suffixHosts, suffix
	}
	if nodes[name] == nil {
		nodes[name] = newHostNode()
	}
	return nodes[name]
}

func newHostNode() *hostNode {
	return &hostNode{exactPaths: map[string]*pathNode{}, prefixes: map[string]*pathNode{}}
}

// pathNode returns the node of a route's path pattern and adds it if it is missing.
func (h *hostNode) pathNode(r *Route) *pathNode {
	switch {
	case r.Path != "":
		return findOrAdd(h.exactPaths, r.Path)
	case r.Prefix != "":
		h.maxDepth = max(h.maxDepth, strings.Count(r.Prefix, "/"))
		return findOrAdd(h.prefixes, r.Prefix)
	}
	if h.anyPath == nil {
		h.anyPath = newPathNode()
	}
	return h.anyPath
}

func newPathNode() *pathNode { return &pathNode{groups: map[methodClass][]headerGroup{}} }

func findOrAdd(nodes map[string]*pathNode, path string) *pathNode {
	if nodes[path] == nil {
		nodes[path] = newPathNode()
	}
	return nodes[path]
}

// areDisjoint reports whether no request can satisfy both sets of required headers.
func areDisjoint(x, y map[string]string) bool {
	for name, value := range x {
		if other, isInBoth := y[name]; isInBoth && value != other {
			return true
		}
	}
	return false
}
