package route

import (
	"hash/maphash"
	"strings"
)

// Query holds the properties of a request that routes match. Host and Path are canonical.
type Query struct {
	Host, Path, Method, Class string
	Header                    map[string][]string // by canonical name; a header with several values matches no route
}

// Lookup returns the target of a request, or nil if no route matches. It does not allocate. Its cost grows with the number
// of labels in the host and of segments in the path, up to the longest prefix, but not with the number of routes.
func (t *Table) Lookup(q *Query) *Target {
	if len(t.exactHosts) > 0 {
		if node := t.exactHosts[q.Host]; node != nil {
			if target := t.lookupInHost(node, q); target != nil {
				return target
			}
		}
	}
	if len(t.suffixHosts) > 0 {
		if target := t.lookupBySuffix(q); target != nil {
			return target
		}
	}
	return t.lookupInHost(t.anyHost, q)
}

// lookupBySuffix searches the suffix patterns of the host, the longest first.
func (t *Table) lookupBySuffix(q *Query) *Target {
	for suffix := q.Host; ; {
		dot := strings.IndexByte(suffix, '.')
		if dot < 0 {
			return nil
		}
		suffix = suffix[dot+1:]
		if node := t.suffixHosts[suffix]; node != nil {
			if target := t.lookupInHost(node, q); target != nil {
				return target
			}
		}
	}
}

func (t *Table) lookupInHost(h *hostNode, q *Query) *Target {
	if node := h.exactPaths[q.Path]; node != nil {
		if target := t.lookupInPath(node, q); target != nil {
			return target
		}
	}
	if len(h.prefixes) > 0 {
		// maxDepth bounds the cost for a path with thousands of segments.
		for p := firstSegments(q.Path, h.maxDepth); p != ""; p = p[:strings.LastIndexByte(p, '/')] {
			if node := h.prefixes[p]; node != nil {
				if target := t.lookupInPath(node, q); target != nil {
					return target
				}
			}
		}
	}
	if h.anyPath != nil {
		return t.lookupInPath(h.anyPath, q)
	}
	return nil
}

// firstSegments returns the first n segments of a path, or the whole path if it has fewer.
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

func (t *Table) lookupInPath(node *pathNode, q *Query) *Target {
	for rank, isPresent := range node.hasRanks {
		if !isPresent {
			continue
		}
		key := methodClass{q.Method, q.Class}
		if rank&rankAnyMethod != 0 {
			key.method = ""
		}
		if rank&rankAnyClass != 0 {
			key.class = ""
		}
		if key.rank() != rank {
			continue // q has no method or class that a route of this rank requires
		}
		groups := node.groups[key]
		for i := range groups {
			if index := t.lookupInGroup(&groups[i], q); index >= 0 {
				return t.targets[index]
			}
		}
	}
	return nil
}

// lookupInGroup returns the index of the route in the group whose required headers the request has, or -1.
func (t *Table) lookupInGroup(g *headerGroup, q *Query) int {
	if len(g.names) == 0 {
		return g.headerlessRoute
	}
	var h maphash.Hash
	h.SetSeed(t.seed)
	for _, name := range g.names {
		values := q.Header[name]
		if len(values) != 1 {
			return noIndex
		}
		writeHeaderValue(&h, values[0])
	}
	for _, index := range g.byHash[h.Sum64()] {
		if t.routes[index].matchesHeader(q) {
			return index
		}
	}
	return noIndex
}

func (r *Route) matchesHeader(q *Query) bool {
	for name, required := range r.Header {
		if values := q.Header[name]; len(values) != 1 || values[0] != required {
			return false
		}
	}
	return true
}

// AllowedMethods returns the methods with which a request that matches no route would match one, for an Allow header.
// It is empty if the request would not match with any method.
func (t *Table) AllowedMethods(q *Query) []string {
	var allowed []string
	for _, method := range t.methods {
		other := *q
		other.Method = method
		if method != q.Method && t.Lookup(&other) != nil {
			allowed = append(allowed, method)
		}
	}
	return allowed
}
