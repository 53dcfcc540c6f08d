// Package fleetconfig owns a configuration as the operator declares it: its bounded decoding, what makes one valid, its
// digest, and the table of routes and keys that it is compiled to. It knows nothing of how one is agreed upon or spread,
// and does no I/O. A configuration is kept as it came; unknown fields are part of it.
package fleetconfig

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MaxBytes bounds a configuration: thousands of routes at some 250 bytes.
const MaxBytes = 8 << 20

// Config is a configuration: on the wire in CBOR, in users' files in TOML (package declaration). Its tags are of both, and of
// the schema of the files.
type Config struct {
	Revision      uint64        `cbor:"revision" toml:"revision" jsonschema:"minimum=0,description=number of the version; left out in a file it is the next one"`
	Routes        []Route       `cbor:"routes" toml:"routes" jsonschema:"description=Which requests lead where. Of several the longest path_prefix counts."`
	Services      []Service     `cbor:"services" toml:"services" jsonschema:"description=What engines serve."`
	RequestLimits RequestLimits `cbor:"request_limits" toml:"request_limits" jsonschema:"description=What clients may send."`
	Tenants       []Tenant      `cbor:"tenants,omitempty" toml:"tenants" jsonschema:"description=Who may ask. Without any nobody needs a key."`
}

// Route leads requests of a host to services.
type Route struct {
	Name            string            `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=a name of the route"`
	Hostname        string            `cbor:"hostname" toml:"hostname" jsonschema:"required,minLength=1,description=the host that is asked for"`
	PathPrefix      string            `cbor:"path_prefix" toml:"path_prefix" jsonschema:"required,pattern=^/(.*/)?$,description=what the path begins with; it begins and ends with a slash"`
	Type            string            `cbor:"route_type" toml:"route_type" jsonschema:"required,enum=idempotent,enum=non_idempotent,enum=streaming,description=what may be sent again; one of idempotent and non_idempotent and streaming"`
	TimeoutMS       float64           `cbor:"timeout_ms" toml:"timeout_ms" jsonschema:"required,exclusiveMinimum=0,description=the longest time that a request is held"`
	TargetLatencyMS float64           `cbor:"target_latency_ms" toml:"target_latency_ms" jsonschema:"minimum=0,description=the time within which an answer earns its full worth"`
	Priority        int               `cbor:"priority" toml:"priority" jsonschema:"minimum=0,description=rank; 0 is highest"`
	TargetService   string            `cbor:"target_service,omitempty" toml:"target_service" jsonschema:"description=the service; or traffic_split"`
	TrafficSplit    []WeightedService `cbor:"traffic_split,omitempty" toml:"traffic_split" jsonschema:"description=several services with their weights; or target_service"`
	MaxAttempts     int               `cbor:"max_attempts" toml:"max_attempts" jsonschema:"minimum=0,description=the most engines that one request is sent to"`
	Public          bool              `cbor:"public" toml:"public" jsonschema:"description=no key is needed"`
	SessionAffinity bool              `cbor:"session_affinity" toml:"session_affinity" jsonschema:"description=requests that share a prompt's beginning keep to an engine"`
	Resumable       bool              `cbor:"resumable" toml:"resumable" jsonschema:"description=a stream may be taken up again"`
}

// WeightedService is a service's part of a route.
type WeightedService struct {
	Service string  `cbor:"target_service" toml:"target_service" jsonschema:"required,description=the service"`
	Weight  float64 `cbor:"weight" toml:"weight" jsonschema:"required,minimum=0,description=its weight against the others'"`
}

// Service is what engines serve.
type Service struct {
	Name           string       `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=the name that engines give"`
	HealthPath     string       `cbor:"health_path" toml:"health_path" jsonschema:"description=the path that a probe asks for"`
	MaxConnections int          `cbor:"max_connections" toml:"max_connections" jsonschema:"minimum=0,description=the connections that one engine takes from all callers"`
	Protocol       string       `cbor:"protocol" toml:"protocol" jsonschema:"enum=h1,description=h1"`
	TLSEnabled     bool         `cbor:"tls_enabled" toml:"tls_enabled" jsonschema:"description=engines speak TLS"`
	Autoscaling    *Autoscaling `cbor:"autoscaling,omitempty" toml:"autoscaling" jsonschema:"description=the numbers of engines in each zone. Without this table they stay as they are."`
}

// Autoscaling bounds the engines of a service in each zone.
type Autoscaling struct {
	MinInstances int     `cbor:"min_instances" toml:"min_instances" jsonschema:"required,minimum=0,description=at the least"`
	MaxInstances int     `cbor:"max_instances" toml:"max_instances" jsonschema:"required,minimum=0,description=at the most"`
	BootTimeoutS float64 `cbor:"boot_timeout_s" toml:"boot_timeout_s" jsonschema:"minimum=0,description=seconds until a new one serves"`
}

