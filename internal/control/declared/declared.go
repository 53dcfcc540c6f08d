// Package declared owns a configuration as the operator declares it: its bounded decoding, what makes one valid, its
// digest, and the table of routes and keys that it is compiled to. It knows nothing of how one is agreed upon or spread,
// and does no I/O. A configuration is kept as it came; unknown fields are part of it.
package declared

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MostBytes bounds a configuration: thousands of routes at some 250 bytes.
const MostBytes = 8 << 20

// Config is a configuration.
type Config struct {
	Revision uint64    `cbor:"revision"`
	Routes   []Route   `cbor:"routes"`
	Services []Service `cbor:"services"`
	Limits   Limits    `cbor:"request_limits"`
	Tenants  []Tenant  `cbor:"tenants"`
}

// Route leads requests of a host to services.
type Route struct {
	Name     string  `cbor:"name"`
	Host     string  `cbor:"hostname"`
	Prefix   string  `cbor:"path_prefix"`
	Type     string  `cbor:"route_type"`
	Timeout  float64 `cbor:"timeout_ms"`
	Target   float64 `cbor:"target_latency_ms"`
	Priority int     `cbor:"priority"`
	Service  string  `cbor:"target_service"`
	Split    []Share `cbor:"traffic_split"`
	Attempts int     `cbor:"max_attempts"`
	Public   bool    `cbor:"public"`
	Affinity bool    `cbor:"session_affinity"`
	Resume   bool    `cbor:"resumable"`
}

// Share is a service's part of a route.
type Share struct {
	Service string  `cbor:"target_service"`
	Weight  float64 `cbor:"weight"`
}

// Service is what engines serve.
type Service struct {
	Name     string `cbor:"name"`
	Health   string `cbor:"health_path"`
	MaxConns int    `cbor:"max_connections"`
	Protocol string `cbor:"protocol"`
	TLS      bool   `cbor:"tls_enabled"`
	Scale    *Scale `cbor:"autoscaling"`
}

// Scale bounds the engines of a service in each zone.
type Scale struct {
	Min   int     `cbor:"min_instances"`
	Max   int     `cbor:"max_instances"`
	BootS float64 `cbor:"boot_timeout_s"`
}

// Limits bound what clients send.
type Limits struct {
	HeaderBytes int     `cbor:"max_header_bytes"`
	BodyBytes   int     `cbor:"max_body_bytes"`
	HeaderMS    float64 `cbor:"header_timeout_ms"`
	IdleMS      float64 `cbor:"idle_timeout_ms"`
}

// Tenant is who a key belongs to.
type Tenant struct {
	Name     string   `cbor:"name"`
	Keys     []string `cbor:"api_keys"`
	Priority int      `cbor:"priority"`
	PerS     float64  `cbor:"rate_per_s"`
}

// The types of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
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

// Decode reads a configuration and its digest.
func Decode(b []byte) (*Config, Digest, error) {
	if len(b) > MostBytes {
		return nil, Digest{}, fmt.Errorf("%w: %d bytes, %d at most", ErrInvalid, len(b), MostBytes)
	}
	var whole any
	if err := decoding.Unmarshal(b, &whole); err != nil {
		return nil, Digest{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, ok := whole.(map[any]any); !ok {
		return nil, Digest{}, fmt.Errorf("%w: a map is wanted", ErrInvalid)
	}
	canonical, err := encoding.Marshal(whole)
	if err != nil {
		return nil, Digest{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	c := &Config{}
	if err := decoding.Unmarshal(b, c); err != nil {
		return nil, Digest{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c, sha256.Sum256(canonical), nil
}

// Faults is everything that is wrong with a configuration.
type Faults []string

func (f Faults) Error() string { return ErrInvalid.Error() + ": " + strings.Join(f, "; ") }

// Is has errors.Is find ErrInvalid.
func (f Faults) Is(err error) bool { return err == ErrInvalid }

// Check says what is wrong with a configuration by itself.
func (c *Config) Check() error {
	var faults Faults
	bad := func(format string, args ...any) {
		if len(faults) < 64 { // a file of thousands of routes may be wrong throughout
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	if c.Revision == 0 {
		bad("revision: above 0 is wanted")
	}
	if l := &c.Limits; l.HeaderBytes < 0 || l.BodyBytes < 0 || !(l.HeaderMS >= 0) || !(l.IdleMS >= 0) {
		bad("request_limits: %+v: none may be below 0", *l)
	}
	services := map[string]bool{}
	for i, s := range c.Services {
		switch {
		case s.Name == "":
			bad("services[%d].name: a name is wanted", i)
		case services[s.Name]:
			bad("services[%d].name: %q is another service's", i, s.Name)
		}
		services[s.Name] = true
		if k := s.Scale; k != nil && (k.Min < 0 || k.Max < k.Min) {
			bad("services[%d].autoscaling: min_instances %d, max_instances %d", i, k.Min, k.Max)
		}
	}
	type place struct{ host, prefix string }
	places := map[place]int{}
	for i, r := range c.Routes {
		at := fmt.Sprintf("routes[%d] %s", i, r.Name)
		host := strings.ToLower(r.Host)
		if r.Host == "" {
			bad("%s: hostname: a host is wanted", at)
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			bad("%s: path_prefix: %q does not begin and end with a slash", at, r.Prefix)
		}
		if before, twice := places[place{host, r.Prefix}]; twice {
			bad("%s: routes[%d] has the same host and path_prefix", at, before)
		}
		places[place{host, r.Prefix}] = i
		if r.Type != Idempotent && r.Type != NonIdempotent && r.Type != Streaming {
			bad("%s: route_type: %q is none", at, r.Type)
		}
		if !(r.Timeout > 0) || math.IsInf(r.Timeout, 0) {
			bad("%s: timeout_ms: above 0 is wanted, not %v", at, r.Timeout)
		}
		if r.Target < 0 || r.Attempts < 0 {
			bad("%s: target_latency_ms %v, max_attempts %d: 0 or more are wanted", at, r.Target, r.Attempts)
		}
		sum := 0.0
		for _, s := range r.Shares() {
			if !services[s.Service] {
				bad("%s: target_service: there is no service %q", at, s.Service)
			}
			if !(s.Weight >= 0) || math.IsInf(s.Weight, 0) {
				bad("%s: weight: 0 or more is wanted, not %v", at, s.Weight)
			}
			sum += s.Weight
		}
		if !(sum > 0) {
			bad("%s: traffic_split: the weights add up to %v", at, sum)
		}
	}
	keys := map[string]string{}
	names := map[string]bool{}
	for i, t := range c.Tenants {
		if t.Name == "" || names[t.Name] {
			bad("tenants[%d].name: %q is empty or another tenant's", i, t.Name)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if other, twice := keys[k]; twice && other != t.Name {
				bad("tenants[%d].api_keys: a key is tenant %q's too", i, other)
			}
			keys[k] = t.Name
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// Shares are the services that a route leads to.
func (r *Route) Shares() []Share {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Share{{r.Service, 1}}
}

// Millis makes a duration of a number of milliseconds.
func Millis(ms float64) time.Duration {
	return time.Duration(min(ms, float64(math.MaxInt64/2)/1e6) * float64(time.Millisecond))
}
