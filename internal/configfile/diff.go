package configfile

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"notchhinge/internal/control/fleetconfig"
)

// Values of Change.What for entries that only one of two configurations has.
const (
	entryAdded   = "added"
	entryRemoved = "removed"
)

// Change is one difference between two configurations. Its JSON form is the output of the config commands.
type Change struct {
	Kind string `json:"kind"`           // route, service, tenant or request_limits
	Name string `json:"name,omitempty"` // of the entry; of a route its hostname and path_prefix
	What string `json:"what"`           // added, removed, or the key of the field that differs
	From string `json:"from,omitempty"` // "" = no value
	To   string `json:"to,omitempty"`   // "" = no value
}

// String is one line as in "~ route a.example/chat/: timeout_ms 12000 -> 9000", with + and - for added and removed entries.
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

// Diff lists the differences of to against from, which may be nil: routes, services, tenants, then request limits. Routes are
// identified by hostname and path_prefix, by which requests are matched; services and tenants by name. API keys are counted,
// not shown.
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

// entryKind says how the entries of one list are identified and summarized.
type entryKind[T any] struct {
	kind    string
	id      func(*T) string
	summary func(*T) string
}

var (
	routeEntries = entryKind[fleetconfig.Route]{
		kind: "route",
		id:   func(r *fleetconfig.Route) string { return strings.ToLower(r.Hostname) + r.PathPrefix },
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

// diffEntries compares two lists: entries that are new or differ in the order of to, then removed ones in the order of from.
func diffEntries[T any](k entryKind[T], from, to []T) (changes []Change) {
	unmatched := map[string]*T{} // entries of from by id
	for i := range from {
		unmatched[k.id(&from[i])] = &from[i]
	}
	for i := range to {
		id := k.id(&to[i])
		old := unmatched[id]
		if old == nil {
			changes = append(changes, Change{Kind: k.kind, Name: id, What: entryAdded, To: k.summary(&to[i])})
			continue
		}
		delete(unmatched, id)
		changes = append(changes, diffFields(k.kind, id, reflect.ValueOf(*old), reflect.ValueOf(to[i]))...)
	}
	for i := range from {
		if id := k.id(&from[i]); unmatched[id] == &from[i] {
			changes = append(changes, Change{Kind: k.kind, Name: id, What: entryRemoved, From: k.summary(&from[i])})
		}
	}
	return changes
}

// diffFields compares two structs of one type field by field, under their TOML keys.
func diffFields(kind, name string, from, to reflect.Value) (changes []Change) {
	for i := range from.NumField() {
		c := Change{Kind: kind, Name: name, What: from.Type().Field(i).Tag.Get("toml")}
		old, now := from.Field(i).Interface(), to.Field(i).Interface()
		if keys, ok := old.([]string); ok { // API keys
			added, removed := countMissing(now.([]string), keys), countMissing(keys, now.([]string))
			if added+removed == 0 {
				continue
			}
			c.From = fmt.Sprintf("%d (%d taken away)", len(keys), removed)
			c.To = fmt.Sprintf("%d (%d new)", len(now.([]string)), added)
		} else {
			if reflect.DeepEqual(old, now) || isEmptySlice(old) && isEmptySlice(now) {
				continue
			}
			c.From, c.To = formatValue(old), formatValue(now)
		}
		changes = append(changes, c)
	}
	return changes
}

// countMissing counts the elements of list that other lacks.
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

// formatSplit is a traffic split as in scribe:1+reader:0.5.
func formatSplit(split []fleetconfig.WeightedService) string {
	targets := make([]string, len(split))
	for i, t := range split {
		targets[i] = fmt.Sprintf("%s:%v", t.Service, t.Weight)
	}
	return strings.Join(targets, "+")
}