// RequestLimits bound what clients send. 0 is unsaid: the program's own bound holds.
type RequestLimits struct {
	MaxHeaderBytes  int     `cbor:"max_header_bytes" toml:"max_header_bytes" jsonschema:"minimum=0,description=bytes of headers"`
	MaxBodyBytes    int     `cbor:"max_body_bytes" toml:"max_body_bytes" jsonschema:"minimum=0,description=bytes of a body"`
	HeaderTimeoutMS float64 `cbor:"header_timeout_ms" toml:"header_timeout_ms" jsonschema:"minimum=0,description=the time for a head"`
	IdleTimeoutMS   float64 `cbor:"idle_timeout_ms" toml:"idle_timeout_ms" jsonschema:"minimum=0,description=the time between two requests on a connection"`
}

// Tenant is who a key belongs to.
type Tenant struct {
	Name     string   `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=the name that engines are shown"`
	APIKeys  []string `cbor:"api_keys" toml:"api_keys" jsonschema:"description=its keys; env:NAME and file:PATH stand for what is kept elsewhere"`
	Priority int      `cbor:"priority" toml:"priority" jsonschema:"minimum=0,description=rank; 0 is highest"`
	RatePerS float64  `cbor:"rate_per_s" toml:"rate_per_s" jsonschema:"minimum=0,description=requests a second"`
}

// The types of routes.
const (
	RouteIdempotent    = "idempotent"
	RouteNonIdempotent = "non_idempotent"
	RouteStreaming     = "streaming"
)

// Digest names a configuration by its meaning: two encodings of one share it.
type Digest [sha256.Size]byte

var (
	decoding = func() cbor.DecMode {
		m, err := cbor.DecOptions{
			DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 12,
			IndefLength: cbor.IndefLengthAllowed, UTF8: cbor.UTF8RejectInvalid,
		}.DecMode()
		if err != nil {
			return nil // the options are fixed, and a test decodes
		}
		return m
	}()
	encoding = func() cbor.EncMode {
		m, err := cbor.CanonicalEncOptions().EncMode()
		if err != nil {
			return nil
		}
		return m
	}()
)

// ErrInvalid is a configuration that must not be taken.
var ErrInvalid = errors.New("the configuration is invalid")

