package fleetconfig

import (
	"math"
	"time"
)

// Config is a fleet configuration: in CBOR on the wire, in TOML in users' files.
type Config struct {
	// Revision is the configuration's version, above 0. Each accepted configuration has a higher one than the last; gaps are
	// allowed. In a file it may be left out: the tool then takes the current one plus 1.
	Revision uint64 `cbor:"revision" toml:"revision" jsonschema:"minimum=0,description=version of the configuration; left out in a file it is the next one"`
	// Routes say which requests go to which services. Where several match, the longest path_prefix wins.
	Routes []Route `cbor:"routes" toml:"routes" jsonschema:"description=Which requests go to which services. The longest matching path_prefix wins."`
	// Services are what engines serve. Routes may name only these.
	Services []Service `cbor:"services" toml:"services" jsonschema:"description=What engines serve."`
	// RequestLimits bound what clients may send, on all routes.
	RequestLimits RequestLimits `cbor:"request_limits" toml:"request_limits" jsonschema:"description=What clients may send."`
	// Tenants are the owners of API keys. Without any, no request needs a key.
	Tenants []Tenant `cbor:"tenants,omitempty" toml:"tenants" jsonschema:"description=Owners of API keys. Without any no request needs a key."`
}

// Route sends requests for a host and a path prefix to one or more services.
type Route struct {
	// Name identifies the route in messages. It need not be unique.
	Name string `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=name of the route"`
	// Hostname is the Host that clients ask for, without a port. Upper and lower case are the same.
	Hostname string `cbor:"hostname" toml:"hostname" jsonschema:"required,minLength=1,description=Host that clients ask for"`
	// PathPrefix is what the path begins with. It begins and ends with a slash, so that it matches whole segments only. No two
	// routes share a hostname and a prefix.
	PathPrefix string `cbor:"path_prefix" toml:"path_prefix" jsonschema:"required,pattern=^/(.*/)?$,description=beginning of the path; begins and ends with a slash"`
	// Type says which requests may be sent to another engine after a failure: RouteIdempotent ones until a response has
	// begun, RouteNonIdempotent and RouteStreaming ones only where the first engine has certainly not run them.
	Type RouteType `cbor:"route_type" toml:"route_type" jsonschema:"required,enum=idempotent,enum=non_idempotent,enum=streaming,description=which requests may be retried; one of idempotent and non_idempotent and streaming"`
	// TimeoutMS is the longest that a request is worked on, in milliseconds, above 0; a client may ask for less in its
	// deadline header. In overload a long one serves more requests late, and a short one rejects more of them early.
	TimeoutMS float64 `cbor:"timeout_ms" toml:"timeout_ms" jsonschema:"required,exclusiveMinimum=0,description=longest time for a request"`
	// TargetLatencyMS is the latency objective, in milliseconds, which the policy chooses engines and sheds load by; 0, the
	// default, takes TimeoutMS. The client of a stream is assumed to give up after 2 s without an event, or after four times
	// the target if that is longer.
	TargetLatencyMS float64 `cbor:"target_latency_ms" toml:"target_latency_ms" jsonschema:"minimum=0,description=latency objective; 0 takes timeout_ms"`
	// Priority is the rank of the requests when load is shed, after the tenant's: 0, the default, is the highest. Each step
	// down to 8 halves the value of a response.
	Priority int `cbor:"priority" toml:"priority" jsonschema:"minimum=0,description=rank when load is shed; 0 is the highest"`
	// TargetService is the one service of the route. It is ignored where there is a TrafficSplit.
	TargetService string `cbor:"target_service,omitempty" toml:"target_service" jsonschema:"description=name of the service; or traffic_split"`
	// TrafficSplit divides the requests among several services by weight, such as for a canary. The service is drawn for each
	// request, so that a session may see several.
	TrafficSplit []WeightedService `cbor:"traffic_split,omitempty" toml:"traffic_split" jsonschema:"description=several services with weights; or target_service"`
	// MaxAttempts is the number of engines that one request may be sent to, the first included; 0, the default, means 1. More
	// attempts hide failed engines and cost capacity in an overload; the retry budget bounds them for the fleet.
	MaxAttempts int `cbor:"max_attempts" toml:"max_attempts" jsonschema:"minimum=0,description=number of engines that one request may be sent to; 0 means 1"`
	// Public lets requests without an API key in, though there are tenants.
	Public bool `cbor:"public" toml:"public" jsonschema:"description=no API key is needed"`
	// SessionAffinity prefers, for requests that share the beginning of a prompt, the engine that has it in its prefix cache.
	// It saves prefill time and makes the load of engines less even.
	SessionAffinity bool `cbor:"session_affinity" toml:"session_affinity" jsonschema:"description=prefer the engine that has the beginning of the prompt in its prefix cache"`
	// Resumable is accepted and has no effect yet: interrupted streams are not continued.
	Resumable bool `cbor:"resumable" toml:"resumable" jsonschema:"description=no effect yet"`
}

// RouteType says how requests of a route may be retried.
type RouteType string

// The types of routes.
const (
	RouteIdempotent    RouteType = "idempotent"
	RouteNonIdempotent RouteType = "non_idempotent"
	RouteStreaming     RouteType = "streaming"
)

// Targets are the services of a route with their weights.
func (r *Route) Targets() []WeightedService {
	if len(r.TrafficSplit) > 0 {
		return r.TrafficSplit
	}
	return []WeightedService{{Service: r.TargetService, Weight: 1}}
}

