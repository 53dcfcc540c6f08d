package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Candidate is a route as it stands to a request.
type Candidate struct {
	Route   Route // in canonical form
	Index   int
	Matches bool
	Wins    bool
	Reason  string // why it wins, loses, or does not match
	misses  int
}

// Explain says which route a request takes and why, and which others were close: those that match and lose, and then
// those that do not match, the nearest first. At most most are returned.
func (t *Table) Explain(q *Query, most int) []Candidate {
	won := -1
	if to := t.Lookup(q); to != nil {
		won = to.RouteIndex
	}
	var all []Candidate
	for i := range t.routes {
		r := &t.routes[i]
		c := Candidate{Route: *r, Index: i, Wins: i == won}
		misses := r.misses(q)
		c.misses = len(misses)
		switch c.Matches = len(misses) == 0; {
		case c.Wins:
			c.Reason = "wins: " + r.Summary()
		case c.Matches:
			c.Reason = "loses: " + t.routes[won].beats(r)
		default:
			c.Reason = "does not match: " + strings.Join(misses, "; ")
		}
		all = append(all, c)
	}
	slices.SortStableFunc(all, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(x.misses, y.misses), y.Route.compare(&x.Route))
	})
	return all[:min(len(all), most)]
}

func rank(c Candidate) int {
	switch {
	case c.Wins:
		return 0
	case c.Matches:
		return 1
	}
	return 2
}

// misses says what of a route a request does not meet.
func (r *Route) misses(q *Query) (says []string) {
	if !r.takesHost(q.Host) {
		says = append(says, fmt.Sprintf("host %s is not %s", q.Host, r.Host))
	}
	switch {
	case r.Path != "" && r.Path != q.Path:
		says = append(says, fmt.Sprintf("path %s is not %s", q.Path, r.Path))
	case r.Prefix != "" && r.Prefix != q.Path && !strings.HasPrefix(q.Path, r.Prefix+"/"):
		says = append(says, fmt.Sprintf("path %s is not under %s", q.Path, r.Prefix))
	}
	if r.Method != "" && r.Method != q.Method {
		says = append(says, fmt.Sprintf("method %s is not %s", q.Method, r.Method))
	}
	if r.Class != "" && r.Class != q.Class {
		says = append(says, fmt.Sprintf("class %q is not %q", q.Class, r.Class))
	}
	for _, n := range headerNames(r.Header) {
		if v := q.Header[n]; len(v) != 1 || v[0] != r.Header[n] {
			says = append(says, fmt.Sprintf("header %s is not %q", n, r.Header[n]))
		}
	}
	return says
}

func (r *Route) takesHost(host string) bool {
	if suffix, wild := strings.CutPrefix(r.Host, "*"); wild {
		return strings.HasSuffix(host, suffix) && len(host) > len(suffix)
	}
	return r.Host == "" || r.Host == host
}

// specifics are what decides between two routes, in order.
func (r *Route) specifics() [7]int {
	var s [7]int
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

// compare is above 0 where r is the more specific route.
func (r *Route) compare(o *Route) int {
	x, y := r.specifics(), o.specifics()
	return slices.Compare(x[:], y[:])
}

// beats says by what r is more specific than o.
func (r *Route) beats(o *Route) string {
	says := [...]string{
		"the winner's host is exact", "the winner's host suffix is longer", "the winner's path is exact",
		"the winner's prefix is longer", "the winner names the method", "the winner names the class",
		"the winner asks for more headers",
	}
	x, y := r.specifics(), o.specifics()
	for i := range x {
		if x[i] != y[i] {
			return says[i]
		}
	}
	return "it is as specific as the winner" // a table with such routes is not made
}

// Summary is a route on one line.
func (r *Route) Summary() string {
	var parts []string
	part := func(name, value string) {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	part("host", r.Host)
	part("path", r.Path)
	part("prefix", r.Prefix)
	part("method", r.Method)
	part("class", r.Class)
	for _, n := range headerNames(r.Header) {
		part("header", n+": "+r.Header[n])
	}
	if len(parts) == 0 {
		return "any request"
	}
	return strings.Join(parts, ", ")
}