// DecodeWithDigest reads a configuration and its digest. The digest costs as much as all the rest.
func DecodeWithDigest(b []byte) (*Config, Digest, error) {
	c, err := Decode(b, nil)
	if err != nil {
		return nil, Digest{}, err
	}
	var whole any
	if err := decoding.Unmarshal(b, &whole); err != nil {
		return nil, Digest{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	canonical, err := encoding.Marshal(whole)
	if err != nil {
		return nil, Digest{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c, sha256.Sum256(canonical), nil
}

// YieldInterval is how many routes or tenants are worked on between two pauses.
const YieldInterval = 32

// Decode reads a configuration, and pauses now and then: thousands of routes take a router of a sixth of a core longer than a
// stream may stand still. nil = it does not pause.
func Decode(b []byte, pause func()) (*Config, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, %d at most", ErrInvalid, len(b), MaxBytes)
	}
	if len(b) == 0 || b[0]>>5 != 5 { // CBOR's major type of a map
		return nil, fmt.Errorf("%w: a map is wanted", ErrInvalid)
	}
	var parts struct {
		Revision uint64            `cbor:"revision"`
		Routes   []cbor.RawMessage `cbor:"routes"`
		Services []Service         `cbor:"services"`
		Limits   RequestLimits     `cbor:"request_limits"`
		Tenants  []cbor.RawMessage `cbor:"tenants,omitempty"`
	}
	if err := decoding.Unmarshal(b, &parts); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	c := &Config{Revision: parts.Revision, Services: parts.Services, RequestLimits: parts.Limits}
	var err error
	if c.Routes, err = list[Route]("routes", parts.Routes, pause); err == nil {
		c.Tenants, err = list[Tenant]("tenants", parts.Tenants, pause)
	}
	return c, err
}

func list[T any](name string, parts []cbor.RawMessage, pause func()) ([]T, error) {
	if parts == nil {
		return nil, nil
	}
	all := make([]T, len(parts))
	for i, b := range parts {
		if err := decoding.Unmarshal(b, &all[i]); err != nil {
			return nil, fmt.Errorf("%w: %s[%d]: %w", ErrInvalid, name, i, err)
		}
		if pause != nil && i%YieldInterval == YieldInterval-1 {
			pause()
		}
	}
	return all, nil
}

// FieldError is one thing that is wrong with a configuration.
type FieldError struct {
	Path    []string // to the field: names, and numbers of what stands in a list
	Owner   string   // of the route, service or tenant that it is in; "" = none
	Message string
}

func (f FieldError) String() string {
	at := ""
	for _, p := range f.Path {
		if _, err := strconv.Atoi(p); err == nil {
			at += "[" + p + "]"
			continue
		}
		if at != "" {
			at += "."
		}
		at += p
	}
	if f.Owner != "" {
		at += " (" + f.Owner + ")"
	}
	return at + ": " + f.Message
}

// FieldErrors is everything that is wrong with a configuration.
type FieldErrors []FieldError

func (f FieldErrors) Error() string {
	var all []string
	for _, x := range f {
		all = append(all, x.String())
	}
	return ErrInvalid.Error() + ": " + strings.Join(all, "; ")
}

// Is has errors.Is find ErrInvalid.
func (f FieldErrors) Is(err error) bool { return err == ErrInvalid }

// Validate says what is wrong with a configuration by itself.
func (c *Config) Validate() error {
	var faults FieldErrors
	name := ""
	bad := func(path []string, format string, args ...any) {
		if len(faults) < 64 { // a file of thousands of routes may be wrong throughout
			faults = append(faults, FieldError{path, name, fmt.Sprintf(format, args...)})
		}
	}
	if c.Revision == 0 {
		bad([]string{"revision"}, "above 0 is wanted")
	}
	for _, l := range []struct {
		key   string
		value float64
	}{
		{"max_header_bytes", float64(c.RequestLimits.MaxHeaderBytes)}, {"max_body_bytes", float64(c.RequestLimits.MaxBodyBytes)},
		{"header_timeout_ms", c.RequestLimits.HeaderTimeoutMS}, {"idle_timeout_ms", c.RequestLimits.IdleTimeoutMS},
	} {
		if !(l.value >= 0) {
			bad([]string{"request_limits", l.key}, "0 or more is wanted, not %v", l.value)
		}
	}
	services := map[string]bool{}
	for i, s := range c.Services {
		at := func(key string) []string { return []string{"services", strconv.Itoa(i), key} }
		name = s.Name
		switch {
		case s.Name == "":
			bad(at("name"), "a name is wanted")
		case services[s.Name]:
			bad(at("name"), "it is another service's")
		}
		services[s.Name] = true
		if k := s.Autoscaling; k != nil && (k.MinInstances < 0 || k.MaxInstances < k.MinInstances) {
			bad(at("autoscaling"), "min_instances %d, max_instances %d: 0 or more, and no more than the other, are wanted", k.MinInstances, k.MaxInstances)
		}
	}
	type place struct{ host, prefix string }
	places := map[place]int{}
	for i, r := range c.Routes {
		at := func(key ...string) []string { return append([]string{"routes", strconv.Itoa(i)}, key...) }
		name = r.Name
		host := strings.ToLower(r.Hostname)
		if r.Hostname == "" {
			bad(at("hostname"), "a host is wanted")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
			bad(at("path_prefix"), "%q does not begin and end with a slash", r.PathPrefix)
		}
		if before, twice := places[place{host, r.PathPrefix}]; twice {
			bad(at("path_prefix"), "routes[%d] (%s) has the same host and path_prefix", before, c.Routes[before].Name)
		}
		places[place{host, r.PathPrefix}] = i
		if r.Type != RouteIdempotent && r.Type != RouteNonIdempotent && r.Type != RouteStreaming {
			bad(at("route_type"), "%q is none; %s, %s or %s is wanted", r.Type, RouteIdempotent, RouteNonIdempotent, RouteStreaming)
		}
		if !(r.TimeoutMS > 0) || math.IsInf(r.TimeoutMS, 0) {
			bad(at("timeout_ms"), "above 0 is wanted, not %v", r.TimeoutMS)
		}
		if r.TargetLatencyMS < 0 {
			bad(at("target_latency_ms"), "0 or more is wanted, not %v", r.TargetLatencyMS)
		}
		if r.MaxAttempts < 0 {
			bad(at("max_attempts"), "0 or more is wanted, not %d", r.MaxAttempts)
		}
		sum := 0.0
		for k, s := range r.Targets() {
			in := func(key string) []string {
				if len(r.TrafficSplit) == 0 {
					return at(key)
				}
				return at("traffic_split", strconv.Itoa(k), key)
			}
			if !services[s.Service] {
				bad(in("target_service"), "there is no service %q", s.Service)
			}
			if !(s.Weight >= 0) || math.IsInf(s.Weight, 0) {
				bad(in("weight"), "0 or more is wanted, not %v", s.Weight)
			}
			sum += s.Weight
		}
		if !(sum > 0) {
			bad(at("traffic_split"), "the weights add up to %v", sum)
		}
	}
	keys := map[string]string{}
	names := map[string]bool{}
	for i, t := range c.Tenants {
		at := func(key string) []string { return []string{"tenants", strconv.Itoa(i), key} }
		name = t.Name
		if t.Name == "" || names[t.Name] {
			bad(at("name"), "it is empty or another tenant's")
		}
		names[t.Name] = true
		for _, k := range t.APIKeys {
			if other, twice := keys[k]; twice && other != t.Name {
				bad(at("api_keys"), "a key is tenant %q's too", other)
			}
			keys[k] = t.Name
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// Targets are the services that a route leads to.
func (r *Route) Targets() []WeightedService {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []WeightedService{{r.TargetService, 1}}
}

// Milliseconds makes a duration of a number of milliseconds.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, float64(math.MaxInt64/2)/1e6) * float64(time.Millisecond))
}
