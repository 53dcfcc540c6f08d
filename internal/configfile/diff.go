package configfile

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"notchhinge/internal/control/fleetconfig"
)

// Values of Change.What for entries that only one of the configurations has.
const (
	entryAdded   = "added"
	entryRemoved = "removed"
)

// Change is one difference between two configurations. Its JSON form is printed by the commands config diff and config plan.
type Change struct {
	Kind string `json:"kind"`           // route, service, tenant or request_limits
	Name string `json:"name,omitempty"` // name of the entry; hostname and path_prefix of a route
	What string `json:"what"`           // added, removed, or the key of the field that differs
	From string `json:"from,omitempty"` // "" = no value
	To   string `json:"to,omitempty"`   // "" = no value
}

// String returns a line such as "~ route a.example/chat/: timeout_ms 12000 -> 9000". The line of an added entry begins with +, that
// of a removed one with -.
func (c Change) String() string {
	entry := c.Kind
	if c.Name != "" {
		entry += " " + c.Name
	}
	switch c.What {
	case entryAdded:
		return "+ " + entry + ": " + c.To
	case entryRemoved:
		return "- " + entry + ": " + c.From
	}
	return fmt.Sprintf("~ %s: %s %s -> %s", entry, c.What, cmp.Or(c.From, "(none)"), cmp.Or(c.To, "(none)"))
}

// Diff lists the changes from one configuration to another: those of routes, services, tenants and request limits, in this order.
// From may be nil. Routes are identified by hostname and path_prefix, services and tenants by name. API keys are counted, not shown.
func Diff(from, to *fleetconfig.Config) []Change {
	if from == nil {
		from = &fleetconfig.Config{}
	}
	return slices.Concat(
		diffEntries(routeEntries, from.Routes, to.Routes),
		diffEntries(serviceEntries, from.Services, to.Services),
		diffEntries(tenantEntries, from.Tenants, to.Tenants),
		diffFields("request_limits", "", reflect.ValueOf(from.RequestLimits), reflect.ValueOf(to.RequestLimits)),
	)
}

// entryKind defines how the entries of one list are identified and summarized.
type entryKind[T any] struct {
	kind    string
	id      func(*T) string
	summary func(*T) string
}

var (
	routeEntries = entryKind[fleetconfig.Route]{
		kind: "route",
		id: func(r *fleetconfig.Route) string {
			key := r.MatchKey()
			return key.Host + key.PathPrefix
		},
		summary: func(r *fleetconfig.Route) string {
			return fmt.Sprintf("%s, %s -> %s, %v ms", r.Name, r.Type, formatSplit(r.Targets()), r.TimeoutMS)
		},
	}
	serviceEntries = entryKind[fleetconfig.Service]{
		kind: "service",
		id:   func(s *fleetconfig.Service) string { return s.Name },
		summary: func(s *fleetconfig.Service) string {
			return fmt.Sprintf("%s, %d connections", cmp.Or(s.Protocol, "h1"), s.MaxConnections)
		},
	}
	tenantEntries = entryKind[fleetconfig.Tenant]{
		kind: "tenant",
		id:   func(t *fleetconfig.Tenant) string { return t.Name },
		summary: func(t *fleetconfig.Tenant) string {
			return fmt.Sprintf("%d keys, priority %d", len(t.APIKeys), t.Priority)
		},
	}
)

// diffEntries compares two lists. Added and changed entries come first, in the order of to, then removed entries in the order of
// from.
func diffEntries[T any](k entryKind[T], from, to []T) (changes []Change) {
	unmatched := map[string]*T{} // entries of from by id
	fromIDs := k.ids(from)
	for i, id := range fromIDs {
		unmatched[id] = &from[i]
	}
	for i, id := range k.ids(to) {
		old := unmatched[id]
		if old == nil {
			changes = append(changes, Change{Kind: k.kind, Name: id, What: entryAdded, To: k.summary(&to[i])})
			continue
		}
		delete(unmatched, id)
		changes = append(changes, diffFields(k.kind, id, reflect.ValueOf(*old), reflect.ValueOf(to[i]))...)
	}
	for i, id := range fromIDs {
		if unmatched[id] != nil {
			changes = append(changes, Change{Kind: k.kind, Name: id, What: entryRemoved, From: k.summary(&from[i])})
		}
	}
	return changes
}

// ids returns the ids of entries. A further entry of the same id has its number among them in parentheses.
func (k *entryKind[T]) ids(entries []T) []string {
	ids, counts := make([]string, len(entries)), map[string]int{}
	for i := range entries {
		id := k.id(&entries[i])
		counts[id]++
		if n := counts[id]; n > 1 {
			id = fmt.Sprintf("%s (%d)", id, n)
		}
		ids[i] = id
	}
	return ids
}

// diffFields compares two structs of the same type field by field. A change has the TOML key of its field.
func diffFields(kind, name string, from, to reflect.Value) (changes []Change) {
	for i := range from.NumField() {
		c := Change{Kind: kind, Name: name, What: from.Type().Field(i).Tag.Get("toml")}
		before, after := from.Field(i).Interface(), to.Field(i).Interface()
		if keys, ok := before.([]string); ok { // API keys, which must not be shown
			added, removed := countMissing(after.([]string), keys), countMissing(keys, after.([]string))
			if added+removed == 0 {
				continue
			}
			c.From = fmt.Sprintf("%d (%d taken away)", len(keys), removed)
			c.To = fmt.Sprintf("%d (%d new)", len(after.([]string)), added)
		} else {
			if reflect.DeepEqual(before, after) || isEmptySlice(before) && isEmptySlice(after) {
				continue
			}
			c.From, c.To = formatValue(before), formatValue(after)
		}
		changes = append(changes, c)
	}
	return changes
}

// countMissing returns the number of elements of list that are not in other.
func countMissing(list, other []string) (n int) {
	for _, s := range list {
		if !slices.Contains(other, s) {
			n++
		}
	}
	return n
}

func isEmptySlice(v any) bool {
	r := reflect.ValueOf(v)
	return r.Kind() == reflect.Slice && r.Len() == 0
}

func formatValue(v any) string {
	switch v := v.(type) {
	case []fleetconfig.WeightedService:
		return formatSplit(v)
	case *fleetconfig.Autoscaling:
		if v == nil {
			return ""
		}
		return fmt.Sprintf("%d to %d, boot %v s", v.MinInstances, v.MaxInstances, v.BootTimeoutS)
	}
	return fmt.Sprint(v)
}

// formatSplit formats a traffic split, as in "scribe:1+reader:0.5".
func formatSplit(split []fleetconfig.WeightedService) string {
	targets := make([]string, len(split))
	for i, t := range split {
		targets[i] = fmt.Sprintf("%s:%v", t.Service, t.Weight)
	}
	return strings.Join(targets, "+")
}
