package configfile

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"notchhinge/internal/control/fleetconfig"
)

// Change is one thing that another configuration changes.
type Change struct {
	Kind string `json:"kind"` // route, service, tenant, request_limits
	Name string `json:"name,omitempty"`
	What string `json:"what"` // added, removed, or a field
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

func (c Change) String() string {
	s := c.Kind
	if c.Name != "" {
		s += " " + c.Name
	}
	switch {
	case c.What == "added":
		return "+ " + s + ": " + c.To
	case c.What == "removed":
		return "- " + s + ": " + c.From
	}
	return fmt.Sprintf("~ %s: %s %s -> %s", s, c.What, cmp.Or(c.From, "(none)"), cmp.Or(c.To, "(none)"))
}

// Diff lists what b changes of a; a may be nil. Routes are told apart by host and path_prefix, since requests are; services
// and tenants by name.
func Diff(a, b *fleetconfig.Config) (all []Change) {
	if a == nil {
		a = &fleetconfig.Config{}
	}
	all = append(all, pairs("route", a.Routes, b.Routes, func(r *fleetconfig.Route) string { return strings.ToLower(r.Hostname) + r.PathPrefix }, routeText)...)
	all = append(all, pairs("service", a.Services, b.Services, func(s *fleetconfig.Service) string { return s.Name },
		func(s *fleetconfig.Service) string {
			return fmt.Sprintf("%s, %d connections", cmp.Or(s.Protocol, "h1"), s.MaxConnections)
		})...)
	all = append(all, pairs("tenant", a.Tenants, b.Tenants, func(t *fleetconfig.Tenant) string { return t.Name },
		func(t *fleetconfig.Tenant) string {
			return fmt.Sprintf("%d keys, priority %d", len(t.APIKeys), t.Priority)
		})...)
	all = append(all, fields("request_limits", "", reflect.ValueOf(a.RequestLimits), reflect.ValueOf(b.RequestLimits))...)
	return all
}

func routeText(r *fleetconfig.Route) string {
	return fmt.Sprintf("%s, %s -> %s, %v ms", r.Name, r.Type, shares(r.Targets()), r.TimeoutMS)
}

func shares(all []fleetconfig.WeightedService) string {
	var s []string
	for _, x := range all {
		s = append(s, fmt.Sprintf("%s:%v", x.Service, x.Weight))
	}
	return strings.Join(s, "+")
}

// pairs compares two lists whose entries have names.
func pairs[T any](kind string, a, b []T, name func(*T) string, text func(*T) string) (all []Change) {
	at := map[string]*T{}
	for i := range a {
		at[name(&a[i])] = &a[i]
	}
	for i := range b {
		n := name(&b[i])
		old := at[n]
		if old == nil {
			all = append(all, Change{Kind: kind, Name: n, What: "added", To: text(&b[i])})
			continue
		}
		delete(at, n)
		all = append(all, fields(kind, n, reflect.ValueOf(*old), reflect.ValueOf(b[i]))...)
	}
	for i := range a {
		if n := name(&a[i]); at[n] == &a[i] {
			all = append(all, Change{Kind: kind, Name: n, What: "removed", From: text(&a[i])})
		}
	}
	return all
}

// fields compares two structs field by field, under the names that files give them.
func fields(kind, name string, a, b reflect.Value) (all []Change) {
	for i := range a.NumField() {
		field := a.Type().Field(i).Tag.Get("toml")
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if keys, ok := x.([]string); ok {
			all = append(all, keyChanges(kind, name, field, keys, y.([]string))...)
			continue
		}
		if !reflect.DeepEqual(x, y) && !(empty(x) && empty(y)) {
			all = append(all, Change{kind, name, field, show(x), show(y)})
		}
	}
	return all
}

func empty(v any) bool {
	x := reflect.ValueOf(v)
	return x.Kind() == reflect.Slice && x.Len() == 0
}

func show(v any) string {
	switch v := v.(type) {
	case []fleetconfig.WeightedService:
		return shares(v)
	case *fleetconfig.Autoscaling:
		if v == nil {
			return ""
		}
		return fmt.Sprintf("%d to %d, boot %v s", v.MinInstances, v.MaxInstances, v.BootTimeoutS)
	}
	return fmt.Sprint(v)
}

// keyChanges counts keys that come and go; none is shown.
func keyChanges(kind, name, field string, a, b []string) []Change {
	came, went := 0, 0
	for _, k := range b {
		if !slices.Contains(a, k) {
			came++
		}
	}
	for _, k := range a {
		if !slices.Contains(b, k) {
			went++
		}
	}
	if came+went == 0 {
		return nil
	}
	return []Change{{kind, name, field, fmt.Sprintf("%d (%d taken away)", len(a), went), fmt.Sprintf("%d (%d new)", len(b), came)}}
}
