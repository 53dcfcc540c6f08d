package fleetconfig

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Maximum lengths of names, in bytes.
const (
	MaxServiceNameBytes = 200 // as in a heartbeat
	MaxTenantNameBytes  = 256 // as in a usage report
)

// maxFieldErrors bounds the number of reported errors: each of thousands of routes may be invalid.
const maxFieldErrors = 64

// Validate returns the errors in the configuration as FieldErrors, at most maxFieldErrors of them; nil means that it is valid. Only
// a valid configuration is accepted, and every router can put a valid one in force. An error is either on the platform's list of
// what makes a configuration invalid, or something that no router can do; what is only unusual is valid.
func (c *Config) Validate() error {
	v := validator{}
	if c.Revision == 0 {
		v.addf([]string{"revision"}, "must be above 0")
	}
	v.requestLimits(&c.RequestLimits)
	services := v.services(c.Services)
	v.routes(c.Routes, services)
	v.tenants(c.Tenants)
	if len(v.errs) > 0 {
		return v.errs
	}
	return nil
}

// validator collects errors. owner is the name of the entry that is currently checked.
type validator struct {
	errs  FieldErrors
	owner string
}

func (v *validator) addf(path []string, format string, args ...any) {
	if len(v.errs) < maxFieldErrors {
		v.errs = append(v.errs, FieldError{Path: path, Owner: v.owner, Message: fmt.Sprintf(format, args...)})
	}
}

// entry identifies an entry of a list.
type entry struct {
	list  string
	index int
}

// at returns the path of a field of the entry.
func (e entry) at(keys ...string) []string {
	return append([]string{e.list, strconv.Itoa(e.index)}, keys...)
}

// nonNegative rejects numbers less than 0, and NaN.
func (v *validator) nonNegative(path []string, value float64) {
	if !(value >= 0) {
		v.addf(path, "must be 0 or more, not %v", value)
	}
}

func (v *validator) requestLimits(l *RequestLimits) {
	for _, field := range []struct {
		key   string
		value float64
	}{
		{"max_header_bytes", float64(l.MaxHeaderBytes)},
		{"max_body_bytes", float64(l.MaxBodyBytes)},
		{"header_timeout_ms", l.HeaderTimeoutMS},
		{"idle_timeout_ms", l.IdleTimeoutMS},
	} {
		v.nonNegative([]string{"request_limits", field.key}, field.value)
	}
}

// services checks the services and returns their names.
func (v *validator) services(services []Service) map[string]bool {
	names := map[string]bool{}
	for i := range services {
		s, e := &services[i], entry{"services", i}
		v.owner = s.Name
		v.nameLength(e, s.Name, MaxServiceNameBytes)
		names[s.Name] = true
	}
	return names
}

// nameLength rejects a name that is too long for the messages that carry it.
func (v *validator) nameLength(e entry, name string, maxBytes int) {
	if len(name) > maxBytes {
		v.addf(e.at("name"), "%d bytes, at most %d allowed", len(name), maxBytes)
	}
}

func (v *validator) routes(routes []Route, services map[string]bool) {
	seen := map[MatchKey]int{}
	for i := range routes {
		r, e := &routes[i], entry{"routes", i}
		v.owner = r.Name
		v.match(routes, e, seen)
		v.behavior(r, e)
		v.targets(r, e, services)
	}
}

// match checks that no earlier route matches the same requests. seen maps the keys of earlier routes to their indices.
func (v *validator) match(routes []Route, e entry, seen map[MatchKey]int) {
	key := routes[e.index].MatchKey()
	if first, ok := seen[key]; ok {
		v.addf(e.at("path_prefix"), "routes[%d] (%s) has the same host and path_prefix", first, routes[first].Name)
	}
	seen[key] = e.index
}

// behavior checks a route's type, times and number of attempts.
func (v *validator) behavior(r *Route, e entry) {
	switch r.Type {
	case RouteIdempotent, RouteNonIdempotent, RouteStreaming:
	default:
		v.addf(e.at("route_type"), "unknown type %q; must be %s, %s or %s", r.Type, RouteIdempotent, RouteNonIdempotent, RouteStreaming)
	}
	if !(r.TimeoutMS > 0) || math.IsInf(r.TimeoutMS, 0) {
		v.addf(e.at("timeout_ms"), "must be above 0, not %v", r.TimeoutMS)
	}
	if math.IsNaN(r.TargetLatencyMS) {
		v.addf(e.at("target_latency_ms"), "must be a number")
	}
	v.nonNegative(e.at("max_attempts"), float64(r.MaxAttempts))
}

// targets checks the services of a route and their weights.
func (v *validator) targets(r *Route, e entry, services map[string]bool) {
	if r.TargetService != "" && len(r.TrafficSplit) > 0 && !services[r.TargetService] {
		v.addf(e.at("target_service"), "unknown service %q", r.TargetService)
	}
	sum := 0.0
	for k, target := range r.Targets() {
		at := func(key string) []string {
			if len(r.TrafficSplit) == 0 {
				return e.at(key)
			}
			return e.at("traffic_split", strconv.Itoa(k), key)
		}
		if !services[target.Service] {
			v.addf(at("target_service"), "unknown service %q", target.Service)
		}
		if !(target.Weight >= 0) || math.IsInf(target.Weight, 0) {
			v.addf(at("weight"), "must be 0 or more, not %v", target.Weight)
		}
		sum += target.Weight
	}
	if !(sum > 0) {
		v.addf(e.at("traffic_split"), "the weights add up to %v; must be above 0", sum)
	}
}

func (v *validator) tenants(tenants []Tenant) {
	ownerOf := map[string]int{}
	for i := range tenants {
		t, e := &tenants[i], entry{"tenants", i}
		v.owner = t.Name
		v.nameLength(e, t.Name, MaxTenantNameBytes)
		if !httpguts.ValidHeaderFieldValue(t.Name) || strings.Trim(t.Name, " \t") != t.Name {
			v.addf(e.at("name"), "%q cannot be the value of a header", t.Name)
		}
		for _, key := range t.APIKeys {
			if other, ok := ownerOf[key]; ok && other != i {
				v.addf(e.at("api_keys"), "tenant %q has one of these keys too", tenants[other].Name)
			}
			ownerOf[key] = i
		}
	}
}
