package fleetconfig

import (
	"math"
	"time"
)

// Config is a fleet configuration, encoded as CBOR on the wire and as TOML in files.
type Config struct {
	// Revision is the version of the configuration, greater than 0. Each accepted configuration has a higher revision than the
	// one before; gaps are allowed. If a file omits it, the tool uses the current revision plus 1.
	Revision uint64 `cbor:"revision" toml:"revision" jsonschema:"minimum=0,description=version of the configuration; by default the current version plus 1"`
	// Routes map requests to services. If several routes match, the one with the longest path_prefix wins.
	Routes []Route `cbor:"routes" toml:"routes" jsonschema:"description=Routes of requests to services. The longest matching path_prefix wins."`
	// Services are the services that engines run. Routes may name only these.
	Services []Service `cbor:"services" toml:"services" jsonschema:"description=Services that engines run."`
	// RequestLimits bound the requests of clients on all routes.
	RequestLimits RequestLimits `cbor:"request_limits" toml:"request_limits" jsonschema:"description=Limits on the requests of clients."`
	// Tenants are the owners of API keys. If there are none, requests need no key.
	Tenants []Tenant `cbor:"tenants,omitempty" toml:"tenants" jsonschema:"description=Owners of API keys. Without any tenant no request needs a key."`
}

// Route sends requests for a host and a path prefix to one or more services.
type Route struct {
	// Name identifies the route in messages. It does not have to be unique.
	Name string `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=name of the route"`
	// Hostname is matched against the Host header of a request, without the port and ignoring case.
	Hostname string `cbor:"hostname" toml:"hostname" jsonschema:"required,minLength=1,description=value of the Host header without a port"`
	// PathPrefix is a prefix of the request path. It usually begins and ends with a slash, so that it matches only whole segments. No
	// two routes have the same hostname and prefix.
	PathPrefix string `cbor:"path_prefix" toml:"path_prefix" jsonschema:"required,pattern=^/(.*/)?$,description=prefix of the path; begins and ends with a slash"`
	// Type determines when a failed request may be retried on another engine: a RouteIdempotent one until its response has begun,
	// a RouteNonIdempotent or RouteStreaming one only if the first engine has certainly not run it.
	Type RouteType `cbor:"route_type" toml:"route_type" jsonschema:"required,enum=idempotent,enum=non_idempotent,enum=streaming,description=which requests may be retried; one of idempotent and non_idempotent and streaming"`
	// TimeoutMS is the maximum time for a request in milliseconds, greater than 0. The deadline header of a request may shorten
	// it. During overload a long timeout serves more requests late, and a short one rejects more of them early.
	TimeoutMS float64 `cbor:"timeout_ms" toml:"timeout_ms" jsonschema:"required,exclusiveMinimum=0,description=maximum time for a request in milliseconds"`
	// TargetLatencyMS is the latency objective in milliseconds, by which the policy chooses engines and sheds load; 0, the default,
	// selects TimeoutMS. The client of a stream is assumed to give up after 2 s without an event, or after four times the target
	// if that is longer.
	TargetLatencyMS float64 `cbor:"target_latency_ms" toml:"target_latency_ms" jsonschema:"minimum=0,description=latency objective in milliseconds; 0 selects timeout_ms"`
	// Priority is the priority of the requests when load is shed; the tenant's priority is compared first. 0, the default, is the
	// highest. Each increment, up to 8, halves the value of a response.
	Priority int `cbor:"priority" toml:"priority" jsonschema:"minimum=0,description=priority when load is shed; 0 is the highest"`
	// TargetService is the only service of the route. It is ignored if TrafficSplit is set.
	TargetService string `cbor:"target_service,omitempty" toml:"target_service" jsonschema:"description=name of the service; ignored with traffic_split"`
	// TrafficSplit divides the requests among several services by weight, for example for a canary. The service is chosen at
	// random for each request, so that a session may use several services. The weights of a service that it names twice are added.
	TrafficSplit []WeightedService `cbor:"traffic_split,omitempty" toml:"traffic_split" jsonschema:"description=several services with weights; replaces target_service"`
	// MaxAttempts is the maximum number of engines to which a request is sent, including the first; 0, the default, means 1. More
	// attempts hide failed engines but use capacity during overload; the retry budget bounds them for the fleet.
	MaxAttempts int `cbor:"max_attempts" toml:"max_attempts" jsonschema:"minimum=0,description=maximum number of engines to which a request is sent; 0 means 1"`
	// Public admits requests without an API key even if there are tenants.
	Public bool `cbor:"public" toml:"public" jsonschema:"description=no API key is needed"`
	// SessionAffinity sends requests with a common prompt prefix preferably to the engine that has the prefix in its cache. It
	// saves prefill time but balances the load of engines less evenly.
	SessionAffinity bool `cbor:"session_affinity" toml:"session_affinity" jsonschema:"description=prefer the engine that has the prompt prefix in its cache"`
	// Resumable is accepted and has no effect yet: interrupted streams are not continued.
	Resumable bool `cbor:"resumable" toml:"resumable" jsonschema:"description=no effect yet"`
}

// RouteType determines when requests of a route may be retried; see Route.Type.
type RouteType string

// Values of RouteType.
const (
	RouteIdempotent    RouteType = "idempotent"
	RouteNonIdempotent RouteType = "non_idempotent"
	RouteStreaming     RouteType = "streaming"
)

// Targets returns the services of a route with their weights.
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
	// Weight is the service's share of the requests relative to the sum of all weights, which is greater than 0.
	Weight float64 `cbor:"weight" toml:"weight" jsonschema:"required,minimum=0,description=share of the requests relative to the sum of all weights"`
}

