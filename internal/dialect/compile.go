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

// CompiledConfig is a fleet configuration in the form that requests are routed with. It is immutable.
type CompiledConfig struct {
	LogIndex uint64 // index of the log entry that contains the configuration
	Revision uint64
	Config   *fleetconfig.Config
	table    *route.Table
	routes   []compiledRoute
	keys     map[uint64][]*apiKey // by the hash of the key
	needsKey bool                 // the configuration has tenants
	services map[string]*Service
}

// compiledRoute is a route with values that are computed in advance.
type compiledRoute struct {
	*fleetconfig.Route
	classes    map[hoststate.PoolID]int // index of the route's class, by the pool of a service
	timeout    time.Duration
	maxSilence time.Duration // how long a client waits for the first event, and for each further one
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

// Compile compiles a valid configuration. A service that is not in CompileOptions.Previous gets a new pool.
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
		if mustYield(i) {
			o.Yield()
		}
		for _, k := range t.APIKeys {
			h := xxhash.Sum64String(k)
			out.keys[h] = append(out.keys[h], &apiKey{k, t})
		}
	}
	return out, nil
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

// compileRoutes builds the route table. In the table, the targets of each route form one service, whose name is the index of the
// route.
func (c *CompiledConfig) compileRoutes(yield func()) error {
	var services []route.Service
	var routes []route.Route
	for i := range c.Config.Routes {
		r := &c.Config.Routes[i]
		compiled := compiledRoute{
			Route: r, classes: map[hoststate.PoolID]int{}, timeout: fleetconfig.Milliseconds(r.TimeoutMS), maxSilence: maxSilence(r),
		}
		tableService := route.Service{Name: strconv.Itoa(i)}
		for _, target := range r.Targets() {
			service := c.services[target.Service]
			if service == nil {
				return fmt.Errorf("route %s: unknown service %q", r.Name, target.Service)
			}
			compiled.classes[service.ID] = service.classOf(r)
			tableService.Pools = append(tableService.Pools, route.WeightedPool{Pool: target.Service, Weight: target.Weight})
		}
		host, err := route.NormalizeHost(r.Hostname)
		if err != nil {
			return fmt.Errorf("route %s: %w", r.Name, err)
		}
		services = append(services, tableService)
		routes = append(routes, route.Route{Service: tableService.Name, Host: host, Prefix: r.PathPrefix})
		c.routes = append(c.routes, compiled)
		if mustYield(i) {
			yield()
		}
	}
	table, errs := route.New(services, routes, c.poolNumber)
	if len(errs) > 0 {
		return errs[0]
	}
	c.table = table
	return nil
}

// poolNumber returns the number of a service's pool in the route table, and whether the service exists.
func (c *CompiledConfig) poolNumber(service string) (int, bool) {
	s := c.services[service]
	if s == nil {
		return 0, false
	}
	return int(s.ID), true
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

// Route returns the target for a host and a path, or nil if no route matches. The route with the longest matching path prefix wins.
func (c *CompiledConfig) Route(host, path string) *route.Target {
	h, err := route.NormalizeHost(host)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	// In the table, the prefix /a/ also matches the path /a. On the platform it does not, so the lookup uses the path up to its last
	// slash.
	if slash := strings.LastIndexByte(path, '/'); slash >= 0 {
		path = path[:slash+1]
	}
	return c.table.Lookup(&route.Query{Host: h, Path: path})
}
