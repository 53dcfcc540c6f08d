package operatorconfig

import (
	"net/textproto"

	"notchhinge/internal/route"
)

// anyMethod is the method of routes that match every method.
const anyMethod = "any"

// Table compiles the routes. poolID returns the id of the pool with a name, or false if there is none. RouteIndex in the errors
// counts the routes of all services in the order of the file.
func (f *File) Table(poolID func(name string) (int, bool)) (*route.Table, []route.TableError) {
	var services []route.Service
	var routes []route.Route
	for i := range f.Services {
		s := &f.Services[i]
		services = append(services, route.Service{Name: s.Name, Pools: f.weightedPools(s)})
		for j := range s.Routes {
			routes = append(routes, s.Routes[j].compile(s.Name))
		}
	}
	return route.New(services, routes, poolID)
}

// weightedPools returns the pools of a service with their weights. The hash key of a renamed pool is its former name, so that
// sessions stay with their pool.
func (f *File) weightedPools(s *Service) (pools []route.WeightedPool) {
	formerNames := map[string]string{}
	for i := range f.Pools {
		formerNames[f.Pools[i].Name] = f.Pools[i].FormerName
	}
	if s.Pool != "" { // validate reports a service that has a split as well
		return []route.WeightedPool{{Pool: s.Pool, Weight: 1, HashKey: formerNames[s.Pool]}}
	}
	for _, p := range s.Split {
		pools = append(pools, route.WeightedPool{Pool: p.Pool, Weight: p.Weight, HashKey: formerNames[p.Pool]})
	}
	return pools
}

func (r *Route) compile(service string) route.Route {
	compiled := route.Route{Service: service, Host: r.Host, Path: r.Path, Prefix: r.Prefix, Method: r.Method, Class: r.Class}
	if compiled.Method == anyMethod {
		compiled.Method = ""
	}
	for name, value := range r.Header {
		if compiled.Header == nil {
			compiled.Header = map[string]string{}
		}
		compiled.Header[textproto.CanonicalMIMEHeaderKey(name)] = value
	}
	return compiled
}

// routeKey returns the key of a route, given its index among the routes of all services.
func (f *File) routeKey(index int) []string {
	for i := range f.Services {
		routes := len(f.Services[i].Routes)
		if index < routes {
			return append(entryKey("service", i), entryKey("route", index)...)
		}
		index -= routes
	}
	return []string{"service", "0"}
}
