package operatorconfig

import (
	"net/textproto"

	"notchhinge/internal/route"
)

// anyMethod is the method of routes that match every method.
const anyMethod = "any"

// Table compiles the routes. PoolID returns the id of a pool by its name, or false if there is none. Errors number the routes
// of all services in the order of the file.
func (f *File) Table(poolID func(name string) (int, bool)) (*route.Table, []route.TableError) {
	var services []route.Service
	var routes []route.Route
	for i := range f.Services {
		s := &f.Services[i]
		services = append(services, route.Service{Name: s.Name, Pools: f.shares(s)})
		for j := range s.Routes {
			routes = append(routes, s.Routes[j].compile(s.Name))
		}
	}
	return route.New(services, routes, poolID)
}

// shares are the pools of a service with their weights. Renamed pools have the key of the former name, so that sessions stay
// with their pool.
func (f *File) shares(s *Service) (shares []route.WeightedPool) {
	formerNames := map[string]string{}
	for i := range f.Pools {
		formerNames[f.Pools[i].Name] = f.Pools[i].FormerName
	}
	if s.Pool != "" { // with a split it is an error that validate reports
		return []route.WeightedPool{{Pool: s.Pool, Weight: 1, HashKey: formerNames[s.Pool]}}
	}
	for _, p := range s.Split {
		shares = append(shares, route.WeightedPool{Pool: p.Pool, Weight: p.Weight, HashKey: formerNames[p.Pool]})
	}
	return shares
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

// routeKey is the key of a route by its number among the routes of all services.
func (f *File) routeKey(number int) []string {
	for i := range f.Services {
		routes := len(f.Services[i].Routes)
		if number < routes {
			return append(entryKey("service", i), entryKey("route", number)...)
		}
		number -= routes
	}
	return []string{"service", "0"}
}