// WeightedService is one service of a TrafficSplit.
type WeightedService struct {
	// Service is the service's name.
	Service string `cbor:"target_service" toml:"target_service" jsonschema:"required,description=name of the service"`
	// Weight is the service's part of the requests, relative to the sum of all weights, which is above 0.
	Weight float64 `cbor:"weight" toml:"weight" jsonschema:"required,minimum=0,description=part of the requests relative to the sum of all weights"`
}

// Service is what a group of engines serves.
type Service struct {
	// Name is the service that engines name in their heartbeats. It is unique.
	Name string `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=name that engines give in heartbeats"`
	// HealthPath is accepted and has no effect: engines are judged by their heartbeats and by their responses. See
	// docs/design/health.md.
	HealthPath string `cbor:"health_path" toml:"health_path" jsonschema:"description=no effect: engines are judged by heartbeats and responses"`
	// MaxConnections is the number of connections that one engine accepts from all callers. It is accepted and not enforced
	// by routers: an engine rejects what is above it.
	MaxConnections int `cbor:"max_connections" toml:"max_connections" jsonschema:"minimum=0,description=connections that one engine accepts from all callers; not enforced by routers"`
	// Protocol is spoken to the engines: h1, HTTP/1.1, which is also the default.
	Protocol string `cbor:"protocol" toml:"protocol" jsonschema:"enum=h1,description=protocol of engines; h1"`
	// TLSEnabled is accepted and has no effect yet: connections to engines are not encrypted.
	TLSEnabled bool `cbor:"tls_enabled" toml:"tls_enabled" jsonschema:"description=no effect yet"`
	// Autoscaling lets the fleet order engines. Without it their number stays as it is.
	Autoscaling *Autoscaling `cbor:"autoscaling,omitempty" toml:"autoscaling" jsonschema:"description=Number of engines in each zone. Without this table it stays as it is."`
}

// Autoscaling bounds the number of engines of a service in each zone.
type Autoscaling struct {
	// MinInstances are kept even without traffic. A high number costs idle engines, a low one costs a boot time of overload
	// when traffic rises.
	MinInstances int `cbor:"min_instances" toml:"min_instances" jsonschema:"required,minimum=0,description=lower bound"`
	// MaxInstances is at least MinInstances and caps the cost.
	MaxInstances int `cbor:"max_instances" toml:"max_instances" jsonschema:"required,minimum=0,description=upper bound"`
	// BootTimeoutS is the time until a new engine serves, in seconds. It is accepted and has no effect yet.
	BootTimeoutS float64 `cbor:"boot_timeout_s" toml:"boot_timeout_s" jsonschema:"minimum=0,description=seconds until a new engine serves; no effect yet"`
}

// RequestLimits bound what clients send. 0, the default, leaves the program's own bound; one above what a machine allows is
// capped there (limits.Limits.ConfiguredBounds).
type RequestLimits struct {
	// MaxHeaderBytes bounds the headers of a request without its request line, in bytes; 431 answers more.
	MaxHeaderBytes int `cbor:"max_header_bytes" toml:"max_header_bytes" jsonschema:"minimum=0,description=bytes of the headers of a request; 0 takes the default"`
	// MaxBodyBytes bounds a request's body, in bytes; 413 answers more. Bodies stay in memory until the response begins.
	MaxBodyBytes int `cbor:"max_body_bytes" toml:"max_body_bytes" jsonschema:"minimum=0,description=bytes of the body of a request; 0 takes the default"`
	// HeaderTimeoutMS bounds the time from a request's first byte to the end of its head, in milliseconds; 408 answers a
	// slower one. A long one lets slow clients occupy connections.
	HeaderTimeoutMS float64 `cbor:"header_timeout_ms" toml:"header_timeout_ms" jsonschema:"minimum=0,description=time to read the head of a request; 0 takes the default"`
	// IdleTimeoutMS closes a connection without a request in flight, in milliseconds. A long one saves clients a handshake and
	// costs a descriptor each.
	IdleTimeoutMS float64 `cbor:"idle_timeout_ms" toml:"idle_timeout_ms" jsonschema:"minimum=0,description=time without a request before a connection is closed; 0 takes the default"`
}

// Tenant is the owner of API keys.
type Tenant struct {
	// Name is shown to engines. It is unique.
	Name string `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=name that engines are shown"`
	// APIKeys are the credentials that clients present. No two tenants share one. In a file env:NAME and file:PATH stand for a
	// key that is kept elsewhere.
	APIKeys []string `cbor:"api_keys" toml:"api_keys" jsonschema:"description=API keys; env:NAME and file:PATH stand for a key that is kept elsewhere"`
	// Priority is the rank of the tenant's requests when load is shed, before the route's: 0, the default, is the highest.
	Priority int `cbor:"priority" toml:"priority" jsonschema:"minimum=0,description=rank when load is shed; 0 is the highest"`
	// RatePerS is accepted and has no effect: what should happen to requests above it is an open question (docs/questions.md).
	RatePerS float64 `cbor:"rate_per_s" toml:"rate_per_s" jsonschema:"minimum=0,description=no effect yet"`
}

// Milliseconds is the duration of a number of milliseconds. Numbers that a duration cannot hold are capped.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, float64(math.MaxInt64/2)/1e6) * float64(time.Millisecond))
}