// Service is a service that a group of engines runs.
type Service struct {
	// Name is the name that engines report in their heartbeats. Entries of the same name are one service.
	Name string `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=name that engines report in heartbeats"`
	// HealthPath is accepted and has no effect: the health of engines is determined from their heartbeats and responses. See
	// docs/design/health.md.
	HealthPath string `cbor:"health_path" toml:"health_path" jsonschema:"description=no effect: health is determined from heartbeats and responses"`
	// MaxConnections is the maximum number of connections that an engine accepts from all callers. Routers do not enforce it; the
	// engine rejects further connections.
	MaxConnections int `cbor:"max_connections" toml:"max_connections" jsonschema:"minimum=0,description=maximum number of connections that an engine accepts from all callers; not enforced by routers"`
	// Protocol is the protocol of the engines. The only value and default is h1, HTTP/1.1.
	Protocol string `cbor:"protocol" toml:"protocol" jsonschema:"enum=h1,description=protocol of engines; h1"`
	// TLSEnabled is accepted and has no effect yet: connections to engines are not encrypted.
	TLSEnabled bool `cbor:"tls_enabled" toml:"tls_enabled" jsonschema:"description=no effect yet"`
	// Autoscaling enables autoscaling of the engines. Without it their number does not change.
	Autoscaling *Autoscaling `cbor:"autoscaling,omitempty" toml:"autoscaling" jsonschema:"description=Number of engines in each zone. Without this table it does not change."`
}

// Autoscaling bounds the number of engines of a service in each zone.
type Autoscaling struct {
	// MinInstances is the number of engines that run even without traffic. A high number costs idle engines; with a low one, rising
	// traffic causes overload until new engines have booted.
	MinInstances int `cbor:"min_instances" toml:"min_instances" jsonschema:"required,minimum=0,description=minimum number of engines in each zone"`
	// MaxInstances is the maximum number of engines, at least MinInstances. It bounds the cost.
	MaxInstances int `cbor:"max_instances" toml:"max_instances" jsonschema:"required,minimum=0,description=maximum number of engines in each zone"`
	// BootTimeoutS is the time until a new engine serves, in seconds. It is accepted and has no effect yet.
	BootTimeoutS float64 `cbor:"boot_timeout_s" toml:"boot_timeout_s" jsonschema:"minimum=0,description=seconds until a new engine serves; no effect yet"`
}

// RequestLimits bound the requests of clients. 0, the default, selects the program's own bound. A value greater than a machine
// allows is capped there (limits.Limits.ConfiguredBounds).
type RequestLimits struct {
	// MaxHeaderBytes is the maximum size of the headers of a request, without the request line. Larger ones are rejected with
	// status 431.
	MaxHeaderBytes int `cbor:"max_header_bytes" toml:"max_header_bytes" jsonschema:"minimum=0,description=maximum size in bytes of the headers of a request; 0 selects the default"`
	// MaxBodyBytes is the maximum size of the body of a request. Larger ones are rejected with status 413. Bodies stay in memory
	// until the response begins.
	MaxBodyBytes int `cbor:"max_body_bytes" toml:"max_body_bytes" jsonschema:"minimum=0,description=maximum size in bytes of the body of a request; 0 selects the default"`
	// HeaderTimeoutMS is the maximum time in milliseconds from the first byte of a request to the end of its header section.
	// Slower ones are rejected with status 408. A long timeout lets slow clients occupy connections.
	HeaderTimeoutMS float64 `cbor:"header_timeout_ms" toml:"header_timeout_ms" jsonschema:"minimum=0,description=maximum time in milliseconds to read the header section of a request; 0 selects the default"`
	// IdleTimeoutMS is the time in milliseconds after which a connection without a request in flight is closed. A long timeout
	// saves clients handshakes but costs a file descriptor for each connection.
	IdleTimeoutMS float64 `cbor:"idle_timeout_ms" toml:"idle_timeout_ms" jsonschema:"minimum=0,description=time in milliseconds after which a connection without a request is closed; 0 selects the default"`
}

// Tenant is the owner of API keys.
type Tenant struct {
	// Name is sent to engines with requests. Entries of the same name may have different keys and priorities.
	Name string `cbor:"name" toml:"name" jsonschema:"required,minLength=1,description=name that is sent to engines with requests"`
	// APIKeys are the credentials of clients. No two tenants have the same key. In a file, env:NAME and file:PATH refer to a key in
	// an environment variable or in another file.
	APIKeys []string `cbor:"api_keys" toml:"api_keys" jsonschema:"description=API keys; env:NAME and file:PATH refer to a key in an environment variable or in another file"`
	// Priority is the priority of the tenant's requests when load is shed; it is compared before the route's priority. 0, the
	// default, is the highest.
	Priority int `cbor:"priority" toml:"priority" jsonschema:"minimum=0,description=priority when load is shed; 0 is the highest"`
	// RatePerS is accepted and has no effect: the handling of requests above the rate is undecided (docs/questions.md).
	RatePerS float64 `cbor:"rate_per_s" toml:"rate_per_s" jsonschema:"minimum=0,description=no effect yet"`
}

// Milliseconds converts a number of milliseconds to a duration. Numbers too large for a duration are capped. A number above 0 is at
// least a nanosecond, because 0 stands for a default.
func Milliseconds(ms float64) time.Duration {
	d := time.Duration(min(ms, float64(math.MaxInt64/2)/1e6) * float64(time.Millisecond))
	if d == 0 && ms > 0 {
		return time.Nanosecond
	}
	return d
}
