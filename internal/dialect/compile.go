package dialect

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"notchhinge/internal/control/fleetconfig"
	"notchhinge/internal/directory"
	"notchhinge/internal/hoststate"
	"notchhinge/internal/route"
)

// CompiledConfig is a fleet configuration as requests are routed by it. It does not change.
type CompiledConfig struct {
	LogIndex uint64 // of the log entry that it was chosen in
	Revision uint64
	Config   *fleetconfig.Config
	table    *route.Table
	routes   []compiledRoute
	keys     map[uint64][]*apiKey // by hash
	needsKey bool                 // it has tenants
	services map[string]*Service
}

// compiledRoute is a route with what is computed ahead.
type compiledRoute struct {
	*fleetconfig.Route
	classes    map[hoststate.PoolID]int // the route's class in each service's module
	timeout    time.Duration
	maxSilence time.Duration // for so long a client waits for the first event of a response
}

type apiKey struct {
	text   string
	tenant *fleetconfig.Tenant
}

// CompileOptions are what a configuration is compiled with beside itself.
type CompileOptions struct {
	LogIndex uint64
	Previous map[string]*Service // of the configuration before; services keep their pools and classes
	NextPool *hoststate.PoolID   // the id of the next new service; it is incremented
	Yield    func()              // called now and then, as by fleetconfig.Decode; may be nil
}

// Compile compiles a valid configuration. Services that are not among the previous ones get new pools.
func Compile(c *fleetconfig.Config, o CompileOptions) (*CompiledConfig, error) {
	if o.Yield == nil {
		o.Yield = func() {}
	}
	out := &CompiledConfig{
		LogIndex: o.LogIndex, Revision: c.Revision, Config: c, keys: map[uint64][]*apiKey{}, needsKey: len(c.Tenants) > 0,
		services: map[string]*Service{},
	}
	for _, s := range c.Services {
		out.services[s.Name] = newService(s.Name, &o)
	}
	if err := out.compileRoutes(o.Yield); err != nil {
		return nil, err
	}
	for i := range c.Tenants {
		t := &c.Tenants[i]
		if yields(i) {
			o.Yield()
		}
		for _, k := range t.APIKeys {
			h := xxhash.Sum64String(k)
			out.keys[h] = append(out.keys[h], &apiKey{k, t})
		}
	}
	return out, nil
}

// yields reports whether a loop yields after its item of this index.
func yields(index int) bool { return index%fleetconfig.YieldInterval == fleetconfig.YieldInterval-1 }

// newService returns a service: the previous one of its name with classes of its own, or a new one.
func newService(name string, o *CompileOptions) *Service {
	old := o.Previous[name]
	if old == nil {
		id := *o.NextPool
		*o.NextPool++
		return &Service{Name: name, ID: id, Pool: &directory.Pool{ID: id, Name: name}, gate: &serviceGate{}}
	}
	return &Service{Name: old.Name, ID: old.ID, Classes: slices.Clone(old.Classes), Pool: old.Pool, gate: old.gate}
}

// compileRoutes makes the table of routes. A route's targets are a service of the table, named by the index of the route.
func (c *CompiledConfig) compileRoutes(yield func()) error {
	var services []route.Service
	var routes []route.Route
	for i := range c.Config.Routes {
		r := &c.Config.Routes[i]
		compiled := compiledRoute{
			Route: r, classes: map[hoststate.PoolID]int{}, timeout: fleetconfig.Milliseconds(r.TimeoutMS), maxSilence: maxSilence(r),
		}
		s := route.Service{Name: strconv.Itoa(i)}
		for _, target := range r.Targets() {
			to := c.services[target.Service]
			if to == nil {
				return fmt.Errorf("route %s: there is no service %q", r.Name, target.Service)
			}
			compiled.classes[to.ID] = to.classOf(r)
			s.Pools = append(s.Pools, route.WeightedPool{Pool: target.Service, Weight: target.Weight})
		}
		host, err := route.NormalizeHost(r.Hostname)
		if err != nil {
			return fmt.Errorf("route %s: %w", r.Name, err)
		}
		services = append(services, s)
		routes = append(routes, route.Route{Service: s.Name, Host: host, Prefix: r.PathPrefix})
		c.routes = append(c.routes, compiled)
		if yields(i) {
			yield()
		}
	}
	table, faults := route.New(services, routes, c.poolNumber)
	if len(faults) > 0 {
		return faults[0]
	}
	c.table = table
	return nil
}

func (c *CompiledConfig) poolNumber(service string) (int, bool) {
	s := c.services[service]
	if s == nil {
		return 0, false
	}
	return int(s.ID), true
}

// Services returns the services by name.
func (c *CompiledConfig) Services() map[string]*Service { return c.services }

// tenantOf returns the tenant that a key belongs to, or nil.
func (c *CompiledConfig) tenantOf(key string) *fleetconfig.Tenant {
	for _, k := range c.keys[xxhash.Sum64String(key)] {
		if k.text == key {
			return k.tenant
		}
	}
	return nil
}

// Route returns the target of a host and a path, or nil: the route with the longest prefix of the path counts.
func (c *CompiledConfig) Route(host, path string) *route.Target {
	h, err := route.NormalizeHost(host)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	// The table's prefixes are of whole segments, and match a path that lacks their final slash; the platform's do not.
	if at := strings.LastIndexByte(path, '/'); at >= 0 {
		path = path[:at+1]
	}
	return c.table.Lookup(&route.Query{Host: h, Path: path})
}
