package dialect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/directory"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/route"
)

// CompiledConfig is a fleet configuration in the form that requests are routed with. It is immutable.
type CompiledConfig struct {
	LogIndex uint64 // index of the log entry that contains the configuration
	Revision uint64
	Config   *fleetconfig.Config
	routes   *routeIndex
	keys     map[uint64][]*apiKey // by the hash of the key
	needsKey bool                 // the configuration has tenants
	services map[string]*Service
}

// compiledRoute is a route with values that are computed in advance.
type compiledRoute struct {
	*fleetconfig.Route
	targets    []routeTarget
	split      route.Split // of the indices of targets
	timeout    time.Duration
	maxSilence time.Duration // how long a client waits for the first event, and for each further one
}

// routeTarget is a service of a route.
type routeTarget struct {
	service *Service
	class   int // index of the route's class in the service's classes
}

type apiKey struct {
	text   string
	tenant *fleetconfig.Tenant
}

// CompileOptions are the inputs of Compile other than the configuration.
type CompileOptions struct {
	LogIndex uint64
	Previous map[string]*Service // services of the previous configuration; they keep their pools and classes
	NextPool *hoststate.PoolID   // ID of the next new service; incremented for each new one
	Yield    func()              // called after every fleetconfig.YieldInterval items, so that other work can run; may be nil
}

// Compile compiles a configuration. A service that is not in CompileOptions.Previous gets a new pool. There is no error, so that every
// router can put in force whatever configuration was acknowledged. Of one that is not valid any more, what has no meaning is left out.
func Compile(c *fleetconfig.Config, o CompileOptions) *CompiledConfig {
	if o.Yield == nil {
		o.Yield = func() {}
	}
	out := &CompiledConfig{
		LogIndex: o.LogIndex, Revision: c.Revision, Config: c, routes: newRouteIndex(), keys: map[uint64][]*apiKey{},
		needsKey: len(c.Tenants) > 0, services: map[string]*Service{},
	}
	for _, s := range c.Services {
		if out.services[s.Name] == nil {
			out.services[s.Name] = newService(s.Name, &o)
		}
	}
	for i := range c.Routes {
		out.routes.add(out.compileRoute(&c.Routes[i]))
		if mustYield(i) {
			o.Yield()
		}
	}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		if mustYield(i) {
			o.Yield()
		}
		for _, k := range t.APIKeys {
			h := xxhash.Sum64String(k)
			out.keys[h] = append(out.keys[h], &apiKey{k, t})
		}
	}
	return out
}

// mustYield reports whether a loop yields after the item with this index.
func mustYield(index int) bool { return index%fleetconfig.YieldInterval == fleetconfig.YieldInterval-1 }

// newService returns a copy of the previous service of this name with its own list of classes, or a new service.
func newService(name string, o *CompileOptions) *Service {
	old := o.Previous[name]
	if old == nil {
		id := *o.NextPool
		*o.NextPool++
		return &Service{Name: name, ID: id, Pool: &directory.Pool{ID: id, Name: name}, gate: &serviceGate{}}
	}
	return &Service{Name: old.Name, ID: old.ID, Classes: slices.Clone(old.Classes), Pool: old.Pool, gate: old.gate}
}

// compileRoute compiles a route and adds its class to its services.
func (c *CompiledConfig) compileRoute(r *fleetconfig.Route) *compiledRoute {
	compiled := &compiledRoute{Route: r, timeout: fleetconfig.Milliseconds(r.TimeoutMS), maxSilence: maxSilence(r)}
	var pools []route.WeightedPool
	for _, target := range r.Targets() {
		service := c.services[target.Service]
		if service == nil {
			continue
		}
		compiled.targets = append(compiled.targets, routeTarget{service, service.classOf(r)})
		pools = append(pools, route.WeightedPool{Pool: target.Service, Weight: target.Weight})
	}
	compiled.split = route.NewSplit(pools)
	return compiled
}

// Services returns the services by name.
func (c *CompiledConfig) Services() map[string]*Service { return c.services }

// tenantOf returns the tenant with an API key, or nil.
func (c *CompiledConfig) tenantOf(key string) *fleetconfig.Tenant {
	for _, k := range c.keys[xxhash.Sum64String(key)] {
		if k.text == key {
			return k.tenant
		}
	}
	return nil
}
