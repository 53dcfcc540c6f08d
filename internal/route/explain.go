package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Candidate is the result of comparing a route with a request.
type Candidate struct {
	Route      Route // in canonical form
	Index      int   // in the list passed to New
	Matches    bool
	Wins       bool
	Reason     string // why the route wins, loses, or does not match
	mismatches int
}

// Explain compares a request with all routes and returns the first limit results: the route that wins, then the other
// routes that match, then those that do not match, with the fewest mismatches first.
func (t *Table) Explain(q *Query, limit int) []Candidate {
	winner := noIndex
	if target := t.Lookup(q); target != nil {
		winner = target.RouteIndex
	}
	var all []Candidate
	for i := range t.routes {
		r := &t.routes[i]
		mismatches := r.mismatches(q)
		c := Candidate{Route: *r, Index: i, Matches: len(mismatches) == 0, Wins: i == winner, mismatches: len(mismatches)}
		switch {
		case c.Wins:
			c.Reason = "wins: " + r.Summary()
		case c.Matches:
			c.Reason = "loses: " + t.routes[winner].advantageOver(r)
		default:
			c.Reason = "does not match: " + strings.Join(mismatches, "; ")
		}
		all = append(all, c)
	}
	slices.SortStableFunc(all, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(x.sortKey(), y.sortKey()), cmp.Compare(x.mismatches, y.mismatches),
			y.Route.compareSpecificity(&x.Route))
	})
	return all[:min(len(all), limit)]
}

func (c *Candidate) sortKey() int {
	switch {
	case c.Wins:
		return 0
	case c.Matches:
		return 1
	}
	return 2
}

// mismatches describes each pattern of a route that a request does not match.
func (r *Route) mismatches(q *Query) (descriptions []string) {
	add := func(format string, args ...any) { descriptions = append(descriptions, fmt.Sprintf(format, args...)) }
	if !r.matchesHost(q.Host) {
		add("host %s is not %s", q.Host, r.Host)
	}
	switch {
	case r.Path != "" && r.Path != q.Path:
		add("path %s is not %s", q.Path, r.Path)
	case r.Prefix != "" && r.Prefix != q.Path && !strings.HasPrefix(q.Path, r.Prefix+"/"):
		add("path %s is not under %s", q.Path, r.Prefix)
	}
	if r.Method != "" && r.Method != q.Method {
		add("method %s is not %s", q.Method, r.Method)
	}
	if r.Class != "" && r.Class != q.Class {
		add("class %q is not %q", q.Class, r.Class)
	}
	for _, name := range sortedNames(r.Header) {
		if values := q.Header[name]; len(values) != 1 || values[0] != r.Header[name] {
			add("header %s is not %q", name, r.Header[name])
		}
	}
	return descriptions
}

func (r *Route) matchesHost(host string) bool {
	if suffix, isSuffix := strings.CutPrefix(r.Host, "*"); isSuffix {
		return strings.HasSuffix(host, suffix) && len(host) > len(suffix)
	}
	return r.Host == "" || r.Host == host
}

// specificity orders routes by precedence. Of two routes, the one with the greater first differing element wins.
type specificity [7]int

func (r *Route) specificity() (s specificity) {
	switch {
	case strings.HasPrefix(r.Host, "*."):
		s[1] = len(r.Host)
	case r.Host != "":
		s[0] = 1
	}
	switch {
	case r.Path != "":
		s[2] = 1
	default:
		s[3] = len(r.Prefix)
	}
	if r.Method != "" {
		s[4] = 1
	}
	if r.Class != "" {
		s[5] = 1
	}
	s[6] = len(r.Header)
	return s
}

// compareSpecificity returns a positive number if r is more specific than other, and a negative one if it is less specific.
func (r *Route) compareSpecificity(other *Route) int {
	x, y := r.specificity(), other.specificity()
	return slices.Compare(x[:], y[:])
}

// advantageOver describes why r is more specific than other.
func (r *Route) advantageOver(other *Route) string {
	advantages := [len(specificity{})]string{
		"the winner's host is exact", "the winner's host suffix is longer", "the winner's path is exact",
		"the winner's prefix is longer", "the winner names the method", "the winner names the class",
		"the winner asks for more headers",
	}
	x, y := r.specificity(), other.specificity()
	for i := range x {
		if x[i] != y[i] {
			return advantages[i]
		}
	}
	return "it is as specific as the winner" // unreachable: New rejects such routes
}

// Summary describes the patterns of a route in one line.
func (r *Route) Summary() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	add("host", r.Host)
	add("path", r.Path)
	add("prefix", r.Prefix)
	add("method", r.Method)
	add("class", r.Class)
	for _, name := range sortedNames(r.Header) {
		add("header", name+": "+r.Header[name])
	}
	if len(parts) == 0 {
		return "any request"
	}
	return strings.Join(parts, ", ")
}
